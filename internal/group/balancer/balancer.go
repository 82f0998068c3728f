// Package balancer leads the map changes of a model group while this sidecar is its
// leader: it reads all ranks, estimates demand, plans a map, and has the commander make
// the change. Two sidecars that lead at the same time do no harm. Unlike in package
// agent/leader, where only the first member leads, a higher rank takes over when no lower
// one leads, and there is no stored epoch that fences off older leaders.
package balancer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/group/commander"
	"siskinfall/internal/group/sampler"
	"siskinfall/internal/group/shifter"
	"siskinfall/internal/process/sleeper"
)

// Intervals and limits of leading.
const (
	// roundInterval is the pause between two rounds: some four passes.
	roundInterval = 250 * time.Millisecond
	// sampleInterval is the pause between two samples of a large group; demand there
	// changes every two seconds.
	sampleInterval = 100 * time.Millisecond
	// settleInterval is the pause after a sample during which demand changed: some two
	// passes, whose counts are of the new demand only.
	settleInterval = 150 * time.Millisecond
	// fullReadInterval is how often all ranks of a large group are read even if no change
	// is worth its copies, so that slow ranks are noticed and all ranks see that there is a leader.
	fullReadInterval = 1200 * time.Millisecond
	// minTakeoverDelay is how long the lower ranks must not have read this one before it
	// leads; it is two rounds.
	minTakeoverDelay = 550 * time.Millisecond
	// takeoverDelayPerRank is added for each lower rank, so that one takes over at a time.
	takeoverDelayPerRank = 60 * time.Millisecond
	// heldPassTimeout is how long another leader may hold a pass. A change holds it for
	// some 20 ms.
	heldPassTimeout = 200 * time.Millisecond
	// heldPassPollInterval is the pause between two reads while a pass is held.
	heldPassPollInterval = 50 * time.Millisecond
	// demandDuration is how long a demand is expected to last.
	demandDuration = 3 * time.Second
	// copySlowdown is the part by which passes take longer while experts are copied.
	copySlowdown = 0.15
	// minSkewGain is the minimum decrease of skew for which a change is made. Less is a few
	// per cent of a pass, while each change copies experts and sends orders to all ranks;
	// only a change of demand brings more.
	minSkewGain = 0.2
	// urgentSkewGain is the decrease of skew from which on one more pass under the old map
	// costs more than a pass that is held for a change, some 20 ms. A lower skew is minor.
	urgentSkewGain = 0.5
)

// Balancer leads one group. Run must be called by one goroutine only.
type Balancer struct {
	transport commander.Transport
	commander *commander.Commander
	own       netip.AddrPort
	// engines returns the addresses of the service's engines, engine their configuration.
	engines func() []netip.AddrPort
	engine  func() *holder.Engine
	// lastLowerRead is when a lower rank last read this one, in Unix nanoseconds.
	lastLowerRead atomic.Int64
	// rank is the rank of the own engine, -1 while it is not known, and group its group, nil
	// then.
	rank  atomic.Int64
	group atomic.Pointer[string]
	// placement is the one that this leader has last seen in force, with the version
	// knownVersion; nil if it is not known.
	placement    shifter.Placement
	knownVersion uint64
	demand       *sampler.Demand
	shape        [2]int
	// observedAt is when the demand was last estimated from new counts, sharedAt when the one
	// that was last sent to other sidecars was.
	observedAt, sharedAt time.Time
	// memory keeps the demand between epochs and leaders.
	memory Memory
	// opening is the state of a group that can't run passes or has begun to.
	opening opening
	// prediction is that of the latest change.
	prediction prediction
	// minorSkewAt is when the demand was observed that first showed a minor skew, zero if the
	// skew is not minor.
	minorSkewAt time.Time
	// snapshot is the latest snapshot of all ranks, made at snapshotAt; lastStep is the latest
	// pass seen in a sample.
	snapshot   commander.Group
	snapshotAt time.Time
	lastStep   uint64
	// heldSince is when the pass heldStep was first seen as held, zero if none is.
	heldSince time.Time
	heldStep  uint64
	leading   bool
	// delay is how long the demand has not been followed.
	delay followDelay
}

// New returns a Balancer of the sidecar beside the engine at own.
func New(t commander.Transport, own netip.AddrPort, engines func() []netip.AddrPort, engine func() *holder.Engine, opts ...Option) *Balancer {
	b := &Balancer{transport: t, commander: commander.New(t, rand.Uint64), own: own, engines: engines, engine: engine, memory: &ownMemory{}}
	b.rank.Store(-1)
	b.lastLowerRead.Store(time.Now().UnixNano())
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// RecordLeaderRead records that a leader of the given rank has read this sidecar's engine. The
// group is empty if the leader knows that this engine is in its own.
func (b *Balancer) RecordLeaderRead(leaderRank int, group string, now time.Time) {
	if own := b.group.Load(); group != "" && own != nil && *own != group {
		return
	}
	if int64(leaderRank) < b.rank.Load() {
		b.lastLowerRead.Store(now.UnixNano())
	}
}

// Run leads whenever no lower rank does, until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := b.runRound(ctx)
		sleeper.Sleep(ctx, pause)
	}
}

// shouldLead reports whether no lower rank has read this one for long enough.
func (b *Balancer) shouldLead(own *commander.Status, now time.Time) bool {
	rank, size := own.Rank, own.Size
	sinceRead := now.Sub(time.Unix(0, b.lastLowerRead.Load()))
	lead := rank == 0 || sinceRead > takeoverDelay(rank, size)
	if lead != b.leading {
		log.Info("leadership changed", "event", "leader", "leads", lead, "rank", rank, "quiet", sinceRead)
		b.leading = lead
		b.keepDemand(own.Group)
		b.demand = nil
		b.delay.start(now)
		if !lead {
			b.delay.end()
		}
	}
	return lead
}

// takeoverDelay is how long no lower rank must have read a rank before it leads. A rank
// that is not sampled is read by its leader only when all ranks are.
func takeoverDelay(rank, size int) time.Duration {
	delay := minTakeoverDelay + time.Duration(rank)*takeoverDelayPerRank
	if !sampler.IsSampled(rank, size) {
		delay += fullReadInterval
	}
	return delay
}

// runRound reads the group and changes its map if the gain is worth the copies. It returns
// the pause until the next round.
func (b *Balancer) runRound(ctx context.Context) time.Duration {
	own, err := b.transport.Read(ctx, b.own, commander.Query{KnownVersion: b.knownVersion})
	if err != nil {
		log.Info("failed to read own engine", "event", "engine_lost", "error", err)
		return roundInterval
	}
	b.rank.Store(int64(own.Rank))
	b.group.Store(&own.Group)
	b.commander.Observe(own)
	engine := b.engine()
	if engine == nil || engine.LayerSets == 0 {
		return roundInterval
	}
	if own.Broken {
		return b.awaitOpening(ctx, own, engine)
	}
	b.observeOpening(own, time.Now())
	if !b.shouldLead(own, time.Now()) {
		return roundInterval
	}
	b.adoptDemand(own.Group, engine)
	b.shareIfDue(ctx, own)
	if own.Running == 0 {
		// An idle group has no demand to follow.
		b.delay.start(time.Now())
	}
	b.delay.report(own.Group, time.Now())
	var g commander.Group
	if !sampler.ReadsAllRanks(own.Size) {
		switch result := b.sample(ctx, own, engine).(type) {
		case noChange:
			return result.pause
		case skewed:
			g = result.Group
		case needsSnapshot:
		}
	}
	if g == nil {
		var ok bool
		if g, ok = b.readSnapshot(ctx, own, engine); !ok {
			return b.retryInterval()
		}
	}
	if g.FirstHolder() != nil {
		return b.handleHeldPass(ctx, g, own, engine)
	}
	b.heldSince = time.Time{}
	if g.Armed() != nil {
		// The change comes into force at the pass that it is armed for.
		return heldPassPollInterval
	}
	if sampler.ReadsAllRanks(own.Size) && !b.observe(g) && !b.canPlanOpening() || !b.updatePlacement(g, engine) {
		return roundInterval
	}
	if b.demand.Get() == nil {
		return roundInterval
	}
	if b.demand.IsMixed() && !b.canPlanOpening() {
		return settleInterval
	}
	b.balance(ctx, g, own, engine)
	return b.retryInterval()
}

// sampleResult says what to do after a sample of a large group.
type sampleResult interface{ sampleResult() }

// noChange means that there is nothing to change or the demand is not clear yet; the
// group is sampled again after the pause.
type noChange struct{ pause time.Duration }

// skewed means that a change may be worth its copies. The ranks that were not sampled are as in the latest
// snapshot: only their addresses are used, and the first rank's current state decides
// between competing leaders.
type skewed struct{ commander.Group }

// needsSnapshot means that all ranks have to be read.
type needsSnapshot struct{}

func (noChange) sampleResult() {}

func (skewed) sampleResult() {}

func (needsSnapshot) sampleResult() {}

// sample reads some of the ranks of a large group.
func (b *Balancer) sample(ctx context.Context, own *commander.Status, engine *holder.Engine) sampleResult {
	if len(b.snapshot) != own.Size || b.snapshot.Epoch() != own.Epoch || b.placement == nil || time.Since(b.snapshotAt) > fullReadInterval {
		return needsSnapshot{}
	}
	g := make(commander.Group, len(b.snapshot))
	for rank, s := range b.snapshot {
		// All ranks change maps at one pass, so the ranks that are not read now have the
		// map of those that are. What the snapshot shows as held or armed there may be
		// outdated.
		unread := *s
		unread.Version, unread.Held, unread.Armed = b.knownVersion, nil, nil
		g[rank] = &unread
	}
	q := commander.Query{LeaderRank: own.Rank, WithCounts: true, KnownVersion: b.knownVersion}
	statuses := b.commander.ReadAll(ctx, b.sampledEngines(), q)
	for _, s := range statuses {
		if s == nil || s.Epoch != own.Epoch || s.Broken || s.Held != nil || s.Armed != nil || s.Version != b.knownVersion {
			return needsSnapshot{}
		}
		g[s.Rank] = s
	}
	step := g.Step()
	stalled := step == b.lastStep && own.Running > 0
	b.lastStep = step
	switch {
	case stalled:
		// A leader may hold a pass.
		return needsSnapshot{}
	case !b.observe(statuses) && !b.canPlanOpening():
		return noChange{pause: sampleInterval}
	case b.demand.IsMixed() && !b.canPlanOpening():
		return noChange{pause: settleInterval}
	case !b.isSkewed(engine):
		return noChange{pause: sampleInterval}
	}
	return skewed{Group: g}
}

// readSnapshot reads all ranks of the own group.
func (b *Balancer) readSnapshot(ctx context.Context, own *commander.Status, engine *holder.Engine) (commander.Group, bool) {
	q := commander.Query{
		LeaderRank: own.Rank, Group: own.Group, WithCounts: sampler.ReadsAllRanks(own.Size), KnownVersion: b.knownVersion, WantsDemand: b.wantsDemand(own.Group, engine),
		SidecarOnly: b.mustAnnounce(),
	}
	var members []*commander.Status
	start := time.Now()
	engines := b.engines()
	if b.isOpening() {
		engines = b.knownEngines()
	}
	for _, s := range b.commander.ReadAll(ctx, engines, q) {
		if s != nil && s.Group == own.Group {
			members = append(members, s)
		}
	}
	readSeconds.Update(time.Since(start).Seconds())
	g, err := commander.NewGroup(members)
	b.delay.setResult(err)
	if err != nil {
		partialReads.Inc()
		log.Info("failed to read all ranks of the group", "event", "group_partial", "group", own.Group, "read", len(members), "size", own.Size, "error", err)
		return nil, false
	}
	b.snapshot, b.snapshotAt = g, time.Now()
	return g, true
}

// sampledEngines returns the engines whose counts are read in the rounds of a large group.
func (b *Balancer) sampledEngines() []netip.AddrPort {
	var out []netip.AddrPort
	for rank, s := range b.snapshot {
		if sampler.IsSampled(rank, len(b.snapshot)) {
			out = append(out, s.Addr)
		}
	}
	return out
}

// isSkewed reports whether a plan might reduce the skew by minSkewGain, and the skew lasts. No
// plan lowers the skew below 1, and planning for a large group is expensive.
func (b *Balancer) isSkewed(engine *holder.Engine) bool {
	skew := shifter.Skew(b.placement, b.demand.Get(), b.bounds(engine))
	b.delay.observe(skew, time.Now())
	b.prediction.compare(skew, b.knownVersion, b.observedAt)
	return b.isLasting(skew)
}

// handleHeldPass waits for the leader that holds a pass, and ends the hold after
// heldPassTimeout.
func (b *Balancer) handleHeldPass(ctx context.Context, g commander.Group, own *commander.Status, engine *holder.Engine) time.Duration {
	step := *g.FirstHolder().Held
	now := time.Now()
	if b.heldSince.IsZero() || b.heldStep != step {
		b.heldSince, b.heldStep = now, step
	}
	if now.Sub(b.heldSince) < heldPassTimeout {
		return heldPassPollInterval
	}
	var current shifter.Placement
	if b.updatePlacement(g, engine) {
		current = b.placement
	}
	recoveries.Inc()
	err := b.commander.Recover(ctx, g, own.Rank, now.Sub(b.heldSince), current)
	log.Info("tried to end the hold of a pass", "event", "map_recovered", "pass", step, "held_for", now.Sub(b.heldSince), "error", err)
	return heldPassPollInterval
}

// balance plans a map and changes to it if the gain is worth the copies.
func (b *Balancer) balance(ctx context.Context, g commander.Group, own *commander.Status, engine *holder.Engine) {
	if !b.isSkewed(engine) || !b.shouldLead(own, time.Now()) {
		return
	}
	start := time.Now()
	plan := shifter.Next(b.placement, b.demand.Get(), b.bounds(engine))
	planTime := time.Since(start)
	copying := b.copyTime(plan, engine)
	if plan.Before-plan.After < max(minSkewGain, copySlowdown*copying.Seconds()/demandDuration.Seconds()) {
		b.delay.setFollowed()
		b.opening.isPending = false
		return
	}
	version := b.commander.NewVersion(g, own.Rank, time.Now())
	err := b.commander.Change(ctx, g, own, commander.Prepare{
		Version: version, Placement: plan.Placement, BaseVersion: b.knownVersion, Base: b.placement,
		Urgent: plan.Before-plan.After >= urgentSkewGain,
	})
	b.delay.setResult(err)
	if err == nil {
		b.placement, b.knownVersion = plan.Placement, version
		b.delay.setFollowed()
		b.opening.isPending = false
		b.minorSkewAt = time.Time{}
		b.prediction = prediction{version: version, skew: plan.After, madeAt: time.Now()}
	}
	countChange(err, time.Since(start), planTime)
	log.Info("map change", "event", "map_change", "group", own.Group, "epoch", g.Epoch(), "version", version, "pass", g.Step(),
		"skew_before", plan.Before, "skew_after", plan.After, "copies", plan.Copies, "copy_time", copying, "planned_in", planTime,
		"took", time.Since(start), "since_opening", b.opening.since(time.Now()), "error", err)
	if err == nil {
		b.shareDemand(ctx, own)
	}
}

// observe adds the counts of ranks to the demand. It reports whether there were new counts
// and a demand to plan for.
func (b *Balancer) observe(statuses []*commander.Status) bool {
	counts := make(map[string][]uint64, len(statuses))
	epochs := make(map[string]uint64, len(statuses))
	for _, s := range statuses {
		if s != nil && len(s.Counts) > 0 {
			counts[s.Addr.String()] = s.Counts
			epochs[s.Addr.String()] = uint64(s.Started.UnixMilli())
		}
	}
	if !b.demand.Observe(counts, epochs) {
		return false
	}
	b.observedAt = time.Now()
	return b.demand.Get() != nil
}

// updatePlacement sets the placement to the one in force, and reports whether that is known.
func (b *Balancer) updatePlacement(g commander.Group, engine *holder.Engine) bool {
	version := g.First().Version
	for _, s := range g {
		if s.Version != version {
			// Some ranks were read before the pass of a change, some after it.
			return false
		}
	}
	if version == b.knownVersion && b.placement != nil && len(b.placement) == engine.LayerSets && len(b.placement[0]) == len(g) {
		return true
	}
	if version == 0 {
		b.placement, b.knownVersion = shifter.Initial(engine.LayerSets, engine.Experts, len(g)), 0
		return true
	}
	p := make(shifter.Placement, engine.LayerSets)
	for i := range p {
		p[i] = make([][]int, len(g))
		for _, s := range g {
			if len(s.Experts) != engine.LayerSets {
				// The next read asks for all experts again.
				b.knownVersion, b.placement = 0, nil
				return false
			}
			p[i][s.Rank] = s.Experts[i]
		}
	}
	b.placement, b.knownVersion = p, version
	return true
}
