package accountant

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fakeOwner counts evictions.
type fakeOwner struct{ evictions int }

func (o *fakeOwner) Evict() { o.evictions++ }

// start is the beginning of the tests' virtual time.
var start = time.Unix(1_700_000_000, 0)

// newSmall returns an Accountant with room for four units and 6 KiB of bodies.
func newSmall() *Accountant { return New(Bounds{Memory: 36 << 10 * 6, Descriptors: 4}) }

// open opens an account that must have room.
func open(c *qt.C, a *Accountant, now time.Time) (*Account, *fakeOwner) {
	o := &fakeOwner{}
	acc := a.Open(o, now)
	c.Assert(acc, qt.IsNotNil)
	return acc, o
}

// TestStalledConnectionGivesWayBeforeIdleOne guards against closing connections that ordinary
// callers reuse while a crowd that sends nothing keeps its own.
func TestStalledConnectionGivesWayBeforeIdleOne(t *testing.T) {
	c := qt.New(t)
	a := newSmall()
	idle, idleOwner := open(c, a, start)
	c.Assert(idle.Begin(start), qt.IsTrue)
	idle.End(start)
	_, silentOwner := open(c, a, start.Add(time.Second))
	working, workingOwner := open(c, a, start)
	c.Assert(working.Begin(start), qt.IsTrue)
	// Nobody has been without progress for long enough.
	c.Assert(a.Open(&fakeOwner{}, start.Add(minStall-1)), qt.IsNil)
	open(c, a, start.Add(time.Hour))
	c.Assert([]int{silentOwner.evictions, idleOwner.evictions, workingOwner.evictions}, qt.DeepEquals, []int{1, 0, 0})
	c.Assert(a.GetHeld().Units, qt.Equals, 4)
}

// TestBodyThatMakesProgressIsKept guards against refusing a body because others have stopped
// before their end, and against evicting one that arrives.
func TestBodyThatMakesProgressIsKept(t *testing.T) {
	c := qt.New(t)
	a := New(Bounds{Memory: 60 << 10, Descriptors: 100})
	a.maxUnits = 100
	stopped, stoppedOwner := open(c, a, start)
	moving, movingOwner := open(c, a, start)
	late, _ := open(c, a, start)
	for _, acc := range []*Account{stopped, moving, late} {
		c.Assert(acc.Begin(start), qt.IsTrue)
		acc.Enter(Unfinished, start)
	}
	c.Assert(stopped.Reserve(Body, 5<<10, start), qt.IsTrue)
	c.Assert(moving.Reserve(Body, 5<<10, start), qt.IsTrue)
	c.Assert(late.Reserve(Body, 1, start.Add(minStall-1)), qt.IsFalse)
	now := start.Add(2 * minStall)
	moving.Enter(Unfinished, now)
	c.Assert(late.Reserve(Body, 1<<10, now), qt.IsTrue)
	c.Assert([]int{stoppedOwner.evictions, movingOwner.evictions}, qt.DeepEquals, []int{1, 0})
	c.Assert(stopped.Reserve(Body, 0, now), qt.IsFalse)
	c.Assert(stopped.Resume(now), qt.IsFalse)
	c.Assert(moving.Resume(now), qt.IsTrue)
}

// TestEndedConnectionsHoldNothing guards against a leak of what a request was charged.
func TestEndedConnectionsHoldNothing(t *testing.T) {
	c := qt.New(t)
	a := New(Bounds{Memory: 64 << 20, Descriptors: 100})
	for range 50 {
		acc, _ := open(c, a, start)
		for range 3 {
			c.Assert(acc.Begin(start), qt.IsTrue)
			for use := range uses {
				c.Assert(acc.Reserve(use, 100, start), qt.IsTrue)
			}
			acc.End(start)
		}
		c.Assert(acc.Begin(start), qt.IsTrue)
		c.Assert(acc.Reserve(Head, 100, start), qt.IsTrue)
		acc.Close()
		acc.Close()
		c.Assert(acc.Begin(start), qt.IsFalse)
	}
	c.Assert(a.GetHeld(), qt.Equals, Held{})
}

// TestConnectionThatLingersGivesWayAtOnce guards against callers that find no room because
// others that were refused are given time to read why.
func TestConnectionThatLingersGivesWayAtOnce(t *testing.T) {
	c := qt.New(t)
	a := newSmall()
	_, fresh := open(c, a, start)
	for range 3 {
		open(c, a, start)
	}
	c.Assert(a.Open(&fakeOwner{}, start.Add(minStall/2)), qt.IsNil)
	lingering, owner := open(c, New(Bounds{Memory: 1 << 20, Descriptors: 1}), start)
	c.Assert(lingering.Open(&fakeOwner{}, start), qt.IsNil)
	lingering.Enter(Closing, start)
	later := start.Add(2 * searchPause)
	c.Assert(lingering.Open(&fakeOwner{}, later), qt.IsNotNil)
	c.Assert([]int{owner.evictions, fresh.evictions}, qt.DeepEquals, []int{1, 0})
}
