package balancer

import (
	"context"
	"net/netip"
	"time"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/group/commander"
	"siskinfall/internal/group/keeper"
	"siskinfall/internal/group/sampler"
)

const (
	// keptRanks is the number of the lowest ranks that keep the demand, as they lead next, and
	// keptParts that of the parts of a group of which one rank each keeps it too: neighbours
	// may be lost together.
	keptRanks = 3
	keptParts = 3
	// shareInterval is how much later than the demand that was shared one must be observed to
	// be shared without a change.
	shareInterval = 10 * time.Second
	// staleDemandAge is how much later than this leader another one must have observed the
	// demand for its estimate to be used: this one was paused.
	staleDemandAge = 2 * time.Second
)

// Memory keeps the demand of the group beyond the epoch and the leader;
// *messenger.Messenger is one.
type Memory interface {
	KeepDemand(d keeper.Demand)
	// GetDemandOf returns false if none is kept of that shape that is recent enough.
	GetDemandOf(group string, layerSets, experts int, now time.Time) (keeper.Demand, bool)
	// ShareDemand sends the kept demand to the sidecars of some engines.
	ShareDemand(ctx context.Context, group string, engines []netip.AddrPort)
}

// ownMemory is a Memory of this sidecar alone.
type ownMemory struct{ keeper.Keeper }

// ShareDemand implements Memory.
func (*ownMemory) ShareDemand(context.Context, string, []netip.AddrPort) {}

// Option configures a Balancer.
type Option func(*Balancer)

// WithMemory sets where the demand is kept.
func WithMemory(m Memory) Option { return func(b *Balancer) { b.memory = m } }

// keepDemand keeps the demand that this leader has observed.
func (b *Balancer) keepDemand(group string) {
	if b.demand == nil || b.demand.Get() == nil || b.observedAt.IsZero() {
		return
	}
	b.memory.KeepDemand(keeper.Demand{Group: group, Shares: b.demand.Clone(), ObservedAt: b.observedAt})
}

// adoptDemand begins with the kept demand unless this leader has a newer one.
func (b *Balancer) adoptDemand(group string, engine *holder.Engine) {
	shape := [2]int{engine.LayerSets, engine.Experts}
	if b.demand == nil || b.shape != shape {
		b.demand, b.shape, b.observedAt = sampler.New(engine.LayerSets, engine.Experts), shape, time.Time{}
	}
	kept, ok := b.memory.GetDemandOf(group, engine.LayerSets, engine.Experts, time.Now())
	if ok && (b.demand.Get() == nil || kept.ObservedAt.Sub(b.observedAt) > staleDemandAge) {
		b.demand.Seed(kept.Shares)
		b.observedAt = kept.ObservedAt
	}
}

// wantsDemand reports whether neither this leader nor its sidecar has a demand.
func (b *Balancer) wantsDemand(group string, engine *holder.Engine) bool {
	if b.demand != nil && b.demand.Get() != nil {
		return false
	}
	_, ok := b.memory.GetDemandOf(group, engine.LayerSets, engine.Experts, time.Now())
	return !ok
}

// shareIfDue shares a demand that was observed well after the one that was last shared, also
// if that was shared after an opening but was observed before it.
func (b *Balancer) shareIfDue(ctx context.Context, own *commander.Status) {
	if b.observedAt.Sub(b.sharedAt) >= shareInterval {
		b.shareDemand(ctx, own)
	}
}

// shareDemand keeps the demand and sends it to the sidecars that keep it too.
func (b *Balancer) shareDemand(ctx context.Context, own *commander.Status) {
	b.sharedAt = b.observedAt
	b.keepDemand(own.Group)
	part := max(own.Size/keptParts, 1)
	var engines []netip.AddrPort
	for _, s := range b.snapshot {
		if s.Rank != own.Rank && (s.Rank < keptRanks || s.Rank%part == part-1) {
			engines = append(engines, s.Addr)
		}
	}
	b.memory.ShareDemand(ctx, own.Group, engines)
}
