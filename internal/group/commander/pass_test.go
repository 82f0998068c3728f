package commander

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestRestartedLeaderHoldsNoPassAgain guards against a pass that two sidecars of one rank hold
// in one epoch, one after the other, or one sidecar twice.
func TestRestartedLeaderHoldsNoPassAgain(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := qt.New(t)
		type pass struct{ epoch, step uint64 }
		held := make(map[pass]bool)
		p := passes{}
		now := pass{epoch: rapid.Uint64Range(1, 3).Draw(r, "epoch")}
		p.observe(now.epoch, now.step)
		for range rapid.IntRange(1, 200).Draw(r, "events") {
			switch rapid.IntRange(0, 9).Draw(r, "event") {
			case 0:
				p = passes{}
			case 1:
				now = pass{epoch: now.epoch + rapid.Uint64Range(1, 2).Draw(r, "later"), step: now.step * rapid.Uint64Range(0, 1).Draw(r, "goes_on")}
			case 2, 3, 4, 5:
				now.step += rapid.Uint64Range(0, 5).Draw(r, "passes")
			}
			p.observe(now.epoch, now.step)
			next, ok := p.next(now.epoch, now.step, rapid.Uint64Range(minPassesAhead, maxPassesAhead).Draw(r, "ahead"))
			if !ok {
				continue
			}
			p.hold(next)
			h := pass{epoch: now.epoch, step: next}
			c.Assert(held[h], qt.IsFalse, qt.Commentf("%+v", h))
			c.Assert(next > now.step && next <= now.step+maxPassesAhead, qt.IsTrue)
			held[h] = true
		}
	})
}

// TestLeaderHoldsPassesAgainOnceGroupGoesOn guards against a leader that never holds a pass.
func TestLeaderHoldsPassesAgainOnceGroupGoesOn(t *testing.T) {
	c := qt.New(t)
	p := passes{}
	p.observe(1, 40)
	_, ok := p.next(1, 40, minPassesAhead)
	c.Assert(ok, qt.IsFalse)
	_, ok = p.next(2, 60, minPassesAhead)
	c.Assert(ok, qt.IsFalse, qt.Commentf("the epoch was not observed"))
	next, ok := p.next(1, 41, minPassesAhead)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next, qt.Equals, uint64(49))
	next, ok = p.next(1, 60, minPassesAhead)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next, qt.Equals, uint64(62))
	p.observe(2, 61)
	next, ok = p.next(2, 61, minPassesAhead)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next, qt.Equals, uint64(63))
}
