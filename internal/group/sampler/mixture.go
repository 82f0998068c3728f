package sampler

import (
	"math"
	"slices"
)

// Load pattern: demand changes abruptly in the middle of a sample, which then holds counts
// of both the old and the new demand.

const (
	// maxMarkerExperts bounds the hottest experts of the old demand by which its share of a
	// sample is estimated: their counts are the most exact, and few of them stay hot.
	maxMarkerExperts = 3
	// minNewShare is the share of the new demand in a sample from which on it can be
	// separated; below it the counts of too few passes are scaled up.
	minNewShare = 0.35
	// maxNoise is the distance between two demands of a layer set up to which it is
	// noise.
	maxNoise = 0.08
)

// removeOldDemand takes the old demand out of a sample, and reports whether what is left is
// the new demand. Otherwise it leaves the sample unchanged.
func (d *Demand) removeOldDemand(shares [][]float64) bool {
	out := make([][]float64, len(shares))
	for s, list := range shares {
		if distance(list, d.estimate[s]) < maxNoise {
			out[s] = list
			continue
		}
		share := estimateNewShare(d.estimate[s], list)
		if share < minNewShare {
			return false
		}
		out[s] = unmix(d.estimate[s], list, share)
	}
	copy(shares, out)
	return true
}

// estimateNewShare estimates the share of a sample that is not of the old demand.
func estimateNewShare(old, mixed []float64) float64 {
	byDemand := make([]int, len(old))
	for e := range byDemand {
		byDemand[e] = e
	}
	slices.SortFunc(byDemand, func(a, b int) int {
		switch {
		case old[a] > old[b]:
			return -1
		case old[a] < old[b]:
			return 1
		}
		return a - b
	})
	// An expert that is no longer hot is chosen as often as the median one.
	median := old[byDemand[len(byDemand)/2]]
	oldShare := 1.0
	for _, e := range byDemand[:min(maxMarkerExperts, len(byDemand))] {
		if old[e] > median {
			oldShare = min(oldShare, max(mixed[e]-median, 0)/(old[e]-median))
		}
	}
	return 1 - oldShare
}

// unmix removes the old demand from a sample of which share is of the new one. The result
// is in shares.
func unmix(old, mixed []float64, share float64) []float64 {
	out := make([]float64, len(old))
	total := 0.0
	for e := range out {
		out[e] = max(mixed[e]-(1-share)*old[e], 0)
		total += out[e]
	}
	for e := range out {
		out[e] /= total
	}
	return out
}

// distance is the share of a demand that another demand has at other experts, 0 to 1.
func distance(a, b []float64) float64 {
	sum := 0.0
	for e := range a {
		sum += math.Abs(a[e]-b[e]) / 2
	}
	return sum
}
