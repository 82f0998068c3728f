package balancer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/group/commander"
	"siskinfall/internal/group/sampler"
)

// Load pattern: a group opens again after a cut. Its requests of several seconds are waiting,
// and every pass takes as long as that of the most loaded rank under the initial map.

const (
	// brokenPollInterval is how often the leader reads its own engine while the group can't
	// run passes; the call does not leave the instance.
	brokenPollInterval = 50 * time.Millisecond
	// brokenReadInterval is how often the leader reads the other sidecars then, so that of two
	// leaders on the sides of a cut one gives way before the group opens.
	brokenReadInterval = 200 * time.Millisecond
	// openingRetryInterval is the pause before the first change of an epoch is tried again.
	openingRetryInterval = 50 * time.Millisecond
	// maxOpeningTime is how long after an opening a change is planned from a demand that was
	// observed before. There are counts of the epoch by then.
	maxOpeningTime = 2 * time.Second
)

// opening is the state of a group that can't run passes or has begun to.
type opening struct {
	// epoch is the one seen last, 0 before the first.
	epoch uint64
	// wasBroken is true from when the group was seen broken until it is seen open.
	wasBroken bool
	// at is when the epoch was first seen open, zero if the group was open at the start.
	at time.Time
	// isPending is true until the first change of the epoch is made or would not pay.
	isPending bool
	// readAt is when the other sidecars were last read while the group was broken.
	readAt time.Time
	// isCounted is true once the counts were read since the group was broken. They don't grow
	// until it has opened.
	isCounted bool
	// isAnnounced is true once the sidecars were read since the group was broken, also those
	// that did not answer during a cut.
	isAnnounced bool
}

// observe records the epoch of an open group and reports whether it has just opened.
func (o *opening) observe(epoch uint64, now time.Time) bool {
	if epoch == o.epoch {
		return false
	}
	opened := o.epoch != 0 || o.wasBroken
	o.isAnnounced = o.isAnnounced && o.wasBroken
	o.epoch, o.wasBroken = epoch, false
	if opened {
		o.at, o.isPending = now, true
	}
	return opened
}

// since returns how long ago the group has opened, 0 if that was not seen.
func (o *opening) since(now time.Time) time.Duration {
	if o.at.IsZero() {
		return 0
	}
	return now.Sub(o.at)
}

// awaitOpening decides who leads while the group can't run passes, and collects the demand
// that the leader will plan for. Nothing can be prepared before the group opens: its epoch
// ends then, and every order of it.
func (b *Balancer) awaitOpening(ctx context.Context, own *commander.Status, engine *holder.Engine) time.Duration {
	if !b.opening.wasBroken {
		b.opening.wasBroken, b.opening.isCounted, b.opening.isAnnounced = true, false, false
		b.keepDemand(own.Group)
		if b.demand != nil {
			b.demand.Keep()
		}
	}
	now := time.Now()
	if !b.shouldLead(own, now) {
		return roundInterval
	}
	b.delay.start(now)
	if now.Sub(b.opening.readAt) < brokenReadInterval {
		return brokenPollInterval
	}
	b.opening.readAt, b.opening.isAnnounced = now, true
	members := b.readBroken(ctx, own, engine)
	b.adoptDemand(own.Group, engine)
	if len(members) == own.Size && !b.opening.isCounted {
		b.opening.isCounted = true
		b.countBroken(ctx, own, members)
	}
	return brokenPollInterval
}

// readBroken tells the sidecars of a broken group that this one leads, and returns those of
// its members that answer.
func (b *Balancer) readBroken(ctx context.Context, own *commander.Status, engine *holder.Engine) []*commander.Status {
	members := []*commander.Status{own}
	q := commander.Query{
		LeaderRank: own.Rank, Group: own.Group, KnownVersion: own.Version, SidecarOnly: true, WantsDemand: b.wantsDemand(own.Group, engine),
	}
	for _, s := range b.commander.ReadAll(ctx, b.otherEngines(), q) {
		if s != nil && s.Group == own.Group {
			members = append(members, s)
		}
	}
	return members
}

// countBroken reads the counts at which the next epoch begins, so that its first passes show
// the demand of that epoch only.
func (b *Balancer) countBroken(ctx context.Context, own *commander.Status, members []*commander.Status) {
	var engines []netip.AddrPort
	for _, s := range members {
		if sampler.IsSampled(s.Rank, s.Size) {
			engines = append(engines, s.Addr)
		}
	}
	q := commander.Query{LeaderRank: own.Rank, Group: own.Group, KnownVersion: own.Version, SidecarOnly: true, WithCounts: true}
	if b.observe(b.commander.ReadAll(ctx, engines, q)) {
		b.keepDemand(own.Group)
	}
}

// mustAnnounce reports whether the next read of all ranks has to reach the sidecars that did
// not answer during the cut: they lead too if they don't hear of this leader.
func (b *Balancer) mustAnnounce() bool {
	must := b.isOpening() && !b.opening.isAnnounced
	b.opening.isAnnounced = true
	return must
}

// observeOpening begins an opening if the group is in another epoch.
func (b *Balancer) observeOpening(own *commander.Status, now time.Time) {
	if !b.opening.observe(own.Epoch, now) {
		return
	}
	log.Info("group has opened", "event", "group_open", "group", own.Group, "epoch", own.Epoch, "rank", own.Rank, "leads", b.leading)
	if b.demand != nil {
		b.demand.Keep()
	}
}

// canPlanOpening reports whether a change may be planned without counts of this epoch.
func (b *Balancer) canPlanOpening() bool {
	return b.isOpening() && b.demand.Get() != nil
}

func (b *Balancer) isOpening() bool {
	return b.opening.isPending && b.opening.since(time.Now()) < maxOpeningTime
}

// retryInterval is the pause after a round in which the group may not have been read or
// changed.
func (b *Balancer) retryInterval() time.Duration {
	if b.isOpening() {
		return openingRetryInterval
	}
	return roundInterval
}

// otherEngines returns the engines of the other ranks of the group, and those of the whole
// service if the ranks are not known or one of them is not listed.
func (b *Balancer) otherEngines() []netip.AddrPort {
	members := b.members()
	listed := b.engines()
	isListed := func(a netip.AddrPort) bool { return slices.Contains(listed, a) }
	if len(members) == 0 || slices.ContainsFunc(members, func(a netip.AddrPort) bool { return !isListed(a) }) {
		members = b.knownEngines()
	}
	return slices.DeleteFunc(members, func(a netip.AddrPort) bool { return a == b.own })
}

// members returns the engines of the ranks in the latest snapshot.
func (b *Balancer) members() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(b.snapshot))
	for _, s := range b.snapshot {
		out = append(out, s.Addr)
	}
	return out
}

// knownEngines returns the engines that are listed and those of the latest snapshot: after a
// cut, gateways list the engines behind it only once they have found them again.
func (b *Balancer) knownEngines() []netip.AddrPort {
	out := slices.Clone(b.engines())
	for _, a := range b.members() {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}
