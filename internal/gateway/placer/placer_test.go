package placer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

const (
	testSlots = 12
	testPass  = 60 * time.Millisecond
)

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 80)
}

// newEnginePlacer returns a Placer with n engines of one group, all reported idle.
func newEnginePlacer(n int, now time.Time) *Placer {
	p := New()
	p.SetCatalog(&holder.Catalog{Services: []holder.Service{{Name: "llm", Engine: &holder.Engine{
		Slots: testSlots, TokensPerEvent: 5, Pass: 5850 * time.Microsecond, PerRequest: 355 * time.Microsecond,
		PrefillRate: 61200, UsualPrompt: 835, UsualAnswer: 140,
	}}}})
	all := make([]lister.Server, 0, n)
	for i := range n {
		all = append(all, lister.Server{ID: fmt.Sprint("e", i), Service: "llm", Addr: addr(i), Zone: "a", Slots: testSlots})
	}
	p.SetServers(all)
	for i := range n {
		p.SetEngineLoad(addr(i), time.Time{}, Load{Pass: testPass, Slowness: 1, At: now})
	}
	return p
}

func newPlainPlacer(n int) *Placer {
	p := New()
	all := make([]lister.Server, 0, n)
	for i := range n {
		all = append(all, lister.Server{ID: fmt.Sprint("s", i), Service: "desk", Addr: addr(i), Zone: string(rune('a' + i)), Slots: 6})
	}
	p.SetServers(all)
	return p
}

func streamWork(now time.Time) Work {
	return Work{Route: "talk", Service: "llm", Zone: "a", EstimatedAnswerTokens: 140, CallerTimeout: 8 * time.Second, Patience: 2 * time.Second, Deadline: now.Add(8 * time.Second)}
}

func deskWork(now time.Time) Work {
	return Work{Route: "desk", Service: "desk", Zone: "a", CallerTimeout: 2500 * time.Millisecond, Deadline: now.Add(1200 * time.Millisecond)}
}

// TestBurstFillsEnginesEvenlyThenIsRefused sends twice as many requests as a group has
// slots.
func TestBurstFillsEnginesEvenlyThenIsRefused(t *testing.T) {
	c := qt.New(t)
	p := newEnginePlacer(4, start)
	placed := make(map[string]int)
	refused := 0
	for range 2 * 4 * testSlots {
		switch v := p.Place(streamWork(start), start).(type) {
		case *Placed:
			placed[v.ID]++
		case *Refused:
			refused++
			c.Assert(v.RetryAfter > 0, qt.IsTrue)
			c.Assert(v.RetryAfter <= 8*time.Second/3, qt.IsTrue)
		}
	}
	for id, n := range placed {
		c.Assert(n, qt.Equals, testSlots+maxEngineQueue, qt.Commentf("%s", id))
	}
	c.Assert(refused, qt.Equals, 2*4*testSlots-4*(testSlots+maxEngineQueue))
}

// TestPlaceIsEvenBetweenReports places requests without a report in between, and
// expects that own placements count.
func TestPlaceIsEvenBetweenReports(t *testing.T) {
	c := qt.New(t)
	p := newEnginePlacer(4, start)
	counts := make(map[string]int)
	for range 8 {
		v, ok := p.Place(streamWork(start), start).(*Placed)
		c.Assert(ok, qt.IsTrue)
		counts[v.ID]++
	}
	for _, n := range counts {
		c.Assert(n, qt.Equals, 2)
	}
}

// TestClientRetryIsPlacedInFullGroup fills a group, and expects that a new request is
// refused while one with less time left, a client retry, is placed.
func TestClientRetryIsPlacedInFullGroup(t *testing.T) {
	c := qt.New(t)
	p := newEnginePlacer(1, start)
	for range testSlots + maxEngineQueue {
		_, ok := p.Place(streamWork(start), start).(*Placed)
		c.Assert(ok, qt.IsTrue)
	}
	_, ok := p.Place(streamWork(start), start).(*Refused)
	c.Assert(ok, qt.IsTrue)
	w := streamWork(start)
	w.CallerTimeout = 6 * time.Second
	w.Deadline = start.Add(w.CallerTimeout)
	_, ok = p.Place(w, start).(*Placed)
	c.Assert(ok, qt.IsTrue)
}

// TestLowPriorityLeavesPlacesForHighPriority fills a server with less urgent work.
func TestLowPriorityLeavesPlacesForHighPriority(t *testing.T) {
	c := qt.New(t)
	p := newEnginePlacer(1, start)
	urgent, other := streamWork(start), streamWork(start)
	other.Priority = 5
	v, ok := p.Place(urgent, start).(*Placed)
	c.Assert(ok, qt.IsTrue)
	v.Finish(Served, start)
	n := 0
	for {
		if _, ok := p.Place(other, start).(*Placed); !ok {
			break
		}
		n++
	}
	c.Assert(n, qt.Equals, testSlots+maxEngineQueue-maxReservedPriorities)
	_, ok = p.Place(urgent, start).(*Placed)
	c.Assert(ok, qt.IsTrue)
}

// TestPlaceSkipsSlowRank has one rank that takes five times as long: a request there
// would lengthen every pass of the group.
func TestPlaceSkipsSlowRank(t *testing.T) {
	c := qt.New(t)
	p := newEnginePlacer(4, start)
	p.SetEngineLoad(addr(2), time.Time{}, Load{Pass: testPass, Slowness: 5, At: start})
	for range 3 * testSlots {
		v, ok := p.Place(streamWork(start), start).(*Placed)
		c.Assert(ok, qt.IsTrue)
		c.Assert(v.ID, qt.Not(qt.Equals), "e2")
	}
}

// TestPlaceRefusesRequestThatWouldMissDeadline has passes ten times slower than usual,
// in which only a short answer ends in time.
func TestPlaceRefusesRequestThatWouldMissDeadline(t *testing.T) {
	c := qt.New(t)
	p := newEnginePlacer(2, start)
	for i := range 2 {
		p.SetEngineLoad(addr(i), time.Time{}, Load{Pass: 600 * time.Millisecond, Slowness: 1, At: start})
	}
	long, short := streamWork(start), streamWork(start)
	long.Patience, short.Patience = 0, 0
	short.EstimatedAnswerTokens = 25
	_, ok := p.Place(long, start).(*Refused)
	c.Assert(ok, qt.IsTrue)
	_, ok = p.Place(short, start).(*Placed)
	c.Assert(ok, qt.IsTrue)
}

// TestPlaceRefusesWhileGroupIsBroken reports a group as broken for ten seconds, then
// as healthy.
func TestPlaceRefusesWhileGroupIsBroken(t *testing.T) {
	c := qt.New(t)
	p := newEnginePlacer(3, start)
	for ms := 0; ms < 10_000; ms += 100 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i := range 3 {
			p.SetEngineLoad(addr(i), time.Time{}, Load{Broken: true, At: now})
		}
		v, ok := p.Place(streamWork(now), now).(*Refused)
		c.Assert(ok, qt.IsTrue)
		c.Assert(v.RetryAfter > time.Second, qt.IsTrue)
		c.Assert(v.RetryAfter <= 8*time.Second/3, qt.IsTrue)
	}
	now := start.Add(10 * time.Second)
	for i := range 3 {
		p.SetEngineLoad(addr(i), time.Time{}, Load{At: now})
	}
	_, ok := p.Place(streamWork(now), now).(*Placed)
	c.Assert(ok, qt.IsTrue)
}

// TestStalledGroupIsProbedPeriodically has a frozen rank: the group is open but runs no
// passes, and only a request can show its recovery.
func TestStalledGroupIsProbedPeriodically(t *testing.T) {
	c := qt.New(t)
	p := newEnginePlacer(3, start)
	probes := 0
	for ms := 0; ms < 4000; ms += 20 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i := range 3 {
			p.SetEngineLoad(addr(i), time.Time{}, Load{Stalled: true, At: now})
		}
		if v, ok := p.Place(streamWork(now), now).(*Placed); ok {
			probes++
			v.Finish(Rejected, now)
		}
	}
	c.Assert(probes, qt.Equals, int(4*time.Second/probeInterval)-1)
}

// TestPlaceAvoidsPartlyFailingServer has a server that fails half of its requests at low
// load.
func TestPlaceAvoidsPartlyFailingServer(t *testing.T) {
	c := qt.New(t)
	p := newPlainPlacer(3)
	counts := make(map[string]int)
	for i := range 600 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		w := deskWork(now)
		w.Zone = "elsewhere"
		v, ok := p.Place(w, now).(*Placed)
		c.Assert(ok, qt.IsTrue)
		counts[v.ID]++
		outcome := Served
		if v.ID == "s0" && counts["s0"]%2 == 1 {
			outcome = Failed
		}
		v.Finish(outcome, now)
	}
	c.Assert(counts["s0"] < 60, qt.IsTrue, qt.Commentf("%v", counts))
}

// TestUnreachableServerIsEjected has an unreachable server that is idle and in the
// gateway's zone, and would get all requests by its load.
func TestUnreachableServerIsEjected(t *testing.T) {
	c := qt.New(t)
	p := newPlainPlacer(3)
	sameZone := 0
	for i := range 200 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		v, ok := p.Place(deskWork(now), now).(*Placed)
		c.Assert(ok, qt.IsTrue)
		if v.ID == "s0" {
			sameZone++
			v.Finish(Unreachable, now)
			continue
		}
		v.Finish(Served, now)
	}
	c.Assert(sameZone <= 6, qt.IsTrue, qt.Commentf("%d", sameZone))
}

// TestPlacePrefersOwnZoneWhileItHasCapacity sends all requests from one zone.
func TestPlacePrefersOwnZoneWhileItHasCapacity(t *testing.T) {
	c := qt.New(t)
	p := newPlainPlacer(3)
	counts := make(map[string]int)
	for range 18 {
		v, ok := p.Place(deskWork(start), start).(*Placed)
		c.Assert(ok, qt.IsTrue)
		counts[v.ID]++
	}
	c.Assert(counts["s0"] > counts["s1"], qt.IsTrue)
	c.Assert(counts["s1"] > 3, qt.IsTrue, qt.Commentf("%v", counts))
}

// TestPlaceSkipsLeavingServers has a server leave and restart.
func TestPlaceSkipsLeavingServers(t *testing.T) {
	c := qt.New(t)
	p := New()
	one := lister.Server{ID: "s", Service: "desk", Addr: addr(1), Slots: 6, Started: start}
	p.SetServers([]lister.Server{one})
	v, ok := p.Place(deskWork(start), start).(*Placed)
	c.Assert(ok, qt.IsTrue)
	leaving := one
	leaving.Leaving = true
	p.SetServers([]lister.Server{leaving})
	c.Assert(p.IsInUse("s"), qt.IsFalse)
	_, ok = p.Place(deskWork(start), start).(*Refused)
	c.Assert(ok, qt.IsTrue)
	again := one
	again.Started = start.Add(time.Second)
	p.SetServers([]lister.Server{again})
	// Requests of the earlier incarnation do not count for the new one.
	v.Finish(Lost, start)
	next, ok := p.Place(deskWork(start), start).(*Placed)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Estimate, qt.Equals, 0)
}

// TestOneBrokenReportMarksWholeGroup has a gateway in a partitioned zone: ranks of other
// zones no longer report, and the one that it reaches reports the group as broken.
func TestOneBrokenReportMarksWholeGroup(t *testing.T) {
	c := qt.New(t)
	p := newEnginePlacer(3, start)
	now := start.Add(4 * time.Second)
	p.SetEngineLoad(addr(0), time.Time{}, Load{Broken: true, At: now})
	_, ok := p.Place(streamWork(now), now).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(p.IsRunning("llm", now), qt.IsFalse)
	p.SetEngineLoad(addr(0), time.Time{}, Load{At: now.Add(time.Second)})
	v, ok := p.Place(streamWork(now), now.Add(time.Second)).(*Placed)
	c.Assert(ok, qt.IsTrue)
	// Engines whose reports are overdue are selected last.
	c.Assert(v.ID, qt.Equals, "e0")
}

// TestRejectingGroupReceivesFewRequests covers the time after a power loss of all
// machines: there are no reports yet, the engines reject work, and all callers retry.
func TestRejectingGroupReceivesFewRequests(t *testing.T) {
	c := qt.New(t)
	p := newEnginePlacer(3, start.Add(-time.Minute))
	sent := 0
	for ms := 0; ms < 2000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if v, ok := p.Place(streamWork(now), now).(*Placed); ok {
			sent++
			v.Finish(Rejected, now)
		}
	}
	c.Assert(sent <= 6, qt.IsTrue, qt.Commentf("%d", sent))
	now := start.Add(4 * time.Second)
	v, ok := p.Place(streamWork(now), now).(*Placed)
	c.Assert(ok, qt.IsTrue)
	v.Finish(Served, now)
	_, ok = p.Place(streamWork(now), now).(*Placed)
	c.Assert(ok, qt.IsTrue)
}

// TestEnginesWithoutReportShareTheStateOfTheirService covers the time after a power loss of
// all machines: one engine reports a broken group, others have not reported yet, or report
// under an incarnation that the list does not have yet.
func TestEnginesWithoutReportShareTheStateOfTheirService(t *testing.T) {
	for name, reported := range map[string]time.Time{"known incarnation": {}, "newer incarnation": start} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newEnginePlacer(0, start)
			all := make([]lister.Server, 0, 3)
			for i := range 3 {
				all = append(all, lister.Server{ID: fmt.Sprint("e", i), Service: "llm", Addr: addr(i), Zone: "a", Slots: testSlots})
			}
			p.SetServers(all)
			for ms := 0; ms < 3000; ms += 50 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				p.SetEngineLoad(addr(0), reported, Load{Group: "g", Broken: true, At: now})
				v, ok := p.Place(streamWork(now), now).(*Refused)
				c.Assert(ok, qt.IsTrue, qt.Commentf("placed after %d ms", ms))
				c.Assert(v.RetryAfter > time.Second, qt.IsTrue)
			}
			now := start.Add(3 * time.Second)
			p.SetEngineLoad(addr(0), reported, Load{Group: "g", At: now})
			_, ok := p.Place(streamWork(now), now).(*Placed)
			c.Assert(ok, qt.IsTrue)
		})
	}
}

// TestIdleGroupRecoversFromSlowness has a rank twelve times slower for a while, so that
// every request is refused and the group is idle. After recovery, requests must be
// placed although the group has run no passes.
func TestIdleGroupRecoversFromSlowness(t *testing.T) {
	c := qt.New(t)
	p := newEnginePlacer(2, start)
	w := streamWork(start)
	w.EstimatedAnswerTokens = 300
	p.SetEngineLoad(addr(1), time.Time{}, Load{Slowness: 12, At: start})
	_, ok := p.Place(w, start).(*Refused)
	c.Assert(ok, qt.IsTrue)
	p.SetEngineLoad(addr(1), time.Time{}, Load{Slowness: 1, At: start})
	p.SetEngineLoad(addr(0), time.Time{}, Load{Slowness: 1, At: start})
	_, ok = p.Place(w, start).(*Placed)
	c.Assert(ok, qt.IsTrue)
}

// TestMaxTokensIsNotUsedAsEstimate sends a request with a high token limit, which
// answers rarely reach, to a slow group.
func TestMaxTokensIsNotUsedAsEstimate(t *testing.T) {
	c := qt.New(t)
	p := newEnginePlacer(1, start)
	p.SetEngineLoad(addr(0), time.Time{}, Load{Pass: 200 * time.Millisecond, Slowness: 1, At: start})
	w := streamWork(start)
	w.EstimatedAnswerTokens, w.MaxAnswerTokens = 0, 345
	_, ok := p.Place(w, start).(*Placed)
	c.Assert(ok, qt.IsTrue)
}
