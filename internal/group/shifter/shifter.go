// Package shifter plans the next expert map of a lock-step group: from the
// present one, in steps that each rank can copy, to one under which the most
// loaded rank of each set of layers carries less.
//
// Load pattern: other experts come into demand at once, several times a minute.
package shifter

import "sort"

// Placement holds the experts by set of layers and rank. A rank holds an expert
// at most once, and every expert is held by a rank.
type Placement [][][]int

// Clone returns a copy that shares nothing.
func (p Placement) Clone() Placement {
	out := make(Placement, len(p))
	for s, ranks := range p {
		out[s] = make([][]int, len(ranks))
		for r, list := range ranks {
			out[s][r] = append([]int(nil), list...)
		}
	}
	return out
}

// Bounds limit a plan.
type Bounds struct {
	// Places is the most experts of a rank in one set.
	Places int
	// Spare is the most new experts of a rank in one set.
	Spare int
	// Slowness is how many times longer each rank takes than a sound one; nil says
	// that all are sound.
	Slowness []float64
}

// slowness is that of one rank.
func (b Bounds) slowness(rank int) float64 {
	if rank < len(b.Slowness) {
		return max(b.Slowness[rank], 1)
	}
	return 1
}

// Plan is a next placement with what it is expected to bring.
type Plan struct {
	Placement Placement
	// Before and After are the load of the most loaded rank over the mean, as the
	// mean over the sets.
	Before, After float64
	// Copies counts the experts that ranks have to copy, Most those of the rank
	// that copies most.
	Copies, Most int
}

// Limits of the search.
const (
	// maxSteps bounds the steps for one set, maxVain those without a better end.
	maxSteps = 120
	maxVain  = 12
	// maxTargets bounds the ranks that may take load in one step.
	maxTargets = 14
	// minGain is the relative lowering of the cost below which a step is none.
	minGain = 0.0005
	// copyPrice is the skew that one copy must save, times the ranks that gain by it:
	// a copy moves hundreds of megabytes, and both users price that.
	copyPrice = 0.48
	// rounding is that of sums in another order.
	rounding = 1e-9
)

// Next plans from the present placement for a demand by set and expert.
func Next(present Placement, demand [][]float64, b Bounds) Plan {
	out := Plan{Placement: present.Clone()}
	for s := range present {
		st := newState(present[s], demand[s], b)
		out.Before += st.skew() / float64(len(present))
		st.improve()
		out.After += st.skew() / float64(len(present))
		out.Placement[s] = st.lists()
		copies, most := st.copies()
		out.Copies += copies
		out.Most += most
	}
	return out
}

// Skew is the load of the most loaded rank over the mean, as the mean over the
// sets.
func Skew(p Placement, demand [][]float64) float64 {
	total := 0.0
	for s := range p {
		total += newState(p[s], demand[s], Bounds{}).skew() / float64(len(p))
	}
	return total
}

// state is one set while it is planned.
type state struct {
	Bounds
	demand []float64
	// has says which rank holds which expert, had which held it at first.
	has, had [][]bool
	// holders counts the ranks of each expert; at least 1.
	holders []int
	// held and added count the experts of each rank, and the new ones among them.
	held, added []int
	load        []float64
	mean        float64
}

func newState(ranks [][]int, demand []float64, b Bounds) *state {
	s := &state{
		Bounds: b, demand: demand, holders: make([]int, len(demand)), held: make([]int, len(ranks)),
		added: make([]int, len(ranks)), load: make([]float64, len(ranks)),
	}
	for r, list := range ranks {
		s.has = append(s.has, make([]bool, len(demand)))
		s.had = append(s.had, make([]bool, len(demand)))
		s.held[r] = len(list)
		for _, e := range list {
			s.has[r][e], s.had[r][e] = true, true
			s.holders[e]++
		}
	}
	total := 0.0
	for e, d := range demand {
		total += d
		for r := range ranks {
			if s.has[r][e] {
				s.load[r] += s.slowness(r) * d / float64(s.holders[e])
			}
		}
	}
	s.mean = total / float64(len(ranks))
	return s
}

func (s *state) skew() float64 {
	if s.mean == 0 {
		return 1
	}
	return s.load[s.heaviest()] / s.mean
}

func (s *state) heaviest() int {
	best := 0
	for r, v := range s.load {
		if v > s.load[best] {
			best = r
		}
	}
	return best
}

// change gives expert e to rank to, or moves it there from rank from; out is
// dropped at rank to, and in is given to rank from in exchange. -1 is none.
type change struct {
	e, to, from, out, in int
}

// improve follows the steepest way down and stops where skew and copies together
// cost the least. Several ranks may have to give before the highest load falls.
func (s *state) improve() {
	best, bestWorth := s.snapshot(), s.worth()
	for step, bestStep := 0, 0; step < maxSteps && step-bestStep < maxVain; step++ {
		c, ok := s.steepest()
		if !ok {
			break
		}
		s.apply(c)
		if worth := s.worth(); worth < bestWorth {
			best, bestWorth, bestStep = s.snapshot(), worth, step
		}
	}
	s.restore(best)
}

// worth is what skew and copies cost together, in units of skew.
func (s *state) worth() float64 {
	copies, _ := s.copies()
	return s.skew() + copyPrice*float64(copies)/float64(len(s.load))
}

// steepest finds the change that lowers the highest load the most.
func (s *state) steepest() (change, bool) {
	before, highest := s.cost(), s.load[s.heaviest()]
	best, bestCost := change{e: -1}, before
	for _, c := range s.candidates() {
		s.apply(c)
		if cost := s.cost(); cost < bestCost && s.load[s.heaviest()] <= highest*(1+rounding) {
			best, bestCost = c, cost
		}
		s.revert(c)
	}
	return best, best.e >= 0 && bestCost < before*(1-minGain)
}

// snapshot copies which rank holds which expert.
func (s *state) snapshot() [][]bool {
	out := make([][]bool, len(s.has))
	for r := range s.has {
		out[r] = append([]bool(nil), s.has[r]...)
	}
	return out
}

// restore goes back to a snapshot.
func (s *state) restore(has [][]bool) {
	for r := range has {
		for e, want := range has[r] {
			if want && !s.has[r][e] {
				s.add(r, e)
			}
		}
	}
	for r := range has {
		for e, want := range has[r] {
			if !want && s.has[r][e] {
				s.drop(r, e)
			}
		}
	}
}

// squareWeight makes a change that lowers the second heaviest rank too better
// than one that does not.
const squareWeight = 0.02

// cost is the highest load, with a little of the spread.
func (s *state) cost() float64 {
	highest, squares := 0.0, 0.0
	for _, v := range s.load {
		highest = max(highest, v)
		squares += (v - s.mean) * (v - s.mean)
	}
	if s.mean == 0 {
		return 0
	}
	return highest + squareWeight*squares/s.mean
}

// candidates are the changes that take load from the heaviest rank.
func (s *state) candidates() []change {
	m := s.heaviest()
	targets := s.lightest()
	var out []change
	for e := range s.demand {
		if !s.has[m][e] || s.demand[e] == 0 {
			continue
		}
		for _, r := range targets {
			if r == m || s.has[r][e] || !s.mayAdd(r, e) {
				continue
			}
			out = s.candidatesTo(out, e, r, m)
		}
	}
	return out
}

// lightest returns the ranks that carry the least, the least first: in a large
// group the others would not be chosen.
func (s *state) lightest() []int {
	out := make([]int, len(s.load))
	for r := range out {
		out[r] = r
	}
	sort.Slice(out, func(i, j int) bool { return s.load[out[i]] < s.load[out[j]] })
	return out[:min(len(out), maxTargets)]
}

func (s *state) mayAdd(r, e int) bool { return s.had[r][e] || s.added[r] < s.Spare }

// candidatesTo lists the ways to give an expert of rank m to rank r.
func (s *state) candidatesTo(out []change, e, r, m int) []change {
	if s.held[r] < s.Places {
		out = append(out, change{e: e, to: r, from: -1, out: -1, in: -1}, change{e: e, to: r, from: m, out: -1, in: -1})
	}
	for f := range s.demand {
		if !s.has[r][f] || f == e {
			continue
		}
		if s.holders[f] > 1 {
			out = append(out, change{e: e, to: r, from: -1, out: f, in: -1}, change{e: e, to: r, from: m, out: f, in: -1})
		}
		if !s.has[m][f] && s.mayAdd(m, f) && s.demand[f] < s.demand[e] {
			out = append(out, change{e: e, to: r, from: m, out: f, in: f})
		}
	}
	return out
}

func (s *state) apply(c change) {
	if c.out >= 0 {
		s.drop(c.to, c.out)
	}
	s.add(c.to, c.e)
	if c.from >= 0 {
		s.drop(c.from, c.e)
	}
	if c.in >= 0 {
		s.add(c.from, c.in)
	}
}

func (s *state) revert(c change) {
	if c.in >= 0 {
		s.drop(c.from, c.in)
	}
	if c.from >= 0 {
		s.add(c.from, c.e)
	}
	s.drop(c.to, c.e)
	if c.out >= 0 {
		s.add(c.to, c.out)
	}
}

// add gives an expert to a rank.
func (s *state) add(r, e int) {
	s.share(e, -1)
	s.has[r][e] = true
	s.holders[e]++
	s.held[r]++
	if !s.had[r][e] {
		s.added[r]++
	}
	s.share(e, 1)
}

// drop takes an expert from a rank. In an exchange it has no holder for a moment.
func (s *state) drop(r, e int) {
	s.share(e, -1)
	s.has[r][e] = false
	s.holders[e]--
	s.held[r]--
	if !s.had[r][e] {
		s.added[r]--
	}
	s.share(e, 1)
}

// share adds sign times an expert's demand to the ranks that hold it.
func (s *state) share(e int, sign float64) {
	if s.holders[e] == 0 {
		return
	}
	part := sign * s.demand[e] / float64(s.holders[e])
	for r := range s.has {
		if s.has[r][e] {
			s.load[r] += s.slowness(r) * part
		}
	}
}

func (s *state) lists() [][]int {
	out := make([][]int, len(s.has))
	for r := range s.has {
		out[r] = []int{}
		for e, ok := range s.has[r] {
			if ok {
				out[r] = append(out[r], e)
			}
		}
		sort.Ints(out[r])
	}
	return out
}

// copies counts the new experts of all ranks, and of the one with the most.
func (s *state) copies() (total, most int) {
	for _, n := range s.added {
		total += n
		most = max(most, n)
	}
	return total, most
}
