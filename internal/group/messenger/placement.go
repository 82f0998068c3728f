package messenger

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"io"
	"slices"
	"sync"

	"github.com/charmbracelet/log"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/group/commander"
	"siskinfall/internal/group/shifter"
	"siskinfall/internal/wire/encoder"
)

// A map of a large group has thousands of places, of which a change affects a few hundred.
// Ranks are sent only those, as changes to the map that they had before.

// maxCachedPlacements bounds the maps that a sidecar keeps: the one in force, the one
// prepared or sent ahead, and one that another leader prepared.
const maxCachedPlacements = 3

// errNeedsFullMap says that a map was sent as changes that don't fit a known base.
var errNeedsFullMap = errors.New("base of the map is unknown or does not match its changes")

// placementCache holds the maps that a sidecar has received, by version. No version is used
// for two maps. It is safe for concurrent use.
type placementCache struct {
	mu sync.Mutex
	// versions is in the order of arrival, the oldest first.
	versions  []uint64
	byVersion map[uint64]shifter.Placement
}

func newPlacementCache() *placementCache {
	return &placementCache{byVersion: make(map[uint64]shifter.Placement)}
}

func (c *placementCache) add(version uint64, p shifter.Placement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byVersion[version] == nil {
		c.versions = append(c.versions, version)
	}
	c.byVersion[version] = p
	if len(c.versions) > maxCachedPlacements {
		delete(c.byVersion, c.versions[0])
		c.versions = slices.Delete(c.versions, 0, 1)
	}
}

func (c *placementCache) get(version uint64) shifter.Placement {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byVersion[version]
}

// decodePlacement returns the full map of an order. It returns errNeedsFullMap if the base
// is not known or the result does not match the digest.
func decodePlacement(m *encoder.EngineOrder, received *placementCache) (shifter.Placement, error) {
	if len(m.GetPlacement()) > 0 {
		p := make(shifter.Placement, 0, len(m.GetPlacement()))
		for _, set := range m.GetPlacement() {
			p = append(p, decodeLists(set.GetRanks()))
		}
		return p, nil
	}
	base := received.get(m.GetBaseVersion())
	if base == nil && m.GetBaseVersion() == 0 {
		base = decodeInitial(m)
	}
	if base == nil {
		return nil, errNeedsFullMap
	}
	if m.GetBaseVersion() == m.GetVersion() && mapDigest(base) == m.GetDigest() {
		// The map was sent ahead.
		return base, nil
	}
	p, err := patch(base, m.GetChanges())
	if err != nil {
		log.Warn("invalid changes of a map, full map requested", "event", "bad_news", "version", m.GetVersion(), "base", m.GetBaseVersion(), "error", err)
		return nil, errNeedsFullMap
	}
	if mapDigest(p) != m.GetDigest() {
		return nil, errNeedsFullMap
	}
	return p, nil
}

// maxShape bounds the layer sets, the ranks and the experts of a group.
const maxShape = 1 << 12

// decodeInitial returns the initial map of the shape in an order, nil if there is none.
func decodeInitial(m *encoder.EngineOrder) shifter.Placement {
	sets, ranks, experts := m.GetLayerSets(), m.GetRanks(), m.GetExperts()
	if min(sets, ranks, experts) == 0 || max(sets, ranks, experts) > maxShape {
		return nil
	}
	return shifter.Initial(int(sets), int(experts), int(ranks))
}

// countExperts returns the number of experts in one layer set of an initial map.
func countExperts(ranks [][]int) int {
	n := 0
	for _, list := range ranks {
		n += len(list)
	}
	return n
}

// diff encodes the differences between two maps of the same shape.
func diff(from, to shifter.Placement) ([]byte, error) {
	var encoded []byte
	for set, ranks := range to {
		for rank, list := range ranks {
			if slices.Equal(from[set][rank], list) {
				continue
			}
			encoded = binary.AppendUvarint(encoded, uint64(set))
			encoded = binary.AppendUvarint(encoded, uint64(rank))
			encoded = appendExperts(encoded, difference(from[set][rank], list))
			encoded = appendExperts(encoded, difference(list, from[set][rank]))
		}
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(encoded); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// difference returns the elements of a that are not in b.
func difference(a, b []int) []int {
	var out []int
	for _, e := range a {
		if !slices.Contains(b, e) {
			out = append(out, e)
		}
	}
	return out
}

func appendExperts(out []byte, list []int) []byte {
	out = binary.AppendUvarint(out, uint64(len(list)))
	for _, e := range list {
		out = binary.AppendUvarint(out, uint64(e))
	}
	return out
}

// patch applies encoded differences to a copy of a map. Differences that do not fit were
// made for another map.
func patch(base shifter.Placement, changes []byte) (shifter.Placement, error) {
	p := base.Clone()
	r := bufio.NewReader(flate.NewReader(bytes.NewReader(changes)))
	for {
		set, err := binary.ReadUvarint(r)
		if errors.Is(err, io.EOF) {
			return p, nil
		}
		rank, rankErr := binary.ReadUvarint(r)
		if err := errors.Join(err, rankErr); err != nil {
			return nil, wrapper.At("decode_map", "", err)
		}
		if set >= uint64(len(p)) || rank >= uint64(len(p[set])) {
			return nil, errNeedsFullMap
		}
		dropped, err := readExperts(r)
		if err != nil {
			return nil, err
		}
		added, err := readExperts(r)
		if err != nil {
			return nil, err
		}
		list := append(difference(p[set][rank], dropped), added...)
		slices.Sort(list)
		p[set][rank] = list
	}
}

// maxExperts bounds the experts of one rank and layer set; engines have far fewer slots.
const maxExperts = 1 << 12

func readExperts(r io.ByteReader) ([]int, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, wrapper.At("decode_map", "", err)
	}
	if n > maxExperts {
		return nil, errNeedsFullMap
	}
	out := make([]int, 0, n)
	for range n {
		e, err := binary.ReadUvarint(r)
		if err != nil {
			return nil, wrapper.At("decode_map", "", err)
		}
		out = append(out, int(e))
	}
	return out, nil
}

// haveSameShape reports whether two maps have the same numbers of layer sets and ranks.
func haveSameShape(a, b shifter.Placement) bool {
	return len(a) == len(b) && len(a) > 0 && len(a[0]) == len(b[0])
}

// mapDigest returns a hash of a whole map.
func mapDigest(p shifter.Placement) uint64 {
	var lists [][]int
	for _, ranks := range p {
		lists = append(lists, ranks...)
	}
	return commander.DigestLists(lists)
}
