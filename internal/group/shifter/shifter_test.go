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

func inTurn() Placement {
	p := make(Placement, testSets)
	for s := range p {
		p[s] = make([][]int, testRanks)
		for e := range testExperts {
			p[s][e%testRanks] = append(p[s][e%testRanks], e)
		}
	}
	return p
}

// skewed draws a demand with few hot experts.
func skewed(seed uint64) [][]float64 {
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

// check asserts what every plan must keep.
func check(c *qt.C, from Placement, plan Plan, b Bounds) {
	for s := range plan.Placement {
		holders := make([]int, testExperts)
		for r, list := range plan.Placement[s] {
			c.Assert(len(list) <= b.Places, qt.IsTrue)
			had := make(map[int]bool)
			for _, e := range from[s][r] {
				had[e] = true
			}
			added, seen := 0, make(map[int]bool)
			for _, e := range list {
				c.Assert(seen[e], qt.IsFalse)
				seen[e] = true
				holders[e]++
				if !had[e] {
					added++
				}
			}
			c.Assert(added <= b.Spare, qt.IsTrue)
		}
		for e, n := range holders {
			c.Assert(n > 0, qt.IsTrue, qt.Commentf("set %d expert %d", s, e))
		}
	}
}

// TestShiftsOfDemandAreFollowed changes what is in demand ten times.
func TestShiftsOfDemandAreFollowed(t *testing.T) {
	c := qt.New(t)
	b := Bounds{Places: 8, Spare: 3}
	p := inTurn()
	worst := 0.0
	for shift := range uint64(10) {
		demand := skewed(shift)
		for range 2 {
			plan := Next(p, demand, b)
			check(c, p, plan, b)
			c.Assert(plan.After <= plan.Before*(1+rounding), qt.IsTrue, qt.Commentf("%v over %v", plan.After, plan.Before))
			p = plan.Placement
		}
		worst = max(worst, Skew(p, demand, Bounds{}))
	}
	c.Assert(worst < 1.25, qt.IsTrue, qt.Commentf("%f", worst))
}

// TestBalancedPlacementStays plans again for the same demand.
func TestBalancedPlacementStays(t *testing.T) {
	c := qt.New(t)
	b := Bounds{Places: 8, Spare: 3}
	p, demand := inTurn(), skewed(1)
	for range 3 {
		p = Next(p, demand, b).Placement
	}
	c.Assert(Next(p, demand, b).Copies, qt.Equals, 0)
}

// TestSlowRankGivesItsLoadAway has a rank that takes twelve times as long.
func TestSlowRankGivesItsLoadAway(t *testing.T) {
	c := qt.New(t)
	slow := make([]float64, testRanks)
	for r := range slow {
		slow[r] = 1
	}
	slow[5] = 12
	b := Bounds{Places: 8, Spare: 3, Slowness: slow}
	p, demand := inTurn(), skewed(3)
	for range 5 {
		plan := Next(p, demand, b)
		check(c, p, plan, b)
		p = plan.Placement
	}
	load := newState(p[0], demand[0], Bounds{}).load[5]
	mean := newState(p[0], demand[0], Bounds{}).mean
	c.Assert(load < mean/4, qt.IsTrue, qt.Commentf("%f of %f", load, mean))
}

func TestAnyPlanKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := qt.New(t)
		b := Bounds{Places: rapid.IntRange(6, 9).Draw(r, "places"), Spare: rapid.IntRange(0, 4).Draw(r, "spare")}
		p := inTurn()
		for i := range 3 {
			plan := Next(p, skewed(rapid.Uint64().Draw(r, fmt.Sprint("seed", i))), b)
			check(c, p, plan, b)
			p = plan.Placement
		}
	})
}

func BenchmarkNext(b *testing.B) {
	p, bounds := inTurn(), Bounds{Places: 8, Spare: 3}
	for i := range b.N {
		Next(p, skewed(uint64(i)), bounds)
	}
}
