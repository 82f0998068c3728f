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

// shiftTarget is the time within which a group is to follow a change of demand under load.
const shiftTarget = 900 * time.Millisecond

// moveDemand moves the demand of a running group and returns the skew that this brings and how
// long after it the skew is below targetSkew again.
func (g *cutGroup) moveDemand(seed uint64) (float64, time.Duration) {
	g.setDemand(seed)
	g.mu.Lock()
	moved, skew := time.Now(), shifter.Skew(g.ranks[0].placement, g.demand, shifter.Bounds{})
	g.followedAt = time.Time{}
	g.mu.Unlock()
	time.Sleep(4 * time.Second)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.followedAt.IsZero() {
		return skew, time.Hour
	}
	return skew, g.followedAt.Sub(moved)
}

// TestMovedDemandIsFollowedUnderLoad guards against a group that makes more slow passes than it
// has to after a change of demand.
func TestMovedDemandIsFollowedUnderLoad(t *testing.T) {
	for _, size := range []struct{ ranks, experts int }{{12, 48}, {32, 128}} {
		t.Run(fmt.Sprintf("%+v", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				g := newCutGroup(size.ranks, size.experts)
				g.setDemand(1)
				g.start(ctx, &wg)
				time.Sleep(6 * time.Second)
				for seed := uint64(2); seed < 10; seed++ {
					skew, took := g.moveDemand(seed)
					t.Logf("skew %.2f, %v to below %v", skew, took, targetSkew)
					c.Check(took <= shiftTarget, qt.IsTrue, qt.Commentf("skew %.2f: %v", skew, took))
				}
				cancel()
				wg.Wait()
				time.Sleep(time.Second)
				c.Check(g.violations, qt.Equals, 0)
			})
		})
	}
}
