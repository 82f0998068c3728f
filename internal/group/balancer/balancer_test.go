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

// fakeGroup is the state of a large model group. It makes a pass at each read of its
// first rank and accepts every order but Disarm.
type fakeGroup struct {
	mu        sync.Mutex
	ranks     []*commander.Status
	counts    [][]uint64
	hotExpert int
	// readRanks lists the ranks in the order in which they were read.
	readRanks []int
	// prepares counts the orders to prepare a map.
	prepares      int
	nextPlacement shifter.Placement
}

const (
	testRanks      = 63
	testExperts    = 252
	hotExpertCount = 4000
)

func rankAddr(rank int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 4, byte(rank)}), 80)
}

func newFakeGroup() *fakeGroup {
	g := &fakeGroup{}
	for rank := range testRanks {
		g.ranks = append(g.ranks, &commander.Status{Addr: rankAddr(rank), Group: "g", Epoch: 1, Rank: rank, Size: testRanks, Slowness: 1, Running: 4})
		g.counts = append(g.counts, make([]uint64, testExperts))
	}
	return g
}

func (g *fakeGroup) Read(_ context.Context, engine netip.AddrPort, q commander.Query) (*commander.Status, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.ranks, func(s *commander.Status) bool { return s.Addr == engine })
	if i < 0 {
		return nil, errors.New("no such engine")
	}
	if i == 0 {
		g.pass()
	}
	g.readRanks = append(g.readRanks, i)
	s := *g.ranks[i]
	if q.WithCounts {
		s.Counts = slices.Clone(g.counts[i])
	}
	return &s, nil
}

// pass begins a pass: requests choose experts, and the armed map comes into force.
func (g *fakeGroup) pass() {
	for i, s := range g.ranks {
		s.Step++
		if s.Armed != nil && s.Armed.Step <= s.Step {
			s.Version, s.Armed, s.Prepared = s.Armed.Version, nil, nil
		}
		for e := range g.counts[i] {
			g.counts[i][e] += 10
		}
		g.counts[i][g.hotExpert] += hotExpertCount
	}
}

// Announce implements commander.Transport.
func (*fakeGroup) Announce(context.Context, []netip.AddrPort, commander.Prepare, uint64) {}

func (g *fakeGroup) Send(_ context.Context, engine netip.AddrPort, d commander.Directive) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.ranks, func(s *commander.Status) bool { return s.Addr == engine })
	s := g.ranks[i]
	switch order := d.Order.(type) {
	case commander.Prepare:
		v := order.Version
		s.Prepared, g.nextPlacement = &v, order.Placement
		s.PreparedDigest = commander.Digest(order.Placement, i)
		s.Sequence++
		g.prepares++
	case commander.Arm:
		a := order.Armed
		s.Armed = &a
	case commander.Hold:
		v := order.Step
		s.Held = &v
	case commander.Release:
		s.Held = nil
	case commander.Disarm:
		return fmt.Errorf("not used: %w", commander.ErrConflict)
	}
	return nil
}

func (g *fakeGroup) takeReadRanks() []int {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.readRanks
	g.readRanks = nil
	return out
}

func newBalancer(g *fakeGroup) *Balancer {
	engines := make([]netip.AddrPort, 0, testRanks)
	for rank := range testRanks {
		engines = append(engines, rankAddr(rank))
	}
	shape := &holder.Engine{LayerSets: 1, Experts: testExperts, SlotsPerRank: 5, MaxNewExperts: 5, ExpertBytes: 1, LinkRate: 1e9}
	return New(g, rankAddr(0), func() []netip.AddrPort { return engines }, func() *holder.Engine { return shape })
}

// TestHotExpertOfLargeGroupIsReplicated leads a group with one expert in high demand.
func TestHotExpertOfLargeGroupIsReplicated(t *testing.T) {
	c := qt.New(t)
	g := newFakeGroup()
	b := newBalancer(g)
	for range 6 {
		b.runRound(c.Context())
	}
	c.Assert(g.prepares, qt.Equals, testRanks)
	holders := 0
	for _, list := range g.nextPlacement[0] {
		if slices.Contains(list, g.hotExpert) {
			holders++
		}
	}
	c.Assert(holders > testRanks/2, qt.IsTrue, qt.Commentf("%d holders", holders))
	// The new map is in force after one more pass, and the balancer has seen that.
	b.runRound(c.Context())
	c.Assert(b.knownVersion, qt.Equals, g.ranks[0].Version)
}

// TestRoundsOfLargeGroupReadFewRanks counts the ranks that are read in a round without
// changes.
func TestRoundsOfLargeGroupReadFewRanks(t *testing.T) {
	c := qt.New(t)
	g := newFakeGroup()
	b := newBalancer(g)
	for range 8 {
		b.runRound(c.Context())
	}
	g.takeReadRanks()
	b.runRound(c.Context())
	read := g.takeReadRanks()
	c.Assert(len(read) < testRanks/2, qt.IsTrue, qt.Commentf("%v", read))
	for rank := range 3 {
		c.Assert(slices.Contains(read, rank), qt.IsTrue)
	}
}

// TestOutdatedHoldsOfUnreadRanksAreIgnored has a rank that is not sampled hold a pass in the
// snapshot; the hold was released since.
func TestOutdatedHoldsOfUnreadRanksAreIgnored(t *testing.T) {
	c := qt.New(t)
	g := newFakeGroup()
	b := newBalancer(g)
	unread := slices.IndexFunc(g.ranks, func(s *commander.Status) bool { return !sampler.IsSampled(s.Rank, testRanks) })
	for range 8 {
		b.runRound(c.Context())
	}
	step := uint64(9)
	b.snapshot[unread].Held = &step
	g.mu.Lock()
	g.hotExpert = 7
	g.mu.Unlock()
	for range 4 {
		b.runRound(c.Context())
	}
	c.Assert(b.heldSince.IsZero(), qt.IsTrue)
	c.Assert(g.prepares > testRanks, qt.IsTrue)
}

// TestUnsampledRanksWaitForSnapshotBeforeTakeover compares when ranks take over.
func TestUnsampledRanksWaitForSnapshotBeforeTakeover(t *testing.T) {
	c := qt.New(t)
	c.Assert(takeoverDelay(1, testRanks) < time.Second, qt.IsTrue)
	c.Assert(takeoverDelay(4, testRanks) > fullReadInterval+minTakeoverDelay, qt.IsTrue)
	c.Assert(takeoverDelay(4, 12), qt.Equals, minTakeoverDelay+4*takeoverDelayPerRank)
}
