package commander

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestVersionsOfManyRanksDiffer guards against two leaders that use one version for two maps:
// the rank of one overflows into the time of the other.
func TestVersionsOfManyRanksDiffer(t *testing.T) {
	c := qt.New(t)
	g := Group{&Status{}}
	start := time.Date(2028, 1, 1, 0, 0, 0, 0, time.UTC)
	byVersion := make(map[uint64]int)
	for _, rank := range []int{0, 1, 127, 128, 129, 255, 256, 599} {
		for ms := range 8 {
			leader := New(nil, func() uint64 { return 0 })
			v := leader.NewVersion(g, rank, start.Add(time.Duration(ms)*time.Millisecond))
			other, used := byVersion[v]
			c.Assert(used, qt.IsFalse, qt.Commentf("version %d of ranks %d and %d", v, rank, other))
			byVersion[v] = rank
			c.Assert(v < 1<<53, qt.IsTrue)
		}
	}
}
