package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Prices say what skew and moves are worth.
type Prices struct {
	// StepSkewWeight prices a second of step time lost to skew.
	StepSkewWeight float64
	// RebalanceCostWeight prices a second of transfer.
	RebalanceCostWeight float64
	// ExpertBytes is the size of one expert of one layer.
	ExpertBytes int64
	// CopyRate is the byte budget of transfers, in bytes a second.
	CopyRate int64
	// Horizon is the time for which a placement is expected to last.
	Horizon time.Duration
}

// perMove is the price of one move in units of one layer's skew.
func (p Prices) perMove(layers int) float64 {
	if p.StepSkewWeight == 0 {
		return math.Inf(1)
	}
	transfer := float64(p.ExpertBytes) / float64(p.CopyRate)
	return p.RebalanceCostWeight * transfer * float64(layers) / (p.StepSkewWeight * p.Horizon.Seconds())
}

// Smoothing of the observed loads.
const (
	// levelWeight is the weight of the newest window in the level.
	levelWeight = 0.35
	// trendWeight is the weight of the newest change in the trend.
	trendWeight = 0.08
	// changeFraction is the part of the demand whose move within a window tells a
	// sudden change from drift.
	changeFraction = 0.1
	// minMoveGain is the least lowering of a layer's skew that is worth a change.
	minMoveGain = 0.004
)

// forecast is the demand of one layer, with its trend.
type forecast struct {
	level []float64
	trend []float64
	// tokens is the smoothed number of tokens in a window.
	tokens float64
	// windows counts those taken in since the level was last set.
	windows float64
	// variance is that of the level over that of one window; 1 at the start.
	variance float64
}

// noise is the skew that a perfectly balanced placement would show because the
// counts are a sample: the expected highest of all ranks' deviations. Two samples
// count, the one by which the placement was made and the present one.
func (f *forecast) noise(ranks int) float64 {
	if ranks < 2 || f.tokens == 0 {
		return 0
	}
	deviation := math.Sqrt(2 * float64(ranks) * f.variance / f.tokens)
	return deviation * math.Sqrt(2*math.Log(float64(ranks)))
}

// observe takes in one window of counts.
func (f *forecast) observe(counts []float64) {
	total := sum(counts)
	if total == 0 {
		return
	}
	if f.level == nil || f.hasChanged(counts, total) {
		f.set(counts, total)
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

// set forgets the past.
func (f *forecast) set(counts []float64, total float64) {
	f.level, f.trend = make([]float64, len(counts)), make([]float64, len(counts))
	for e, c := range counts {
		f.level[e] = c / total
	}
	f.tokens, f.windows, f.variance = total, 1, 1
}

// hasChanged reports whether more of the demand has moved to other experts than
// drift and sampling explain.
func (f *forecast) hasChanged(counts []float64, total float64) bool {
	moved, sampling := 0.0, 0.0
	for e, c := range counts {
		moved += math.Abs(c/total-f.level[e]) / 2
		sampling += math.Sqrt(f.level[e] / total)
	}
	return moved > changeFraction+sampling
}

// ahead is the demand expected some windows ahead.
func (f *forecast) ahead(windows float64) []float64 {
	out := make([]float64, len(f.level))
	for e := range out {
		out[e] = max(f.level[e]+windows*f.trend[e], f.level[e]/2)
	}
	return out
}

// Choice is one way that was weighed for the next map.
type Choice struct {
	Name string `json:"name"`
	// Skew is the predicted mean over the layers.
	Skew  float64 `json:"predicted_skew"`
	Moves int     `json:"moves"`
	Bytes int64   `json:"bytes"`
	// Cost joins skew and moves by the prices, in units of mean skew.
	Cost float64 `json:"cost"`
}

// Decision is a planner's word on the next map.
type Decision struct {
	// Layers is the next placement; it equals the present one when Moved is 0.
	Layers []Layer `json:"-"`
	// Changed lists the layers that differ from the present placement.
	Changed []int    `json:"changed_layers"`
	Moved   int      `json:"moves"`
	Before  float64  `json:"predicted_skew_before"`
	After   float64  `json:"predicted_skew_after"`
	Reason  string   `json:"reason"`
	Weighed []Choice `json:"weighed"`
}

// Planner plans for one group. It is used by one goroutine.
type Planner struct {
	shape  Shape
	layers int
	prices Prices
	// maxMoves bounds the moves of one decision over all layers.
	maxMoves int
	// lag is how many windows the counts are behind.
	lag       float64
	forecasts []forecast
	speeds    []float64
	rng       *rand.Rand
}

// Option configures a Planner.
type Option func(*Planner)

// WithMaxMoves bounds the moves of one decision.
func WithMaxMoves(n int) Option { return func(p *Planner) { p.maxMoves = n } }

// WithLag sets by how many windows the forecast looks ahead.
func WithLag(windows float64) Option { return func(p *Planner) { p.lag = windows } }

// WithSeed sets the seed of the search.
func WithSeed(seed uint64) Option {
	return func(p *Planner) { p.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a Planner for a group's shape.
func New(shape Shape, layers int, prices Prices, opts ...Option) *Planner {
	p := &Planner{
		shape: shape, layers: layers, prices: prices, maxMoves: math.MaxInt, lag: 1,
		forecasts: make([]forecast, layers), speeds: EvenSpeeds(shape.Ranks), rng: rand.New(rand.NewPCG(1, 1)),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Observe takes in one window of token counts, one row a layer. A missing row
// is a gap.
func (p *Planner) Observe(counts [][]float64) {
	for i, row := range counts {
		if len(row) == p.shape.Experts {
			p.forecasts[i].observe(row)
		}
	}
}

// minSpeed bounds how little a slow rank may get.
const minSpeed = 0.05

// SetSpeeds takes in the measured speeds of the ranks.
func (p *Planner) SetSpeeds(speeds []float64) {
	for r, v := range speeds {
		p.speeds[r] = max(v, minSpeed)
	}
}

// Decide weighs staying, improving step by step, and planning anew, for each
// layer, and keeps to the bound on moves by taking the best layers first.
func (p *Planner) Decide(present []Layer) *Decision {
	price := p.prices.perMove(p.layers)
	plans := make([]plan, 0, p.layers)
	for i := range present {
		plans = append(plans, p.decideLayer(i, present[i], price))
	}
	return p.join(present, plans, price)
}

// plan is what was weighed for one layer.
type plan struct {
	index               int
	next                Layer
	moves               int
	before, after       float64
	replanned, improved Choice
}

func (pl *plan) gain(price float64) float64 {
	return pl.before - pl.after - price*float64(pl.moves)
}

func (p *Planner) decideLayer(i int, present Layer, price float64) plan {
	f := &p.forecasts[i]
	out := plan{index: i, next: present, before: 1, after: 1}
	if f.level == nil {
		return out
	}
	l := &Load{Shape: p.shape, Tokens: f.ahead(p.lag), Speeds: p.speeds}
	out.before = Skew(l, present)
	out.after = out.before
	price = max(price, minMoveGain/float64(p.shape.Ranks))
	least := max(minMoveGain, f.noise(p.shape.Ranks))
	if out.before-LowerBound(l) < least {
		return out
	}
	improved := Improve(l, present, price, 2*p.shape.Slots())
	out.improved = p.newChoice("improve", l, present, improved, price)
	candidates := []Layer{improved}
	if p.worthReplan(l, out.before-least, out.improved, price) {
		replanned := Align(l, present, Replan(l, p.rng))
		out.replanned = p.newChoice("replan", l, present, replanned, price)
		candidates = append(candidates, replanned)
	}
	for _, next := range candidates {
		moves := Moves(p.shape, present, next)
		after := Skew(l, next)
		if out.before-after < least || out.before-after-price*float64(moves) <= out.gain(price) {
			continue
		}
		out.next, out.moves, out.after = next, moves, after
	}
	return out
}

// worthReplan reports whether a full plan, even at the lower bound and with few
// moves, could beat the step-wise improvement.
func (p *Planner) worthReplan(l *Load, before float64, improved Choice, price float64) bool {
	const fewMoves = 8
	best := LowerBound(l) + fewMoves*price
	return best < min(before, improved.Cost-minMoveGain)
}

func (p *Planner) newChoice(name string, l *Load, present, next Layer, price float64) Choice {
	moves := Moves(p.shape, present, next)
	skew := Skew(l, next)
	return Choice{Name: name, Skew: skew, Moves: moves, Bytes: int64(moves) * p.prices.ExpertBytes, Cost: skew + price*float64(moves)}
}

// join takes the layers with the most gain for each move within maxMoves.
func (p *Planner) join(present []Layer, plans []plan, price float64) *Decision {
	d := &Decision{Layers: append([]Layer(nil), present...)}
	order := append([]plan(nil), plans...)
	sort.SliceStable(order, func(i, j int) bool {
		return order[i].gain(price)*float64(order[j].moves) > order[j].gain(price)*float64(order[i].moves)
	})
	after := make([]float64, len(plans))
	for i, pl := range plans {
		after[i] = pl.before
		d.Before += pl.before / float64(len(plans))
	}
	for _, pl := range order {
		if pl.moves == 0 || d.Moved+pl.moves > p.maxMoves {
			continue
		}
		d.Layers[pl.index] = pl.next
		d.Moved += pl.moves
		d.Changed = append(d.Changed, pl.index)
		after[pl.index] = pl.after
	}
	sort.Ints(d.Changed)
	d.After = sum(after) / float64(max(len(after), 1))
	d.Weighed = weighed(plans)
	d.Reason = p.reason(d)
	return d
}

// weighed sums the ways over the layers.
func weighed(plans []plan) []Choice {
	stay := Choice{Name: "stay"}
	improve := Choice{Name: "improve"}
	replan := Choice{Name: "replan"}
	n := float64(max(len(plans), 1))
	add := func(to *Choice, c Choice) {
		to.Skew += c.Skew / n
		to.Cost += c.Cost / n
		to.Moves += c.Moves
		to.Bytes += c.Bytes
	}
	replans := 0
	for _, pl := range plans {
		add(&stay, Choice{Skew: pl.before, Cost: pl.before})
		add(&improve, pl.improved)
		if pl.replanned.Name != "" {
			replans++
			add(&replan, pl.replanned)
		}
	}
	if replans < len(plans) || replans == 0 {
		return []Choice{stay, improve}
	}
	return []Choice{stay, improve, replan}
}

// reason tells load from slow ranks as the cause of the skew.
func (p *Planner) reason(d *Decision) string {
	slow := 0
	for _, v := range p.speeds {
		if v < slowSpeed {
			slow++
		}
	}
	switch {
	case d.Moved == 0:
		return "no move is worth its price"
	case slow > 0:
		return fmt.Sprintf("%d slow ranks get less", slow)
	}
	return "popularity has drifted"
}

// slowSpeed is the speed below which a rank counts as slow.
const slowSpeed = 0.9
