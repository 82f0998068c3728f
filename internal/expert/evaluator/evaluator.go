// Package evaluator runs ways of placing experts over popularity traces and
// reports step-time skew, moved bytes and stall beside the lower bound.
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

// Way is a way of placing experts over time.
type Way interface {
	name() string
	sealed()
}

// Never keeps the contiguous placement.
type Never struct{}

// Replan plans anew by longest processing time at every window.
type Replan struct{}

// Threshold plans anew when the observed skew is above Skew.
type Threshold struct{ Skew float64 }

// Priced is this project's planner with prices.
type Priced struct {
	Label  string
	Prices planner.Prices
}

func (Never) name() string       { return "never" }
func (Replan) name() string      { return "replan_each" }
func (w Threshold) name() string { return fmt.Sprintf("threshold_%.2f", w.Skew) }
func (w Priced) name() string    { return w.Label }
func (Never) sealed()            {}
func (Replan) sealed()           {}
func (Threshold) sealed()        {}
func (Priced) sealed()           {}

// Case is one trace with its conditions.
type Case struct {
	Name     string
	Trace    tracer.Shape
	Exponent float64
	// Gaps is the fraction of windows whose counts are missing.
	Gaps float64
	// Lag is how many windows late the counts come.
	Lag int
	// SlowRank runs at SlowSpeed; a negative one means none.
	SlowRank  int
	SlowSpeed float64
	// StallFrom and StallTo bound the windows in which rank 0 nearly stands.
	StallFrom, StallTo int
}

// Conditions of all cases.
const (
	layers = 4
	// DefaultWindows is the length of a trace in windows.
	DefaultWindows = 240
	// warmUp windows are not counted.
	warmUp = 20
	// windowTokens is the number of expert activations a layer counts in a window.
	windowTokens = 2e6
	exactTokens  = 1e15
	stallSpeed   = 0.1
	// Window is the time of a window.
	Window = 10 * time.Second
	// ExpertBytes is the size of an expert of one layer.
	ExpertBytes = 44 << 20
	// CopyRate is the byte budget of transfers, in bytes a second.
	CopyRate = 1 << 30
)

// Shape is the form of the measured groups.
var Shape = planner.Shape{Ranks: 32, SlotsPerRank: 5, Experts: 128}

// Prices of the users, as they rank their measures.
var (
	GuildPrices = planner.Prices{
		StepSkewWeight: 1, RebalanceCostWeight: 0.02, ExpertBytes: ExpertBytes, CopyRate: CopyRate, Horizon: 5 * time.Minute,
	}
	VitralesPrices = planner.Prices{
		StepSkewWeight: 1, RebalanceCostWeight: 1, ExpertBytes: ExpertBytes, CopyRate: CopyRate, Horizon: 5 * time.Minute,
	}
)

// Cases are the measured traces.
func Cases() []Case {
	none := Case{SlowRank: -1}
	make1 := func(name string, shape tracer.Shape, exponent float64, lag int, gaps float64) Case {
		c := none
		c.Name, c.Trace, c.Exponent, c.Lag, c.Gaps = name, shape, exponent, lag, gaps
		return c
	}
	list := []Case{
		make1("steady zipf 0.6, exact", tracer.Steady, 0.6, 0, 0),
		make1("steady zipf 1.0, exact", tracer.Steady, 1.0, 0, 0),
		make1("steady zipf 1.2, exact", tracer.Steady, 1.2, 0, 0),
		make1("slow drift zipf 0.6, late and gappy", tracer.Drift, 0.6, 1, 0.1),
		make1("slow drift zipf 1.0, late and gappy", tracer.Drift, 1.0, 1, 0.1),
		make1("random walk zipf 0.8, late and gappy", tracer.Walk, 0.8, 1, 0.1),
		make1("topic change zipf 0.8", tracer.Topic, 0.8, 1, 0.1),
		make1("day cycle zipf 0.8", tracer.Day, 0.8, 1, 0.1),
	}
	slow := make1("slow rank at 0.7, zipf 0.8", tracer.Drift, 0.8, 1, 0.1)
	slow.SlowRank, slow.SlowSpeed = 5, 0.7
	stall := make1("rank stalls for 40 windows, zipf 0.8", tracer.Drift, 0.8, 1, 0.1)
	stall.StallFrom, stall.StallTo = 100, 140
	return slices.Concat(list, []Case{slow, stall})
}

// Ways are the measured ways, the baselines first.
func Ways() []Way {
	return []Way{
		Never{}, Replan{}, Threshold{Skew: 1.10},
		Priced{Label: "guild_prices", Prices: GuildPrices},
		Priced{Label: "vitrales_prices", Prices: VitralesPrices},
	}
}

// Result is the measurement of one way on one case.
type Result struct {
	Case string
	Way  string
	// MeanSkew, P99Skew and MeanBound are over windows and layers.
	MeanSkew, P99Skew, MeanBound float64
	Moves                        int
	// Bytes is what was moved, in bytes.
	Bytes int64
	// Stall is the transfer time at the copy budget.
	Stall time.Duration
	// Planning is the mean processor time of one decision.
	Planning time.Duration
}

// run is the state of one measurement.
type run struct {
	Case
	way     Way
	traces  []*tracer.Trace
	layers  []planner.Layer
	speeds  []float64
	planner *planner.Planner
	rng     *rand.Rand
	// pending holds the counts that have not arrived yet.
	pending [][][]float64
	skews   []float64
	bounds  []float64
	result  Result
	decided int
}

// Evaluate measures a way on a case over a number of windows with a fixed seed.
func Evaluate(c Case, way Way, windows int, seed uint64) Result {
	r := &run{
		Case: c, way: way, speeds: planner.EvenSpeeds(Shape.Ranks), rng: rand.New(rand.NewPCG(seed, 1)),
		result: Result{Case: c.Name, Way: way.name()},
	}
	for i := range layers {
		r.traces = append(r.traces, tracer.New(c.Trace, Shape.Experts, c.Exponent, seed+uint64(i)))
		r.layers = append(r.layers, planner.Contiguous(Shape))
	}
	if w, ok := way.(Priced); ok {
		r.planner = planner.New(Shape, layers, w.Prices, planner.WithSeed(seed), planner.WithLag(float64(c.Lag)+1))
	}
	for window := range windows {
		r.step(window)
	}
	return r.finish()
}

// step measures one window with the present placement, then lets the way act on
// the counts that have arrived.
func (r *run) step(window int) {
	r.setSpeeds(window)
	counts := make([][]float64, layers)
	for i, tr := range r.traces {
		popularity := tr.Next()
		l := &planner.Load{Shape: Shape, Tokens: popularity, Speeds: r.speeds}
		if window >= warmUp {
			r.skews = append(r.skews, planner.Skew(l, r.layers[i]))
			r.bounds = append(r.bounds, planner.LowerBound(l))
		}
		counts[i] = r.observe(tr, popularity)
	}
	if r.rng.Float64() < r.Gaps {
		counts = make([][]float64, layers)
	}
	r.pending = append(r.pending, counts)
	if len(r.pending) <= r.Lag {
		return
	}
	seen := r.pending[0]
	r.pending = r.pending[1:]
	start := time.Now()
	next := r.decide(seen)
	r.result.Planning += time.Since(start)
	r.decided++
	for i, layer := range next {
		if window >= warmUp {
			r.result.Moves += planner.Moves(Shape, r.layers[i], layer)
		}
		r.layers[i] = layer
	}
}

// observe returns the counts of a window: a sample, or with no lag the exact
// popularity as counts so large that sampling does not show.
func (r *run) observe(tr *tracer.Trace, popularity []float64) []float64 {
	if r.Lag > 0 {
		return tr.Sample(popularity, windowTokens)
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
	switch w := r.way.(type) {
	case Never:
		return r.layers
	case Replan:
		return r.replanWhere(counts, 0)
	case Threshold:
		return r.replanWhere(counts, w.Skew)
	case Priced:
		r.planner.SetSpeeds(r.speeds)
		r.planner.Observe(counts)
		return r.planner.Decide(r.layers).Layers
	}
	return nil
}

// replanWhere plans each layer anew whose observed skew is above least. The
// baselines know nothing of speeds.
func (r *run) replanWhere(counts [][]float64, least float64) []planner.Layer {
	next := append([]planner.Layer(nil), r.layers...)
	for i, row := range counts {
		if row == nil {
			continue
		}
		l := &planner.Load{Shape: Shape, Tokens: row, Speeds: planner.EvenSpeeds(Shape.Ranks)}
		if planner.Skew(l, r.layers[i]) >= least {
			next[i] = planner.Replan(l, r.rng)
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
	out.Stall = time.Duration(float64(out.Bytes) / CopyRate * float64(time.Second))
	out.Planning /= time.Duration(max(r.decided, 1))
	return out
}

// Write prints a table of all cases and ways.
func Write(w io.Writer, seed uint64) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(tw, "%d ranks, %d experts, %d slots, %d layers, %d windows of %s, seed %d\n",
		Shape.Ranks, Shape.Experts, Shape.Slots(), layers, DefaultWindows, Window, seed)
	_, _ = fmt.Fprintln(tw, "TRACE\tWAY\tMEAN SKEW\tP99 SKEW\tBOUND\tMEAN/BOUND\tMOVES\tGIB\tTRANSFER\tPLANNING")
	for _, c := range Cases() {
		for _, way := range Ways() {
			r := Evaluate(c, way, DefaultWindows, seed)
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%.4f\t%.4f\t%.4f\t%.4f\t%d\t%.1f\t%s\t%s\n", r.Case, r.Way, r.MeanSkew, r.P99Skew, r.MeanBound,
				r.MeanSkew/r.MeanBound, r.Moves, float64(r.Bytes)/(1<<30), r.Stall.Round(time.Second), r.Planning.Round(time.Microsecond))
		}
	}
	return tw.Flush()
}
