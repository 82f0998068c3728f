// Package evaluator runs placement strategies of package planner over the traces of
// package tracer. It reports the skew beside its lower bound, the bytes moved and the
// time to copy them. It does not cover package group/shifter.
package evaluator

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sort"
	"text/tabwriter"
	"time"

	"siskinfall/internal/expert/planner"
	"siskinfall/internal/expert/tracer"
)

// Strategy is a strategy for placing experts over time.
type Strategy interface {
	name() string
	sealed()
}

// Never always keeps the contiguous placement.
type Never struct{}

// Replan computes a new placement in every window with planner.Replan.
type Replan struct{}

// Threshold computes a new placement for each layer whose observed skew is at least
// Skew.
type Threshold struct{ Skew float64 }

// CostBased is planner.Planner with the given costs.
type CostBased struct {
	Label string
	Costs planner.CostModel
}

func (Never) name() string       { return "never" }
func (Replan) name() string      { return "replan_each" }
func (t Threshold) name() string { return fmt.Sprintf("threshold_%.2f", t.Skew) }
func (c CostBased) name() string { return c.Label }
func (Never) sealed()            {}
func (Replan) sealed()           {}
func (Threshold) sealed()        {}
func (CostBased) sealed()        {}

// Case is one kind of trace with the conditions under which it is run.
type Case struct {
	Name     string
	Trace    tracer.Pattern
	Exponent float64
	// Gaps is the probability that the counts of a window are missing.
	Gaps float64
	// Lag is how many windows late the counts arrive. Without lag the counts are
	// exact.
	Lag int
	// SlowRank is the rank that runs at SlowSpeed; negative means none.
	SlowRank  int
	SlowSpeed float64
	// StallFrom and StallTo bound the windows in which rank 0 runs at stallSpeed,
	// StallTo exclusive.
	StallFrom, StallTo int
}

// Conditions of all cases.
const (
	layerCount = 4
	// DefaultWindows is the length of a trace in windows.
	DefaultWindows = 240
	// warmUpWindows is the number of initial windows that are left out of the result.
	warmUpWindows = 20
	// windowTokens is the number of expert activations a layer counts in a window.
	windowTokens = 2e6
	// exactTokens makes the sampling noise that the planner expects negligible.
	exactTokens = 1e15
	stallSpeed  = 0.1
	// Window is the duration of a window.
	Window = 10 * time.Second
	// ExpertBytes is the size of an expert of one layer.
	ExpertBytes = 44 << 20
	// CopyRate is the rate limit of copies, in bytes per second.
	CopyRate = 1 << 30
)

// Shape holds the dimensions of the groups in all cases.
var Shape = planner.Shape{Ranks: 32, SlotsPerRank: 5, Experts: 128}

// Costs by which the planner is evaluated. LowCopyCost puts low skew first;
// HighCopyCost weighs a second of copying like a second lost to skew. The labels
// in the table name the users who have these priorities.
var (
	LowCopyCost = planner.CostModel{
		StepSkewWeight: 1, RebalanceCostWeight: 0.02, ExpertBytes: ExpertBytes, CopyRate: CopyRate, Horizon: 5 * time.Minute,
	}
	HighCopyCost = planner.CostModel{
		StepSkewWeight: 1, RebalanceCostWeight: 1, ExpertBytes: ExpertBytes, CopyRate: CopyRate, Horizon: 5 * time.Minute,
	}
)

// Cases returns the cases of the evaluation.
func Cases() []Case {
	base := Case{SlowRank: -1}
	newCase := func(name string, shape tracer.Pattern, exponent float64, lag int, gaps float64) Case {
		c := base
		c.Name, c.Trace, c.Exponent, c.Lag, c.Gaps = name, shape, exponent, lag, gaps
		return c
	}
	list := []Case{
		newCase("steady zipf 0.6, exact", tracer.Steady, 0.6, 0, 0),
		newCase("steady zipf 1.0, exact", tracer.Steady, 1.0, 0, 0),
		newCase("steady zipf 1.2, exact", tracer.Steady, 1.2, 0, 0),
		newCase("slow drift zipf 0.6, late and gappy", tracer.Drift, 0.6, 1, 0.1),
		newCase("slow drift zipf 1.0, late and gappy", tracer.Drift, 1.0, 1, 0.1),
		newCase("random walk zipf 0.8, late and gappy", tracer.RandomWalk, 0.8, 1, 0.1),
		newCase("topic change zipf 0.8", tracer.TopicChange, 0.8, 1, 0.1),
		newCase("day cycle zipf 0.8", tracer.DayCycle, 0.8, 1, 0.1),
	}
	slow := newCase("slow rank at 0.7, zipf 0.8", tracer.Drift, 0.8, 1, 0.1)
	slow.SlowRank, slow.SlowSpeed = 5, 0.7
	stall := newCase("rank stalls for 40 windows, zipf 0.8", tracer.Drift, 0.8, 1, 0.1)
	stall.StallFrom, stall.StallTo = 100, 140
	return slices.Concat(list, []Case{slow, stall})
}

// Strategies returns the strategies of the evaluation, the baselines first.
func Strategies() []Strategy {
	return []Strategy{
		Never{}, Replan{}, Threshold{Skew: 1.10},
		CostBased{Label: "guild_prices", Costs: LowCopyCost},
		CostBased{Label: "vitrales_prices", Costs: HighCopyCost},
	}
}

// Result holds the measurements of one strategy on one case.
type Result struct {
	Case     string
	Strategy string
	// MeanSkew, P99Skew and MeanBound are taken over windows and layers. MeanBound
	// is the mean of the lower bounds.
	MeanSkew, P99Skew, MeanBound float64
	Moves                        int
	// Bytes is the size of all moves.
	Bytes int64
	// CopyTime is the time to copy Bytes at CopyRate.
	CopyTime time.Duration
	// PlanningTime is the mean wall-clock time of one decision.
	PlanningTime time.Duration
}

// run is the state of one evaluation.
type run struct {
	Case
	strategy Strategy
	traces   []*tracer.Trace
	layers   []planner.Layer
	speeds   []float64
	planner  *planner.Planner
	rng      *rand.Rand
	// pending holds the counts that have not arrived yet, oldest first.
	pending   [][][]float64
	skews     []float64
	bounds    []float64
	result    Result
	decisions int
}

// Evaluate runs a strategy on a case over a number of windows, which must be above
// warmUpWindows. The seed determines all random numbers.
func Evaluate(c Case, strategy Strategy, windows int, seed uint64) Result {
	r := &run{
		Case: c, strategy: strategy, speeds: planner.EvenSpeeds(Shape.Ranks), rng: rand.New(rand.NewPCG(seed, 1)),
		result: Result{Case: c.Name, Strategy: strategy.name()},
	}
	for i := range layerCount {
		r.traces = append(r.traces, tracer.New(c.Trace, Shape.Experts, c.Exponent, seed+uint64(i)))
		r.layers = append(r.layers, planner.Contiguous(Shape))
	}
	if w, ok := strategy.(CostBased); ok {
		r.planner = planner.New(Shape, layerCount, w.Costs, planner.WithSeed(seed), planner.WithLag(float64(c.Lag)+1))
	}
	for window := range windows {
		r.runWindow(window)
	}
	return r.finish()
}

// runWindow measures one window with the current placement, then lets the strategy
// change the placement by the counts that have arrived.
func (r *run) runWindow(window int) {
	r.setSpeeds(window)
	counts := make([][]float64, layerCount)
	for i, trace := range r.traces {
		popularity := trace.Next()
		load := &planner.Load{Shape: Shape, Tokens: popularity, Speeds: r.speeds}
		if window >= warmUpWindows {
			r.skews = append(r.skews, planner.Skew(load, r.layers[i]))
			r.bounds = append(r.bounds, planner.LowerBound(load))
		}
		counts[i] = r.observe(trace, popularity)
	}
	if r.rng.Float64() < r.Gaps {
		counts = make([][]float64, layerCount)
	}
	r.pending = append(r.pending, counts)
	if len(r.pending) <= r.Lag {
		return
	}
	arrived := r.pending[0]
	r.pending = r.pending[1:]
	start := time.Now()
	next := r.decide(arrived)
	r.result.PlanningTime += time.Since(start)
	r.decisions++
	for i, layer := range next {
		if window >= warmUpWindows {
			r.result.Moves += planner.CountMoves(Shape, r.layers[i], layer)
		}
		r.layers[i] = layer
	}
}

// observe returns the counts of a window: a sample, or without lag the exact
// popularity scaled to exactTokens.
func (r *run) observe(trace *tracer.Trace, popularity []float64) []float64 {
	if r.Lag > 0 {
		return trace.Sample(popularity, windowTokens)
	}
	counts := make([]float64, len(popularity))
	for e, p := range popularity {
		counts[e] = p * exactTokens
	}
	return counts
}

func (r *run) setSpeeds(window int) {
	r.speeds = planner.EvenSpeeds(Shape.Ranks)
	if r.SlowRank >= 0 {
		r.speeds[r.SlowRank] = r.SlowSpeed
	}
	if window >= r.StallFrom && window < r.StallTo {
		r.speeds[0] = stallSpeed
	}
}

func (r *run) decide(counts [][]float64) []planner.Layer {
	switch w := r.strategy.(type) {
	case Never:
		return r.layers
	case Replan:
		return r.replanAbove(counts, 0)
	case Threshold:
		return r.replanAbove(counts, w.Skew)
	case CostBased:
		r.planner.SetSpeeds(r.speeds)
		r.planner.Observe(counts)
		return r.planner.Decide(r.layers).Layers
	}
	return nil
}

// replanAbove replans each layer whose observed skew is at least minSkew. The
// baselines ignore the speeds of the ranks.
func (r *run) replanAbove(counts [][]float64, minSkew float64) []planner.Layer {
	next := append([]planner.Layer(nil), r.layers...)
	for i, row := range counts {
		if row == nil {
			continue
		}
		load := &planner.Load{Shape: Shape, Tokens: row, Speeds: planner.EvenSpeeds(Shape.Ranks)}
		if planner.Skew(load, r.layers[i]) >= minSkew {
			next[i] = planner.Replan(load, r.rng)
		}
	}
	return next
}

func (r *run) finish() Result {
	out := r.result
	sort.Float64s(r.skews)
	for i, v := range r.skews {
		out.MeanSkew += v / float64(len(r.skews))
		out.MeanBound += r.bounds[i] / float64(len(r.skews))
	}
	out.P99Skew = r.skews[len(r.skews)*99/100]
	out.Bytes = int64(out.Moves) * ExpertBytes
	out.CopyTime = time.Duration(float64(out.Bytes) / CopyRate * float64(time.Second))
	out.PlanningTime /= time.Duration(max(r.decisions, 1))
	return out
}

// Write evaluates all strategies on all cases and writes the results as a table.
func Write(w io.Writer, seed uint64) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(tw, "%d ranks, %d experts, %d slots, %d layers, %d windows of %s, seed %d\n",
		Shape.Ranks, Shape.Experts, Shape.Slots(), layerCount, DefaultWindows, Window, seed)
	_, _ = fmt.Fprintln(tw, "TRACE\tWAY\tMEAN SKEW\tP99 SKEW\tBOUND\tMEAN/BOUND\tMOVES\tGIB\tTRANSFER\tPLANNING")
	for _, c := range Cases() {
		for _, strategy := range Strategies() {
			r := Evaluate(c, strategy, DefaultWindows, seed)
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%.4f\t%.4f\t%.4f\t%.4f\t%d\t%.1f\t%s\t%s\n", r.Case, r.Strategy, r.MeanSkew, r.P99Skew, r.MeanBound,
				r.MeanSkew/r.MeanBound, r.Moves, float64(r.Bytes)/(1<<30), r.CopyTime.Round(time.Second), r.PlanningTime.Round(time.Microsecond))
		}
	}
	return tw.Flush()
}
