package sampler

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// addSamples adds n samples of two sources, with a high demand for one expert of four.
func addSamples(d *Demand, counts map[string][]uint64, hot, n int) {
	for range n {
		for _, source := range []string{"a", "b"} {
			next := append([]uint64(nil), counts[source]...)
			for e := range next {
				next[e] += 10
			}
			next[hot] += 70
			counts[source] = next
		}
		d.Observe(counts, map[string]uint64{"a": 1, "b": 1})
	}
}

func TestDemandFollowsAbruptChange(t *testing.T) {
	c := qt.New(t)
	d := New(1, 4)
	counts := map[string][]uint64{"a": make([]uint64, 4), "b": make([]uint64, 4)}
	addSamples(d, counts, 0, 5)
	c.Assert(math.Abs(d.Get()[0][0]-80.0/110) < 0.01, qt.IsTrue)
	addSamples(d, counts, 3, 1)
	c.Assert(math.Abs(d.Get()[0][3]-80.0/110) < 0.01, qt.IsTrue)
}

// TestRestartedSourceIsNotCounted has a source whose counts start again.
func TestRestartedSourceIsNotCounted(t *testing.T) {
	c := qt.New(t)
	d := New(1, 2)
	epochs := map[string]uint64{"a": 1}
	c.Assert(d.Observe(map[string][]uint64{"a": {100, 100}}, epochs), qt.IsFalse)
	c.Assert(d.Observe(map[string][]uint64{"a": {110, 100}}, epochs), qt.IsTrue)
	epochs = map[string]uint64{"a": 2}
	c.Assert(d.Observe(map[string][]uint64{"a": {3, 500}}, epochs), qt.IsFalse)
	c.Assert(d.Observe(map[string][]uint64{"a": {3, 510}}, epochs), qt.IsTrue)
	c.Assert(d.Observe(map[string][]uint64{"a": {1}}, epochs), qt.IsFalse)
}

// addMixedSample adds one sample during which demand moves from expert 0 to expert 3;
// newShare of it is of the new demand.
func addMixedSample(d *Demand, counts map[string][]uint64, newShare float64) {
	for _, source := range []string{"a", "b"} {
		next := append([]uint64(nil), counts[source]...)
		for e := range next {
			next[e] += 100
		}
		next[0] += uint64(700 * (1 - newShare))
		next[3] += uint64(700 * newShare)
		counts[source] = next
	}
	d.Observe(counts, map[string]uint64{"a": 1, "b": 1})
}

// TestNewDemandIsSeparatedFromMixedSample changes demand in the middle of a sample.
func TestNewDemandIsSeparatedFromMixedSample(t *testing.T) {
	c := qt.New(t)
	for _, newShare := range []float64{0.5, 0.7, 0.9} {
		d := New(1, 4)
		counts := map[string][]uint64{"a": make([]uint64, 4), "b": make([]uint64, 4)}
		addSamples(d, counts, 0, 4)
		addMixedSample(d, counts, newShare)
		c.Assert(d.IsMixed(), qt.IsFalse, qt.Commentf("part %v", newShare))
		c.Assert(math.Abs(d.Get()[0][3]-80.0/110) < 0.12, qt.IsTrue, qt.Commentf("part %v: %v", newShare, d.Get()))
		c.Assert(d.Get()[0][0] < 0.1, qt.IsTrue, qt.Commentf("part %v: %v", newShare, d.Get()))
	}
}

// TestSampleWithLittleNewDemandIsMixed changes demand at the end of a sample.
func TestSampleWithLittleNewDemandIsMixed(t *testing.T) {
	c := qt.New(t)
	d := New(1, 4)
	counts := map[string][]uint64{"a": make([]uint64, 4), "b": make([]uint64, 4)}
	addSamples(d, counts, 0, 4)
	addMixedSample(d, counts, 0.28)
	c.Assert(d.IsMixed(), qt.IsTrue)
	addSamples(d, counts, 3, 1)
	c.Assert(d.IsMixed(), qt.IsFalse)
	c.Assert(math.Abs(d.Get()[0][3]-80.0/110) < 0.05, qt.IsTrue)
}

// TestSampledRanksByGroupSize counts the ranks that are read.
func TestSampledRanksByGroupSize(t *testing.T) {
	c := qt.New(t)
	for size, want := range map[int]int{12: 12, 24: 24, 63: 23, 300: 26} {
		n := 0
		for rank := range size {
			if IsSampled(rank, size) {
				n++
			}
		}
		c.Assert(n, qt.Equals, want, qt.Commentf("%d ranks", size))
		c.Assert(ReadsAllRanks(size), qt.Equals, n == size)
	}
}
