package quarantiner

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// server returns the n-th backend server.
func server(n int) Server { return NewServer(fmt.Sprint("i-", n), start) }

// exchange lets two sets learn from each other.
func exchange(a, b *Set, now time.Time) {
	report(a, b, now)
	report(b, a, now)
}

// exchangeLosses is exchange between gateways of which one ends before it has said what came to
// it.
func exchangeLosses(a, b *Set, now time.Time) {
	b.Merge(a.Export(now), now)
	a.Merge(b.Export(now), now)
}

// report lets a set learn from another one.
func report(from, to *Set, now time.Time) {
	if arrivals, ok := from.GetArrivals(now); ok {
		to.MergeArrivals(arrivals, now)
	}
	to.Merge(from.Export(now), now)
}

// newSets returns n sets that see each other as one fleet.
func newSets(n int) []*Set {
	sets := make([]*Set, n)
	addrs := make([]netip.AddrPort, n)
	for i := range sets {
		sets[i] = New(uint64(100 + i))
		addrs[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
	}
	for i, s := range sets {
		others := append(append([]netip.AddrPort(nil), addrs[:i]...), addrs[i+1:]...)
		s.SetFleet(addrs[i], others, false)
	}
	return sets
}

// TestRequestIsStoppedByCrashesOfAllGateways guards against gateways that know only the
// highest count of another one: each has observed one crash, and one has observed none.
func TestRequestIsStoppedByCrashesOfAllGateways(t *testing.T) {
	c := qt.New(t)
	d := Digest("POST", "/a", "acme", []byte("poison"))
	sets := newSets(maxCrashes + 1)
	for i, s := range sets[1:] {
		c.Assert(s.IsBlocked(d, start), qt.IsFalse)
		s.AddLoss(d, server(i), start, start)
		exchange(s, sets[0], start)
	}
	for _, s := range sets {
		exchange(s, sets[0], start)
		c.Assert(s.Admit(d, start), qt.Equals, Blocked)
		c.Assert(s.Admit(Digest("POST", "/a", "acme", []byte("other")), start), qt.Equals, Clear)
	}
	later := start.Add(crashTTL + time.Second)
	c.Assert(sets[0].IsBlocked(d, later), qt.IsFalse)
	c.Assert(sets[0].Export(later)[0].Losses, qt.HasLen, 0)
	c.Assert(sets[0].Export(start.Add(forgetAfter+time.Second)), qt.HasLen, 0)
}

// TestCopiesLostInOneCrashCountOnce guards against blocking a request because many callers
// had it at one server.
func TestCopiesLostInOneCrashCountOnce(t *testing.T) {
	c := qt.New(t)
	sets := newSets(3)
	for i, s := range sets {
		for range 4 {
			lostAt := start.Add(time.Duration(100+i) * time.Millisecond)
			c.Assert(s.AddLoss(1, server(0), start, lostAt), qt.Equals, 1)
		}
	}
	now := start.Add(time.Second)
	exchange(sets[0], sets[1], now)
	exchange(sets[0], sets[2], now)
	c.Assert(sets[0].entries[1].countCrashes(now), qt.Equals, 1)
	// Runs that began after the crash are lost in another one, also if the server kept its ID.
	c.Assert(sets[0].AddLoss(1, server(0), now, now.Add(time.Millisecond)), qt.Equals, 2)
	c.Assert(sets[0].AddLoss(1, NewServer("i-0", now), now, now.Add(time.Millisecond)), qt.Equals, 3)
}

// TestExpiredCrashIsNotLearnedAgain guards against gateways that keep each other's entries
// alive, so that a request stays blocked for good.
func TestExpiredCrashIsNotLearnedAgain(t *testing.T) {
	c := qt.New(t)
	sets := newSets(2)
	now := start
	for i := range maxCrashes {
		sets[0].AddLoss(1, server(i), now, now)
	}
	const interval = 400 * time.Millisecond
	for ; now.Before(start.Add(crashTTL)); now = now.Add(interval) {
		exchange(sets[0], sets[1], now)
		c.Assert(sets[1].IsBlocked(1, now), qt.IsTrue)
	}
	// The reports take time, so that the second set takes the crashes for younger.
	late := sets[0].Export(start.Add(crashTTL))
	for ; now.Before(start.Add(crashTTL + forgetAfter)); now = now.Add(interval) {
		sets[1].Merge(late, now)
		exchange(sets[0], sets[1], now)
	}
	c.Assert(sets[0].IsBlocked(1, now), qt.IsFalse)
	c.Assert(sets[1].IsBlocked(1, now), qt.IsFalse)
	c.Assert(sets[0].Fingerprint(now), qt.Equals, uint64(0))
}

// TestServedRequestIsNotBlamed guards against blocking a request that servers run and survive.
func TestServedRequestIsNotBlamed(t *testing.T) {
	c := qt.New(t)
	sets := newSets(2)
	sets[0].AddServed(1, start)
	now := start.Add(servedWindow)
	for i := range maxCrashes {
		sets[1].AddLoss(1, server(i), start, now)
	}
	c.Assert(sets[1].IsBlocked(1, now), qt.IsTrue)
	exchange(sets[1], sets[0], now)
	c.Assert(sets[0].IsBlocked(1, now), qt.IsFalse)
	c.Assert(sets[1].IsBlocked(1, now), qt.IsFalse)
	c.Assert(sets[0].Fingerprint(now), qt.Equals, sets[1].Fingerprint(now))
	// What was served long ago says nothing.
	later := now.Add(servedWindow)
	for i := range maxCrashes {
		sets[0].AddLoss(1, server(10+i), now, later)
	}
	c.Assert(sets[0].IsBlocked(1, later), qt.IsTrue)
	c.Assert(sets[0].AddServed(1, later), qt.Equals, maxCrashes)
	c.Assert(sets[0].IsBlocked(1, later), qt.IsFalse)
}

// syncAll lets all sets learn from each other.
func syncAll(sets []*Set, now time.Time) {
	for range 2 {
		for _, s := range sets {
			exchange(sets[0], s, now)
		}
	}
}

// countTrials sends a request to all gateways several times and returns how often it was
// admitted.
func countTrials(sets []*Set, digest uint64, now time.Time) (n int) {
	for range 3 {
		for _, s := range sets {
			if s.Admit(digest, now) == Trial {
				n++
			}
		}
	}
	syncAll(sets, now)
	return n
}

// newBlockedFleet returns sets that block a request.
func newBlockedFleet(digest uint64) []*Set {
	sets := newSets(5)
	for i := range maxCrashes {
		sets[0].AddLoss(digest, server(i), start, start)
	}
	syncAll(sets, start)
	return sets
}

// TestOneGatewayTriesBlockedRequest guards against a trial by each gateway, one after the
// other, or without end, and against trials while the fleet is cut.
func TestOneGatewayTriesBlockedRequest(t *testing.T) {
	c := qt.New(t)
	const digest = 7
	sets := newBlockedFleet(digest)
	now := start
	for i, pause := range trialPauses {
		c.Assert(countTrials(sets, digest, now.Add(pause-time.Millisecond)), qt.Equals, 0)
		now = now.Add(pause)
		for _, s := range sets {
			s.fleet.isCut = true
		}
		c.Assert(countTrials(sets, digest, now), qt.Equals, 0)
		c.Assert(countTrials(sets, digest, now.Add(announceTime)), qt.Equals, 0)
		for _, s := range sets {
			s.fleet.isCut = false
		}
		c.Assert(countTrials(sets, digest, now), qt.Equals, 0)
		now = now.Add(announceTime)
		c.Assert(countTrials(sets, digest, now), qt.Equals, 1)
		for _, s := range sets {
			if e := s.entries[digest]; e.trial != nil {
				c.Assert(s.AddLoss(digest, server(10+i), now, now), qt.Equals, maxCrashes+i+1)
				s.EndTrial(digest, true)
			}
		}
		syncAll(sets, now)
	}
	c.Assert(countTrials(sets, digest, start.Add(crashTTL)), qt.Equals, 0)
	c.Assert(countTrials(sets, digest, start.Add(crashTTL-announceTime)), qt.Equals, 0)
}

// TestTrialIsNotRepeatedByOtherGateways guards against a gateway that is killed during a
// trial, so that the others, or its next incarnation, know nothing of it.
func TestTrialIsNotRepeatedByOtherGateways(t *testing.T) {
	c := qt.New(t)
	const digest = 7
	sets := newBlockedFleet(digest)
	now := start.Add(trialPauses[0])
	c.Assert(countTrials(sets, digest, now), qt.Equals, 0)
	now = now.Add(announceTime)
	c.Assert(countTrials(sets, digest, now), qt.Equals, 1)
	for i, s := range sets {
		if s.entries[digest].trial != nil {
			sets[i] = New(999)
			sets[i].SetFleet(s.fleet.own, s.fleet.others, false)
		}
	}
	syncAll(sets, now)
	syncAll(sets, now)
	for at := now; at.Before(now.Add(trialPauses[1] - announceTime)); at = at.Add(time.Second) {
		c.Assert(countTrials(sets, digest, at), qt.Equals, 0)
	}
}

// TestTrialWithoutServerIsMadeAgain guards against a request that stays blocked because its
// trial reached no server.
func TestTrialWithoutServerIsMadeAgain(t *testing.T) {
	c := qt.New(t)
	const digest = 7
	sets := newBlockedFleet(digest)
	now := start.Add(trialPauses[0])
	for range 3 {
		c.Assert(countTrials(sets, digest, now), qt.Equals, 0)
		now = now.Add(announceTime)
		c.Assert(countTrials(sets, digest, now), qt.Equals, 1)
		for _, s := range sets {
			s.EndTrial(digest, false)
		}
		syncAll(sets, now)
	}
	c.Assert(countTrials(sets, digest, now), qt.Equals, 0)
	now = now.Add(announceTime)
	for _, s := range sets {
		if s.Admit(digest, now) == Trial {
			s.AddServed(digest, now)
			s.EndTrial(digest, true)
		}
	}
	syncAll(sets, now)
	for _, s := range sets {
		c.Assert(s.Admit(digest, now), qt.Equals, Clear)
	}
}

func TestOldestRequestIsForgottenBeyondLimit(t *testing.T) {
	c := qt.New(t)
	s := New(1)
	for i := range uint64(maxEntries + 10) {
		s.AddLoss(i, server(0), start, start.Add(time.Duration(i)))
	}
	c.Assert(s.entries, qt.HasLen, maxEntries)
	c.Assert(s.entries[0], qt.IsNil)
}

// TestRequestThatStopsGroupIsBlockedAfterTwoCrashes guards against a third stop of a whole model
// group, and against trials that stop it while its callers return.
func TestRequestThatStopsGroupIsBlockedAfterTwoCrashes(t *testing.T) {
	c := qt.New(t)
	s, other := New(1), New(2)
	const poison, cut = 1, 2
	s.AddLoss(poison, server(0), start, start, InGroup())
	s.AddLoss(cut, server(0), start, start, InGroup())
	c.Assert(s.Admit(poison, start), qt.Equals, Clear)
	second := start.Add(4 * time.Second)
	other.AddLoss(poison, server(1), second, second, InGroup())
	exchange(s, other, second)
	for _, gateway := range []*Set{s, other} {
		c.Assert(gateway.Admit(poison, second), qt.Equals, Blocked)
		// A request that was there once is not stopped.
		c.Assert(gateway.Admit(cut, second), qt.Equals, Clear)
	}
	for after := time.Second; after < groupTrialPauses[0]; after += time.Second {
		c.Assert(s.Admit(poison, second.Add(after)), qt.Equals, Blocked)
		c.Assert(other.Admit(poison, second.Add(after)), qt.Equals, Blocked)
	}
	// The losses were not its fault: it is tried, served, and no longer blocked.
	due := second.Add(groupTrialPauses[0])
	s.Admit(poison, due)
	c.Assert(s.Admit(poison, due.Add(announceTime)), qt.Equals, Trial)
	s.AddServed(poison, due.Add(announceTime+time.Second))
	s.EndTrial(poison, true)
	c.Assert(s.Admit(poison, due.Add(announceTime+time.Second)), qt.Equals, Clear)
}

// BenchmarkAdmit admits a request beside 500 that have lost servers.
func BenchmarkAdmit(b *testing.B) {
	s := New(1)
	for i := range uint64(500) {
		s.AddLoss(i, server(int(i)), start, start)
	}
	for b.Loop() {
		if s.Admit(1000, start) != Clear {
			b.Fatal("blocked")
		}
	}
}
