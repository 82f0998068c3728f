// Package planner decides where the replicas of experts live, so that every
// step of a model group is balanced across its ranks at a price for each move.
package planner

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Shape is the form of a group's layers.
type Shape struct {
	Ranks        int
	SlotsPerRank int
	Experts      int
}

// Slots is the number of slots of a layer.
func (s Shape) Slots() int { return s.Ranks * s.SlotsPerRank }

// Layer holds the expert of each slot; the slots of a rank are adjacent. Every
// expert has a slot, and no rank holds an expert twice while it can be avoided.
type Layer []uint16

// Map places the experts of all layers.
type Map struct {
	Version uint64
	Layers  []Layer
}

// GetVersion returns the version, 0 for no map.
func (m *Map) GetVersion() uint64 {
	if m == nil {
		return 0
	}
	return m.Version
}

// Digest identifies the placement together with its version.
func (m *Map) Digest() uint64 {
	d := xxhash.New()
	var buf [8]byte
	put := func(v uint64, n int) {
		for i := range n {
			buf[i] = byte(v >> (8 * i))
		}
		_, _ = d.Write(buf[:n])
	}
	put(m.Version, 8)
	for _, layer := range m.Layers {
		put(uint64(len(layer)), 4)
		for _, e := range layer {
			put(uint64(e), 2)
		}
	}
	return d.Sum64()
}

// Load is what a layer has to carry.
type Load struct {
	Shape
	// Tokens is the demand of each expert, in any unit.
	Tokens []float64
	// Speeds is the speed of each rank, 1 for a sound one; never 0 or less.
	Speeds []float64
}

// EvenSpeeds returns the speeds of n sound ranks.
func EvenSpeeds(n int) []float64 {
	speeds := make([]float64, n)
	for i := range speeds {
		speeds[i] = 1
	}
	return speeds
}

// mean is the time of a perfectly balanced step.
func (l *Load) mean() float64 {
	return sum(l.Tokens) / sum(l.Speeds)
}

func sum(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}

// Skew is the time of the slowest rank over that of a perfectly balanced step;
// it is at least 1.
func Skew(l *Load, layer Layer) float64 {
	mean := l.mean()
	if mean == 0 {
		return 1
	}
	return newState(l, layer).max() / mean
}

// LowerBound is a skew that no placement can go below: the mean, or the share
// of the hottest replica at the best numbers of replicas.
func LowerBound(l *Load) float64 {
	mean := l.mean()
	if mean == 0 {
		return 1
	}
	hottest := 0.0
	counts := newCounts(l)
	for e, c := range counts {
		hottest = max(hottest, l.Tokens[e]/float64(c))
	}
	fastest := 0.0
	for _, s := range l.Speeds {
		fastest = max(fastest, s)
	}
	return max(1, hottest/fastest/mean)
}

// newCounts gives every expert a replica and each further slot to the expert
// whose replicas are the hottest, which makes the hottest replica as cool as
// can be.
func newCounts(l *Load) []int {
	counts := make([]int, l.Experts)
	for e := range counts {
		counts[e] = 1
	}
	for range l.Slots() - l.Experts {
		best := -1
		for e, c := range counts {
			if c < l.Ranks && (best < 0 || l.Tokens[e]*float64(counts[best]) > l.Tokens[best]*float64(c)) {
				best = e
			}
		}
		if best < 0 {
			// Every rank holds every expert; the rest is spare.
			counts[0]++
			continue
		}
		counts[best]++
	}
	return counts
}

// Contiguous places the experts in order, and fills up with the first ones.
func Contiguous(s Shape) Layer {
	layer := make(Layer, s.Slots())
	for i := range layer {
		layer[i] = uint16(i % s.Experts)
	}
	return layer
}

// Moves counts the experts that a rank must get to go from one layer to another.
func Moves(s Shape, from, to Layer) int {
	n := 0
	for r := range s.Ranks {
		have := from[r*s.SlotsPerRank : (r+1)*s.SlotsPerRank]
		for _, e := range to[r*s.SlotsPerRank : (r+1)*s.SlotsPerRank] {
			if !contains(have, e) {
				n++
			}
		}
	}
	return n
}

func contains(list []uint16, e uint16) bool {
	for _, v := range list {
		if v == e {
			return true
		}
	}
	return false
}

// state evaluates changes of a layer quickly.
type state struct {
	*Load
	layer Layer
	// counts is the number of replicas of each expert.
	counts []int
	// load is the tokens of each rank over its speed.
	load []float64
	// has says which rank holds which expert: rank*Experts+expert.
	has []bool
}

func newState(l *Load, layer Layer) *state {
	s := &state{
		Load: l, layer: append(Layer(nil), layer...), counts: make([]int, l.Experts),
		load: make([]float64, l.Ranks), has: make([]bool, l.Ranks*l.Experts),
	}
	for _, e := range layer {
		s.counts[e]++
	}
	for i, e := range layer {
		r := i / l.SlotsPerRank
		s.load[r] += s.part(e) / l.Speeds[r]
		s.has[r*l.Experts+int(e)] = true
	}
	return s
}

// part is the tokens of one replica of an expert.
func (s *state) part(e uint16) float64 {
	return s.Tokens[e] / float64(s.counts[e])
}

func (s *state) max() float64 {
	m := 0.0
	for _, v := range s.load {
		m = max(m, v)
	}
	return m
}

func (s *state) maxRank() int {
	best := 0
	for r, v := range s.load {
		if v > s.load[best] {
			best = r
		}
	}
	return best
}

func (s *state) holds(rank int, e uint16) bool { return s.has[rank*s.Experts+int(e)] }

func (s *state) slotsOf(rank int) (first, last int) {
	return rank * s.SlotsPerRank, (rank + 1) * s.SlotsPerRank
}

// swap is an exchange of the experts of two slots; worth is the higher of the
// two ranks' loads after it.
type swap struct {
	a, b  int
	worth float64
}

// bestSwap finds the exchange that lowers the most loaded rank the most without
// loading another as much.
func (s *state) bestSwap(rank int) (swap, bool) {
	best := swap{worth: s.load[rank]}
	found := false
	first, last := s.slotsOf(rank)
	for a := first; a < last; a++ {
		ea := s.layer[a]
		for b, eb := range s.layer {
			other := b / s.SlotsPerRank
			diff := s.part(ea) - s.part(eb)
			if other == rank || diff <= 0 {
				continue
			}
			worth := max(s.load[rank]-diff/s.Speeds[rank], s.load[other]+diff/s.Speeds[other])
			if worth < best.worth && !s.holds(rank, eb) && !s.holds(other, ea) {
				best, found = swap{a: a, b: b, worth: worth}, true
			}
		}
	}
	return best, found
}

func (s *state) applySwap(w swap) {
	ra, rb := w.a/s.SlotsPerRank, w.b/s.SlotsPerRank
	ea, eb := s.layer[w.a], s.layer[w.b]
	diff := s.part(ea) - s.part(eb)
	s.load[ra] -= diff / s.Speeds[ra]
	s.load[rb] += diff / s.Speeds[rb]
	s.layer[w.a], s.layer[w.b] = eb, ea
	s.has[ra*s.Experts+int(ea)], s.has[ra*s.Experts+int(eb)] = false, true
	s.has[rb*s.Experts+int(eb)], s.has[rb*s.Experts+int(ea)] = false, true
}

// replacement puts another expert into a slot.
type replacement struct {
	slot   int
	expert uint16
	worth  float64
}

// replace changes a slot and all loads that depend on the numbers of replicas.
func (s *state) replace(slot int, f uint16) {
	e := s.layer[slot]
	r := slot / s.SlotsPerRank
	s.addPart(e, -1)
	s.addPart(f, -1)
	s.counts[e]--
	s.counts[f]++
	s.has[r*s.Experts+int(e)] = false
	s.has[r*s.Experts+int(f)] = true
	s.layer[slot] = f
	s.addPart(e, 1)
	s.addPart(f, 1)
}

// addPart adds sign times the part of e to every rank that holds it.
func (s *state) addPart(e uint16, sign float64) {
	part := sign * s.part(e)
	for r := range s.Ranks {
		if s.has[r*s.Experts+int(e)] {
			s.load[r] += part / s.Speeds[r]
		}
	}
}

// bestReplacement finds the slot of a spare replica to give to an expert of the
// most loaded rank.
func (s *state) bestReplacement(rank int) (replacement, bool) {
	best := replacement{worth: math.Inf(1)}
	before := s.max()
	first, last := s.slotsOf(rank)
	for _, f := range s.layer[first:last] {
		for slot, e := range s.layer {
			other := slot / s.SlotsPerRank
			if s.counts[e] < 2 || e == f || s.holds(other, f) {
				continue
			}
			s.replace(slot, f)
			if worth := s.max(); worth < best.worth {
				best = replacement{slot: slot, expert: f, worth: worth}
			}
			s.replace(slot, e)
		}
	}
	return best, best.worth < before
}
