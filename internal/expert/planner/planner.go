package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// CostModel weighs skew against the cost of moves.
type CostModel struct {
	// StepSkewWeight is the cost of a second of pass time lost to skew.
	StepSkewWeight float64
	// RebalanceCostWeight is the cost of a second of copying.
	RebalanceCostWeight float64
	// ExpertBytes is the size of one expert of one layer.
	ExpertBytes int64
	// CopyRate is the rate limit of copies, in bytes per second.
	CopyRate int64
	// Horizon is how long a placement is expected to last.
	Horizon time.Duration
}

// moveCost returns the cost of one move in units of one layer's skew, +Inf if skew
// has no cost.
func (c CostModel) moveCost(layers int) float64 {
	if c.StepSkewWeight == 0 {
		return math.Inf(1)
	}
	transfer := float64(c.ExpertBytes) / float64(c.CopyRate)
	return c.RebalanceCostWeight * transfer * float64(layers) / (c.StepSkewWeight * c.Horizon.Seconds())
}

// Smoothing of the demand, and thresholds for changes.
const (
	// levelWeight is the weight of the newest window in the EWMA of the level.
	levelWeight = 0.35
	// trendWeight is the weight of the newest change in the EWMA of the trend.
	trendWeight = 0.08
	// suddenChangeFraction is the fraction of the demand that must move to other
	// experts from the level to a window, beyond sampling noise, to count as a
	// sudden change instead of drift.
	suddenChangeFraction = 0.1
	// minSkewGain is the minimum reduction of a layer's skew for which the layer is
	// changed.
	minSkewGain = 0.004
)

// forecast predicts the demand of one layer by double exponential smoothing.
type forecast struct {
	// level is the smoothed share of each expert in the demand; nil before the
	// first window.
	level []float64
	// trend is the smoothed change of level per window.
	trend []float64
	// tokens is the smoothed number of tokens in a window.
	tokens float64
	// windows is the number of windows observed since the level was last reset.
	windows float64
	// variance is the sampling variance of the level over that of one window; it is
	// 1 after a reset.
	variance float64
}

// samplingNoise returns the skew above 1 that a perfectly balanced placement would
// show because the counts are a sample: the expected maximum of the deviations of
// all ranks. It covers two samples, the one that the placement was planned from
// and the current one.
func (f *forecast) samplingNoise(ranks int) float64 {
	if ranks < 2 || f.tokens == 0 {
		return 0
	}
	deviation := math.Sqrt(2 * float64(ranks) * f.variance / f.tokens)
	return deviation * math.Sqrt(2*math.Log(float64(ranks)))
}

// observe updates the forecast with one window of counts. A window without tokens
// is ignored; a sudden change resets the forecast.
func (f *forecast) observe(counts []float64) {
	total := sum(counts)
	if total == 0 {
		return
	}
	if f.level == nil || f.hasChanged(counts, total) {
		f.reset(counts, total)
		return
	}
	f.windows++
	weight := max(levelWeight, 1/f.windows)
	f.tokens += weight * (total - f.tokens)
	f.variance = (1-weight)*(1-weight)*f.variance + weight*weight
	for e, c := range counts {
		old := f.level[e]
		f.level[e] += weight * (c/total - old)
		f.trend[e] += trendWeight * (f.level[e] - old - f.trend[e])
	}
}

// reset restarts the forecast from one window.
func (f *forecast) reset(counts []float64, total float64) {
	f.level, f.trend = make([]float64, len(counts)), make([]float64, len(counts))
	for e, c := range counts {
		f.level[e] = c / total
	}
	f.tokens, f.windows, f.variance = total, 1, 1
}

// hasChanged reports whether more of the demand has moved to other experts than
// drift and sampling noise explain.
func (f *forecast) hasChanged(counts []float64, total float64) bool {
	moved, noise := 0.0, 0.0
	for e, c := range counts {
		moved += math.Abs(c/total-f.level[e]) / 2
		noise += math.Sqrt(f.level[e] / total)
	}
	return moved > suddenChangeFraction+noise
}

// predict returns the demand expected a number of windows ahead. A falling demand
// is predicted at no less than half of its level.
func (f *forecast) predict(windows float64) []float64 {
	out := make([]float64, len(f.level))
	for e := range out {
		out[e] = max(f.level[e]+windows*f.trend[e], f.level[e]/2)
	}
	return out
}

// Candidate is a next placement that was considered: the current one (stay), an
// incremental improvement (improve) or a new plan (replan).
type Candidate struct {
	Name string `json:"name"`
	// Skew is the predicted skew, the mean over the layers.
	Skew  float64 `json:"predicted_skew"`
	Moves int     `json:"moves"`
	Bytes int64   `json:"bytes"`
	// Cost is the skew plus the cost of the moves, in units of skew.
	Cost float64 `json:"cost"`
}

// Decision is the planner's decision on the next map.
type Decision struct {
	// Layers is the next placement; it equals the current one when Moves is 0.
	Layers []Layer `json:"-"`
	// Changed lists the layers that differ from the current placement.
	Changed []int `json:"changed_layers"`
	// Moves is the number of moves: experts that a rank has to copy.
	Moves int `json:"moves"`
	// SkewBefore and SkewAfter are the predicted skews without and with the moves,
	// the mean over the layers.
	SkewBefore float64 `json:"predicted_skew_before"`
	SkewAfter  float64 `json:"predicted_skew_after"`
	Reason     string  `json:"reason"`
	// Candidates holds each candidate that was considered, combined over the layers.
	Candidates []Candidate `json:"weighed"`
}

// Planner plans the expert maps of one group. It is not safe for concurrent use.
type Planner struct {
	shape  Shape
	layers int
	costs  CostModel
	// maxMoves bounds the moves of one decision over all layers.
	maxMoves int
	// lag is how many windows ahead of the latest counts the demand is predicted.
	lag       float64
	forecasts []forecast
	speeds    []float64
	rng       *rand.Rand
}

// Option configures a Planner.
type Option func(*Planner)

// WithMaxMoves sets the maximum number of moves of one decision over all layers.
func WithMaxMoves(n int) Option { return func(p *Planner) { p.maxMoves = n } }

// WithLag sets how many windows ahead of the latest counts the demand is
// predicted. The default is 1.
func WithLag(windows float64) Option { return func(p *Planner) { p.lag = windows } }

// WithSeed sets the seed of the random search.
func WithSeed(seed uint64) Option {
	return func(p *Planner) { p.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a Planner for a group's shape.
func New(shape Shape, layers int, costs CostModel, opts ...Option) *Planner {
	p := &Planner{
		shape: shape, layers: layers, costs: costs, maxMoves: math.MaxInt, lag: 1,
		forecasts: make([]forecast, layers), speeds: EvenSpeeds(shape.Ranks), rng: rand.New(rand.NewPCG(1, 1)),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Observe updates the forecasts with one window of token counts, one row per layer
// with a count per expert. Rows that are missing or of another length are
// skipped.
func (p *Planner) Observe(counts [][]float64) {
	for i, row := range counts {
		if len(row) == p.shape.Experts {
			p.forecasts[i].observe(row)
		}
	}
}

// minSpeed is the speed that a slower rank is planned with. It bounds how little
// demand such a rank gets.
const minSpeed = 0.05

// SetSpeeds sets the measured speeds of the ranks, each at least minSpeed.
func (p *Planner) SetSpeeds(speeds []float64) {
	for r, v := range speeds {
		p.speeds[r] = max(v, minSpeed)
	}
}

// Decide compares, for each layer, the current placement with an incremental
// improvement and a new plan. It changes the layers with the highest gain per
// move first, within the maximum number of moves.
func (p *Planner) Decide(current []Layer) *Decision {
	moveCost := p.costs.moveCost(p.layers)
	plans := make([]plan, 0, p.layers)
	for i := range current {
		plans = append(plans, p.decideLayer(i, current[i], moveCost))
	}
	return p.selectPlans(current, plans, moveCost)
}

// plan is the best candidate for one layer.
type plan struct {
	index int
	next  Layer
	moves int
	// before and after are the predicted skews of the current and the next layer.
	before, after float64
	// replanned and improved have no name if they were not computed.
	replanned, improved Candidate
}

func (pl *plan) gain(moveCost float64) float64 {
	return pl.before - pl.after - moveCost*float64(pl.moves)
}

func (p *Planner) decideLayer(i int, current Layer, moveCost float64) plan {
	f := &p.forecasts[i]
	out := plan{index: i, next: current, before: 1, after: 1}
	if f.level == nil {
		return out
	}
	l := &Load{Shape: p.shape, Tokens: f.predict(p.lag), Speeds: p.speeds}
	out.before = Skew(l, current)
	out.after = out.before
	moveCost = max(moveCost, minSkewGain/float64(p.shape.Ranks))
	minGain := max(minSkewGain, f.samplingNoise(p.shape.Ranks))
	if out.before-LowerBound(l) < minGain {
		return out
	}
	improved := Improve(l, current, moveCost, 2*p.shape.Slots())
	out.improved = p.newCandidate("improve", l, current, improved, moveCost)
	candidates := []Layer{improved}
	if p.mayReplanWin(l, out.before-minGain, out.improved, moveCost) {
		replanned := Align(l, current, Replan(l, p.rng))
		out.replanned = p.newCandidate("replan", l, current, replanned, moveCost)
		candidates = append(candidates, replanned)
	}
	for _, next := range candidates {
		moves := CountMoves(p.shape, current, next)
		after := Skew(l, next)
		if out.before-after < minGain || out.before-after-moveCost*float64(moves) <= out.gain(moveCost) {
			continue
		}
		out.next, out.moves, out.after = next, moves, after
	}
	return out
}

// mayReplanWin reports whether a new plan, at the lower bound of the skew and with
// few moves, would cost less than the incremental improvement.
func (p *Planner) mayReplanWin(l *Load, before float64, improved Candidate, moveCost float64) bool {
	const fewMoves = 8
	lowestCost := LowerBound(l) + fewMoves*moveCost
	return lowestCost < min(before, improved.Cost-minSkewGain)
}

func (p *Planner) newCandidate(name string, l *Load, current, next Layer, moveCost float64) Candidate {
	moves := CountMoves(p.shape, current, next)
	skew := Skew(l, next)
	return Candidate{Name: name, Skew: skew, Moves: moves, Bytes: int64(moves) * p.costs.ExpertBytes, Cost: skew + moveCost*float64(moves)}
}

// selectPlans applies the plans with the highest gain per move within maxMoves.
func (p *Planner) selectPlans(current []Layer, plans []plan, moveCost float64) *Decision {
	d := &Decision{Layers: append([]Layer(nil), current...)}
	order := append([]plan(nil), plans...)
	sort.SliceStable(order, func(i, j int) bool {
		return order[i].gain(moveCost)*float64(order[j].moves) > order[j].gain(moveCost)*float64(order[i].moves)
	})
	after := make([]float64, len(plans))
	for i, pl := range plans {
		after[i] = pl.before
		d.SkewBefore += pl.before / float64(len(plans))
	}
	for _, pl := range order {
		if pl.moves == 0 || d.Moves+pl.moves > p.maxMoves {
			continue
		}
		d.Layers[pl.index] = pl.next
		d.Moves += pl.moves
		d.Changed = append(d.Changed, pl.index)
		after[pl.index] = pl.after
	}
	sort.Ints(d.Changed)
	d.SkewAfter = sum(after) / float64(max(len(after), 1))
	d.Candidates = sumCandidates(plans)
	d.Reason = p.reason(d)
	return d
}

// sumCandidates combines the candidates of all layers. It leaves out replan unless
// every layer was replanned.
func sumCandidates(plans []plan) []Candidate {
	stay := Candidate{Name: "stay"}
	improve := Candidate{Name: "improve"}
	replan := Candidate{Name: "replan"}
	n := float64(max(len(plans), 1))
	add := func(to *Candidate, c Candidate) {
		to.Skew += c.Skew / n
		to.Cost += c.Cost / n
		to.Moves += c.Moves
		to.Bytes += c.Bytes
	}
	replannedLayers := 0
	for _, pl := range plans {
		add(&stay, Candidate{Skew: pl.before, Cost: pl.before})
		add(&improve, pl.improved)
		if pl.replanned.Name != "" {
			replannedLayers++
			add(&replan, pl.replanned)
		}
	}
	if replannedLayers < len(plans) || replannedLayers == 0 {
		return []Candidate{stay, improve}
	}
	return []Candidate{stay, improve, replan}
}

// reason describes the cause of the decision: slow ranks, or a change of demand.
func (p *Planner) reason(d *Decision) string {
	slowRanks := 0
	for _, v := range p.speeds {
		if v < slowSpeed {
			slowRanks++
		}
	}
	switch {
	case d.Moves == 0:
		return "no move is worth its price"
	case slowRanks > 0:
		return fmt.Sprintf("%d slow ranks get less", slowRanks)
	}
	return "popularity has drifted"
}

// slowSpeed is the speed below which a rank counts as slow in the reason.
const slowSpeed = 0.9
