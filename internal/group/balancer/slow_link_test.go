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
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/group/commander"
	"siskinfall/internal/group/messenger"
	"siskinfall/internal/group/shifter"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// The group of the users' large deployment, and the links of its instances.
const (
	manyRanks         = 129
	manyExperts       = 258
	manySets          = 16
	manyPlaces        = 3
	manySpare         = 2
	manyPassTime      = 60 * time.Millisecond
	manyTokensPerPass = 800
	// slowLinkRate is in bytes a second.
	slowLinkRate = 6e6 / 8
	// frameOverhead is the size of the headers of one packet, in bytes, and frameTime the
	// processor time of the leader for one write or read.
	frameOverhead = 66
	frameTime     = 200 * time.Microsecond
	sidecarPort   = 9000
	copyTime      = 3 * time.Millisecond
)

// slowLink is the link of one instance, which all its connections share.
type slowLink struct {
	mu sync.Mutex
	// free is when the last packet has left, bytes what was sent.
	free  time.Time
	bytes int
}

// send returns when the link has carried n bytes that reach it at a time.
func (l *slowLink) send(n int, at time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.free = at.Add(max(l.free.Sub(at), 0) + time.Duration(float64(n+frameOverhead)/slowLinkRate*float64(time.Second)) + frameTime)
	l.bytes += n + frameOverhead
	return l.free
}

// slowCaller calls other sidecars over slow links.
type slowCaller struct {
	*manySidecars
	own int
}

// Call implements messenger.Caller.
func (c *slowCaller) Call(ctx context.Context, addr netip.AddrPort, open *encoder.Open, m connector.Message) error {
	to := int(addr.Addr().As4()[3])
	if err := c.carry(ctx, c.own, to, open); err != nil {
		return err
	}
	if c.isSilent(to) {
		<-ctx.Done()
		return os.ErrDeadlineExceeded
	}
	answer, err := c.messengers[to].Answer(ctx, open)
	if err != nil {
		return err
	}
	if err := c.carry(ctx, to, c.own, answer); err != nil {
		return err
	}
	proto.Reset(m)
	proto.Merge(m, answer)
	return nil
}

// carry waits until a message has passed both links. The links carry it in any case.
func (c *slowCaller) carry(ctx context.Context, from, to int, m proto.Message) error {
	n := proto.Size(m)
	arrival := c.links[to].send(n, c.links[from].send(n, time.Now()))
	timer := time.NewTimer(time.Until(arrival))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return os.ErrDeadlineExceeded
	}
}

// Drop implements messenger.Caller.
func (*slowCaller) Drop(netip.AddrPort) {}

// manyEngines are the engines of one group.
type manyEngines struct {
	mu     sync.Mutex
	ranks  []*manyRank
	demand [][]float64
	// total is how often each expert was chosen at each rank, with fractions.
	total []float64
	// direct counts orders from other instances; changes and violations count passes.
	direct, changes, violations int
	// skews holds the skew of each pass.
	skews []float64
}

type manyRank struct {
	commander.Status
	placement shifter.Placement
	prepared  shifter.Placement
	highest   uint64
	counts    []uint64
}

func newManyEngines() *manyEngines {
	g := &manyEngines{total: make([]float64, manySets*manyExperts)}
	for rank := range manyRanks {
		g.ranks = append(g.ranks, &manyRank{
			Status: commander.Status{Addr: manyAddr(rank), Started: time.Now(), Group: "g", Epoch: 1, Rank: rank, Size: manyRanks, Slowness: 1, Running: 6},
			counts: make([]uint64, manySets*manyExperts),
		})
	}
	return g
}

func manyAddr(rank int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 5, byte(rank)}), 80)
}

// setDemand moves the demand to other experts.
func (g *manyEngines) setDemand(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	demand := make([][]float64, manySets)
	for s := range demand {
		demand[s] = make([]float64, manyExperts)
		total := 0.0
		for i, e := range rng.Perm(manyExperts) {
			demand[s][e] = math.Pow(float64(i+1), -0.45)
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

// run begins passes until ctx ends.
func (g *manyEngines) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(manyPassTime)
		g.pass()
	}
}

func (g *manyEngines) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	step := g.ranks[0].Step + 1
	for _, r := range g.ranks {
		if r.Held != nil && *r.Held == step {
			return
		}
	}
	before := g.ranks[0].Version
	for s := range g.demand {
		for e, share := range g.demand[s] {
			g.total[s*manyExperts+e] += share * manyTokensPerPass
		}
	}
	counts := g.chosen()
	for _, r := range g.ranks {
		r.Step = step
		if r.Armed != nil && r.Armed.Step <= step {
			r.Version, r.placement, r.Armed, r.Prepared = r.Armed.Version, r.prepared, nil, nil
		}
		if r.Version != g.ranks[0].Version {
			g.violations++
		}
		copy(r.counts, counts)
	}
	if g.ranks[0].Version != before {
		g.changes++
	}
	placement := g.ranks[0].placement
	if placement == nil {
		placement = shifter.Initial(manySets, manyExperts, manyRanks)
	}
	g.skews = append(g.skews, shifter.Skew(placement, g.demand, shifter.Bounds{}))
}

// chosen returns how often each expert was chosen at each rank.
func (g *manyEngines) chosen() []uint64 {
	counts := make([]uint64, len(g.total))
	for i, n := range g.total {
		counts[i] = uint64(n)
	}
	return counts
}

var manyEngineConfig = &holder.Engine{
	LayerSets: manySets, Experts: manyExperts, SlotsPerRank: manyPlaces, MaxNewExperts: manySpare, ExpertBytes: 54e6, LinkRate: 180e9 / 8,
}

// manyEngine is the client of one rank, beside it or from another instance, which then has
// the link.
type manyEngine struct {
	*manyEngines
	rank int
	link *slowLink
}

// Sizes of calls to engines from other instances, in bytes: an order holds the whole map as
// JSON.
const (
	mapOrderSize = manySets * manyRanks * 12
	callSize     = 400
)

func (e *manyEngine) Read(_ context.Context, q commander.Query, own bool) (*commander.Status, error) {
	time.Sleep(time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.ranks[e.rank]
	s := r.Status
	if !own {
		return &s, nil
	}
	if q.WithCounts {
		s.Counts = slices.Clone(r.counts)
	}
	if r.Prepared != nil {
		s.PreparedDigest = commander.Digest(r.prepared, e.rank)
	}
	if r.Version != q.KnownVersion && r.placement != nil {
		for _, ranks := range r.placement {
			s.Experts = append(s.Experts, ranks[e.rank])
		}
	}
	return &s, nil
}

func (e *manyEngine) Send(_ context.Context, d commander.Directive) error {
	if e.link != nil {
		size := callSize
		if _, ok := d.Order.(commander.Prepare); ok {
			size = mapOrderSize
		}
		time.Sleep(time.Until(e.link.send(size, time.Now())))
	}
	time.Sleep(time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.ranks[e.rank]
	if e.link != nil {
		e.direct++
	}
	if d.Epoch != r.Epoch || d.Sequence != nil && *d.Sequence != r.Sequence {
		return commander.ErrConflict
	}
	switch o := d.Order.(type) {
	case commander.Prepare:
		if o.Version <= r.highest || r.Armed != nil {
			return commander.ErrConflict
		}
		r.highest, r.Busy, r.Sequence = o.Version, true, r.Sequence+1
		time.AfterFunc(manySets*manySpare*copyTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if r.highest == o.Version {
				v := o.Version
				r.Busy, r.Prepared, r.prepared = false, &v, o.Placement
			}
		})
	case commander.Arm:
		if r.Armed != nil && *r.Armed == o.Armed {
			return nil
		}
		if r.Prepared == nil || *r.Prepared != o.Version || o.Step <= r.Step || r.Armed != nil {
			return commander.ErrConflict
		}
		a := o.Armed
		r.Armed = &a
	case commander.Hold:
		if o.Step <= r.Step || r.Held != nil {
			return commander.ErrConflict
		}
		v := o.Step
		r.Held = &v
	case commander.Release:
		if r.Held != nil && *r.Held == o.Step {
			r.Held = nil
		}
	default:
		return fmt.Errorf("unexpected order: %w", commander.ErrConflict)
	}
	return nil
}

// manySidecars are the sidecars of a group; the one of rank 0 leads.
type manySidecars struct {
	*manyEngines
	messengers []*messenger.Messenger
	links      []*slowLink
	mu         sync.Mutex
	// silent ranks are those whose sidecars do not answer.
	silent map[int]bool
}

func startManySidecars(ctx context.Context, wg *sync.WaitGroup) *manySidecars {
	s := &manySidecars{manyEngines: newManyEngines(), silent: make(map[int]bool)}
	s.setDemand(1)
	engines := make([]netip.AddrPort, 0, manyRanks)
	for rank := range manyRanks {
		engines = append(engines, manyAddr(rank))
		s.links = append(s.links, &slowLink{})
		s.messengers = append(s.messengers, messenger.New(manyAddr(rank), sidecarPort, &slowCaller{manySidecars: s, own: rank}, func(addr netip.AddrPort) messenger.Engine {
			to := int(addr.Addr().As4()[3])
			if to == rank {
				return &manyEngine{manyEngines: s.manyEngines, rank: to}
			}
			return &manyEngine{manyEngines: s.manyEngines, rank: to, link: s.links[rank]}
		}))
	}
	leader := New(s.messengers[0], manyAddr(0), func() []netip.AddrPort { return engines }, func() *holder.Engine { return manyEngineConfig })
	wg.Go(func() { s.run(ctx) })
	wg.Go(func() { leader.Run(ctx) })
	return s
}

func (s *manySidecars) setSilent(rank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[rank] = true
}

func (s *manySidecars) isSilent(rank int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[rank]
}

// meanSkew returns the mean skew of the passes from one on.
func (g *manyEngines) meanSkew(from int) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := 0.0
	for _, v := range g.skews[from:] {
		sum += v
	}
	return sum / float64(len(g.skews)-from)
}

func (g *manyEngines) passes() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.skews)
}

// maxFollowDelay is the time within which the map of a group follows a change of demand, and
// maxFollowedSkew the mean skew from then on.
const (
	maxFollowDelay  = 2 * time.Second
	maxFollowedSkew = 1.3
)

// followDemand changes demand a number of times and checks that the map follows.
func (s *manySidecars) followDemand(c *qt.C, demands int) {
	mean, details := 0.0, ""
	for seed := range uint64(demands) {
		s.setDemand(seed + 1)
		time.Sleep(maxFollowDelay)
		from := s.passes()
		time.Sleep(maxFollowDelay)
		skew := s.meanSkew(from)
		mean += skew / float64(demands)
		details += fmt.Sprintf("demand %d: skew %f\n", seed, skew)
	}
	c.Check(mean < maxFollowedSkew, qt.IsTrue, qt.Commentf("%s", details))
}

// TestMapOfManyRanksFollowsDemand guards against a group of hundreds of ranks whose map never
// changes, because the messages of a change do not pass the leader's link in time.
func TestMapOfManyRanksFollowsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		s := startManySidecars(ctx, &wg)
		s.followDemand(c, 4)
		cancel()
		wg.Wait()
		c.Check(s.direct, qt.Equals, 0)
		c.Check(s.violations, qt.Equals, 0)
		t.Logf("%d changes, %d passes, %d bytes on the leader's link", s.changes, s.passes(), s.links[0].bytes)
	})
}

// TestMapOfManyRanksFollowsDemandBesideSilentSidecar guards against a map that waits for one
// sidecar that does not answer, whose engine does.
func TestMapOfManyRanksFollowsDemandBesideSilentSidecar(t *testing.T) {
	for name, rank := range map[string]int{"read in each round": 6, "passes maps on": 7, "neither": 100} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				s := startManySidecars(ctx, &wg)
				s.setSilent(rank)
				s.followDemand(c, 2)
				cancel()
				wg.Wait()
				c.Check(s.violations, qt.Equals, 0)
			})
		})
	}
}
