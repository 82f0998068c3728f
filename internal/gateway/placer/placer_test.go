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

// newEngines returns a Placer with engines of one group, all reported idle.
func newEngines(n int, now time.Time) *Placer {
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

func newPlain(n int) *Placer {
	p := New()
	all := make([]lister.Server, 0, n)
	for i := range n {
		all = append(all, lister.Server{ID: fmt.Sprint("s", i), Service: "desk", Addr: addr(i), Zone: string(rune('a' + i)), Slots: 6})
	}
	p.SetServers(all)
	return p
}

func streamWork(now time.Time) Work {
	return Work{Route: "talk", Service: "llm", Zone: "a", Answer: 140, Wait: 8 * time.Second, Patience: 2 * time.Second, Until: now.Add(8 * time.Second)}
}

func deskWork(now time.Time) Work {
	return Work{Route: "desk", Service: "desk", Zone: "a", Wait: 2500 * time.Millisecond, Until: now.Add(1200 * time.Millisecond)}
}

// TestBurstIsSpreadAndThenRefused sends twice what a group can take at once.
func TestBurstIsSpreadAndThenRefused(t *testing.T) {
	c := qt.New(t)
	p := newEngines(4, start)
	placed := make(map[string]int)
	refused := 0
	for range 2 * 4 * testSlots {
		switch v := p.Place(streamWork(start), start).(type) {
		case *Placed:
			placed[v.ID]++
		case *Refused:
			refused++
			c.Assert(v.After > 0, qt.IsTrue)
			c.Assert(v.After <= 8*time.Second/3, qt.IsTrue)
		}
	}
	for id, n := range placed {
		c.Assert(n, qt.Equals, testSlots+engineQueue, qt.Commentf("%s", id))
	}
	c.Assert(refused, qt.Equals, 2*4*testSlots-4*(testSlots+engineQueue))
}

// TestPlacesAreEvenWhileReportsLag places more than a pass takes in between two
// reports.
func TestPlacesAreEvenWhileReportsLag(t *testing.T) {
	c := qt.New(t)
	p := newEngines(4, start)
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

// TestReturningCallersGoFirst fills a group, then lets new callers and callers who
// were refused before ask.
func TestReturningCallersGoFirst(t *testing.T) {
	c := qt.New(t)
	p := newEngines(1, start)
	for range testSlots + engineQueue {
		_, ok := p.Place(streamWork(start), start).(*Placed)
		c.Assert(ok, qt.IsTrue)
	}
	_, ok := p.Place(streamWork(start), start).(*Refused)
	c.Assert(ok, qt.IsTrue)
	w := streamWork(start)
	w.Wait = 6 * time.Second
	w.Until = start.Add(w.Wait)
	_, ok = p.Place(w, start).(*Placed)
	c.Assert(ok, qt.IsTrue)
}

// TestUrgentWorkKeepsPlaces fills a server with work of a lower rank.
func TestUrgentWorkKeepsPlaces(t *testing.T) {
	c := qt.New(t)
	p := newEngines(1, start)
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
	c.Assert(n, qt.Equals, testSlots+engineQueue-mostUrgencySteps)
	_, ok = p.Place(urgent, start).(*Placed)
	c.Assert(ok, qt.IsTrue)
}

// TestSlowRankGetsNothing has one rank that takes five times as long; each request
// there would lengthen every pass of the group.
func TestSlowRankGetsNothing(t *testing.T) {
	c := qt.New(t)
	p := newEngines(4, start)
	p.SetEngineLoad(addr(2), time.Time{}, Load{Pass: testPass, Slowness: 5, At: start})
	for range 3 * testSlots {
		v, ok := p.Place(streamWork(start), start).(*Placed)
		c.Assert(ok, qt.IsTrue)
		c.Assert(v.ID, qt.Not(qt.Equals), "e2")
	}
}

// TestWhatCannotEndInTimeIsRefusedAtOnce slows all passes down.
func TestWhatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	p := newEngines(2, start)
	for i := range 2 {
		p.SetEngineLoad(addr(i), time.Time{}, Load{Pass: 600 * time.Millisecond, Slowness: 1, At: start})
	}
	long, short := streamWork(start), streamWork(start)
	long.Patience, short.Patience = 0, 0
	short.Answer = 25
	_, ok := p.Place(long, start).(*Refused)
	c.Assert(ok, qt.IsTrue)
	_, ok = p.Place(short, start).(*Placed)
	c.Assert(ok, qt.IsTrue)
}

// TestBrokenGroupRefusesAtOnce takes a rank away and lets callers come for ten
// seconds.
func TestBrokenGroupRefusesAtOnce(t *testing.T) {
	c := qt.New(t)
	p := newEngines(3, start)
	for ms := 0; ms < 10_000; ms += 100 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i := range 3 {
			p.SetEngineLoad(addr(i), time.Time{}, Load{Broken: true, At: now})
		}
		v, ok := p.Place(streamWork(now), now).(*Refused)
		c.Assert(ok, qt.IsTrue)
		c.Assert(v.After > time.Second, qt.IsTrue)
		c.Assert(v.After <= 8*time.Second/3, qt.IsTrue)
	}
	now := start.Add(10 * time.Second)
	for i := range 3 {
		p.SetEngineLoad(addr(i), time.Time{}, Load{At: now})
	}
	_, ok := p.Place(streamWork(now), now).(*Placed)
	c.Assert(ok, qt.IsTrue)
}

// TestStalledGroupIsTriedNowAndThen freezes a rank: the group is open but makes no
// passes, and nothing but a request can tell that it goes on.
func TestStalledGroupIsTriedNowAndThen(t *testing.T) {
	c := qt.New(t)
	p := newEngines(3, start)
	tried := 0
	for ms := 0; ms < 4000; ms += 20 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i := range 3 {
			p.SetEngineLoad(addr(i), time.Time{}, Load{Stalled: true, At: now})
		}
		if v, ok := p.Place(streamWork(now), now).(*Placed); ok {
			tried++
			v.Finish(Rejected, now)
		}
	}
	c.Assert(tried, qt.Equals, int(4*time.Second/probePeriod)-1)
}

// TestGreyServerIsAvoided has a server that fails half of what it gets while its
// load looks good.
func TestGreyServerIsAvoided(t *testing.T) {
	c := qt.New(t)
	p := newPlain(3)
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

// TestUnreachableServerIsLeftAlone cuts a server off that is near and idle.
func TestUnreachableServerIsLeftAlone(t *testing.T) {
	c := qt.New(t)
	p := newPlain(3)
	near := 0
	for i := range 200 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		v, ok := p.Place(deskWork(now), now).(*Placed)
		c.Assert(ok, qt.IsTrue)
		if v.ID == "s0" {
			near++
			v.Finish(Unreachable, now)
			continue
		}
		v.Finish(Served, now)
	}
	c.Assert(near <= 6, qt.IsTrue, qt.Commentf("%d", near))
}

// TestNearServersAreTakenWhileTheyHaveRoom sends a hot spot to one zone.
func TestNearServersAreTakenWhileTheyHaveRoom(t *testing.T) {
	c := qt.New(t)
	p := newPlain(3)
	counts := make(map[string]int)
	for range 18 {
		v, ok := p.Place(deskWork(start), start).(*Placed)
		c.Assert(ok, qt.IsTrue)
		counts[v.ID]++
	}
	c.Assert(counts["s0"] > counts["s1"], qt.IsTrue)
	c.Assert(counts["s1"] > 3, qt.IsTrue, qt.Commentf("%v", counts))
}

// TestLeavingServersGetNothing lets servers leave, restart and come back.
func TestLeavingServersGetNothing(t *testing.T) {
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
	// What the earlier incarnation had is not counted for this one.
	v.Finish(Lost, start)
	next, ok := p.Place(deskWork(start), start).(*Placed)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Estimate, qt.Equals, 0)
}

// TestOneRanksWordHoldsForItsGroup cuts this gateway's zone off: the ranks of other
// zones fall silent, and the one at hand says that the group is broken.
func TestOneRanksWordHoldsForItsGroup(t *testing.T) {
	c := qt.New(t)
	p := newEngines(3, start)
	now := start.Add(4 * time.Second)
	p.SetEngineLoad(addr(0), time.Time{}, Load{Broken: true, At: now})
	_, ok := p.Place(streamWork(now), now).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(p.IsRunning("llm", now), qt.IsFalse)
	p.SetEngineLoad(addr(0), time.Time{}, Load{At: now.Add(time.Second)})
	v, ok := p.Place(streamWork(now), now.Add(time.Second)).(*Placed)
	c.Assert(ok, qt.IsTrue)
	// Those that are silent are taken last.
	c.Assert(v.ID, qt.Equals, "e0")
}

// TestGroupThatIsNotFormedIsNotFlooded is the first second after all machines have
// lost power: no reports yet, engines that refuse, and everybody who comes back.
func TestGroupThatIsNotFormedIsNotFlooded(t *testing.T) {
	c := qt.New(t)
	p := newEngines(3, start.Add(-time.Minute))
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

// TestIdleGroupIsNotTakenForSlow lets a rank be twelve times slower for a while, so
// that everything is refused and the group idles, and then recover.
func TestIdleGroupIsNotTakenForSlow(t *testing.T) {
	c := qt.New(t)
	p := newEngines(2, start)
	w := streamWork(start)
	w.Answer = 300
	p.SetEngineLoad(addr(1), time.Time{}, Load{Slowness: 12, At: start})
	_, ok := p.Place(w, start).(*Refused)
	c.Assert(ok, qt.IsTrue)
	p.SetEngineLoad(addr(1), time.Time{}, Load{Slowness: 1, At: start})
	p.SetEngineLoad(addr(0), time.Time{}, Load{Slowness: 1, At: start})
	_, ok = p.Place(w, start).(*Placed)
	c.Assert(ok, qt.IsTrue)
}

// TestBoundOfTokensIsNoEstimate sends requests that could be long and hardly ever
// are to a group that is slow.
func TestBoundOfTokensIsNoEstimate(t *testing.T) {
	c := qt.New(t)
	p := newEngines(1, start)
	p.SetEngineLoad(addr(0), time.Time{}, Load{Pass: 200 * time.Millisecond, Slowness: 1, At: start})
	w := streamWork(start)
	w.Answer, w.MostAnswer = 0, 345
	_, ok := p.Place(w, start).(*Placed)
	c.Assert(ok, qt.IsTrue)
}
