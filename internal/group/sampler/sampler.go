// Package sampler estimates the demand of coming passes from the growing token counts of
// engines. Its counterpart for package expert/coordinator is the forecast in package
// expert/planner, which also follows a trend. For tests, package expert/tracer generates
// such counts.
package sampler

// Demand estimates the demand of each expert. It is not safe for concurrent use.
type Demand struct {
	layerSets, experts int
	// latest holds the counts of each source in its latest sample.
	latest map[string]sample
	// estimate is the demand by layer set and expert, in shares of the layer set.
	estimate [][]float64
	// sampleCount is the number of samples since the estimate was last reset.
	sampleCount float64
	// mixed is true if the estimate comes from a sample during which demand changed: a part
	// of it is of the old demand.
	mixed bool
	// pending holds the choices since the estimate was kept from an earlier epoch or leader,
	// by layer set and expert. It is nil once they have replaced that estimate.
	pending [][]float64
}

type sample struct {
	epoch  uint64
	counts []uint64
}

const (
	// minSampleWeight is the minimum weight of the newest sample in the estimate. A sample
	// covers some five passes and requests last for thirty, so demand changes over several
	// samples unless the requests themselves change in kind.
	minSampleWeight = 0.45
	// resetDistance is the distance between the estimate and a sample above which demand is
	// taken as changed abruptly; the estimate is then reset.
	resetDistance = 0.16
)

// New returns a Demand for the given numbers of layer sets and of experts in each.
func New(layerSets, experts int) *Demand {
	return &Demand{layerSets: layerSets, experts: experts, latest: make(map[string]sample)}
}

// Observe adds the counts of all sources at one moment, indexed by layer set and expert in
// one list. A source whose epoch changed starts again. Observe reports whether there were
// new counts.
func (d *Demand) Observe(counts map[string][]uint64, epochs map[string]uint64) bool {
	shares := make([][]float64, d.layerSets)
	for s := range shares {
		shares[s] = make([]float64, d.experts)
	}
	for source, current := range counts {
		if len(current) != d.layerSets*d.experts {
			continue
		}
		old, known := d.latest[source]
		d.latest[source] = sample{epoch: epochs[source], counts: current}
		if !known || old.epoch != epochs[source] || len(old.counts) != len(current) {
			continue
		}
		for i, n := range current {
			if n > old.counts[i] {
				shares[i/d.experts][i%d.experts] += float64(n - old.counts[i])
			}
		}
	}
	return d.update(shares)
}

func (d *Demand) update(shares [][]float64) bool {
	if d.pending != nil {
		if !d.addPending(shares) {
			return false
		}
		shares, d.pending = d.pending, nil
	}
	hasCounts := false
	for s := range shares {
		total := 0.0
		for _, v := range shares[s] {
			total += v
		}
		if total == 0 {
			continue
		}
		hasCounts = true
		for e := range shares[s] {
			shares[s][e] /= total
		}
	}
	if !hasCounts {
		return false
	}
	if d.estimate == nil || d.hasChanged(shares) {
		// Of two changes in a row the second is the rest of the first.
		d.mixed = d.estimate != nil && !d.mixed && !d.removeOldDemand(shares)
		d.estimate, d.sampleCount = shares, 1
		return true
	}
	d.mixed = false
	d.sampleCount++
	weight := max(minSampleWeight, 1/d.sampleCount)
	for s := range shares {
		for e, v := range shares[s] {
			d.estimate[s][e] += weight * (v - d.estimate[s][e])
		}
	}
	return true
}

// hasChanged reports whether much of the demand has moved to other experts.
func (d *Demand) hasChanged(shares [][]float64) bool {
	moved := 0.0
	for s := range shares {
		moved += distance(shares[s], d.estimate[s])
	}
	return moved/float64(d.layerSets) > resetDistance
}

// IsMixed reports whether the demand is partly that before a change, so that another sample
// is needed before a plan is made for it.
func (d *Demand) IsMixed() bool { return d.mixed }

// Get returns the demand by layer set and expert, in shares of the layer set; nil before the
// first sample.
func (d *Demand) Get() [][]float64 { return d.estimate }
