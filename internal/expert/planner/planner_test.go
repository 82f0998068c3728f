package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"siskinfall/internal/expert/tracer"
)

var testShape = Shape{Ranks: 32, SlotsPerRank: 5, Experts: 128}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(7, 7)) }

func TestReplanSkewIsNearLowerBound(t *testing.T) {
	for _, exponent := range []float64{0, 0.4, 0.8, 1.0} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("exponent %.1f seed %d", exponent, seed), func(t *testing.T) {
				c := qt.New(t)
				l := &Load{Shape: testShape, Tokens: tracer.New(tracer.Steady, 128, exponent, seed).Next(), Speeds: EvenSpeeds(32)}
				layer := Replan(l, newRand())
				c.Assert(Skew(l, layer)/LowerBound(l) <= 1.005, qt.IsTrue, qt.Commentf("skew %v", Skew(l, layer)))
			})
		}
	}
}

func TestRandomisedLayersStayComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := Shape{
			Ranks:        rapid.IntRange(1, 12).Draw(t, "ranks"),
			SlotsPerRank: rapid.IntRange(1, 6).Draw(t, "slots"),
		}
		shape.Experts = rapid.IntRange(1, shape.Slots()).Draw(t, "experts")
		l := &Load{Shape: shape, Speeds: EvenSpeeds(shape.Ranks), Tokens: make([]float64, shape.Experts)}
		for e := range l.Tokens {
			l.Tokens[e] = rapid.Float64Range(0, 1).Draw(t, "load")
		}
		slowRank := rapid.IntRange(0, shape.Ranks-1).Draw(t, "slow")
		l.Speeds[slowRank] = rapid.Float64Range(0.1, 1).Draw(t, "speed")
		current := Contiguous(shape)
		for name, layer := range map[string]Layer{
			"replan":  Replan(l, newRand()),
			"improve": Improve(l, current, 0.001, 50),
			"align":   Align(l, current, Replan(l, newRand())),
		} {
			seen := make([]bool, shape.Experts)
			for _, e := range layer {
				seen[e] = true
			}
			for e, ok := range seen {
				if !ok {
					t.Fatalf("%s lost expert %d", name, e)
				}
			}
			if len(layer) != shape.Slots() {
				t.Fatalf("%s has %d slots", name, len(layer))
			}
		}
		if before, after := Skew(l, current), Skew(l, Improve(l, current, 0, 50)); after > before+1e-9 {
			t.Fatalf("improvement raised the skew from %v to %v", before, after)
		}
	})
}

func TestIncrementalLoadsMatchRebuiltState(t *testing.T) {
	c := qt.New(t)
	l := &Load{Shape: testShape, Tokens: tracer.New(tracer.Steady, 128, 1, 3).Next(), Speeds: EvenSpeeds(32)}
	s := newState(l, Contiguous(testShape))
	for range 60 {
		if s.improveOnce() == 0 {
			break
		}
	}
	rebuilt := newState(l, s.layer)
	for r := range s.load {
		c.Assert(s.load[r]-rebuilt.load[r] < 1e-9 && rebuilt.load[r]-s.load[r] < 1e-9, qt.IsTrue)
	}
	c.Assert(s.counts, qt.DeepEquals, rebuilt.counts)
}

func TestReplanShiftsLoadFromSlowRank(t *testing.T) {
	c := qt.New(t)
	l := &Load{Shape: testShape, Tokens: tracer.New(tracer.Steady, 128, 0.8, 5).Next(), Speeds: EvenSpeeds(32)}
	l.Speeds[3] = 0.7
	c.Assert(Skew(l, Replan(l, newRand())) <= 1.05*LowerBound(l), qt.IsTrue)
}

func TestSamplingNoiseCausesNoMoves(t *testing.T) {
	c := qt.New(t)
	trace := tracer.New(tracer.Steady, 128, 0.8, 9)
	p := New(testShape, 1, CostModel{StepSkewWeight: 1, RebalanceCostWeight: 1, ExpertBytes: 44 << 20, CopyRate: 1 << 30, Horizon: 600e9})
	popularity := trace.Next()
	layers := []Layer{Contiguous(testShape)}
	moved := 0
	for window := range 60 {
		p.Observe([][]float64{trace.Sample(popularity, 2e5)})
		d := p.Decide(layers)
		layers = d.Layers
		if window >= 10 {
			moved += d.Moves
		}
	}
	c.Assert(moved, qt.Equals, 0)
}

func BenchmarkReplanLayer(b *testing.B) {
	for _, exponent := range []float64{0.6, 1.0, 1.2} {
		b.Run(fmt.Sprintf("zipf%.1f", exponent), func(b *testing.B) {
			l := &Load{Shape: testShape, Tokens: tracer.New(tracer.Steady, 128, exponent, 1).Next(), Speeds: EvenSpeeds(32)}
			rng := newRand()
			skew := 0.0
			for b.Loop() {
				skew = Skew(l, Replan(l, rng))
			}
			b.ReportMetric(skew/LowerBound(l), "skew/bound")
		})
	}
}

func BenchmarkDecide60Layers(b *testing.B) {
	p := New(testShape, 60, CostModel{StepSkewWeight: 1, RebalanceCostWeight: 0.1, ExpertBytes: 44 << 20, CopyRate: 1 << 30, Horizon: 600e9})
	traces := make([]*tracer.Trace, 60)
	for i := range traces {
		traces[i] = tracer.New(tracer.Drift, 128, 0.8, uint64(i))
	}
	layers := make([]Layer, 60)
	for i := range layers {
		layers[i] = Contiguous(testShape)
	}
	observe := func() {
		rows := make([][]float64, 60)
		for i, trace := range traces {
			rows[i] = trace.Sample(trace.Next(), 2e5)
		}
		p.Observe(rows)
	}
	observe()
	layers = p.Decide(layers).Layers
	for b.Loop() {
		b.StopTimer()
		observe()
		b.StartTimer()
		layers = p.Decide(layers).Layers
	}
}
