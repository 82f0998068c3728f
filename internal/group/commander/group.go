package commander

// Group is one reading of all ranks of a group, in the order of the ranks, all of
// one epoch.
type Group []*Status

// First is the rank at which changes are decided.
func (g Group) First() *Status { return g[0] }

// Epoch is that of all ranks.
func (g Group) Epoch() uint64 { return g[0].Epoch }

// Step is the latest pass that any rank has begun.
func (g Group) Step() uint64 {
	step := uint64(0)
	for _, s := range g {
		step = max(step, s.Step)
	}
	return step
}

// Held returns a rank that holds a pass, nil if none does.
func (g Group) Held() *Status {
	for _, s := range g {
		if s.Held != nil {
			return s
		}
	}
	return nil
}

// holders returns all ranks that hold a pass.
func (g Group) holders() []held {
	var out []held
	for _, s := range g {
		if s.Held != nil {
			out = append(out, held{Status: s, step: *s.Held})
		}
	}
	return out
}

// AllPrepared returns the version above the one in force that all ranks have
// prepared.
func (g Group) AllPrepared() (uint64, bool) {
	first := g.First()
	if first.Prepared == nil || *first.Prepared <= first.Version {
		return 0, false
	}
	for _, s := range g {
		if s.Prepared == nil || *s.Prepared != *first.Prepared {
			return 0, false
		}
	}
	return *first.Prepared, true
}

// NewGroup orders the statuses of one group by rank. It fails unless every rank
// is there once, in one epoch, in a group that is open.
func NewGroup(all []*Status) (Group, error) {
	if len(all) == 0 {
		return nil, errNotWhole
	}
	g := make(Group, all[0].Size)
	for _, s := range all {
		if s.Group != all[0].Group || s.Epoch != all[0].Epoch || s.Size != all[0].Size || s.Rank < 0 || s.Rank >= s.Size || s.Broken {
			return nil, errNotWhole
		}
		g[s.Rank] = s
	}
	for _, s := range g {
		if s == nil {
			return nil, errNotWhole
		}
	}
	return g, nil
}

// held is a rank that holds a pass.
type held struct {
	*Status
	step uint64
}
