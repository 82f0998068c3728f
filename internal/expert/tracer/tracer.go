// Package tracer generates popularity traces of experts with fixed seeds, for
// measurements and tests of the planner.
package tracer

import (
	"math"
	"math/rand/v2"
)

// Shape says how popularity changes.
type Shape string

// The shapes.
const (
	// Steady never changes.
	Steady Shape = "steady"
	// Drift changes every expert's weight slowly and smoothly.
	Drift Shape = "slow_drift"
	// Walk is a random walk of every expert, which no forecast can follow.
	Walk Shape = "random_walk"
	// Topic changes half of the experts at once, now and then.
	Topic Shape = "topic_change"
	// Day moves between two popularities and back.
	Day Shape = "day_cycle"
)

// Constants of the traces, in windows.
const (
	topicEvery = 40
	dayLength  = 120
	// walkStep is the standard deviation of one window's change of a log weight.
	walkStep = 0.03
	// walkPull draws a log weight back to its start.
	walkPull = 0.002
	// driftSpeed is the standard deviation of the change a window: over an hour
	// of 10 s windows an expert's popularity changes by a factor of about two.
	driftSpeed = 0.004
	// driftMemory is how long the direction of a drift lasts.
	driftMemory = 60
)

// Trace is the popularity of one layer's experts over windows.
type Trace struct {
	shape Shape
	rng   *rand.Rand
	// base and other are the log weights of two popularities.
	base, other []float64
	// walk is the change of each log weight since the start, speed its change a
	// window.
	walk, speed []float64
	window      int
}

// New returns a trace for a number of experts with a Zipf exponent.
func New(shape Shape, experts int, exponent float64, seed uint64) *Trace {
	rng := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	return &Trace{
		shape: shape, rng: rng, base: zipf(experts, exponent, rng), other: zipf(experts, exponent, rng),
		walk: make([]float64, experts), speed: newSpeeds(experts, rng),
	}
}

func newSpeeds(experts int, rng *rand.Rand) []float64 {
	speeds := make([]float64, experts)
	for e := range speeds {
		speeds[e] = driftSpeed * rng.NormFloat64()
	}
	return speeds
}

// zipf returns log weights in random order.
func zipf(experts int, exponent float64, rng *rand.Rand) []float64 {
	w := make([]float64, experts)
	for rank, e := range rng.Perm(experts) {
		w[e] = -exponent * math.Log(float64(rank+1))
	}
	return w
}

// Next returns the true popularity of the next window; it adds up to 1.
func (t *Trace) Next() []float64 {
	t.window++
	switch t.shape {
	case Drift:
		for e := range t.walk {
			t.speed[e] += math.Sqrt(2.0/driftMemory)*driftSpeed*t.rng.NormFloat64() - t.speed[e]/driftMemory
			t.walk[e] += t.speed[e]
		}
	case Walk:
		for e := range t.walk {
			t.walk[e] += walkStep*t.rng.NormFloat64() - walkPull*t.walk[e]
		}
	case Topic:
		if t.window%topicEvery == 0 {
			t.changeTopic()
		}
	case Steady, Day:
	}
	out := make([]float64, len(t.base))
	total := 0.0
	for e := range out {
		out[e] = math.Exp(t.weight(e))
		total += out[e]
	}
	for e := range out {
		out[e] /= total
	}
	return out
}

func (t *Trace) weight(e int) float64 {
	if t.shape != Day {
		return t.base[e] + t.walk[e]
	}
	mix := (1 - math.Cos(2*math.Pi*float64(t.window)/dayLength)) / 2
	return (1-mix)*t.base[e] + mix*t.other[e]
}

// changeTopic shuffles the weights of half of the experts.
func (t *Trace) changeTopic() {
	perm := t.rng.Perm(len(t.base))
	half := perm[:len(perm)/2]
	for i := len(half) - 1; i > 0; i-- {
		j := t.rng.IntN(i + 1)
		t.base[half[i]], t.base[half[j]] = t.base[half[j]], t.base[half[i]]
	}
}

// Sample returns counts of a number of tokens with a popularity, as a window of
// an engine's counters shows them.
func (t *Trace) Sample(popularity []float64, tokens float64) []float64 {
	counts := make([]float64, len(popularity))
	for e, p := range popularity {
		mean := p * tokens
		counts[e] = max(0, math.Round(mean+math.Sqrt(mean)*t.rng.NormFloat64()))
	}
	return counts
}
