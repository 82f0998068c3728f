package shifter

import (
	"slices"
	"sort"
)

// state is one set while it is planned. A search tries thousands of changes, so
// what each change touches is found by lists and not by scans of all ranks or
// experts.
type state struct {
	Bounds
	demand []float64
	// has says which rank holds which expert, had which held it at first.
	has, had [][]bool
	// experts lists the experts of each rank, ranks the ranks of each expert; both
	// say what has says, in any order.
	experts, ranks [][]int
	// added counts the new experts of each rank.
	added []int
	load  []float64
	mean  float64
	// sum and squares are the sums of the loads and of their squares.
	sum, squares float64
}

func newState(ranks [][]int, demand []float64, b Bounds) *state {
	s := &state{
		Bounds: b, demand: demand, ranks: make([][]int, len(demand)), experts: make([][]int, len(ranks)),
		added: make([]int, len(ranks)), load: make([]float64, len(ranks)),
	}
	total := 0.0
	for _, d := range demand {
		total += d
	}
	s.mean = total / float64(len(ranks))
	for r, list := range ranks {
		s.has = append(s.has, make([]bool, len(demand)))
		s.had = append(s.had, make([]bool, len(demand)))
		for _, e := range list {
			s.had[r][e] = true
		}
	}
	for r, list := range ranks {
		for _, e := range list {
			s.add(r, e)
		}
	}
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
	best, bestWorth := s.lists(), s.worth()
	for step, bestStep := 0, 0; step < maxSteps && step-bestStep < maxVain; step++ {
		c, ok := s.steepest()
		if !ok {
			break
		}
		s.apply(c)
		if worth := s.worth(); worth < bestWorth {
			best, bestWorth, bestStep = s.lists(), worth, step
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
	highest := s.load[s.heaviest()]
	before := s.costAt(highest)
	best, bestCost := change{e: -1}, before
	for _, c := range s.candidates() {
		s.apply(c)
		now := s.load[s.heaviest()]
		if cost := s.costAt(now); cost < bestCost && now <= highest*(1+rounding) {
			best, bestCost = c, cost
		}
		s.revert(c)
	}
	return best, best.e >= 0 && bestCost < before*(1-minGain)
}

// restore goes back to lists that were taken before.
func (s *state) restore(lists [][]int) {
	for r, list := range lists {
		for _, e := range list {
			if !s.has[r][e] {
				s.add(r, e)
			}
		}
	}
	for r, list := range lists {
		for _, e := range slices.Clone(s.experts[r]) {
			if _, wanted := slices.BinarySearch(list, e); !wanted {
				s.drop(r, e)
			}
		}
	}
}

// squareWeight makes a change that lowers the second heaviest rank too better
// than one that does not.
const squareWeight = 0.02

// costAt is the highest load, with a little of the spread.
func (s *state) costAt(highest float64) float64 {
	if s.mean == 0 {
		return 0
	}
	n := float64(len(s.load))
	return highest + squareWeight*(s.squares-2*s.mean*s.sum+n*s.mean*s.mean)/s.mean
}

// candidates are the changes that take load from the heaviest rank.
func (s *state) candidates() []change {
	m := s.heaviest()
	targets := s.lightest()
	var out []change
	for _, e := range sorted(s.experts[m]) {
		if s.demand[e] == 0 {
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
	if len(s.experts[r]) < s.Places {
		out = append(out, change{e: e, to: r, from: -1, out: -1, in: -1}, change{e: e, to: r, from: m, out: -1, in: -1})
	}
	for _, f := range s.experts[r] {
		if len(s.ranks[f]) > 1 {
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
	n := float64(len(s.ranks[e]))
	if n > 0 {
		s.addLoad(s.ranks[e], s.demand[e]/(n+1)-s.demand[e]/n)
	}
	s.has[r][e] = true
	s.experts[r] = append(s.experts[r], e)
	s.ranks[e] = append(s.ranks[e], r)
	s.addLoad([]int{r}, s.demand[e]/(n+1))
	if !s.had[r][e] {
		s.added[r]++
	}
}

// drop takes an expert from a rank. In an exchange it has no rank for a moment.
func (s *state) drop(r, e int) {
	n := float64(len(s.ranks[e]))
	s.has[r][e] = false
	s.experts[r] = remove(s.experts[r], e)
	s.ranks[e] = remove(s.ranks[e], r)
	s.addLoad([]int{r}, -s.demand[e]/n)
	if n > 1 {
		s.addLoad(s.ranks[e], s.demand[e]/(n-1)-s.demand[e]/n)
	}
	if !s.had[r][e] {
		s.added[r]--
	}
}

// remove takes one value out of a list, whose order may change.
func remove(list []int, v int) []int {
	i := slices.Index(list, v)
	last := len(list) - 1
	list[i] = list[last]
	return list[:last]
}

// addLoad adds a part of the demand to ranks, which take it by their slowness.
func (s *state) addLoad(ranks []int, part float64) {
	for _, r := range ranks {
		old := s.load[r]
		v := old + s.slowness(r)*part
		s.load[r] = v
		s.sum += v - old
		s.squares += v*v - old*old
	}
}

// lists returns the experts of each rank, sorted.
func (s *state) lists() [][]int {
	out := make([][]int, len(s.experts))
	for r, list := range s.experts {
		out[r] = sorted(list)
	}
	return out
}

func sorted(list []int) []int {
	out := make([]int, len(list))
	copy(out, list)
	slices.Sort(out)
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
