package keeper

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestOldOrForeignDemandIsNotUsed guards against a plan for another group's demand or for that
// of a minute ago.
func TestOldOrForeignDemandIsNotUsed(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	k := &Keeper{}
	_, ok := k.GetDemand("", now)
	c.Assert(ok, qt.IsFalse)
	k.KeepDemand(Demand{Group: "g", Shares: [][]float64{{1, 0}}, ObservedAt: now})
	k.KeepDemand(Demand{Group: "g", Shares: [][]float64{{0, 1}}, ObservedAt: now.Add(-time.Second)})
	d, ok := k.GetDemandOf("g", 1, 2, now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(d.Shares, qt.DeepEquals, [][]float64{{1, 0}})
	_, ok = k.GetDemandOf("g", 1, 3, now)
	c.Assert(ok, qt.IsFalse)
	_, ok = k.GetDemand("h", now)
	c.Assert(ok, qt.IsFalse)
	_, ok = k.GetDemand("g", now.Add(maxAge))
	c.Assert(ok, qt.IsFalse)
}

// TestEncodedDemandKeepsHotExperts guards against an encoding that a plan can't be made from.
func TestEncodedDemandKeepsHotExperts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := qt.New(t)
		shares := make([][]float64, rapid.IntRange(1, 4).Draw(r, "sets"))
		experts := rapid.IntRange(1, 64).Draw(r, "experts")
		for s := range shares {
			total := 0.0
			for range experts {
				v := rapid.Float64Range(0, 1).Draw(r, "share")
				shares[s], total = append(shares[s], v), total+v
			}
			for e := range shares[s] {
				shares[s][e] /= max(total, math.SmallestNonzeroFloat64)
			}
			if total == 0 {
				shares[s][0] = 1
			}
		}
		decoded := DecodeShares(EncodeShares(shares), len(shares))
		c.Assert(decoded, qt.HasLen, len(shares))
		for s := range shares {
			moved := 0.0
			for e, v := range decoded[s] {
				moved += math.Abs(v-shares[s][e]) / 2
			}
			c.Assert(moved < 0.02, qt.IsTrue, qt.Commentf("%f", moved))
		}
	})
}

// TestInvalidDemandIsRejected guards against a message that stops a sidecar.
func TestInvalidDemandIsRejected(t *testing.T) {
	c := qt.New(t)
	for _, encoded := range [][]byte{nil, {1, 2, 3}, {0, 0, 1, 1}} {
		c.Assert(DecodeShares(encoded, 2), qt.IsNil)
	}
	c.Assert(DecodeShares([]byte{1}, 0), qt.IsNil)
}
