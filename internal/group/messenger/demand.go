package messenger

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/group/keeper"
	"siskinfall/internal/wire/encoder"
)

// shareTimeout bounds the sending of a demand to the sidecars that keep it: some thousand
// bytes to each, over a link of some megabits a second.
const shareTimeout = 100 * time.Millisecond

// ShareDemand sends the demand of a group that this sidecar keeps to those of some engines. It
// may fail for some of them.
func (m *Messenger) ShareDemand(ctx context.Context, group string, engines []netip.AddrPort) {
	demand := m.encodeDemand(group)
	if demand == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	open := &encoder.Open{Kind: &encoder.Open_EngineOrder{EngineOrder: &encoder.EngineOrder{Operation: operationKeepDemand, Demand: demand}}}
	var wg sync.WaitGroup
	for _, engine := range engines {
		if engine == m.own || m.silent.isSilent(engine, time.Now()) {
			continue
		}
		wg.Go(func() {
			if err := m.sidecars.Call(ctx, m.sidecar(engine), open, &encoder.EngineResult{}); err != nil {
				log.Info("failed to share the demand", "event", "demand_shared", "engine", engine, "error", err)
			}
		})
	}
	wg.Wait()
}

// encodeDemand encodes the kept demand of a group, nil if there is none.
func (m *Messenger) encodeDemand(group string) *encoder.KeptDemand {
	now := time.Now()
	d, ok := m.GetDemand(group, now)
	if !ok {
		return nil
	}
	return &encoder.KeptDemand{
		Group: d.Group, AgeMillis: uint64(now.Sub(d.ObservedAt).Milliseconds()), LayerSets: uint32(len(d.Shares)), Levels: keeper.EncodeShares(d.Shares),
	}
}

// keepDemand keeps a demand that another sidecar has sent.
func (m *Messenger) keepDemand(d *encoder.KeptDemand) {
	if d == nil || d.GetLayerSets() > maxShape {
		return
	}
	shares := keeper.DecodeShares(d.GetLevels(), int(d.GetLayerSets()))
	if shares == nil {
		log.Warn("invalid demand of a group ignored", "event", "bad_news", "group", d.GetGroup(), "layer_sets", d.GetLayerSets(), "levels", len(d.GetLevels()))
		return
	}
	age := time.Duration(min(d.GetAgeMillis(), maxDemandAgeMillis)) * time.Millisecond
	m.KeepDemand(keeper.Demand{Group: d.GetGroup(), Shares: shares, ObservedAt: time.Now().Add(-age)})
}

// maxDemandAgeMillis bounds the age of a demand that another sidecar has sent; older ones are
// not used.
const maxDemandAgeMillis = 1 << 20
