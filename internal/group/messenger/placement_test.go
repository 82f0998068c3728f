package messenger

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/group/commander"
	"siskinfall/internal/group/shifter"
)

func oneMap() shifter.Placement {
	return shifter.Placement{{{0, 1}, {2, 3}, {4, 5}}, {{0, 3}, {1, 4}, {2, 5}}}
}

func prepare(version uint64, p shifter.Placement, baseVersion uint64, base shifter.Placement) commander.Directive {
	return commander.Directive{Epoch: 3, Order: commander.Prepare{Version: version, Placement: p, BaseVersion: baseVersion, Base: base}}
}

// TestMapIsToldByItsChanges sends a map whole, then one by its changes.
func TestMapIsToldByItsChanges(t *testing.T) {
	c := qt.New(t)
	known := newPlacements()
	first, second := oneMap(), oneMap()
	second[1][2] = []int{2, 5, 0}
	_, err := decodeOrder(encodeOrder(prepare(7, first, 0, nil)), known)
	c.Assert(err, qt.IsNil)
	m := encodeOrder(prepare(8, second, 7, first))
	c.Assert(m.GetChanges(), qt.HasLen, 1)
	c.Assert(m.GetPlacement(), qt.HasLen, 0)
	d, err := decodeOrder(m, known)
	c.Assert(err, qt.IsNil)
	got, ok := d.Order.(commander.Prepare)
	c.Assert(ok, qt.IsTrue)
	c.Assert(got.Placement, qt.DeepEquals, second)
	c.Assert(known.get(7), qt.DeepEquals, first)
}

// TestUnknownBaseIsRefused has a sidecar that restarted, and one whose base is
// another map.
func TestUnknownBaseIsRefused(t *testing.T) {
	c := qt.New(t)
	first, second := oneMap(), oneMap()
	second[0][0] = []int{1, 5}
	m := encodeOrder(prepare(8, second, 7, first))
	_, err := decodeOrder(m, newPlacements())
	c.Assert(err, qt.Equals, errNeedsWhole)
	other := oneMap()
	other[1][1] = []int{4, 1, 0}
	known := newPlacements()
	known.add(7, other)
	_, err = decodeOrder(m, known)
	c.Assert(err, qt.Equals, errNeedsWhole)
	c.Assert(known.get(8), qt.IsNil)
}

// TestOldMapsAreForgotten bounds what a sidecar keeps.
func TestOldMapsAreForgotten(t *testing.T) {
	c := qt.New(t)
	known := newPlacements()
	for v := range uint64(10) {
		known.add(v, oneMap())
	}
	c.Assert(known.byNumber, qt.HasLen, keptPlacements)
	c.Assert(known.get(9), qt.IsNotNil)
	c.Assert(known.get(6), qt.IsNil)
}
