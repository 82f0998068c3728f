package shifter

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

const largeSets, largeExperts, largeRanks = 8, 252, 63

func largeRoundRobinPlacement() Placement {
	p := make(Placement, largeSets)
	for s := range p {
		p[s] = make([][]int, largeRanks)
		for e := range largeExperts {
			p[s][e%largeRanks] = append(p[s][e%largeRanks], e)
		}
	}
	return p
}

func largeDemand(seed uint64) [][]float64 {
	rng := rand.New(rand.NewPCG(seed, 7))
	demand := make([][]float64, largeSets)
	for s := range demand {
		demand[s] = make([]float64, largeExperts)
		for i, e := range rng.Perm(largeExperts) {
			demand[s][e] = math.Pow(float64(i+1), -1.1)
		}
	}
	return demand
}

// TestPlanFollowsDemandChangesOfLargeGroup moves demand to other experts twenty times, with
// one plan for each. A search over fourteen targets (maxTargets) stays below the bound, one
// over six does not.
func TestPlanFollowsDemandChangesOfLargeGroup(t *testing.T) {
	c := qt.New(t)
	p := largeRoundRobinPlacement()
	for seed := range uint64(20) {
		demand := largeDemand(seed)
		plan := Next(p, demand, Bounds{MaxExperts: 5, MaxNewExperts: 2})
		c.Assert(plan.After < 1.45, qt.IsTrue, qt.Commentf("change %d: %f", seed, plan.After))
		p = plan.Placement
	}
}

// BenchmarkNextLarge plans for a large group: 63 ranks, 252 experts, 8 layer sets, at
// most 5 experts per rank and layer set.
func BenchmarkNextLarge(b *testing.B) {
	p, demand := largeRoundRobinPlacement(), largeDemand(1)
	for b.Loop() {
		plan := Next(p, demand, Bounds{MaxExperts: 5, MaxNewExperts: 2})
		b.ReportMetric(plan.Before, "before")
		b.ReportMetric(plan.After, "after")
	}
}
