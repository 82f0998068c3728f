// Package balancer leads the map changes of a lock-step group while this sidecar
// is the one to do so: it reads all ranks, estimates demand, plans, and lets the
// commander make the change. Two sidecars may lead at once without harm.
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

// Times of leading.
const (
	// period is the pause between two rounds: some four passes.
	period = 250 * time.Millisecond
	// samplePause is the pause between two samples of a large group; demand there
	// changes every two seconds.
	samplePause = 100 * time.Millisecond
	// settlePause is the pause after a reading during which demand changed: some
	// two passes, whose counts are of the new demand only.
	settlePause = 150 * time.Millisecond
	// wholePeriod is how often a large group is read whole although nothing pays, to
	// see its slow ranks and to be heard by all.
	wholePeriod = 1200 * time.Millisecond
	// silence is how long the lower ranks may be silent before this one leads; it
	// is two rounds.
	silence = 550 * time.Millisecond
	// silenceStep is added for each lower rank, so that one takes over at a time.
	silenceStep = 60 * time.Millisecond
	// stuckAfter is how long a pass may be held by another leader. A change holds
	// it for some 20 ms.
	stuckAfter = 200 * time.Millisecond
	// stuckPoll is the pause between two looks at a held pass.
	stuckPoll = 50 * time.Millisecond
	// horizon is how long a demand is expected to last.
	horizon = 3 * time.Second
	// copySlowdown is how much longer passes take while experts are copied.
	copySlowdown = 0.15
	// minLoss is the least lowering of the highest load that is worth a change. Less
	// is a few per cent of a pass, while each change copies and gives orders to all
	// ranks; only a change of demand brings more.
	minLoss = 0.2
)

// Balancer leads one group. Run is for one goroutine.
type Balancer struct {
	transport commander.Transport
	commander *commander.Commander
	own       netip.AddrPort
	// engines returns the engines of the service, engine their shape.
	engines func() []netip.AddrPort
	engine  func() *holder.Engine
	// lower is when a lower rank last read this one, in Unix nanoseconds.
	lower atomic.Int64
	// rank is the own rank, -1 while it is not known.
	rank atomic.Int64
	// placement is the one in force as far as this leader knows, of knownVersion.
	placement    shifter.Placement
	knownVersion uint64
	demand       *sampler.Demand
	shape        [2]int
	// whole is the latest reading of all ranks, made at wholeAt, and lastStep the
	// latest pass seen in a sample.
	whole    commander.Group
	wholeAt  time.Time
	lastStep uint64
	// heldSince and heldStep tell for how long a pass has been held.
	heldSince time.Time
	heldStep  uint64
	leading   bool
}

// New returns a Balancer of the sidecar beside the engine at own.
func New(t commander.Transport, own netip.AddrPort, engines func() []netip.AddrPort, engine func() *holder.Engine) *Balancer {
	b := &Balancer{transport: t, commander: commander.New(t, rand.Uint64), own: own, engines: engines, engine: engine}
	b.rank.Store(-1)
	b.lower.Store(time.Now().UnixNano())
	return b
}

// NoteReading says that a leader has read this sidecar's engine.
func (b *Balancer) NoteReading(leaderRank int, now time.Time) {
	if int64(leaderRank) < b.rank.Load() {
		b.lower.Store(now.UnixNano())
	}
}

// Run leads whenever no lower rank does, until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := b.round(ctx)
		sleeper.Sleep(ctx, pause)
	}
}

// shouldLead reports whether no lower rank has been heard of for long enough.
func (b *Balancer) shouldLead(rank, size int, now time.Time) bool {
	quiet := now.Sub(time.Unix(0, b.lower.Load()))
	lead := rank == 0 || quiet > patience(rank, size)
	if lead != b.leading {
		log.Info("leadership changed", "event", "leader", "leads", lead, "rank", rank, "quiet", quiet)
		b.leading = lead
		b.demand = nil
	}
	return lead
}

// patience is how long the lower ranks must be silent before a rank leads. One that
// is not sampled hears of its leader only when all are read.
func patience(rank, size int) time.Duration {
	p := silence + time.Duration(rank)*silenceStep
	if !sampler.IsSource(rank, size) {
		p += wholePeriod
	}
	return p
}

// round reads the group and changes its map if that pays. It returns the pause
// until the next round.
func (b *Balancer) round(ctx context.Context) time.Duration {
	own, err := b.transport.Read(ctx, b.own, commander.Query{KnownVersion: b.knownVersion})
	if err != nil {
		log.Info("own engine not read", "event", "engine_lost", "error", err)
		return period
	}
	b.rank.Store(int64(own.Rank))
	engine := b.engine()
	if own.Broken || engine == nil || engine.Layers == 0 || !b.shouldLead(own.Rank, own.Size, time.Now()) {
		return period
	}
	var g commander.Group
	if !sampler.IsWhole(own.Size) {
		switch seen := b.sample(ctx, own, engine).(type) {
		case balanced:
			return seen.pause
		case skewed:
			g = seen.Group
		case unclear:
		}
	}
	if g == nil {
		var ok bool
		if g, ok = b.read(ctx, own); !ok {
			return period
		}
	}
	if g.Held() != nil {
		return b.handleHeld(ctx, g, own, engine)
	}
	b.heldSince = time.Time{}
	if g.Armed() != nil {
		// A change comes into force at the next pass.
		return stuckPoll
	}
	if sampler.IsWhole(own.Size) && !b.observe(g, engine) || !b.learnPlacement(g, engine) {
		return period
	}
	if b.demand == nil || b.demand.Get() == nil {
		return period
	}
	if b.demand.IsMixed() {
		return settlePause
	}
	b.balance(ctx, g, own, engine)
	return period
}

// sampled says what a reading of a part of a large group calls for.
type sampled interface{ sampled() }

// balanced groups, and those whose demand is not clear yet, are read again after a pause.
type balanced struct{ pause time.Duration }

// skewed groups may be worth a change. The ranks that were not read are as they were
// in the latest reading of all: only their addresses are used, and what the first
// rank says now decides between leaders.
type skewed struct{ commander.Group }

// unclear readings call for one of all ranks.
type unclear struct{}

func (balanced) sampled() {}

func (skewed) sampled() {}

func (unclear) sampled() {}

// sample reads a part of a large group.
func (b *Balancer) sample(ctx context.Context, own *commander.Status, engine *holder.Engine) sampled {
	if len(b.whole) != own.Size || b.whole.Epoch() != own.Epoch || b.placement == nil || time.Since(b.wholeAt) > wholePeriod {
		return unclear{}
	}
	g := make(commander.Group, len(b.whole))
	for rank, s := range b.whole {
		// All ranks change maps at one pass, so those that are not read now have the map
		// of those that are.
		// What they held or were armed with then is no news now.
		unread := *s
		unread.Version, unread.Held, unread.Armed = b.knownVersion, nil, nil
		g[rank] = &unread
	}
	q := commander.Query{LeaderRank: own.Rank, WithCounts: true, KnownVersion: b.knownVersion}
	seen := b.commander.ReadAll(ctx, b.sources(), q)
	for _, s := range seen {
		if s == nil || s.Epoch != own.Epoch || s.Broken || s.Held != nil || s.Armed != nil || s.Version != b.knownVersion {
			return unclear{}
		}
		g[s.Rank] = s
	}
	step := g.Step()
	stands := step == b.lastStep && own.Running > 0
	b.lastStep = step
	switch {
	case stands:
		// Somebody may hold a pass.
		return unclear{}
	case !b.observe(seen, engine):
		return balanced{pause: samplePause}
	case b.demand.IsMixed():
		return balanced{pause: settlePause}
	case !b.isSkewed(engine):
		return balanced{pause: samplePause}
	}
	return skewed{Group: g}
}

// read reads all ranks of the own group.
func (b *Balancer) read(ctx context.Context, own *commander.Status) (commander.Group, bool) {
	q := commander.Query{LeaderRank: own.Rank, WithCounts: sampler.IsWhole(own.Size), KnownVersion: b.knownVersion}
	var mine []*commander.Status
	start := time.Now()
	for _, s := range b.commander.ReadAll(ctx, b.engines(), q) {
		if s != nil && s.Group == own.Group {
			mine = append(mine, s)
		}
	}
	readSeconds.Update(time.Since(start).Seconds())
	g, err := commander.NewGroup(mine)
	if err != nil {
		partialReads.Inc()
		log.Info("group not read whole", "event", "group_partial", "group", own.Group, "read", len(mine), "size", own.Size, "error", err)
		return nil, false
	}
	b.whole, b.wholeAt = g, time.Now()
	return g, true
}

// sources are the engines whose counts are read in the rounds of a large group.
func (b *Balancer) sources() []netip.AddrPort {
	var out []netip.AddrPort
	for rank, s := range b.whole {
		if sampler.IsSource(rank, len(b.whole)) {
			out = append(out, s.Addr)
		}
	}
	return out
}

// bounds are those of the next plan.
func (b *Balancer) bounds(engine *holder.Engine) shifter.Bounds {
	slowness := make([]float64, 0, len(b.whole))
	for _, s := range b.whole {
		slowness = append(slowness, s.Slowness)
	}
	return shifter.Bounds{Places: engine.SlotsPerRank, Spare: engine.Spare, Slowness: slowness}
}

// isSkewed reports whether a plan might pay: none lowers the skew below 1, and
// planning for a large group is dear.
func (b *Balancer) isSkewed(engine *holder.Engine) bool {
	return shifter.Skew(b.placement, b.demand.Get(), b.bounds(engine)) >= 1+minLoss
}

// handleHeld waits for whoever holds a pass, and ends the hold if nobody does.
func (b *Balancer) handleHeld(ctx context.Context, g commander.Group, own *commander.Status, engine *holder.Engine) time.Duration {
	step := *g.Held().Held
	now := time.Now()
	if b.heldSince.IsZero() || b.heldStep != step {
		b.heldSince, b.heldStep = now, step
	}
	if now.Sub(b.heldSince) < stuckAfter {
		return stuckPoll
	}
	var present shifter.Placement
	if b.learnPlacement(g, engine) {
		present = b.placement
	}
	recoveries.Inc()
	err := b.commander.Recover(ctx, g, own.Rank, now.Sub(b.heldSince), present)
	log.Info("held pass ended", "event", "map_recovered", "pass", step, "held_for", now.Sub(b.heldSince), "error", err)
	return stuckPoll
}

// balance plans and changes.
func (b *Balancer) balance(ctx context.Context, g commander.Group, own *commander.Status, engine *holder.Engine) {
	if !b.isSkewed(engine) {
		return
	}
	start := time.Now()
	plan := shifter.Next(b.placement, b.demand.Get(), b.bounds(engine))
	planned := time.Since(start)
	copying := b.copyTime(plan, engine)
	if plan.Before-plan.After < max(minLoss, copySlowdown*copying.Seconds()/horizon.Seconds()) {
		return
	}
	version := b.commander.NewVersion(g, own.Rank, time.Now())
	err := b.commander.Change(ctx, g, own, commander.Prepare{
		Version: version, Placement: plan.Placement, BaseVersion: b.knownVersion, Base: b.placement,
	})
	if err == nil {
		b.placement, b.knownVersion = plan.Placement, version
	}
	countChange(err, time.Since(start), planned)
	log.Info("map change", "event", "map_change", "group", own.Group, "epoch", g.Epoch(), "version", version, "pass", g.Step(),
		"skew_before", plan.Before, "skew_after", plan.After, "copies", plan.Copies, "copy_time", copying, "planned_in", planned,
		"took", time.Since(start), "error", err)
}

// copyTime is how long the rank with the most copies is at them.
func (b *Balancer) copyTime(p shifter.Plan, engine *holder.Engine) time.Duration {
	if engine.LinkRate <= 0 {
		return 0
	}
	return time.Duration(float64(p.Most) * float64(engine.ExpertBytes) / engine.LinkRate * float64(time.Second))
}

// observe takes in the counts of ranks, and reports whether there is a demand
// to plan for.
func (b *Balancer) observe(seen []*commander.Status, engine *holder.Engine) bool {
	shape := [2]int{engine.Layers, engine.Experts}
	if b.demand == nil || b.shape != shape {
		b.demand, b.shape = sampler.New(engine.Layers, engine.Experts), shape
	}
	counts := make(map[string][]uint64, len(seen))
	epochs := make(map[string]uint64, len(seen))
	for _, s := range seen {
		if len(s.Counts) > 0 {
			counts[s.Addr.String()] = s.Counts
			epochs[s.Addr.String()] = uint64(s.Started.UnixMilli())
		}
	}
	return b.demand.Observe(counts, epochs) && b.demand.Get() != nil
}

// learnPlacement makes the known placement the one in force, and reports whether
// it is known.
func (b *Balancer) learnPlacement(g commander.Group, engine *holder.Engine) bool {
	version := g.First().Version
	for _, s := range g {
		if s.Version != version {
			// Some ranks were read before the pass of a change, some after.
			return false
		}
	}
	if version == b.knownVersion && b.placement != nil && len(b.placement) == engine.Layers && len(b.placement[0]) == len(g) {
		return true
	}
	if version == 0 {
		b.placement, b.knownVersion = inTurn(engine, len(g)), 0
		return true
	}
	p := make(shifter.Placement, engine.Layers)
	for i := range p {
		p[i] = make([][]int, len(g))
		for _, s := range g {
			if len(s.Experts) != engine.Layers {
				// Told again, in full, at the next reading.
				b.knownVersion, b.placement = 0, nil
				return false
			}
			p[i][s.Rank] = s.Experts[i]
		}
	}
	b.placement, b.knownVersion = p, version
	return true
}

// inTurn is the map of a group that has just begun: the experts in turn.
func inTurn(engine *holder.Engine, ranks int) shifter.Placement {
	p := make(shifter.Placement, engine.Layers)
	for i := range p {
		p[i] = make([][]int, ranks)
		for e := range engine.Experts {
			p[i][e%ranks] = append(p[i][e%ranks], e)
		}
	}
	return p
}
