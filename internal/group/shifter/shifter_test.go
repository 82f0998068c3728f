package shifter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	testSets    = 4
	testExperts = 72
	testRanks   = 12
)

func roundRobinPlacement() Placement {
	p := make(Placement, testSets)
	for s := range p {
		p[s] = make([][]int, testRanks)
		for e := range testExperts {
			p[s][e%testRanks] = append(p[s][e%testRanks], e)
		}
	}
	return p
}

// skewedDemand draws a demand with a few hot experts.
func skewedDemand(seed uint64) [][]float64 {
	rng := rand.New(rand.NewPCG(seed, 7))
	demand := make([][]float64, testSets)
	for s := range demand {
		demand[s] = make([]float64, testExperts)
		for i, e := range rng.Perm(testExperts) {
			demand[s][e] = math.Pow(float64(i+1), -1.1)
		}
	}
	return demand
}

// assertValid asserts the invariants of every plan.
func assertValid(c *qt.C, from Placement, plan Plan, b Bounds) {
	for s := range plan.Placement {
		holders := make([]int, testExperts)
		for r, list := range plan.Placement[s] {
			c.Assert(len(list) <= b.MaxExperts, qt.IsTrue)
			heldBefore := make(map[int]bool)
			for _, e := range from[s][r] {
				heldBefore[e] = true
			}
			added, seen := 0, make(map[int]bool)
			for _, e := range list {
				c.Assert(seen[e], qt.IsFalse)
				seen[e] = true
				holders[e]++
				if !heldBefore[e] {
					added++
				}
			}
			c.Assert(added <= b.MaxNewExperts, qt.IsTrue)
		}
		for e, n := range holders {
			c.Assert(n > 0, qt.IsTrue, qt.Commentf("set %d expert %d", s, e))
		}
	}
}

// TestPlansFollowDemandChanges moves demand to other experts ten times.
func TestPlansFollowDemandChanges(t *testing.T) {
	c := qt.New(t)
	b := Bounds{MaxExperts: 8, MaxNewExperts: 3}
	p := roundRobinPlacement()
	maxSkew := 0.0
	for seed := range uint64(10) {
		demand := skewedDemand(seed)
		for range 2 {
			plan := Next(p, demand, b)
			assertValid(c, p, plan, b)
			c.Assert(plan.After <= plan.Before*(1+roundingTolerance), qt.IsTrue, qt.Commentf("%v over %v", plan.After, plan.Before))
			p = plan.Placement
		}
		maxSkew = max(maxSkew, Skew(p, demand, Bounds{}))
	}
	c.Assert(maxSkew < 1.25, qt.IsTrue, qt.Commentf("%f", maxSkew))
}

// TestPlanForUnchangedDemandCopiesNothing plans again for the same demand.
func TestPlanForUnchangedDemandCopiesNothing(t *testing.T) {
	c := qt.New(t)
	b := Bounds{MaxExperts: 8, MaxNewExperts: 3}
	p, demand := roundRobinPlacement(), skewedDemand(1)
	for range 3 {
		p = Next(p, demand, b).Placement
	}
	c.Assert(Next(p, demand, b).Copies, qt.Equals, 0)
}

// TestPlansMoveLoadOffSlowRank has a rank that takes twelve times as long.
func TestPlansMoveLoadOffSlowRank(t *testing.T) {
	c := qt.New(t)
	slowness := make([]float64, testRanks)
	for r := range slowness {
		slowness[r] = 1
	}
	slowness[5] = 12
	b := Bounds{MaxExperts: 8, MaxNewExperts: 3, Slowness: slowness}
	p, demand := roundRobinPlacement(), skewedDemand(3)
	for range 5 {
		plan := Next(p, demand, b)
		assertValid(c, p, plan, b)
		p = plan.Placement
	}
	load := newState(p[0], demand[0], Bounds{}).load[5]
	mean := newState(p[0], demand[0], Bounds{}).mean
	c.Assert(load < mean/4, qt.IsTrue, qt.Commentf("%f of %f", load, mean))
}

func TestPlansStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := qt.New(t)
		b := Bounds{MaxExperts: rapid.IntRange(6, 9).Draw(r, "places"), MaxNewExperts: rapid.IntRange(0, 4).Draw(r, "spare")}
		p := roundRobinPlacement()
		for i := range 3 {
			plan := Next(p, skewedDemand(rapid.Uint64().Draw(r, fmt.Sprint("seed", i))), b)
			assertValid(c, p, plan, b)
			p = plan.Placement
		}
	})
}

func BenchmarkNext(b *testing.B) {
	p, bounds := roundRobinPlacement(), Bounds{MaxExperts: 8, MaxNewExperts: 3}
	for i := range b.N {
		Next(p, skewedDemand(uint64(i)), bounds)
	}
}
