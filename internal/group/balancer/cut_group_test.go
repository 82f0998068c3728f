package balancer

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/group/commander"
	"siskinfall/internal/group/messenger"
	"siskinfall/internal/group/shifter"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// A group whose ranks are in zones by turns, and its costs.
const (
	cutSets   = 6
	cutPlaces = 5
	cutSpare  = 2
	cutZones  = 3
	callTime  = 3 * time.Millisecond
	// serveTime is the time of a quarter of a core for an answer: two calls of the engine.
	// askTime is that for a question.
	serveTime  = 4 * time.Millisecond
	askTime    = time.Millisecond
	stallTime  = 1500 * time.Millisecond
	formTime   = 600 * time.Millisecond
	cutPass    = 45 * time.Millisecond
	passTokens = 1500
	// idleTime is how long after an opening no request comes: the gateways have to see it first.
	idleTime = time.Second
	// targetSkew is the one below which a group has followed.
	targetSkew = 1.3
)

// cutGroup is a model group and its sidecars. It breaks while a zone is cut off, and opens in
// another epoch with its initial map.
type cutGroup struct {
	mu     sync.Mutex
	config *holder.Engine
	ranks  []*cutRank
	demand [][]float64
	// cutZone is the zone that is cut off, -1 for none; dead sidecars do not answer.
	cutZone int
	dead    map[int]bool
	// unlistedZone is the zone of which every other rank is not listed until the group has
	// been open for idleTime, -1 for none.
	unlistedZone int
	broken       bool
	epoch        uint64
	step         uint64
	// openedAt is when the latest epoch began, followedAt when its skew first was below
	// targetSkew.
	openedAt, followedAt time.Time
	// versions holds those that the first rank was told to prepare in this epoch.
	versions   []uint64
	violations int
	messengers []*messenger.Messenger
	// free is when the core of each sidecar is free.
	free      []time.Time
	balancers []*Balancer
	cancels   []context.CancelFunc
}

type cutRank struct {
	version, highest uint64
	placement        shifter.Placement
	prepared         *uint64
	next             shifter.Placement
	busy             bool
	armed            *commander.Armed
	held             *uint64
	counts           []float64
}

func cutAddr(rank int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 6, byte(rank)}), 80)
}

func rankOf(addr netip.AddrPort) int { return int(addr.Addr().As4()[3]) }

func newCutGroup(ranks, experts int) *cutGroup {
	g := &cutGroup{cutZone: -1, unlistedZone: -1, dead: make(map[int]bool), config: &holder.Engine{
		LayerSets: cutSets, Experts: experts, SlotsPerRank: cutPlaces, MaxNewExperts: cutSpare, ExpertBytes: 54e6, LinkRate: 180e7,
	}}
	for range ranks {
		g.ranks = append(g.ranks, &cutRank{counts: make([]float64, cutSets*experts)})
	}
	g.messengers, g.balancers = make([]*messenger.Messenger, ranks), make([]*Balancer, ranks)
	g.free = make([]time.Time, ranks)
	g.cancels = make([]context.CancelFunc, ranks)
	g.open()
	return g
}

// open begins an epoch.
func (g *cutGroup) open() {
	g.epoch++
	g.broken, g.openedAt, g.followedAt, g.versions = false, time.Now(), time.Time{}, nil
	for i, r := range g.ranks {
		g.ranks[i] = &cutRank{highest: r.highest, counts: r.counts, placement: shifter.Initial(cutSets, g.config.Experts, len(g.ranks))}
	}
}

func (g *cutGroup) setDemand(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	demand := make([][]float64, cutSets)
	for s := range demand {
		demand[s] = make([]float64, g.config.Experts)
		total := 0.0
		for i, e := range rng.Perm(g.config.Experts) {
			demand[s][e] = math.Pow(float64(i+1), -0.6)
			total += demand[s][e]
		}
		for e := range demand[s] {
			demand[s][e] /= total
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.demand = demand
}

// run begins passes, which last as long as the most loaded rank, until ctx ends.
func (g *cutGroup) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(g.pass())
	}
}

func (g *cutGroup) pass() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.broken || g.cutZone >= 0 || g.isIdle() {
		return time.Millisecond
	}
	for _, r := range g.ranks {
		if r.held != nil && *r.held == g.step+1 {
			return time.Millisecond
		}
	}
	g.step++
	for i, r := range g.ranks {
		if r.armed != nil && r.armed.Step <= g.step {
			r.version, r.placement, r.armed, r.prepared = r.armed.Version, r.next, nil, nil
		}
		if r.version != g.ranks[0].version {
			g.violations++
		}
		for s := range g.demand {
			for e, share := range g.demand[s] {
				r.counts[s*g.config.Experts+e] += share * passTokens * (1 + 0.1*math.Sin(float64(i+e)))
			}
		}
	}
	skew := shifter.Skew(g.ranks[0].placement, g.demand, shifter.Bounds{})
	if skew < targetSkew && g.followedAt.IsZero() {
		g.followedAt = time.Now()
	}
	return time.Duration(float64(cutPass) * skew)
}

// isIdle reports whether no request has come since the opening.
func (g *cutGroup) isIdle() bool { return time.Since(g.openedAt) < idleTime }

// cut cuts a zone off for a time and waits for the group to open again.
func (g *cutGroup) cut(zone int, d time.Duration) {
	g.mu.Lock()
	g.cutZone = zone
	g.mu.Unlock()
	stall := min(d, stallTime)
	time.Sleep(stall)
	g.mu.Lock()
	g.broken = true
	g.mu.Unlock()
	time.Sleep(d - stall)
	g.mu.Lock()
	g.cutZone = -1
	g.mu.Unlock()
	time.Sleep(formTime)
	g.mu.Lock()
	g.open()
	g.mu.Unlock()
}

// areParted reports whether two instances can't reach each other.
func (g *cutGroup) areParted(a, b int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return (a%cutZones == g.cutZone) != (b%cutZones == g.cutZone)
}

// cutEngine is the client of one rank's engine on the instance of another rank.
type cutEngine struct {
	*cutGroup
	rank, from int
}

func (e *cutEngine) reach(ctx context.Context) error {
	if e.areParted(e.rank, e.from) {
		<-ctx.Done()
		return os.ErrDeadlineExceeded
	}
	time.Sleep(time.Millisecond)
	return nil
}

func (e *cutEngine) Read(ctx context.Context, q commander.Query, own bool) (*commander.Status, error) {
	if err := e.reach(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.ranks[e.rank]
	s := &commander.Status{
		Addr: cutAddr(e.rank), Started: time.Unix(0, 0), Group: "g", Epoch: e.epoch, Rank: e.rank, Size: len(e.ranks), Broken: e.broken, Step: e.step,
		Version: r.version, Busy: r.busy, Prepared: r.prepared, Armed: r.armed, Held: r.held, Running: 6, Slowness: 1, Lagged: !own,
	}
	if e.isIdle() {
		s.Running = 0
	}
	if !own {
		return s, nil
	}
	if q.WithCounts {
		for _, n := range r.counts {
			s.Counts = append(s.Counts, uint64(n))
		}
	}
	if r.prepared != nil {
		s.PreparedDigest = commander.Digest(r.next, e.rank)
	}
	if r.version != q.KnownVersion {
		for _, ranks := range r.placement {
			s.Experts = append(s.Experts, ranks[e.rank])
		}
	}
	return s, nil
}

func (e *cutEngine) Send(ctx context.Context, d commander.Directive) error {
	if err := e.reach(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.ranks[e.rank]
	if d.Epoch != e.epoch || e.broken {
		return commander.ErrConflict
	}
	switch o := d.Order.(type) {
	case commander.Prepare:
		if o.Version <= r.highest || r.armed != nil {
			return commander.ErrConflict
		}
		r.highest, r.busy = o.Version, true
		if e.rank == 0 {
			e.versions = append(e.versions, o.Version)
		}
		time.AfterFunc(e.copyTime(r.placement, o.Placement, e.rank), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if r.highest == o.Version {
				r.busy, r.prepared, r.next = false, &o.Version, o.Placement
			}
		})
	case commander.Arm:
		if r.armed != nil && *r.armed == o.Armed {
			return nil
		}
		if r.prepared == nil || *r.prepared != o.Version || o.Step <= e.step || r.armed != nil {
			return commander.ErrConflict
		}
		r.armed = &o.Armed
	case commander.Hold:
		if o.Step <= e.step || r.held != nil {
			return commander.ErrConflict
		}
		r.held = &o.Step
	case commander.Release:
		if r.held != nil && *r.held == o.Step {
			r.held = nil
		}
	default:
		return fmt.Errorf("unexpected order: %w", commander.ErrConflict)
	}
	return nil
}

// copyTime is how long one rank copies the experts that are new to it.
func (g *cutGroup) copyTime(from, to shifter.Placement, rank int) time.Duration {
	n := 0
	for s := range to {
		for _, expert := range to[s][rank] {
			if !slices.Contains(from[s][rank], expert) {
				n++
			}
		}
	}
	return g.expertTime() * time.Duration(n)
}

// expertTime is how long one expert is copied.
func (g *cutGroup) expertTime() time.Duration {
	return time.Duration(float64(g.config.ExpertBytes) / g.config.LinkRate * float64(time.Second))
}

// cutCaller calls the sidecars from that of one rank.
type cutCaller struct {
	*cutGroup
	own int
}

// Call implements messenger.Caller.
func (c *cutCaller) Call(ctx context.Context, addr netip.AddrPort, open *encoder.Open, m connector.Message) error {
	to := rankOf(addr)
	c.mu.Lock()
	dead, sidecar, b := c.dead[to], c.messengers[to], c.balancers[to]
	c.mu.Unlock()
	if dead || c.areParted(c.own, to) {
		<-ctx.Done()
		return os.ErrDeadlineExceeded
	}
	if err := c.work(ctx, c.own, askTime); err != nil {
		return err
	}
	time.Sleep(callTime)
	if err := c.work(ctx, to, serveTime); err != nil {
		return err
	}
	if q := open.GetEngineQuery(); q != nil {
		b.RecordLeaderRead(int(q.GetLeaderRank()), q.GetGroup(), time.Now())
	}
	answer, err := sidecar.Answer(ctx, open)
	if err != nil {
		return err
	}
	proto.Reset(m)
	proto.Merge(m, answer)
	return nil
}

// work waits for the core of a sidecar, which does what was begun in any case.
func (g *cutGroup) work(ctx context.Context, rank int, d time.Duration) error {
	g.mu.Lock()
	now := time.Now()
	g.free[rank] = now.Add(max(g.free[rank].Sub(now), 0) + d)
	done := time.NewTimer(g.free[rank].Sub(now))
	g.mu.Unlock()
	defer done.Stop()
	select {
	case <-done.C:
		return nil
	case <-ctx.Done():
		return os.ErrDeadlineExceeded
	}
}

// Drop implements messenger.Caller.
func (*cutCaller) Drop(netip.AddrPort) {}

// start starts the sidecars.
func (g *cutGroup) start(ctx context.Context, wg *sync.WaitGroup) {
	for rank := range g.ranks {
		g.startSidecar(ctx, wg, rank)
	}
	wg.Go(func() { g.run(ctx) })
}

func (g *cutGroup) startSidecar(ctx context.Context, wg *sync.WaitGroup, rank int) {
	m := messenger.New(cutAddr(rank), sidecarPort, &cutCaller{cutGroup: g, own: rank}, func(addr netip.AddrPort) messenger.Engine {
		return &cutEngine{cutGroup: g, rank: rankOf(addr), from: rank}
	})
	b := New(m, cutAddr(rank), g.listed, func() *holder.Engine { return g.config }, WithMemory(m))
	ctx, cancel := context.WithCancel(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.messengers[rank], g.balancers[rank], g.cancels[rank] = m, b, cancel
	wg.Go(func() { b.Run(ctx) })
}

// listed returns the engines that the gateways list.
func (g *cutGroup) listed() []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	engines := make([]netip.AddrPort, 0, len(g.ranks))
	hidden := g.broken || g.cutZone >= 0 || g.isIdle()
	for r := range g.ranks {
		if !hidden || r%cutZones != g.unlistedZone || r/cutZones%2 == 0 {
			engines = append(engines, cutAddr(r))
		}
	}
	return engines
}

// followTime returns how long after the opening the skew was below targetSkew, and how many
// maps were prepared until now.
func (g *cutGroup) followTime() (time.Duration, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.followedAt.IsZero() {
		return time.Hour, len(g.versions)
	}
	return g.followedAt.Sub(g.openedAt), len(g.versions)
}

// changeTime bounds one change: the copies that a rank may be told to make, two looks at the
// ranks that copy, and the passes until the map is in force, at the skew of the initial map.
func (g *cutGroup) changeTime(skew float64) time.Duration {
	const looks, passes = 2, 3
	return cutSets*cutSpare*g.expertTime() + looks*60*time.Millisecond + time.Duration(passes*skew*float64(cutPass))
}
