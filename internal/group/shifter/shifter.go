// Package shifter plans the next expert map of a lock-step group: from the
// present one, in steps that each rank can copy, to one under which the most
// loaded rank of each set of layers carries less.
//
// Load pattern: other experts come into demand at once, several times a minute.
package shifter

// Placement holds the experts by set of layers and rank. A rank holds an expert
// at most once, and every expert is held by a rank.
type Placement [][][]int

// Clone returns a copy that shares nothing.
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
	// Places is the most experts of a rank in one set.
	Places int
	// Spare is the most new experts of a rank in one set.
	Spare int
	// Slowness is how many times longer each rank takes than a sound one; nil says
	// that all are sound.
	Slowness []float64
}

// slowness is that of one rank.
func (b Bounds) slowness(rank int) float64 {
	if rank < len(b.Slowness) {
		return max(b.Slowness[rank], 1)
	}
	return 1
}

// Plan is a next placement with what it is expected to bring.
type Plan struct {
	Placement Placement
	// Before and After are the load of the most loaded rank over the mean, as the
	// mean over the sets.
	Before, After float64
	// Copies counts the experts that ranks have to copy, Most those of the rank
	// that copies most.
	Copies, Most int
}

// Limits of the search.
const (
	// maxSteps bounds the steps for one set, maxVain those without a better end.
	maxSteps = 120
	maxVain  = 12
	// maxTargets bounds the ranks that may take load in one step. Over twenty changes
	// of demand in a group of 63 the mean skew behind a plan was 1.44 with 6, 1.39 with
	// 10, 1.36 with 14 and with 20.
	maxTargets = 14
	// minGain is the relative lowering of the cost below which a step is none.
	minGain = 0.0005
	// copyPrice is the skew that one copy must save, times the ranks that gain by it:
	// a copy moves hundreds of megabytes, and both users price that.
	copyPrice = 0.48
	// rounding is that of sums in another order.
	rounding = 1e-9
)

// Next plans from the present placement for a demand by set and expert.
func Next(present Placement, demand [][]float64, b Bounds) Plan {
	out := Plan{Placement: present.Clone()}
	for s := range present {
		st := newState(present[s], demand[s], b)
		out.Before += st.skew() / float64(len(present))
		st.improve()
		out.After += st.skew() / float64(len(present))
		out.Placement[s] = st.lists()
		copies, most := st.copies()
		out.Copies += copies
		out.Most += most
	}
	return out
}

// Skew is the load of the most loaded rank over the mean, as the mean over the
// sets.
func Skew(p Placement, demand [][]float64, b Bounds) float64 {
	total := 0.0
	for s := range p {
		total += newState(p[s], demand[s], b).skew() / float64(len(p))
	}
	return total
}
