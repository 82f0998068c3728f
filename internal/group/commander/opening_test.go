package commander

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/process/sleeper"
)

// breakDown keeps the group from running passes until restart.
func (g *fakeGroup) breakDown() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broken = true
}

// openInSeries breaks the group and opens it again a number of times. Changes of one epoch may
// be under way when the next begins, and orders of several earlier ones.
func openInSeries(ctx context.Context, g *fakeGroup, rng *rand.Rand, openings int) {
	for range openings {
		sleeper.Sleep(ctx, time.Duration(rng.IntN(3000))*time.Millisecond)
		g.breakDown()
		sleeper.Sleep(ctx, time.Duration(100+rng.IntN(2000))*time.Millisecond)
		g.restart()
	}
}

// runOpenings runs leaders that change the map as soon as the group opens, and returns the group
// after a period without faults.
func runOpenings(t *testing.T, seed uint64, leaders int) *fakeGroup {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 5))
	g := newFakeGroup(seed, faults{
		orderLost: 0.1 * rng.Float64(), answerLost: 0.1 * rng.Float64(), orderDelayed: 0.3 * rng.Float64(), senderStalled: 0.05 * rng.Float64(),
		readStale: 0.2 * rng.Float64(), readLost: 0.05 * rng.Float64(), releaseDelayed: 0.4 * rng.Float64(),
	})
	g.stepsRestart = seed%2 == 0
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { g.run(ctx) })
	wg.Go(func() { g.recordHistory(ctx) })
	for rank := range leaders {
		leaderRNG := rand.New(rand.NewPCG(rng.Uint64(), 3))
		wg.Go(func() { runLeader(ctx, g, rank, leaderRNG) })
	}
	openInSeries(ctx, g, rng, 12)
	g.setFaults(faults{})
	g.assertProgress(ctx, 20*time.Second)
	cancel()
	wg.Wait()
	// Late orders of earlier epochs are carried out within this time.
	time.Sleep(repairTime)
	return g
}

// TestOneMapInEveryPassOfOpeningsInSeries guards against an order of an earlier epoch that
// splits the map of a later one, and against a group that stands still after an opening.
func TestOneMapInEveryPassOfOpeningsInSeries(t *testing.T) {
	c := qt.New(t)
	first, seeds := drawSeeds(t, 150)
	changes := 0
	for i := range seeds {
		seed := uint64(first + i)
		synctest.Test(t, func(t *testing.T) {
			g := runOpenings(t, seed, 1+(first+i-firstSeed)%3)
			if g.violation != "" {
				t.Log(strings.Join(g.trace, "\n"))
			}
			c.Assert(g.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
			changes += g.changes
		})
	}
	t.Logf("%d seeds, %d changes in force", seeds, changes)
	c.Assert(changes > seeds, qt.IsTrue)
}

// TestUrgentChangeWaitsForOnePass guards against a group that makes a slow pass more than it has
// to before the change that ends its skew.
func TestUrgentChangeWaitsForOnePass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newFakeGroup(1, faults{})
		ctx, cancel := context.WithCancel(t.Context())
		go g.run(ctx)
		cmd := New(g, rand.Uint64)
		addrs := []netip.AddrPort{rankAddr(0), rankAddr(1), rankAddr(2), rankAddr(3)}
		cmd.Observe(cmd.ReadAll(ctx, addrs, Query{})[1])
		time.Sleep(maxPassesAhead * passTime)
		for _, urgent := range []bool{false, true} {
			group, err := NewGroup(cmd.ReadAll(ctx, addrs, Query{}))
			c.Assert(err, qt.IsNil)
			version := cmd.NewVersion(group, 1, time.Now().AddDate(27, 0, 0))
			placement := randomPlacement(rand.New(rand.NewPCG(version, 5)))
			ahead := uint64(0)
			g.mu.Lock()
			g.onHold = func() { ahead = *g.ranks[1].held - g.step }
			g.mu.Unlock()
			c.Assert(cmd.Change(ctx, group, group[1], Prepare{Version: version, Placement: placement, Urgent: urgent}), qt.IsNil)
			if urgent {
				c.Assert(ahead, qt.Equals, uint64(urgentPassesAhead))
			} else {
				c.Assert(ahead, qt.Equals, uint64(minPassesAhead))
			}
			time.Sleep(time.Second)
		}
		g.mu.Lock()
		c.Assert(g.violation, qt.Equals, "")
		g.mu.Unlock()
		cancel()
		time.Sleep(time.Second)
	})
}
