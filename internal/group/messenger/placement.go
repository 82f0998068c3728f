package messenger

import (
	"errors"
	"slices"
	"sync"

	"siskinfall/internal/group/commander"
	"siskinfall/internal/group/shifter"
	"siskinfall/internal/wire/encoder"
)

// A map of a large group has thousands of places, of which a change touches a few
// hundred. Ranks are sent those, over the map that they had before.

// keptPlacements is the number of maps that a sidecar keeps: the one in force, the
// one prepared, and one that another leader prepared.
const keptPlacements = 3

// errNeedsWhole says that a map was told by its changes over one that is not known.
var errNeedsWhole = errors.New("base of the map is not known")

// placements holds the maps that a sidecar was sent, by version. Versions are never
// used for two maps. It is safe for concurrent use.
type placements struct {
	mu sync.Mutex
	// versions is in the order of their coming, the oldest first.
	versions []uint64
	byNumber map[uint64]shifter.Placement
}

func newPlacements() *placements { return &placements{byNumber: make(map[uint64]shifter.Placement)} }

func (k *placements) add(version uint64, p shifter.Placement) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.byNumber[version] == nil {
		k.versions = append(k.versions, version)
	}
	k.byNumber[version] = p
	if len(k.versions) > keptPlacements {
		delete(k.byNumber, k.versions[0])
		k.versions = slices.Delete(k.versions, 0, 1)
	}
}

func (k *placements) get(version uint64) shifter.Placement {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.byNumber[version]
}

// decodePlacement returns the whole map of an order.
func decodePlacement(m *encoder.EngineOrder, known *placements) (shifter.Placement, error) {
	if len(m.GetPlacement()) > 0 {
		p := make(shifter.Placement, 0, len(m.GetPlacement()))
		for _, set := range m.GetPlacement() {
			p = append(p, decodeLists(set.GetRanks()))
		}
		return p, nil
	}
	base := known.get(m.GetBaseVersion())
	if base == nil {
		return nil, errNeedsWhole
	}
	p := base.Clone()
	for _, c := range m.GetChanges() {
		set, rank := int(c.GetSet()), int(c.GetRank())
		if set >= len(p) || rank >= len(p[set]) {
			return nil, errNeedsWhole
		}
		p[set][rank] = decodeList(c.GetExperts())
	}
	if digest(p) != m.GetDigest() {
		return nil, errNeedsWhole
	}
	return p, nil
}

// diff lists the ranks whose experts differ between two maps of one shape.
func diff(from, to shifter.Placement) []*encoder.PlacementChange {
	var out []*encoder.PlacementChange
	for set, ranks := range to {
		for rank, list := range ranks {
			if set < len(from) && rank < len(from[set]) && slices.Equal(from[set][rank], list) {
				continue
			}
			out = append(out, &encoder.PlacementChange{Set: uint32(set), Rank: uint32(rank), Experts: encodeList(list)})
		}
	}
	return out
}

// digest identifies a whole map.
func digest(p shifter.Placement) uint64 {
	var lists [][]int
	for _, ranks := range p {
		lists = append(lists, ranks...)
	}
	return commander.DigestLists(lists)
}
