package withdrawer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/fleet/lister"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(era, revision uint64) lister.Position {
	return lister.Position{Era: era, Revision: revision}
}

// TestOlderSetDoesNotReplaceNewerOne guards against a gateway with an old state that takes a
// zone out of use, or puts it back, at one with a newer state.
func TestOlderSetDoesNotReplaceNewerOne(t *testing.T) {
	c := qt.New(t)
	z := New()
	z.Merge(nil, at(1, 10), "peer", start)
	z.Merge([]string{"a"}, at(1, 20), "peer", start)
	z.Merge(nil, at(1, 20), "peer", start)
	z.Merge(nil, at(1, 15), "peer", start)
	z.Replace(nil, at(1, 19), "store", start)
	z.Apply([]Change{{Zone: "a", Returned: true}}, at(1, 12), "store")
	c.Assert(z.GetClosed(), qt.DeepEquals, []string{"a"})
	z.Apply([]Change{{Zone: "b"}, {Zone: "a", Returned: true}}, at(1, 21), "store")
	c.Assert(z.GetClosed(), qt.DeepEquals, []string{"b"})
}

// TestZoneLostByRestoredStoreStaysClosedForAWhile guards against work for a zone whose row a
// restored store has lost, and against a zone that then stays out of use for good.
func TestZoneLostByRestoredStoreStaysClosedForAWhile(t *testing.T) {
	c := qt.New(t)
	z := New()
	z.Replace([]string{"a", "b"}, at(1, 30), "store", start)
	z.Apply([]Change{{Zone: "c"}}, at(2, 40), "store")
	z.Replace(nil, at(2, 10), "store", start)
	z.Merge([]string{"c"}, at(1, 50), "peer", start)
	z.Expire(start.Add(restoredGrace - time.Millisecond))
	c.Assert(z.GetClosed(), qt.DeepEquals, []string{"a", "b"})
	z.Apply([]Change{{Zone: "b"}}, at(2, 11), "store")
	z.Expire(start.Add(restoredGrace))
	c.Assert(z.GetClosed(), qt.DeepEquals, []string{"b"})
}
