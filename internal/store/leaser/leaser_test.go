package leaser

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/standin/keeper"
	"siskinfall/internal/store/storer"
)

const ttl = 10 * time.Second

func TestAcquireFailsWhileLeaseIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := keeper.NewDirect(1)
		first, err := Acquire(t.Context(), store, "sweep", "a", ttl)
		c.Assert(err, qt.IsNil)
		_, err = Acquire(t.Context(), store, "sweep", "b", ttl)
		c.Assert(IsErrHeld(err), qt.IsTrue)
		time.Sleep(ttl / 2)
		c.Assert(first.Renew(t.Context()), qt.IsNil)
		time.Sleep(ttl * 3 / 4)
		_, err = Acquire(t.Context(), store, "sweep", "b", ttl)
		c.Assert(IsErrHeld(err), qt.IsTrue)
	})
}

// A holder that was paused past its deadline gets ErrLapsed from its next check, and its
// successor has a higher fencing token.
func TestHolderPausedPastDeadlineGetsErrLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := keeper.NewDirect(1)
		first, err := Acquire(t.Context(), store, "sweep", "a", ttl)
		c.Assert(err, qt.IsNil)
		time.Sleep(ttl + time.Second)
		second, err := Acquire(t.Context(), store, "sweep", "b", ttl)
		c.Assert(err, qt.IsNil)
		c.Assert(first.Check(), qt.ErrorIs, ErrLapsed)
		c.Assert(first.Renew(t.Context()), qt.ErrorIs, ErrLapsed)
		c.Assert(second.Fence() > first.Fence(), qt.IsTrue)
	})
}

// A write that takes effect after its caller got an error must not take the lease from
// the holder in the row.
func TestLateWriteDoesNotTakeLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := keeper.NewDirect(1)
		store.SetFaultProbabilities(keeper.FaultProbabilities{Late: 1})
		_, err := Acquire(t.Context(), store, "sweep", "a", ttl)
		c.Assert(err, qt.IsNotNil)
		store.SetFaultProbabilities(keeper.FaultProbabilities{})
		second, err := Acquire(t.Context(), store, "sweep", "b", ttl)
		c.Assert(err, qt.IsNil)
		time.Sleep(5 * time.Second)
		c.Assert(second.Check(), qt.IsNil)
		_, err = Acquire(t.Context(), store, "sweep", "a", ttl)
		c.Assert(IsErrHeld(err), qt.IsTrue)
		c.Assert(storer.IsErrConflict(err), qt.IsFalse)
	})
}

func TestReleasedLeaseCanBeAcquired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := keeper.NewDirect(1)
		first, err := Acquire(t.Context(), store, "sweep", "a", ttl)
		c.Assert(err, qt.IsNil)
		c.Assert(first.Release(t.Context()), qt.IsNil)
		c.Assert(first.Check(), qt.ErrorIs, ErrLapsed)
		_, err = Acquire(t.Context(), store, "sweep", "b", ttl)
		c.Assert(err, qt.IsNil)
	})
}
