package shifter

import (
	"math"
	"math/rand/v2"
	"testing"
)

// BenchmarkNextLarge plans for the grown groups: 63 ranks, 252 experts, 8 sets, 5
// places.
func BenchmarkNextLarge(b *testing.B) {
	const sets, experts, ranks = 8, 252, 63
	rng := rand.New(rand.NewPCG(1, 7))
	p := make(Placement, sets)
	demand := make([][]float64, sets)
	for s := range p {
		p[s] = make([][]int, ranks)
		demand[s] = make([]float64, experts)
		for e := range experts {
			p[s][e%ranks] = append(p[s][e%ranks], e)
		}
		for i, e := range rng.Perm(experts) {
			demand[s][e] = math.Pow(float64(i+1), -1.1)
		}
	}
	for b.Loop() {
		plan := Next(p, demand, Bounds{Places: 5, Spare: 2})
		b.ReportMetric(plan.Before, "before")
		b.ReportMetric(plan.After, "after")
	}
}
