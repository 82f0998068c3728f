package commander

import "net/netip"

// Group is a snapshot of all ranks of a group, indexed by rank, all of one epoch.
type Group []*Status

// First returns rank 0, at which competing changes are decided.
func (g Group) First() *Status { return g[0] }

// Epoch returns the epoch of all ranks.
func (g Group) Epoch() uint64 { return g[0].Epoch }

func (g Group) addrs() []netip.AddrPort {
	addrs := make([]netip.AddrPort, len(g))
	for i, s := range g {
		addrs[i] = s.Addr
	}
	return addrs
}

// Step returns the latest pass that any rank has begun.
func (g Group) Step() uint64 {
	step := uint64(0)
	for _, s := range g {
		step = max(step, s.Step)
	}
	return step
}

// FirstHolder returns the first rank that holds a pass, nil if none does.
func (g Group) FirstHolder() *Status {
	for _, s := range g {
		if s.Held != nil {
			return s
		}
	}
	return nil
}

// holders returns all ranks that hold a pass.
func (g Group) holders() []holder {
	var out []holder
	for _, s := range g {
		if s.Held != nil {
			out = append(out, holder{Status: s, step: *s.Held})
		}
	}
	return out
}

// AllPrepared returns the version that all ranks have prepared and that is above the
// one in force, if there is one.
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

// NewGroup orders the statuses of one group by rank. It fails unless every rank is
// present, all are in one epoch, and the group is not broken.
func NewGroup(all []*Status) (Group, error) {
	if len(all) == 0 {
		return nil, errIncomplete
	}
	g := make(Group, all[0].Size)
	for _, s := range all {
		if s.Group != all[0].Group || s.Epoch != all[0].Epoch || s.Size != all[0].Size || s.Rank < 0 || s.Rank >= s.Size || s.Broken {
			return nil, errIncomplete
		}
		g[s.Rank] = s
	}
	for _, s := range g {
		if s == nil {
			return nil, errIncomplete
		}
	}
	return g, nil
}

// holder is a rank with the pass that it holds.
type holder struct {
	*Status
	step uint64
}
