// Package tracer generates reproducible traces of the popularity of experts, that is
// the demand for each as a share of the total, for tests and measurements of package
// planner. Package group/sampler estimates these shares from the counts of engines.
package tracer

import (
	"math"
	"math/rand/v2"
)

// Pattern is the pattern by which popularity changes over time.
type Pattern string

// Patterns of popularity.
const (
	// Steady does not change.
	Steady Pattern = "steady"
	// Drift changes the weight of every expert slowly and smoothly.
	Drift Pattern = "slow_drift"
	// RandomWalk moves the weight of every expert by a random walk, which can't be
	// predicted.
	RandomWalk Pattern = "random_walk"
	// TopicChange shuffles the weights of half of the experts every topicInterval windows.
	TopicChange Pattern = "topic_change"
	// DayCycle moves from one popularity to another and back every dayLength windows.
	DayCycle Pattern = "day_cycle"
)

// Parameters of the patterns. Times are in windows.
const (
	topicInterval = 40
	dayLength     = 120
	// walkStep is the standard deviation of the change of a log weight per window.
	walkStep = 0.03
	// walkReversion is the fraction by which a log weight reverts to its start per
	// window.
	walkReversion = 0.002
	// driftSpeed is the standard deviation of the change of a log weight per window.
	// Over an hour of 10 s windows, the popularity of an expert changes by a factor
	// of about two.
	driftSpeed = 0.004
	// driftTimeConstant is the time constant with which the direction of a drift
	// decays.
	driftTimeConstant = 60
)

// Trace generates the popularity of one layer's experts, window by window.
type Trace struct {
	pattern Pattern
	rng     *rand.Rand
	// base and alternate are the log weights of two popularities. Only Day uses
	// alternate.
	base, alternate []float64
	// walk is the change of each log weight since the start, and speed its change
	// per window. Only Walk and Drift change walk; only Drift uses speed.
	walk, speed []float64
	window      int
}

// New returns a trace for a number of experts whose popularity starts as a Zipf
// distribution with the given exponent.
func New(pattern Pattern, experts int, exponent float64, seed uint64) *Trace {
	rng := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	return &Trace{
		pattern: pattern, rng: rng, base: zipfLogWeights(experts, exponent, rng), alternate: zipfLogWeights(experts, exponent, rng),
		walk: make([]float64, experts), speed: newDriftSpeeds(experts, rng),
	}
}

func newDriftSpeeds(experts int, rng *rand.Rand) []float64 {
	speeds := make([]float64, experts)
	for e := range speeds {
		speeds[e] = driftSpeed * rng.NormFloat64()
	}
	return speeds
}

// zipfLogWeights returns the log weights of a Zipf distribution in random order.
func zipfLogWeights(experts int, exponent float64, rng *rand.Rand) []float64 {
	weights := make([]float64, experts)
	for rank, e := range rng.Perm(experts) {
		weights[e] = -exponent * math.Log(float64(rank+1))
	}
	return weights
}

// Next returns the popularity of each expert in the next window. The sum is 1.
func (t *Trace) Next() []float64 {
	t.window++
	switch t.pattern {
	case Drift:
		for e := range t.walk {
			t.speed[e] += math.Sqrt(2.0/driftTimeConstant)*driftSpeed*t.rng.NormFloat64() - t.speed[e]/driftTimeConstant
			t.walk[e] += t.speed[e]
		}
	case RandomWalk:
		for e := range t.walk {
			t.walk[e] += walkStep*t.rng.NormFloat64() - walkReversion*t.walk[e]
		}
	case TopicChange:
		if t.window%topicInterval == 0 {
			t.changeTopic()
		}
	case Steady, DayCycle:
	}
	out := make([]float64, len(t.base))
	total := 0.0
	for e := range out {
		out[e] = math.Exp(t.logWeight(e))
		total += out[e]
	}
	for e := range out {
		out[e] /= total
	}
	return out
}

func (t *Trace) logWeight(e int) float64 {
	if t.pattern != DayCycle {
		return t.base[e] + t.walk[e]
	}
	mix := (1 - math.Cos(2*math.Pi*float64(t.window)/dayLength)) / 2
	return (1-mix)*t.base[e] + mix*t.alternate[e]
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

// Sample returns the token counts that an engine would report for a window with a
// popularity and about the given number of tokens, with sampling noise.
func (t *Trace) Sample(popularity []float64, tokens float64) []float64 {
	counts := make([]float64, len(popularity))
	for e, p := range popularity {
		mean := p * tokens
		counts[e] = max(0, math.Round(mean+math.Sqrt(mean)*t.rng.NormFloat64()))
	}
	return counts
}
