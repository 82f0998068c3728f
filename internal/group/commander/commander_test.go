package commander

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/group/shifter"
	"siskinfall/internal/process/sleeper"
)

const (
	testRanks   = 4
	testExperts = 8
	passTime    = 60 * time.Millisecond
	copyTime    = 250 * time.Millisecond
	// firstSeed is the first of the seeds that every run uses.
	firstSeed = 20261204
)

// currentPlacement returns the placement in force, nil if the ranks report different
// versions.
func currentPlacement(g Group) shifter.Placement {
	p := shifter.Placement{make([][]int, len(g))}
	for r, s := range g {
		if s.Version != g[0].Version {
			return nil
		}
		p[0][r] = s.Experts[0]
	}
	return p
}

// runLeader makes changes and ends held passes as the balancer does, until ctx ends.
func runLeader(ctx context.Context, t Transport, rank int, rng *rand.Rand) {
	lead(ctx, t, rank, rng, true)
}

// lead makes changes only if the group has a demand: a leader of an idle group does no more
// than end held passes.
func lead(ctx context.Context, t Transport, rank int, rng *rand.Rand, hasDemand bool) {
	c := New(t, rng.Uint64)
	var heldSince time.Time
	var heldStep uint64
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, time.Duration(50+rng.IntN(200))*time.Millisecond)
		addrs := make([]netip.AddrPort, testRanks)
		for r := range addrs {
			addrs[r] = rankAddr(r)
		}
		var statuses []*Status
		for _, s := range c.ReadAll(ctx, addrs, Query{LeaderRank: rank}) {
			if s != nil {
				statuses = append(statuses, s)
			}
		}
		group, err := NewGroup(statuses)
		if err != nil {
			continue
		}
		if holder := group.FirstHolder(); holder != nil {
			if heldSince.IsZero() || heldStep != *holder.Held {
				heldSince, heldStep = time.Now(), *holder.Held
			}
			if heldFor := time.Since(heldSince); heldFor > 200*time.Millisecond {
				_ = c.Recover(ctx, group, rank, heldFor, currentPlacement(group))
			}
			continue
		}
		heldSince = time.Time{}
		if group.Armed() != nil || !hasDemand {
			continue
		}
		version := c.NewVersion(group, rank, time.Now().AddDate(27, 0, 0))
		_ = c.Change(ctx, group, group[rank], Prepare{Version: version, Placement: randomPlacement(rng), Urgent: version&1 == 1})
	}
}

// runSeed runs one seed and returns the group after a period without faults.
func runSeed(t *testing.T, seed uint64, leaders int) *fakeGroup {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 2))
	g := newFakeGroup(seed, faults{
		orderLost: 0.1 * rng.Float64(), answerLost: 0.1 * rng.Float64(), orderDelayed: 0.3 * rng.Float64(), senderStalled: 0.05 * rng.Float64(),
		readStale: 0.2 * rng.Float64(), readLost: 0.05 * rng.Float64(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { g.run(ctx) })
	wg.Go(func() { g.recordHistory(ctx) })
	disrupt(ctx, g, rng, leaders, &wg)
	g.mu.Lock()
	g.faults, g.idle = faults{}, false
	g.mu.Unlock()
	g.assertProgress(ctx, 20*time.Second)
	cancel()
	wg.Wait()
	// Delayed orders are carried out within this time.
	time.Sleep(15 * time.Second)
	return g
}

// assertProgress records a violation if the group begins fewer than a third of the passes
// for which there is time.
func (g *fakeGroup) assertProgress(ctx context.Context, d time.Duration) {
	g.mu.Lock()
	before := g.step
	g.mu.Unlock()
	sleeper.Sleep(ctx, d)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.violation != "" || g.step >= before+uint64(d/(3*passTime)) {
		return
	}
	g.violation = fmt.Sprintf("group stands still at pass %d", g.step)
	for r := range g.ranks {
		g.violation += "\n" + describeRank(g.status(r))
	}
}

// describeRank formats the state of a rank, to show what it waits for.
func describeRank(s Status) string {
	out := fmt.Sprintf("rank %d: sequence %d, version %d", s.Rank, s.Sequence, s.Version)
	if s.Busy {
		out += ", busy"
	}
	if s.Prepared != nil {
		out += fmt.Sprintf(", prepared %d", *s.Prepared)
	}
	if s.Armed != nil {
		out += fmt.Sprintf(", armed %d for %d", s.Armed.Version, s.Armed.Step)
	}
	if s.Held != nil {
		out += fmt.Sprintf(", held %d", *s.Held)
	}
	return out
}

// disrupt restarts leaders, begins epochs and makes the group idle, for about a minute.
func disrupt(ctx context.Context, g *fakeGroup, rng *rand.Rand, leaders int, wg *sync.WaitGroup) {
	cancels := make([]context.CancelFunc, leaders)
	start := func(i int) {
		leadCtx, cancel := context.WithCancel(ctx)
		cancels[i] = cancel
		leaderRNG := rand.New(rand.NewPCG(rng.Uint64(), 3))
		wg.Go(func() { runLeader(leadCtx, g, i, leaderRNG) })
	}
	for i := range leaders {
		start(i)
	}
	for range 40 {
		sleeper.Sleep(ctx, time.Duration(rng.IntN(3000))*time.Millisecond)
		switch n := rng.IntN(10); {
		case n < 4:
			i := rng.IntN(leaders)
			cancels[i]()
			start(i)
		case n < 5:
			g.restart()
		case n < 7:
			g.mu.Lock()
			g.idle = !g.idle
			g.mu.Unlock()
		}
	}
}

// drawSeeds returns the first seed to play and their number, which SISKINFALL_FIRST_SEED and
// SISKINFALL_SEEDS set for runs by hand.
func drawSeeds(t *testing.T, seeds int) (int, int) {
	first := firstSeed
	if n, err := strconv.Atoi(os.Getenv("SISKINFALL_FIRST_SEED")); err == nil {
		first = n
	}
	if n, err := strconv.Atoi(os.Getenv("SISKINFALL_SEEDS")); err == nil {
		seeds = n
	}
	t.Logf("%d seeds from %d", seeds, first)
	return first, seeds
}

// TestOneMapInEveryPass guards against a pass that begins under two maps. It runs
// competing leaders that pause and die, with orders that are lost, late and duplicated.
func TestOneMapInEveryPass(t *testing.T) {
	c := qt.New(t)
	first, seeds := drawSeeds(t, 150)
	changes := 0
	for i := range seeds {
		seed := uint64(first + i)
		synctest.Test(t, func(t *testing.T) {
			g := runSeed(t, seed, 1+(first+i-firstSeed)%3)
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

// TestChangeWithoutFaultsIsInForceAndReleased makes one change without faults.
func TestChangeWithoutFaultsIsInForceAndReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newFakeGroup(1, faults{})
		ctx, cancel := context.WithCancel(t.Context())
		go g.run(ctx)
		cmd := New(g, rand.Uint64)
		addrs := []netip.AddrPort{rankAddr(0), rankAddr(1), rankAddr(2), rankAddr(3)}
		cmd.Observe(cmd.ReadAll(ctx, addrs, Query{})[1])
		// A leader that has just started holds none of the first passes.
		time.Sleep(2 * passTime)
		group, err := NewGroup(cmd.ReadAll(ctx, addrs, Query{}))
		c.Assert(err, qt.IsNil)
		p := randomPlacement(rand.New(rand.NewPCG(5, 5)))
		c.Assert(cmd.Change(ctx, group, group[1], Prepare{Version: cmd.NewVersion(group, 1, time.Now().AddDate(27, 0, 0)), Placement: p}), qt.IsNil)
		time.Sleep(time.Second)
		g.mu.Lock()
		for r, rank := range g.ranks {
			c.Assert(reflect.DeepEqual(rank.experts, rankExperts(p, r)), qt.IsTrue)
			c.Assert(rank.held, qt.IsNil)
		}
		c.Assert(g.violation, qt.Equals, "")
		g.mu.Unlock()
		cancel()
		time.Sleep(time.Second)
	})
}

func TestNewGroupRejectsMissingRanksAndMixedEpochs(t *testing.T) {
	c := qt.New(t)
	first := &Status{Group: "g", Epoch: 1, Rank: 0, Size: 2}
	second := &Status{Group: "g", Epoch: 2, Rank: 1, Size: 2}
	_, err := NewGroup([]*Status{first})
	c.Assert(err, qt.Equals, errIncomplete)
	_, err = NewGroup([]*Status{first, second})
	c.Assert(err, qt.Equals, errIncomplete)
	second.Epoch = 1
	g, err := NewGroup([]*Status{second, first})
	c.Assert(err, qt.IsNil)
	c.Assert(g.First(), qt.Equals, first)
}
