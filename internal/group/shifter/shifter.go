// Package shifter plans the next expert map of a model group. It starts from the current
// map and makes only changes that each rank can copy, so that the most loaded rank of each
// layer set carries less. It is the counterpart of package expert/planner, which plans each
// layer by itself, also from scratch, and weighs skew against configured costs of copies.
//
// Load pattern: demand moves to other experts abruptly, several times a minute.
package shifter

// Placement lists the experts of each rank, indexed by layer set and rank. A layer set is
// a set of the model's layers that has an expert map of its own, which its layers share. In
// each layer set, a rank holds an expert at most once, and every expert is held by at least
// one rank.
type Placement [][][]int

// Initial returns the placement of a group that has just begun: the experts are placed
// round-robin.
func Initial(layerSets, experts, ranks int) Placement {
	p := make(Placement, layerSets)
	for s := range p {
		p[s] = make([][]int, ranks)
		for e := range experts {
			p[s][e%ranks] = append(p[s][e%ranks], e)
		}
	}
	return p
}

// Clone returns a deep copy.
func (p Placement) Clone() Placement {
	out := make(Placement, len(p))
	for s, ranks := range p {
		out[s] = make([][]int, len(ranks))
		for r, list := range ranks {
			out[s][r] = append([]int(nil), list...)
		}
	}
	return out
}

// Bounds limit a plan.
type Bounds struct {
	// MaxExperts bounds the experts of a rank in one layer set.
	MaxExperts int
	// MaxNewExperts bounds the experts that a rank has to copy for one layer set.
	MaxNewExperts int
	// Slowness is the time of each rank for the same work over that of a healthy rank;
	// nil means that all are healthy.
	Slowness []float64
}

// slowness returns the slowness of one rank, at least 1.
func (b Bounds) slowness(rank int) float64 {
	if rank < len(b.Slowness) {
		return max(b.Slowness[rank], 1)
	}
	return 1
}

// Plan is a planned placement and its expected effect.
type Plan struct {
	Placement Placement
	// Before and After are the load of the most loaded rank over the mean load,
	// averaged over the layer sets, under the current and the planned placement.
	Before, After float64
	// Copies counts the experts that all ranks have to copy. MaxRankCopies adds up, over
	// the layer sets, those of the rank that copies most for the layer set.
	Copies, MaxRankCopies int
}

// Limits of the search.
const (
	// maxSteps bounds the steps for one layer set, maxStepsWithoutGain those since the
	// best state.
	maxSteps            = 120
	maxStepsWithoutGain = 12
	// maxTargets bounds the ranks considered as targets in one step. Over twenty changes of
	// demand in a group of 63 ranks the mean skew after a plan was 1.44 with 6 targets, 1.39
	// with 10, 1.36 with 14 and with 20.
	maxTargets = 14
	// minRelativeGain is the relative decrease of the load cost below which the search stops.
	minRelativeGain = 0.0005
	// copyCost is the decrease of skew that one copy must bring, times the number of
	// ranks. A copy moves hundreds of megabytes, and the operators of both deployments
	// put a price on copied weights.
	copyCost = 0.48
	// roundingTolerance covers the differences of sums made in another order.
	roundingTolerance = 1e-9
)

// Next plans from the current placement for a demand indexed by layer set and expert.
func Next(current Placement, demand [][]float64, b Bounds) Plan {
	out := Plan{Placement: current.Clone()}
	for s := range current {
		st := newState(current[s], demand[s], b)
		out.Before += st.skew() / float64(len(current))
		st.improve()
		out.After += st.skew() / float64(len(current))
		out.Placement[s] = st.lists()
		copies, maxPerRank := st.copies()
		out.Copies += copies
		out.MaxRankCopies += maxPerRank
	}
	return out
}

// Skew returns the load of the most loaded rank over the mean load, averaged over the
// layer sets.
func Skew(p Placement, demand [][]float64, b Bounds) float64 {
	total := 0.0
	for s := range p {
		total += newState(p[s], demand[s], b).skew() / float64(len(p))
	}
	return total
}
