package shifter

import (
	"slices"
	"sort"
)

// state is the search state of one layer set. A search tries thousands of changes, so what
// a change affects is found through lists, without scans of all ranks or experts.
type state struct {
	Bounds
	demand []float64
	// holds says which rank holds which expert, heldBefore which held it at the start.
	holds, heldBefore [][]bool
	// rankExperts lists the experts of each rank, expertRanks the ranks of each expert, in
	// any order. Both agree with holds.
	rankExperts, expertRanks [][]int
	// added counts the experts of each rank that it did not hold at the start.
	added []int
	load  []float64
	mean  float64
	// loadSum and squareSum are the sums of the loads and of their squares.
	loadSum, squareSum float64
}

func newState(ranks [][]int, demand []float64, b Bounds) *state {
	s := &state{
		Bounds: b, demand: demand, expertRanks: make([][]int, len(demand)), rankExperts: make([][]int, len(ranks)),
		added: make([]int, len(ranks)), load: make([]float64, len(ranks)),
	}
	total := 0.0
	for _, d := range demand {
		total += d
	}
	s.mean = total / float64(len(ranks))
	for r, list := range ranks {
		s.holds = append(s.holds, make([]bool, len(demand)))
		s.heldBefore = append(s.heldBefore, make([]bool, len(demand)))
		for _, e := range list {
			s.heldBefore[r][e] = true
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
	return s.load[s.mostLoaded()] / s.mean
}

func (s *state) mostLoaded() int {
	best := 0
	for r, v := range s.load {
		if v > s.load[best] {
			best = r
		}
	}
	return best
}

// change adds an expert to rank to. If from is a rank, the expert moves from there. If
// dropped is an expert, it is removed from rank to; if returned is an expert, rank from
// gets it in exchange. -1 means none.
type change struct {
	expert, to, from, dropped, returned int
}

// improve applies the best change again and again and returns to the state with the lowest
// total cost. Several ranks may have to shed load before the highest load falls, so it
// also passes through states of a higher cost.
func (s *state) improve() {
	best, bestCost := s.lists(), s.totalCost()
	for step, bestStep := 0, 0; step < maxSteps && step-bestStep < maxStepsWithoutGain; step++ {
		c, ok := s.bestChange()
		if !ok {
			break
		}
		s.apply(c)
		if cost := s.totalCost(); cost < bestCost {
			best, bestCost, bestStep = s.lists(), cost, step
		}
	}
	s.restore(best)
}

// totalCost is the cost of skew and copies together, in units of skew.
func (s *state) totalCost() float64 {
	copies, _ := s.copies()
	return s.skew() + copyCost*float64(copies)/float64(len(s.load))
}

// bestChange returns the change that lowers the load cost the most.
func (s *state) bestChange() (change, bool) {
	loadBefore := s.load[s.mostLoaded()]
	costBefore := s.loadCost(loadBefore)
	best, bestCost := change{expert: -1}, costBefore
	for _, c := range s.candidates() {
		s.apply(c)
		loadAfter := s.load[s.mostLoaded()]
		if cost := s.loadCost(loadAfter); cost < bestCost && loadAfter <= loadBefore*(1+roundingTolerance) {
			best, bestCost = c, cost
		}
		s.revert(c)
	}
	return best, best.expert >= 0 && bestCost < costBefore*(1-minRelativeGain)
}

// restore returns to a state that was saved by lists.
func (s *state) restore(lists [][]int) {
	for r, list := range lists {
		for _, e := range list {
			if !s.holds[r][e] {
				s.add(r, e)
			}
		}
	}
	for r, list := range lists {
		for _, e := range slices.Clone(s.rankExperts[r]) {
			if _, keep := slices.BinarySearch(list, e); !keep {
				s.drop(r, e)
			}
		}
	}
}

// deviationWeight makes a change that also lowers the second highest load better than one
// that does not.
const deviationWeight = 0.02

// loadCost is the highest load plus a small weight of the loads' squared deviations.
func (s *state) loadCost(highest float64) float64 {
	if s.mean == 0 {
		return 0
	}
	n := float64(len(s.load))
	return highest + deviationWeight*(s.squareSum-2*s.mean*s.loadSum+n*s.mean*s.mean)/s.mean
}

// candidates lists the changes that take load from the most loaded rank.
func (s *state) candidates() []change {
	source := s.mostLoaded()
	targets := s.leastLoaded()
	var out []change
	for _, e := range sortedCopy(s.rankExperts[source]) {
		if s.demand[e] == 0 {
			continue
		}
		for _, r := range targets {
			if r == source || s.holds[r][e] || !s.mayAdd(r, e) {
				continue
			}
			out = s.appendCandidates(out, e, r, source)
		}
	}
	return out
}

// leastLoaded returns up to maxTargets ranks by ascending load: in a large group the others
// would not be chosen.
func (s *state) leastLoaded() []int {
	out := make([]int, len(s.load))
	for r := range out {
		out[r] = r
	}
	sort.Slice(out, func(i, j int) bool { return s.load[out[i]] < s.load[out[j]] })
	return out[:min(len(out), maxTargets)]
}

func (s *state) mayAdd(r, e int) bool { return s.heldBefore[r][e] || s.added[r] < s.MaxNewExperts }

// appendCandidates appends the changes that add an expert of rank source to rank r.
func (s *state) appendCandidates(out []change, e, r, source int) []change {
	if len(s.rankExperts[r]) < s.MaxExperts {
		out = append(out, change{expert: e, to: r, from: -1, dropped: -1, returned: -1}, change{expert: e, to: r, from: source, dropped: -1, returned: -1})
	}
	for _, other := range s.rankExperts[r] {
		if len(s.expertRanks[other]) > 1 {
			out = append(out, change{expert: e, to: r, from: -1, dropped: other, returned: -1}, change{expert: e, to: r, from: source, dropped: other, returned: -1})
		}
		if !s.holds[source][other] && s.mayAdd(source, other) && s.demand[other] < s.demand[e] {
			out = append(out, change{expert: e, to: r, from: source, dropped: other, returned: other})
		}
	}
	return out
}

func (s *state) apply(c change) {
	if c.dropped >= 0 {
		s.drop(c.to, c.dropped)
	}
	s.add(c.to, c.expert)
	if c.from >= 0 {
		s.drop(c.from, c.expert)
	}
	if c.returned >= 0 {
		s.add(c.from, c.returned)
	}
}

func (s *state) revert(c change) {
	if c.returned >= 0 {
		s.drop(c.from, c.returned)
	}
	if c.from >= 0 {
		s.add(c.from, c.expert)
	}
	s.drop(c.to, c.expert)
	if c.dropped >= 0 {
		s.add(c.to, c.dropped)
	}
}

// add adds an expert to a rank.
func (s *state) add(r, e int) {
	n := float64(len(s.expertRanks[e]))
	if n > 0 {
		s.addLoad(s.expertRanks[e], s.demand[e]/(n+1)-s.demand[e]/n)
	}
	s.holds[r][e] = true
	s.rankExperts[r] = append(s.rankExperts[r], e)
	s.expertRanks[e] = append(s.expertRanks[e], r)
	s.addLoad([]int{r}, s.demand[e]/(n+1))
	if !s.heldBefore[r][e] {
		s.added[r]++
	}
}

// drop removes an expert from a rank. During an exchange the expert may be without a rank.
func (s *state) drop(r, e int) {
	n := float64(len(s.expertRanks[e]))
	s.holds[r][e] = false
	s.rankExperts[r] = remove(s.rankExperts[r], e)
	s.expertRanks[e] = remove(s.expertRanks[e], r)
	s.addLoad([]int{r}, -s.demand[e]/n)
	if n > 1 {
		s.addLoad(s.expertRanks[e], s.demand[e]/(n-1)-s.demand[e]/n)
	}
	if !s.heldBefore[r][e] {
		s.added[r]--
	}
}

// remove removes one value from a list and may reorder it.
func remove(list []int, v int) []int {
	i := slices.Index(list, v)
	last := len(list) - 1
	list[i] = list[last]
	return list[:last]
}

// addLoad adds a share of the demand to each rank, scaled by the rank's slowness.
func (s *state) addLoad(ranks []int, share float64) {
	for _, r := range ranks {
		old := s.load[r]
		v := old + s.slowness(r)*share
		s.load[r] = v
		s.loadSum += v - old
		s.squareSum += v*v - old*old
	}
}

// lists returns the sorted experts of each rank.
func (s *state) lists() [][]int {
	out := make([][]int, len(s.rankExperts))
	for r, list := range s.rankExperts {
		out[r] = sortedCopy(list)
	}
	return out
}

func sortedCopy(list []int) []int {
	out := make([]int, len(list))
	copy(out, list)
	slices.Sort(out)
	return out
}

// copies returns the new experts of all ranks together, and of the rank with the most.
func (s *state) copies() (total, maxPerRank int) {
	for _, n := range s.added {
		total += n
		maxPerRank = max(maxPerRank, n)
	}
	return total, maxPerRank
}
