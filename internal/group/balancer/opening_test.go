package balancer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/group/shifter"
)

// openings are three openings of a group in series.
type openings struct {
	ranks, experts int
	cutTime        time.Duration
	// moved is true if the demand moves during each cut.
	moved bool
	// fault happens to the leader's sidecar during each cut.
	fault leaderFault
	// unlisted is true if half of the zone is not listed for some time after each cut.
	unlisted bool
}

type leaderFault int

const (
	leaderLives leaderFault = iota
	leaderRestarts
	// leaderDies is without an answer from then on.
	leaderDies
)

// TestOpenedGroupFollowsKeptDemand guards against a group that opens again and runs for seconds
// under its initial map, because its leader has to learn the demand first or several lead.
func TestOpenedGroupFollowsKeptDemand(t *testing.T) {
	for _, size := range []struct{ ranks, experts int }{{12, 48}, {32, 128}} {
		unlisted := openings{ranks: size.ranks, experts: size.experts, cutTime: 2 * time.Second, unlisted: true}
		t.Run(fmt.Sprintf("%+v", unlisted), func(t *testing.T) { synctest.Test(t, unlisted.run) })
		for _, cutTime := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 10 * time.Second} {
			for _, moved := range []bool{false, true} {
				for _, fault := range []leaderFault{leaderLives, leaderRestarts, leaderDies} {
					if moved && fault != leaderLives {
						continue
					}
					o := openings{ranks: size.ranks, experts: size.experts, cutTime: cutTime, moved: moved, fault: fault}
					t.Run(fmt.Sprintf("%+v", o), func(t *testing.T) { synctest.Test(t, o.run) })
				}
			}
		}
	}
}

// run opens a group whose cut zone is first that of the leader.
func (o openings) run(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	g := newCutGroup(o.ranks, o.experts)
	g.setDemand(1)
	g.start(ctx, &wg)
	time.Sleep(6 * time.Second)
	for i := range 3 {
		if o.moved {
			g.setDemand(uint64(i + 2))
		}
		time.AfterFunc(o.cutTime/2, func() { g.disturbLeader(ctx, &wg, o.fault) })
		if o.unlisted {
			g.mu.Lock()
			g.unlistedZone = i % cutZones
			g.mu.Unlock()
		}
		g.cut(i%cutZones, o.cutTime)
		time.Sleep(4 * time.Second)
		took, maps := g.followTime()
		skew := shifter.Skew(shifter.Initial(cutSets, o.experts, o.ranks), g.demand, shifter.Bounds{})
		bound, maxMaps := g.firstChangeTime(skew), 1
		if o.moved {
			// Another change follows, for the demand that the first passes show.
			bound, maxMaps = bound+settleInterval+g.changeTime(skew), 2
		}
		t.Logf("opening %d: skew %.2f, %v to below %v, at most %v, %d maps", i, skew, took, targetSkew, bound, maps)
		c.Check(took <= bound, qt.IsTrue, qt.Commentf("opening %d: %v, more than %v", i, took, bound))
		c.Check(maps <= maxMaps, qt.IsTrue, qt.Commentf("opening %d: %d maps", i, maps))
	}
	cancel()
	wg.Wait()
	time.Sleep(time.Second)
	c.Check(g.violations, qt.Equals, 0)
}

// disturbLeader brings a fault of the first rank's sidecar about.
func (g *cutGroup) disturbLeader(ctx context.Context, wg *sync.WaitGroup, fault leaderFault) {
	switch fault {
	case leaderLives:
	case leaderRestarts:
		g.cancels[0]()
		g.startSidecar(ctx, wg, 0)
	case leaderDies:
		g.cancels[0]()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.dead[0] = true
	}
}

// firstChangeTime bounds the time from an opening to the second pass under the first map that
// is made in it: the change begins when the opening is seen, and the group is idle at first.
func (g *cutGroup) firstChangeTime(skew float64) time.Duration {
	const passes = 3
	return max(brokenPollInterval+g.changeTime(skew), idleTime+time.Duration(passes*skew*float64(cutPass)))
}
