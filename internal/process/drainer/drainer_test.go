package drainer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/check/asserter"
)

func TestWaitDrainedWaitsForWorkInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := &Gate{}
		c.Assert(g.Accept(), qt.IsTrue)
		g.BeginDrain(time.Now())
		c.Assert(g.Accept(), qt.IsFalse)
		time.AfterFunc(time.Minute, g.Finish)
		start := time.Now()
		c.Assert(g.WaitDrained(t.Context()), qt.IsTrue)
		c.Assert(time.Since(start), qt.Equals, time.Minute)
	})
}

func TestWaitDrainedFailsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := &Gate{}
		c.Assert(g.Accept(), qt.IsTrue)
		g.BeginDrain(time.Now())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		c.Assert(g.WaitDrained(ctx), qt.IsFalse)
	})
}

// A drain that ends while work is still counted must report a violation and fail.
func TestWaitDrainedReportsViolationWithWorkInFlight(t *testing.T) {
	c := qt.New(t)
	g := &Gate{}
	g.BeginDrain(time.Now())
	g.inFlight = 1
	before := asserter.Violations()
	c.Assert(g.WaitDrained(t.Context()), qt.IsFalse)
	c.Assert(asserter.Violations(), qt.Equals, before+1)
}
