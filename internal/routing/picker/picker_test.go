package picker

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// withManyCandidates makes it practically certain that every member of a small
// set is a candidate.
var withManyCandidates = WithStrategy(ExpectedCompletion{Candidates: 32})

func newSet(n int, now time.Time) []*Backend {
	set := make([]*Backend, n)
	for i := range set {
		set[i] = NewBackend(fmt.Sprint("b", i), netip.AddrPort{}, "z", now.Add(-time.Hour))
		set[i].SetReport(Report{Ready: true, Concurrency: 8, ServiceTime: 100 * time.Millisecond})
	}
	return set
}

func TestPickSkipsLeavingStalledAndUnreadyBackends(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	for _, strategy := range []Strategy{ExpectedCompletion{Candidates: 2}, RoundRobin{}, Random{}, LeastReported{}, BoundedRendezvous{Factor: 1.25}} {
		set := newSet(4, now)
		set[0].SetReport(Report{Ready: true, Leaving: true})
		set[1].SetReport(Report{Ready: false})
		set[2].SetReport(Report{Ready: true, Stalled: true})
		for range 50 {
			c.Assert(New(WithStrategy(strategy)).Pick(set, PickInfo{Now: now}), qt.Equals, set[3])
		}
		set[3].SetAvailable(false)
		c.Assert(New(WithStrategy(strategy)).Pick(set, PickInfo{Now: now}), qt.IsNil)
	}
}

func TestPickCountsOwnRequestsBeforeNextReport(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	set := newSet(4, now)
	p := New(withManyCandidates, WithZone("z", 0))
	for range 32 {
		p.Pick(set, PickInfo{Now: now}).Start(0, now)
	}
	for _, b := range set {
		c.Assert(b.inFlight.Load(), qt.Equals, int64(8))
	}
}

func TestEjectIsBoundedByMaxFraction(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	set := newSet(10, now)
	for _, b := range set {
		for range 30 {
			b.Start(0, now)
			b.Finish(true)
		}
	}
	c.Assert(Eject(set, now), qt.HasLen, 3)
	c.Assert(Eject(set, now), qt.HasLen, 0)
	c.Assert(New().Pick(set, PickInfo{Now: now}), qt.IsNotNil)
}

func TestPickWeighsZoneLatencyAgainstLoad(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	set := newSet(2, now)
	set[0].Zone = "other"
	for range 2 {
		set[1].Start(0, now)
	}
	highLatency := New(withManyCandidates, WithZone("z", 100*time.Millisecond))
	c.Assert(highLatency.Pick(set, PickInfo{Now: now}), qt.Equals, set[1])
	lowLatency := New(withManyCandidates, WithZone("z", 100*time.Microsecond))
	c.Assert(lowLatency.Pick(set, PickInfo{Now: now}), qt.Equals, set[0])
	perZone := New(withManyCandidates, WithZone("z", 100*time.Microsecond), WithZoneLatency("other", 100*time.Millisecond))
	c.Assert(perZone.Pick(set, PickInfo{Now: now}), qt.Equals, set[1])
}

func TestPickRampsUpNewBackend(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	set := newSet(2, now)
	set[0] = NewBackend("new", netip.AddrPort{}, "z", now)
	set[0].SetReport(Report{Ready: true, Concurrency: 8, ServiceTime: 100 * time.Millisecond})
	p := New(withManyCandidates, WithZone("z", 0))
	c.Assert(p.Pick(set, PickInfo{Now: now}), qt.Equals, set[1])
	for range 12 {
		set[1].Start(0, now)
	}
	c.Assert(p.Pick(set, PickInfo{Now: now.Add(slowStartWindow)}), qt.Equals, set[0])
}

func TestPickDoesNotAllocate(t *testing.T) {
	now := time.Now()
	set := newSet(600, now)
	p := New(WithZone("z", time.Millisecond))
	info := PickInfo{Prefix: 77, Now: now}
	qt.Assert(t, testing.AllocsPerRun(1000, func() { p.Pick(set, info) }), qt.Equals, 0.0)
}

func BenchmarkPick600(b *testing.B) {
	now := time.Now()
	set := newSet(600, now)
	p := New(WithZone("z", time.Millisecond))
	b.ReportAllocs()
	for i := uint64(1); b.Loop(); i++ {
		p.Pick(set, PickInfo{Prefix: i * 0x9e3779b97f4a7c15, Now: now})
	}
}
