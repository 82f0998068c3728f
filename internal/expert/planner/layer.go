// Package planner decides which ranks of a model group hold which expert
// replicas. It balances the time of a forward pass across the ranks against the
// cost of copying expert weights. Package group/shifter is its counterpart for
// engines without agents: it starts from the current map and bounds the copies of
// each rank, and it plans with slowness, the inverse of the speed used here.
package planner

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Shape holds the dimensions of a group's layers, which all are alike.
type Shape struct {
	Ranks        int
	SlotsPerRank int
	Experts      int
}

// Slots returns the number of slots of a layer.
func (s Shape) Slots() int { return s.Ranks * s.SlotsPerRank }

// Layer holds the expert of each slot. The slots of a rank are adjacent. Every
// expert has at least one slot, and no rank holds an expert twice unless this is
// unavoidable.
type Layer []uint16

// Map is an expert map: the placement of the experts of all layers.
type Map struct {
	Version uint64
	Layers  []Layer
}

// GetVersion returns the version, 0 for a nil map.
func (m *Map) GetVersion() uint64 {
	if m == nil {
		return 0
	}
	return m.Version
}

// Digest returns a hash of the version and the placement.
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

// Load is the demand on a layer and the speeds of the ranks that serve it.
type Load struct {
	Shape
	// Tokens is the demand of each expert, in any unit.
	Tokens []float64
	// Speeds is the speed of each rank, 1 for a healthy one. It is above 0.
	Speeds []float64
}

// EvenSpeeds returns the speeds of n healthy ranks.
func EvenSpeeds(n int) []float64 {
	speeds := make([]float64, n)
	for i := range speeds {
		speeds[i] = 1
	}
	return speeds
}

// balancedTime returns the time of each rank in a perfectly balanced layer.
func (l *Load) balancedTime() float64 {
	return sum(l.Tokens) / sum(l.Speeds)
}

func sum(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}

// Skew returns the time of the slowest rank over that of a perfectly balanced
// layer. It is at least 1.
func Skew(l *Load, layer Layer) float64 {
	balancedTime := l.balancedTime()
	if balancedTime == 0 {
		return 1
	}
	return newState(l, layer).maxLoad() / balancedTime
}

// LowerBound returns a lower bound of the skew of any placement: 1, or the time of
// the hottest replica on the fastest rank over the balanced time, with the replica
// counts that make the hottest replica's demand lowest.
func LowerBound(l *Load) float64 {
	balancedTime := l.balancedTime()
	if balancedTime == 0 {
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
	return max(1, hottest/fastest/balancedTime)
}

// newCounts returns the number of replicas of each expert: one, and each further
// slot goes to the expert with the highest demand per replica. This minimizes the
// demand of the hottest replica.
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
			// Every rank holds every expert; the remaining slots are spare.
			counts[0]++
			continue
		}
		counts[best]++
	}
	return counts
}

// Contiguous returns a layer with the experts in order, starting over with the
// first one in the slots that remain.
func Contiguous(s Shape) Layer {
	layer := make(Layer, s.Slots())
	for i := range layer {
		layer[i] = uint16(i % s.Experts)
	}
	return layer
}

// CountMoves returns the number of experts that the ranks must copy to go from one
// layer to another.
func CountMoves(s Shape, from, to Layer) int {
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

// state is a layer under search. It keeps the loads of the ranks up to date, so
// that a change is evaluated incrementally.
type state struct {
	*Load
	layer Layer
	// counts is the number of replicas of each expert.
	counts []int
	// load is the tokens of each rank over its speed, in units of time.
	load []float64
	// has reports whether a rank holds an expert, at index rank*Experts+expert.
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
		s.load[r] += s.replicaTokens(e) / l.Speeds[r]
		s.has[r*l.Experts+int(e)] = true
	}
	return s
}

// replicaTokens returns the tokens of one replica of an expert.
func (s *state) replicaTokens(e uint16) float64 {
	return s.Tokens[e] / float64(s.counts[e])
}

func (s *state) maxLoad() float64 {
	highest := 0.0
	for _, v := range s.load {
		highest = max(highest, v)
	}
	return highest
}

func (s *state) mostLoadedRank() int {
	rank := 0
	for r, v := range s.load {
		if v > s.load[rank] {
			rank = r
		}
	}
	return rank
}

func (s *state) holds(rank int, e uint16) bool { return s.has[rank*s.Experts+int(e)] }

func (s *state) slotRange(rank int) (first, last int) {
	return rank * s.SlotsPerRank, (rank + 1) * s.SlotsPerRank
}

// swap is an exchange of the experts of two slots. newMax is the higher of the two
// ranks' loads after it.
type swap struct {
	a, b   int
	newMax float64
}

// bestSwap returns the swap of a slot of rank with one of another rank that has
// the lowest newMax, if one is below the current load of rank.
func (s *state) bestSwap(rank int) (swap, bool) {
	best := swap{newMax: s.load[rank]}
	found := false
	first, last := s.slotRange(rank)
	for a := first; a < last; a++ {
		ea := s.layer[a]
		for b, eb := range s.layer {
			otherRank := b / s.SlotsPerRank
			diff := s.replicaTokens(ea) - s.replicaTokens(eb)
			if otherRank == rank || diff <= 0 {
				continue
			}
			newMax := max(s.load[rank]-diff/s.Speeds[rank], s.load[otherRank]+diff/s.Speeds[otherRank])
			if newMax < best.newMax && !s.holds(rank, eb) && !s.holds(otherRank, ea) {
				best, found = swap{a: a, b: b, newMax: newMax}, true
			}
		}
	}
	return best, found
}

func (s *state) applySwap(sw swap) {
	ra, rb := sw.a/s.SlotsPerRank, sw.b/s.SlotsPerRank
	ea, eb := s.layer[sw.a], s.layer[sw.b]
	diff := s.replicaTokens(ea) - s.replicaTokens(eb)
	s.load[ra] -= diff / s.Speeds[ra]
	s.load[rb] += diff / s.Speeds[rb]
	s.layer[sw.a], s.layer[sw.b] = eb, ea
	s.has[ra*s.Experts+int(ea)], s.has[ra*s.Experts+int(eb)] = false, true
	s.has[rb*s.Experts+int(eb)], s.has[rb*s.Experts+int(ea)] = false, true
}

// replacement puts another expert into a slot. newMax is the highest load of all
// ranks after it.
type replacement struct {
	slot   int
	expert uint16
	newMax float64
}

// replace puts an expert into a slot and updates the loads of all ranks that hold
// a replica of the old or the new expert.
func (s *state) replace(slot int, added uint16) {
	removed := s.layer[slot]
	r := slot / s.SlotsPerRank
	s.addReplicas(removed, -1)
	s.addReplicas(added, -1)
	s.counts[removed]--
	s.counts[added]++
	s.has[r*s.Experts+int(removed)] = false
	s.has[r*s.Experts+int(added)] = true
	s.layer[slot] = added
	s.addReplicas(removed, 1)
	s.addReplicas(added, 1)
}

// addReplicas adds sign times the tokens of a replica of e to the load of every
// rank that holds one.
func (s *state) addReplicas(e uint16, sign float64) {
	tokens := sign * s.replicaTokens(e)
	for r := range s.Ranks {
		if s.has[r*s.Experts+int(e)] {
			s.load[r] += tokens / s.Speeds[r]
		}
	}
}

// bestReplacement returns the replacement of a replica, not its expert's last, by
// one of an expert of rank that has the lowest newMax, if one is below the
// current highest load.
func (s *state) bestReplacement(rank int) (replacement, bool) {
	best := replacement{newMax: math.Inf(1)}
	before := s.maxLoad()
	first, last := s.slotRange(rank)
	for _, added := range s.layer[first:last] {
		for slot, removed := range s.layer {
			otherRank := slot / s.SlotsPerRank
			if s.counts[removed] < 2 || removed == added || s.holds(otherRank, added) {
				continue
			}
			s.replace(slot, added)
			if newMax := s.maxLoad(); newMax < best.newMax {
				best = replacement{slot: slot, expert: added, newMax: newMax}
			}
			s.replace(slot, removed)
		}
	}
	return best, best.newMax < before
}
