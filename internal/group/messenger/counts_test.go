package messenger

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"siskinfall/internal/wire/encoder"
)

// exchangeCounts has a reader read counts from a sidecar and returns those that it decodes and
// the size of the answer.
func exchangeCounts(sent *sentCounts, received *receivedCounts, counts []uint64) ([]uint64, int) {
	m := &encoder.EngineState{Counts: counts}
	sent.encode(m, received.getID(rankAddr))
	size := proto.Size(m)
	received.decode(rankAddr, m)
	return m.GetCounts(), size
}

// TestCountsOfLargeGroupAreSmall guards against answers with thousands of growing numbers in
// full, which fill the leader's link.
func TestCountsOfLargeGroupAreSmall(t *testing.T) {
	c := qt.New(t)
	sent, received := &sentCounts{}, newReceivedCounts()
	counts := make([]uint64, 16*258)
	for round := range uint64(20) {
		next := make([]uint64, len(counts))
		for i, n := range counts {
			next[i] = n + 500 + uint64(i)%100*round
		}
		counts = next
		got, _ := exchangeCounts(sent, received, next)
		c.Assert(got, qt.DeepEquals, next)
	}
	next := make([]uint64, len(counts))
	for i, n := range counts {
		next[i] = n + uint64(i)%100
	}
	got, size := exchangeCounts(sent, received, next)
	c.Assert(got, qt.DeepEquals, next)
	// A byte a number; in full they take two to three.
	c.Assert(size < len(next)+64, qt.IsTrue, qt.Commentf("%d bytes", size))
}

// TestCountsAreSentInFullAfterRestart guards against differences from counts that the reader
// or the sidecar no longer has.
func TestCountsAreSentInFullAfterRestart(t *testing.T) {
	c := qt.New(t)
	sent, received := &sentCounts{}, newReceivedCounts()
	exchangeCounts(sent, received, []uint64{5, 6, 7})
	// The sidecar restarts, then its engine, then the reader.
	got, _ := exchangeCounts(&sentCounts{}, received, []uint64{8, 8, 8})
	c.Assert(got, qt.DeepEquals, []uint64{8, 8, 8})
	exchangeCounts(sent, received, []uint64{9, 9, 9})
	got, _ = exchangeCounts(sent, received, []uint64{1, 2, 3})
	c.Assert(got, qt.DeepEquals, []uint64{1, 2, 3})
	got, _ = exchangeCounts(sent, newReceivedCounts(), []uint64{4, 4, 4})
	c.Assert(got, qt.DeepEquals, []uint64{4, 4, 4})
	// An answer with a difference from counts that the reader does not have is not used.
	m := &encoder.EngineState{Counts: []uint64{1, 1, 1}, CountsId: 3, BaseCounts: 77}
	received.decode(rankAddr, m)
	c.Assert(m.GetCounts(), qt.HasLen, 0)
	c.Assert(received.getID(rankAddr), qt.Equals, uint64(0))
}
