package balancer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/group/commander"
	"siskinfall/internal/group/sampler"
	"siskinfall/internal/group/shifter"
)

// group is a large lock-step group as its engines tell of it. It makes a pass at each
// reading of its first rank and takes every order.
type group struct {
	mu     sync.Mutex
	ranks  []*commander.Status
	counts [][]uint64
	hot    int
	// read lists the ranks in the order of the readings.
	read []int
	// prepared counts the orders to prepare.
	prepared int
	next     shifter.Placement
}

const (
	testRanks   = 63
	testExperts = 252
	hotCount    = 4000
)

func addr(rank int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 4, byte(rank)}), 80)
}

func newGroup() *group {
	g := &group{}
	for rank := range testRanks {
		g.ranks = append(g.ranks, &commander.Status{Addr: addr(rank), Group: "g", Epoch: 1, Rank: rank, Size: testRanks, Slowness: 1, Running: 4})
		g.counts = append(g.counts, make([]uint64, testExperts))
	}
	return g
}

func (g *group) Read(_ context.Context, engine netip.AddrPort, q commander.Query) (*commander.Status, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.ranks, func(s *commander.Status) bool { return s.Addr == engine })
	if i < 0 {
		return nil, errors.New("no such engine")
	}
	if i == 0 {
		g.pass()
	}
	g.read = append(g.read, i)
	s := *g.ranks[i]
	if q.WithCounts {
		s.Counts = slices.Clone(g.counts[i])
	}
	return &s, nil
}

// pass begins a pass: requests choose experts, and what is armed comes into force.
func (g *group) pass() {
	for i, s := range g.ranks {
		s.Step++
		if s.Armed != nil && s.Armed.Step <= s.Step {
			s.Version, s.Armed, s.Prepared = s.Armed.Version, nil, nil
		}
		for e := range g.counts[i] {
			g.counts[i][e] += 10
		}
		g.counts[i][g.hot] += hotCount
	}
}

func (g *group) Send(_ context.Context, engine netip.AddrPort, d commander.Directive) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.ranks, func(s *commander.Status) bool { return s.Addr == engine })
	s := g.ranks[i]
	switch o := d.Order.(type) {
	case commander.Prepare:
		v := o.Version
		s.Prepared, g.next = &v, o.Placement
		s.PreparedDigest = commander.Digest(o.Placement, i)
		s.Sequence++
		g.prepared++
	case commander.Arm:
		a := o.Armed
		s.Armed = &a
	case commander.Hold:
		v := o.Step
		s.Held = &v
	case commander.Release:
		s.Held = nil
	case commander.Disarm:
		return fmt.Errorf("not used: %w", commander.ErrConflict)
	}
	return nil
}

func (g *group) reads() []int {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.read
	g.read = nil
	return out
}

func newBalancer(g *group) *Balancer {
	engines := make([]netip.AddrPort, 0, testRanks)
	for rank := range testRanks {
		engines = append(engines, addr(rank))
	}
	shape := &holder.Engine{Layers: 1, Experts: testExperts, SlotsPerRank: 5, Spare: 5, ExpertBytes: 1, LinkRate: 1e9}
	return New(g, addr(0), func() []netip.AddrPort { return engines }, func() *holder.Engine { return shape })
}

// TestHotExpertOfALargeGroupIsSpread leads a group of which one expert is in demand.
func TestHotExpertOfALargeGroupIsSpread(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	b := newBalancer(g)
	for range 6 {
		b.round(c.Context())
	}
	c.Assert(g.prepared, qt.Equals, testRanks)
	holders := 0
	for _, list := range g.next[0] {
		if slices.Contains(list, g.hot) {
			holders++
		}
	}
	c.Assert(holders > testRanks/2, qt.IsTrue, qt.Commentf("%d holders", holders))
	// In force, and known to be, after one more pass.
	b.round(c.Context())
	c.Assert(b.knownVersion, qt.Equals, g.ranks[0].Version)
}

// TestRoundsOfALargeGroupReadAPartOfIt counts the ranks of a round in which nothing
// changes.
func TestRoundsOfALargeGroupReadAPartOfIt(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	b := newBalancer(g)
	for range 8 {
		b.round(c.Context())
	}
	g.reads()
	b.round(c.Context())
	read := g.reads()
	c.Assert(len(read) < testRanks/2, qt.IsTrue, qt.Commentf("%v", read))
	for rank := range 3 {
		c.Assert(slices.Contains(read, rank), qt.IsTrue)
	}
}

// TestWhatUnreadRanksHeldIsForgotten has an unsampled rank hold a pass while all are
// read; it was released since.
func TestWhatUnreadRanksHeldIsForgotten(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	b := newBalancer(g)
	unread := slices.IndexFunc(g.ranks, func(s *commander.Status) bool { return !sampler.IsSource(s.Rank, testRanks) })
	for range 8 {
		b.round(c.Context())
	}
	step := uint64(9)
	b.whole[unread].Held = &step
	g.mu.Lock()
	g.hot = 7
	g.mu.Unlock()
	for range 4 {
		b.round(c.Context())
	}
	c.Assert(b.heldSince.IsZero(), qt.IsTrue)
	c.Assert(g.prepared > testRanks, qt.IsTrue)
}

// TestUnsampledRanksWaitForAReadingOfAll compares when ranks take over.
func TestUnsampledRanksWaitForAReadingOfAll(t *testing.T) {
	c := qt.New(t)
	c.Assert(patience(1, testRanks) < time.Second, qt.IsTrue)
	c.Assert(patience(4, testRanks) > wholePeriod+silence, qt.IsTrue)
	c.Assert(patience(4, 12), qt.Equals, silence+4*silenceStep)
}
