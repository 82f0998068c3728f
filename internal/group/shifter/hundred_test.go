package shifter

import (
	"math"
	"math/rand/v2"
	"testing"
)

// BenchmarkNextHundred plans for 129 ranks, 258 experts and 16 layer sets, at most 3 experts
// per rank and layer set.
func BenchmarkNextHundred(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 7))
	demand := make([][]float64, 16)
	for s := range demand {
		demand[s] = make([]float64, 258)
		for i, e := range rng.Perm(258) {
			demand[s][e] = math.Pow(float64(i+1), -0.45)
		}
	}
	for b.Loop() {
		plan := Next(Initial(16, 258, 129), demand, Bounds{MaxExperts: 3, MaxNewExperts: 2})
		b.ReportMetric(plan.Before, "before")
		b.ReportMetric(plan.After, "after")
		b.ReportMetric(float64(plan.Copies), "copies")
	}
}
