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
	p, err := patch(base, m.GetChanges())
	if err != nil {
		log.Warn("changes of a map not read", "event", "bad_news", "version", m.GetVersion(), "base", m.GetBaseVersion(), "error", err)
		return nil, errNeedsWhole
	}
	if digest(p) != m.GetDigest() {
		return nil, errNeedsWhole
	}
	return p, nil
}

// diff encodes what differs between two maps of one shape.
func diff(from, to shifter.Placement) ([]byte, error) {
	var plain []byte
	for set, ranks := range to {
		for rank, list := range ranks {
			if slices.Equal(from[set][rank], list) {
				continue
			}
			plain = binary.AppendUvarint(plain, uint64(set))
			plain = binary.AppendUvarint(plain, uint64(rank))
			plain = appendExperts(plain, missing(from[set][rank], list))
			plain = appendExperts(plain, missing(list, from[set][rank]))
		}
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// missing lists what a has and b has not.
func missing(a, b []int) []int {
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

// patch applies encoded differences to a copy of a map. Differences that do not fit
// are those of another map.
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
			return nil, errNeedsWhole
		}
		dropped, err := readExperts(r)
		if err != nil {
			return nil, err
		}
		added, err := readExperts(r)
		if err != nil {
			return nil, err
		}
		list := append(missing(p[set][rank], dropped), added...)
		slices.Sort(list)
		p[set][rank] = list
	}
}

// mostExperts bounds the experts of one rank and set; engines have far fewer places.
const mostExperts = 1 << 12

func readExperts(r io.ByteReader) ([]int, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, wrapper.At("decode_map", "", err)
	}
	if n > mostExperts {
		return nil, errNeedsWhole
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

// isLike reports whether two maps have one shape.
func isLike(a, b shifter.Placement) bool {
	return len(a) == len(b) && len(a) > 0 && len(a[0]) == len(b[0])
}

// digest identifies a whole map.
func digest(p shifter.Placement) uint64 {
	var lists [][]int
	for _, ranks := range p {
		lists = append(lists, ranks...)
	}
	return commander.DigestLists(lists)
}
