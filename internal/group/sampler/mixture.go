package sampler

import (
	"math"
	"slices"
)

// Load pattern: demand changes at once in the middle of a reading, which then holds a
// part of the old demand and a part of the new one.

const (
	// marks is the number of the old demand's hottest experts by which its part in a
	// reading is told: they are counted most exactly, and few stay hot.
	marks = 3
	// leastPart is the part of the new demand in a reading from which it can be told
	// apart; with less the counts of too few passes are scaled up.
	leastPart = 0.35
	// unchanged is the part of a set's demand whose move is noise.
	unchanged = 0.08
)

// separate takes the old demand out of a reading, and reports whether what is left is
// the new demand; otherwise the reading is as it was.
func (d *Demand) separate(fresh [][]float64) bool {
	out := make([][]float64, len(fresh))
	for s, list := range fresh {
		if distance(list, d.level[s]) < unchanged {
			out[s] = list
			continue
		}
		part := newPart(d.level[s], list)
		if part < leastPart {
			return false
		}
		out[s] = unmix(d.level[s], list, part)
	}
	copy(fresh, out)
	return true
}

// newPart is the part of a reading that is not of the old demand.
func newPart(old, mixed []float64) float64 {
	order := make([]int, len(old))
	for e := range order {
		order[e] = e
	}
	slices.SortFunc(order, func(a, b int) int {
		switch {
		case old[a] > old[b]:
			return -1
		case old[a] < old[b]:
			return 1
		}
		return a - b
	})
	// An expert that is hot no more is chosen as often as most.
	usual := old[order[len(order)/2]]
	oldPart := 1.0
	for _, e := range order[:min(marks, len(order))] {
		if old[e] > usual {
			oldPart = min(oldPart, max(mixed[e]-usual, 0)/(old[e]-usual))
		}
	}
	return 1 - oldPart
}

// unmix returns the demand whose part in a reading is known, in shares.
func unmix(old, mixed []float64, part float64) []float64 {
	out := make([]float64, len(old))
	total := 0.0
	for e := range out {
		out[e] = max(mixed[e]-(1-part)*old[e], 0)
		total += out[e]
	}
	for e := range out {
		out[e] /= total
	}
	return out
}

// distance is the part of a demand that another one has elsewhere.
func distance(a, b []float64) float64 {
	sum := 0.0
	for e := range a {
		sum += math.Abs(a[e]-b[e]) / 2
	}
	return sum
}
