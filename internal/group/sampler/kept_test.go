package sampler

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestFewCountsDoNotReplaceKeptDemand guards against a plan for the noise of the first passes
// after an opening.
func TestFewCountsDoNotReplaceKeptDemand(t *testing.T) {
	c := qt.New(t)
	d := New(1, 4)
	kept := [][]float64{{0.7, 0.1, 0.1, 0.1}}
	d.Seed(kept)
	epochs := map[string]uint64{"a": 1}
	c.Assert(d.Observe(map[string][]uint64{"a": {0, 0, 0, 0}}, epochs), qt.IsFalse)
	c.Assert(d.Observe(map[string][]uint64{"a": {0, 0, 0, 9}}, epochs), qt.IsFalse)
	c.Assert(d.Get(), qt.DeepEquals, kept)
	// The counts until now and these are of one demand.
	c.Assert(d.Observe(map[string][]uint64{"a": {10, 10, 10, 79}}, epochs), qt.IsTrue)
	c.Assert(d.Get()[0][3] > d.Get()[0][0], qt.IsTrue, qt.Commentf("%v", d.Get()))
	c.Assert(kept[0][0], qt.Equals, 0.7, qt.Commentf("the kept demand was changed"))
}
