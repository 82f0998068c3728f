package sampler

import "slices"

// Load pattern: a group opens again after a cut. Its first passes hold few tokens, whose counts
// tell less of the demand than what was known before the cut.

// minChoicesPerExpert is the mean number of choices of an expert from which on new counts
// replace a kept estimate. The distance between two samples of one demand, of which this is
// the smaller, is then about maxNoise.
const minChoicesPerExpert = 25

// Seed sets the estimate to one that was made in another epoch or by another leader, and keeps
// it.
func (d *Demand) Seed(estimate [][]float64) {
	d.estimate = clone(estimate)
	d.sampleCount, d.mixed = 1, false
	d.Keep()
}

// Keep keeps the estimate until there are enough counts to replace it.
func (d *Demand) Keep() {
	if d.estimate == nil {
		return
	}
	d.pending = make([][]float64, d.layerSets)
	for s := range d.pending {
		d.pending[s] = make([]float64, d.experts)
	}
}

// addPending adds choices to the pending ones, and reports whether they are enough to replace
// the estimate.
func (d *Demand) addPending(choices [][]float64) bool {
	enough := true
	for s := range choices {
		total := 0.0
		for e, n := range choices[s] {
			d.pending[s][e] += n
			total += d.pending[s][e]
		}
		enough = enough && total >= float64(minChoicesPerExpert*d.experts)
	}
	return enough
}

// Clone returns a copy of the estimate, nil before the first sample.
func (d *Demand) Clone() [][]float64 { return clone(d.estimate) }

func clone(estimate [][]float64) [][]float64 {
	if estimate == nil {
		return nil
	}
	out := make([][]float64, 0, len(estimate))
	for _, set := range estimate {
		out = append(out, slices.Clone(set))
	}
	return out
}
