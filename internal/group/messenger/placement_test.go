package messenger

import (
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/group/commander"
	"siskinfall/internal/group/shifter"
	"siskinfall/internal/wire/encoder"
)

func testPlacement() shifter.Placement {
	return shifter.Placement{{{0, 1}, {2, 3}, {4, 5}}, {{0, 3}, {1, 4}, {2, 5}}}
}

func prepare(version uint64, p shifter.Placement, baseVersion uint64, base shifter.Placement) commander.Directive {
	return commander.Directive{Epoch: 3, Order: commander.Prepare{Version: version, Placement: p, BaseVersion: baseVersion, Base: base}}
}

func encode(c *qt.C, d commander.Directive) *encoder.EngineOrder {
	m, err := encodeOrder(d)
	c.Assert(err, qt.IsNil)
	return m
}

// TestEncodedChangesOfLargeMapAreSmall changes 200 of the 2,520 places.
func TestEncodedChangesOfLargeMapAreSmall(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	from := make(shifter.Placement, 8)
	for s := range from {
		for range 63 {
			list := rng.Perm(252)[:5]
			slices.Sort(list)
			from[s] = append(from[s], list)
		}
	}
	to := from.Clone()
	for range 200 {
		list := to[rng.IntN(8)][rng.IntN(63)]
		list[rng.IntN(5)] = 252 + rng.IntN(100)
		slices.Sort(list)
	}
	changes, err := diff(from, to)
	c.Assert(err, qt.IsNil)
	got, err := patch(from, changes)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, to)
	// At 8 Mbit/s 63 ranks get 1.5 KB each in less than a tenth of a second.
	c.Assert(len(changes) < 1500, qt.IsTrue, qt.Commentf("%d bytes", len(changes)))
}

// TestMapIsRestoredFromChanges sends one map in full, then one as changes to it.
func TestMapIsRestoredFromChanges(t *testing.T) {
	c := qt.New(t)
	received := newPlacementCache()
	first, second := testPlacement(), testPlacement()
	second[1][2] = []int{0, 2, 5}
	_, err := decodeOrder(encode(c, prepare(7, first, 0, nil)), received)
	c.Assert(err, qt.IsNil)
	m := encode(c, prepare(8, second, 7, first))
	c.Assert(m.GetPlacement(), qt.HasLen, 0)
	d, err := decodeOrder(m, received)
	c.Assert(err, qt.IsNil)
	got, ok := d.Order.(commander.Prepare)
	c.Assert(ok, qt.IsTrue)
	c.Assert(got.Placement, qt.DeepEquals, second)
	c.Assert(received.get(7), qt.DeepEquals, first)
}

// TestUnknownBaseNeedsFullMap has a sidecar that restarted, and one whose base is another
// map.
func TestUnknownBaseNeedsFullMap(t *testing.T) {
	c := qt.New(t)
	first, second := testPlacement(), testPlacement()
	second[0][0] = []int{1, 5}
	m := encode(c, prepare(8, second, 7, first))
	_, err := decodeOrder(m, newPlacementCache())
	c.Assert(err, qt.Equals, errNeedsFullMap)
	other := testPlacement()
	other[1][1] = []int{0, 1, 4}
	received := newPlacementCache()
	received.add(7, other)
	_, err = decodeOrder(m, received)
	c.Assert(err, qt.Equals, errNeedsFullMap)
	c.Assert(received.get(8), qt.IsNil)
}

// TestOldestMapsAreEvicted checks the bound of the maps that a sidecar keeps.
func TestOldestMapsAreEvicted(t *testing.T) {
	c := qt.New(t)
	received := newPlacementCache()
	for v := range uint64(10) {
		received.add(v, testPlacement())
	}
	c.Assert(received.byVersion, qt.HasLen, maxCachedPlacements)
	c.Assert(received.get(9), qt.IsNotNil)
	c.Assert(received.get(6), qt.IsNil)
}
