package planner

import (
	"math/rand/v2"
	"sort"
)

// Limits of the search.
const (
	// maxSwaps is the maximum number of swaps of one local search.
	maxSwaps = 400
	// maxPerturbations is the maximum number of local searches from a perturbed
	// placement.
	maxPerturbations = 6
	// perturbationSwaps is the number of random swaps tried in one perturbation.
	perturbationSwaps = 3
	// targetRatio is the ratio of the skew to its lower bound at which a search
	// ends.
	targetRatio = 1.0015
	// minRelativeGain is the relative reduction of the highest load below which a
	// search ends.
	minRelativeGain = 1e-6
)

// Replan returns a new placement, independent of the current one, by
// longest-processing-time scheduling and an iterated local search.
func Replan(l *Load, rng *rand.Rand) Layer {
	s := newState(l, place(l, newCounts(l)))
	s.descend(maxSwaps)
	bound := LowerBound(l) * l.balancedTime()
	best := append(Layer(nil), s.layer...)
	bestMax := s.maxLoad()
	for range maxPerturbations {
		if bestMax <= bound*targetRatio {
			break
		}
		s.perturb(rng)
		s.descend(maxSwaps)
		if m := s.maxLoad(); m < bestMax {
			bestMax = m
			copy(best, s.layer)
			continue
		}
		s = newState(l, best)
	}
	return best
}

// place puts each replica, the hottest first, on the rank that has the lowest load
// with it, as longest-processing-time scheduling does.
func place(l *Load, counts []int) Layer {
	order := make([]uint16, 0, l.Slots())
	for e, c := range counts {
		for range c {
			order = append(order, uint16(e))
		}
	}
	replicaTokens := func(e uint16) float64 { return l.Tokens[e] / float64(counts[e]) }
	sort.SliceStable(order, func(i, j int) bool { return replicaTokens(order[i]) > replicaTokens(order[j]) })
	layer := make(Layer, l.Slots())
	used := make([]int, l.Ranks)
	load := make([]float64, l.Ranks)
	for _, e := range order {
		r := leastLoaded(l, layer, used, load, e, replicaTokens(e))
		layer[r*l.SlotsPerRank+used[r]] = e
		used[r]++
		load[r] += replicaTokens(e) / l.Speeds[r]
	}
	return layer
}

// leastLoaded returns the rank with a free slot that has the lowest load with a
// further replica of e. It prefers ranks that do not hold e yet.
func leastLoaded(l *Load, layer Layer, used []int, load []float64, e uint16, replicaTokens float64) int {
	best, bestHas := -1, false
	for r := range l.Ranks {
		if used[r] == l.SlotsPerRank {
			continue
		}
		first := r * l.SlotsPerRank
		has := contains(layer[first:first+used[r]], e)
		better := best < 0 || bestHas && !has ||
			bestHas == has && load[r]+replicaTokens/l.Speeds[r] < load[best]+replicaTokens/l.Speeds[best]
		if better && (best < 0 || bestHas || !has) {
			best, bestHas = r, has
		}
	}
	return best
}

// descend applies at most limit swaps, each the best one for the most loaded rank,
// while they reduce its load.
func (s *state) descend(limit int) {
	for range limit {
		rank := s.mostLoadedRank()
		sw, ok := s.bestSwap(rank)
		if !ok || sw.newMax > s.load[rank]*(1-minRelativeGain) {
			return
		}
		s.applySwap(sw)
	}
}

// perturb applies random swaps. It skips those that would put an expert on a rank
// twice.
func (s *state) perturb(rng *rand.Rand) {
	for tried := 0; tried < perturbationSwaps; {
		a, b := rng.IntN(len(s.layer)), rng.IntN(len(s.layer))
		ra, rb := a/s.SlotsPerRank, b/s.SlotsPerRank
		tried++
		if ra == rb || s.holds(ra, s.layer[b]) || s.holds(rb, s.layer[a]) {
			continue
		}
		s.applySwap(swap{a: a, b: b})
	}
}

// Improve changes the current placement greedily by swaps and replacements, up to
// about maxMoves moves, and returns the intermediate placement whose skew plus
// moveCost for each move is lowest.
func Improve(l *Load, current Layer, moveCost float64, maxMoves int) Layer {
	balancedTime := l.balancedTime()
	if balancedTime == 0 {
		return current
	}
	s := newState(l, current)
	best := append(Layer(nil), current...)
	bestCost := s.maxLoad() / balancedTime
	bound := LowerBound(l)
	for moves := 0; moves < maxMoves; {
		if bound+moveCost*float64(CountMoves(l.Shape, current, s.layer)) >= bestCost || s.maxLoad() <= bound*balancedTime*targetRatio {
			break
		}
		applied := s.improveOnce()
		if applied == 0 {
			break
		}
		moves += applied
		cost := s.maxLoad()/balancedTime + moveCost*float64(CountMoves(l.Shape, current, s.layer))
		if cost < bestCost {
			bestCost = cost
			copy(best, s.layer)
		}
	}
	return best
}

// improveOnce applies the best swap or the best replacement, whichever reduces the
// highest load more per move, and returns the number of moves, 0 if it applied
// neither.
func (s *state) improveOnce() int {
	rank := s.mostLoadedRank()
	before := s.load[rank]
	sw, swapFound := s.bestSwap(rank)
	r, replaceFound := s.bestReplacement(rank)
	swapGain, replaceGain := (before-sw.newMax)/2, before-r.newMax
	switch {
	case replaceFound && (!swapFound || replaceGain >= swapGain):
		s.replace(r.slot, r.expert)
		return 1
	case swapFound && sw.newMax < before*(1-minRelativeGain):
		s.applySwap(sw)
		return 2
	}
	return 0
}

// Align permutes ranks of equal speed in a new placement, so that it needs few
// moves from the current one. It matches ranks greedily by the experts that they
// have in common.
func Align(l *Load, current, next Layer) Layer {
	type pair struct{ from, to, common int }
	var pairs []pair
	for from := range l.Ranks {
		for to := range l.Ranks {
			if l.Speeds[from] == l.Speeds[to] {
				pairs = append(pairs, pair{from: from, to: to, common: countCommon(l.Shape, next, from, current, to)})
			}
		}
	}
	sort.SliceStable(pairs, func(i, j int) bool { return pairs[i].common > pairs[j].common })
	out := make(Layer, len(next))
	fromUsed, toUsed := make([]bool, l.Ranks), make([]bool, l.Ranks)
	for _, p := range pairs {
		if fromUsed[p.from] || toUsed[p.to] {
			continue
		}
		fromUsed[p.from], toUsed[p.to] = true, true
		copy(out[p.to*l.SlotsPerRank:(p.to+1)*l.SlotsPerRank], next[p.from*l.SlotsPerRank:(p.from+1)*l.SlotsPerRank])
	}
	return out
}

func countCommon(s Shape, a Layer, ra int, b Layer, rb int) int {
	n := 0
	for _, e := range a[ra*s.SlotsPerRank : (ra+1)*s.SlotsPerRank] {
		if contains(b[rb*s.SlotsPerRank:(rb+1)*s.SlotsPerRank], e) {
			n++
		}
	}
	return n
}
