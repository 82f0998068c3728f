package commander

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"siskinfall/internal/group/shifter"
)

// Digest identifies the experts of one rank in a placement; it is never 0.
func Digest(p shifter.Placement, rank int) uint64 {
	lists := make([][]int, len(p))
	for s := range p {
		lists[s] = p[s][rank]
	}
	return DigestLists(lists)
}

// DigestLists identifies the experts of one rank by set; it is never 0.
func DigestLists(lists [][]int) uint64 {
	d := xxhash.New()
	for _, list := range lists {
		sorted := append([]int(nil), list...)
		sort.Ints(sorted)
		for _, e := range sorted {
			_, _ = d.Write([]byte{byte(e), byte(e >> 8)})
		}
		// No expert has this number.
		_, _ = d.Write([]byte{0xff, 0xff})
	}
	return max(d.Sum64(), 1)
}
