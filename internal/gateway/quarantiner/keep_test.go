package quarantiner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// recoverSet returns the set of a gateway that starts when all others have ended, and that learns
// what keepers have.
func recoverSet(keepers *Set, now time.Time) *Set {
	s := New(900, WithPeers())
	s.MergeKept(DecodeRecords(EncodeRecords(keepers.GetKept(now), now), now), now)
	s.SetComplete()
	s.SetRecovered()
	return s
}

// TestBlockedRequestOutlivesItsGateways guards against a request that crashes three more servers
// after all gateways have ended.
func TestBlockedRequestOutlivesItsGateways(t *testing.T) {
	c := qt.New(t)
	d := Digest("POST", "/a", "acme", []byte("poison"))
	gateway, now := New(1), start
	for n := range maxCrashes {
		gateway.AddLoss(d, server(n), now, now)
		now = now.Add(time.Second)
	}
	sidecar := New(0)
	sidecar.MergeKept(gateway.GetKept(now), now)
	now = now.Add(10 * time.Second)
	restarted := recoverSet(sidecar, now)
	c.Assert(restarted.IsBlocked(d, now), qt.IsTrue)
	// One trial more does not start over, either.
	restarted.AddLoss(d, server(maxCrashes), now, now)
	again := recoverSet(recoverSet(restarted, now), now)
	c.Assert(again.IsBlocked(d, now), qt.IsTrue)
	c.Assert(again.entries[d].countTrials(now), qt.Equals, 1)
}

// TestDeadlyPartOutlivesItsGateways is the same for a part, wherever it stands in the prompts.
func TestDeadlyPartOutlivesItsGateways(t *testing.T) {
	forPromptOrders(t, func(c *qt.C, deadly, sound []uint64) {
		l := fleetLoad{sets: newSets(1), now: start}
		l.sendSound(20, []int{0}, sound...)
		for range maxPartCrashes {
			l.sendDeadly(0, deadly...)
			l.sendSound(10, []int{0}, sound...)
		}
		l.checkVerdict(c, sound...)
		restarted := recoverSet(l.sets[0], l.now)
		c.Assert(restarted.IsBlocked(0, l.now, deadly...), qt.IsTrue)
		c.Assert(restarted.IsBlocked(0, l.now, sound...), qt.IsFalse)
	})
}

// TestWrongVerdictIsReviewedAfterTheEndOfAllGateways guards against a sound part that stays blocked
// because the part that is to blame is forgotten, and no request with it reaches a server any more.
func TestWrongVerdictIsReviewedAfterTheEndOfAllGateways(t *testing.T) {
	forPromptOrders(t, func(c *qt.C, deadly, sound []uint64) {
		l := &fleetLoad{sets: newSets(4), now: start}
		l.sendSound(20, []int{0}, 3)
		for range minPartCrashes + 1 {
			l.sendDeadly(0, deadly...)
		}
		kept := l.sets[0].GetKept(l.now)
		l.sets = newSets(4)
		for i, s := range l.sets {
			s.observer = uint64(200 + i)
			s.MergeKept(kept, l.now)
		}
		for range 12 {
			l.sendSound(1, []int{1}, sound...)
			l.sendDeadly(0, deadly...)
			l.now = l.now.Add(reviewInterval)
			syncAll(l.sets, l.now)
		}
		l.checkVerdict(c, sound...)
	})
}

// TestKeptLossesIncludeWhatFreesARequest guards against a sound request that is blocked again
// after all gateways have ended.
func TestKeptLossesIncludeWhatFreesARequest(t *testing.T) {
	c := qt.New(t)
	gateway, sidecar, now := New(1), New(0), start
	for n := range maxCrashes {
		gateway.AddLoss(7, server(n), now, now)
	}
	sidecar.MergeKept(gateway.GetKept(now), now)
	now = now.Add(time.Second)
	changed := gateway.GetKeptChanged()
	c.Assert(gateway.AddServed(7, now), qt.Equals, maxCrashes)
	c.Assert(isClosed(changed), qt.IsTrue)
	sidecar.MergeKept(gateway.GetKept(now), now)
	c.Assert(recoverSet(sidecar, now).IsBlocked(7, now), qt.IsFalse)
}

// TestFewLossesAreKept counts what is kept of the requests that were in flight at one crash, and
// of those that were at a second one, too.
func TestFewLossesAreKept(t *testing.T) {
	c := qt.New(t)
	s, now := New(1), start
	changed := s.GetKeptChanged()
	for d := range uint64(50) {
		s.AddLoss(d+1, server(1), now, now)
	}
	s.AddPartLosses([]uint64{101, 102}, server(1), now)
	c.Assert(s.GetKept(now), qt.HasLen, 0)
	c.Assert(isClosed(changed), qt.IsFalse)
	now = now.Add(5 * time.Second)
	s.AddLoss(1, server(2), now, now)
	kept := s.GetKept(now)
	c.Assert(kept, qt.HasLen, 1)
	c.Assert(isClosed(changed), qt.IsTrue)
	c.Assert(s.IsObserver(kept[0]), qt.IsTrue)
	c.Assert(kept[0].GetExpiry(), qt.Equals, now.Add(crashTTL))
	c.Assert(s.GetKept(now.Add(crashTTL+time.Second)), qt.HasLen, 0)
	for d := range uint64(2 * maxKept) {
		s.AddLoss(d+1000, server(3), now, now)
		s.AddLoss(d+1000, server(4), now, now)
	}
	c.Assert(s.GetKept(now), qt.HasLen, maxKept)
}

// TestGatewayIsCompleteOnceRecovered guards against a gateway that serves before it knows what
// earlier ones have blocked.
func TestGatewayIsCompleteOnceRecovered(t *testing.T) {
	c := qt.New(t)
	s := New(1, WithPeers())
	s.SetComplete()
	c.Assert(s.IsComplete(), qt.IsFalse)
	s.SetRecovered()
	c.Assert(s.IsComplete(), qt.IsTrue)
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
