package planner

import (
	"math/rand/v2"
	"sort"
)

// Bounds of the search, in steps.
const (
	maxSwaps = 400
	// maxKicks is the number of restarts from a disturbed placement.
	maxKicks = 6
	// kickSwaps is the number of random exchanges of one disturbance.
	kickSwaps = 3
	// closeEnough is a skew over the lower bound at which the search ends.
	closeEnough = 1.0015
	// minGain is the relative lowering below which a search stops.
	minGain = 1e-6
)

// Replan places the experts anew, whatever the present placement.
func Replan(l *Load, rng *rand.Rand) Layer {
	s := newState(l, place(l, newCounts(l)))
	s.descend(maxSwaps)
	bound := LowerBound(l) * l.mean()
	best := append(Layer(nil), s.layer...)
	bestMax := s.max()
	for range maxKicks {
		if bestMax <= bound*closeEnough {
			break
		}
		s.kick(rng)
		s.descend(maxSwaps)
		if m := s.max(); m < bestMax {
			bestMax = m
			copy(best, s.layer)
			continue
		}
		s = newState(l, best)
	}
	return best
}

// place puts the replicas, the hottest first, on the rank that then carries the
// least, as longest-processing-time scheduling does.
func place(l *Load, counts []int) Layer {
	order := make([]uint16, 0, l.Slots())
	for e, c := range counts {
		for range c {
			order = append(order, uint16(e))
		}
	}
	part := func(e uint16) float64 { return l.Tokens[e] / float64(counts[e]) }
	sort.SliceStable(order, func(i, j int) bool { return part(order[i]) > part(order[j]) })
	layer := make(Layer, l.Slots())
	used := make([]int, l.Ranks)
	load := make([]float64, l.Ranks)
	for _, e := range order {
		r := leastLoaded(l, layer, used, load, e, part(e))
		layer[r*l.SlotsPerRank+used[r]] = e
		used[r]++
		load[r] += part(e) / l.Speeds[r]
	}
	return layer
}

// leastLoaded picks the rank for a replica, one without the expert if it can.
func leastLoaded(l *Load, layer Layer, used []int, load []float64, e uint16, part float64) int {
	best, bestHas := -1, false
	for r := range l.Ranks {
		if used[r] == l.SlotsPerRank {
			continue
		}
		first := r * l.SlotsPerRank
		has := contains(layer[first:first+used[r]], e)
		better := best < 0 || bestHas && !has ||
			bestHas == has && load[r]+part/l.Speeds[r] < load[best]+part/l.Speeds[best]
		if better && (best < 0 || bestHas || !has) {
			best, bestHas = r, has
		}
	}
	return best
}

// descend exchanges experts while the most loaded rank gets lighter.
func (s *state) descend(limit int) {
	for range limit {
		rank := s.maxRank()
		w, ok := s.bestSwap(rank)
		if !ok || w.worth > s.load[rank]*(1-minGain) {
			return
		}
		s.applySwap(w)
	}
}

// kick disturbs the placement by random exchanges.
func (s *state) kick(rng *rand.Rand) {
	for n := 0; n < kickSwaps; {
		a, b := rng.IntN(len(s.layer)), rng.IntN(len(s.layer))
		ra, rb := a/s.SlotsPerRank, b/s.SlotsPerRank
		n++
		if ra == rb || s.holds(ra, s.layer[b]) || s.holds(rb, s.layer[a]) {
			continue
		}
		s.applySwap(swap{a: a, b: b})
	}
}

// Improve changes the present placement in few steps. It follows the steepest
// way down and stops where skew plus price for each move is the least.
func Improve(l *Load, present Layer, price float64, maxMoves int) Layer {
	mean := l.mean()
	if mean == 0 {
		return present
	}
	s := newState(l, present)
	best := append(Layer(nil), present...)
	bestCost := s.max() / mean
	bound := LowerBound(l)
	for moves := 0; moves < maxMoves; {
		if bound+price*float64(Moves(l.Shape, present, s.layer)) >= bestCost || s.max() <= bound*mean*closeEnough {
			break
		}
		n := s.step()
		if n == 0 {
			break
		}
		moves += n
		cost := s.max()/mean + price*float64(Moves(l.Shape, present, s.layer))
		if cost < bestCost {
			bestCost = cost
			copy(best, s.layer)
		}
	}
	return best
}

// step makes the better of the best exchange and the best replacement for each
// move, and returns the number of moves it costs.
func (s *state) step() int {
	rank := s.maxRank()
	before := s.load[rank]
	w, swapOK := s.bestSwap(rank)
	r, replaceOK := s.bestReplacement(rank)
	swapGain, replaceGain := (before-w.worth)/2, before-r.worth
	switch {
	case replaceOK && (!swapOK || replaceGain >= swapGain):
		s.replace(r.slot, r.expert)
		return 1
	case swapOK && w.worth < before*(1-minGain):
		s.applySwap(w)
		return 2
	}
	return 0
}

// Align renames ranks of equal speed in a new placement so that the present one
// needs few moves to get there.
func Align(l *Load, present, next Layer) Layer {
	type pair struct{ from, to, common int }
	var pairs []pair
	for from := range l.Ranks {
		for to := range l.Ranks {
			if l.Speeds[from] == l.Speeds[to] {
				pairs = append(pairs, pair{from: from, to: to, common: common(l.Shape, next, from, present, to)})
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

func common(s Shape, a Layer, ra int, b Layer, rb int) int {
	n := 0
	for _, e := range a[ra*s.SlotsPerRank : (ra+1)*s.SlotsPerRank] {
		if contains(b[rb*s.SlotsPerRank:(rb+1)*s.SlotsPerRank], e) {
			n++
		}
	}
	return n
}
