package commander

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"siskinfall/internal/group/shifter"
)

// Digest returns a hash of the experts of one rank in a placement; it is never 0.
func Digest(p shifter.Placement, rank int) uint64 {
	lists := make([][]int, len(p))
	for set := range p {
		lists[set] = p[set][rank]
	}
	return DigestLists(lists)
}

// DigestLists returns a hash of one rank's experts, indexed by layer set; it is never 0.
func DigestLists(lists [][]int) uint64 {
	h := xxhash.New()
	for _, list := range lists {
		sorted := append([]int(nil), list...)
		sort.Ints(sorted)
		for _, e := range sorted {
			_, _ = h.Write([]byte{byte(e), byte(e >> 8)})
		}
		// Separates two layer sets: no expert has the number 0xffff.
		_, _ = h.Write([]byte{0xff, 0xff})
	}
	return max(h.Sum64(), 1)
}
