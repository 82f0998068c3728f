// Package sampler turns the growing counts of engines into the demand of the
// passes to come.
package sampler

// Demand estimates the demand of each expert. It is used by one goroutine.
type Demand struct {
	sets, experts int
	// last holds the counts of each source at its latest reading.
	last map[string]reading
	// level is the estimate by set and expert, in shares of the set.
	level [][]float64
	// weight is how much was seen since the level was last set, in readings.
	weight float64
	// mixed says that the level comes from a reading during which demand changed: it
	// is partly of the old demand.
	mixed bool
}

type reading struct {
	epoch  uint64
	counts []uint64
}

const (
	// newest is the weight of the newest reading in the level. A reading covers
	// some five passes; requests last for thirty, so demand changes over several
	// readings unless the taste itself changes.
	newest = 0.45
	// sudden is the part of the demand whose move between two readings tells a
	// change of taste; the level is then set anew.
	sudden = 0.16
)

// New returns a Demand for a group's shape.
func New(sets, experts int) *Demand {
	return &Demand{sets: sets, experts: experts, last: make(map[string]reading)}
}

// Observe takes in the counts of all sources at one moment, and reports whether
// there was anything new in them.
func (d *Demand) Observe(counts map[string][]uint64, epochs map[string]uint64) bool {
	fresh := make([][]float64, d.sets)
	for s := range fresh {
		fresh[s] = make([]float64, d.experts)
	}
	for source, list := range counts {
		if len(list) != d.sets*d.experts {
			continue
		}
		old, known := d.last[source]
		d.last[source] = reading{epoch: epochs[source], counts: list}
		if !known || old.epoch != epochs[source] || len(old.counts) != len(list) {
			continue
		}
		for i, n := range list {
			if n > old.counts[i] {
				fresh[i/d.experts][i%d.experts] += float64(n - old.counts[i])
			}
		}
	}
	return d.add(fresh)
}

func (d *Demand) add(fresh [][]float64) bool {
	seen := false
	for s := range fresh {
		total := 0.0
		for _, v := range fresh[s] {
			total += v
		}
		if total == 0 {
			continue
		}
		seen = true
		for e := range fresh[s] {
			fresh[s][e] /= total
		}
	}
	if !seen {
		return false
	}
	if d.level == nil || d.hasChanged(fresh) {
		// Of two changes in a row the second is the end of the first.
		d.mixed = d.level != nil && !d.mixed && !d.separate(fresh)
		d.level, d.weight = fresh, 1
		return true
	}
	d.mixed = false
	d.weight++
	w := max(newest, 1/d.weight)
	for s := range fresh {
		for e, v := range fresh[s] {
			d.level[s][e] += w * (v - d.level[s][e])
		}
	}
	return true
}

// hasChanged reports whether much of the demand has moved to other experts.
func (d *Demand) hasChanged(fresh [][]float64) bool {
	moved := 0.0
	for s := range fresh {
		moved += distance(fresh[s], d.level[s])
	}
	return moved/float64(d.sets) > sudden
}

// IsMixed reports whether the demand is partly that of a time before a change, so
// that another reading is needed before it is planned for.
func (d *Demand) IsMixed() bool { return d.mixed }

// Get returns the demand by set and expert, nil before the first.
func (d *Demand) Get() [][]float64 { return d.level }
