package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/fleet/lister"
)

// place returns the placement of one request, nil if it is refused.
func place(p *Placer, now time.Time) *Placed {
	placed, _ := p.Place(deskWork(now), now).(*Placed)
	return placed
}

// TestLeavingIsNotUndoneByList guards against a server that gets work again because the list
// says that it is ready, or drops and has it again.
func TestLeavingIsNotUndoneByList(t *testing.T) {
	c := qt.New(t)
	p := newPlainPlacer(1)
	s := p.byService["desk"][0].Server
	p.SetLeaving(s, start)
	for _, list := range [][]lister.Server{{s}, {}, {s}} {
		p.SetServers(list)
		c.Assert(place(p, start), qt.IsNil)
		c.Assert(p.HasOther("desk", nil), qt.IsFalse)
		c.Assert(p.IsInUse(s.ID), qt.IsFalse)
	}
	s.Started = s.Started.Add(time.Minute)
	p.SetServers([]lister.Server{s})
	c.Assert(place(p, start), qt.Not(qt.IsNil))
}

// TestPauseIsKeptToItsLongestEnd guards against a pause that a shorter one cuts, or that a
// faulty time makes endless.
func TestPauseIsKeptToItsLongestEnd(t *testing.T) {
	c := qt.New(t)
	p := newPlainPlacer(1)
	s := p.byService["desk"][0].Server
	p.SetPause(s, 3*time.Second, start)
	p.SetPause(s, time.Second, start.Add(time.Second))
	refused, ok := p.Place(deskWork(start), start.Add(2900*time.Millisecond)).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(refused.RetryAfter, qt.Equals, min(100*time.Millisecond, refused.RetryAfter))
	c.Assert(place(p, start.Add(3*time.Second)), qt.Not(qt.IsNil))
	p.SetPause(s, 1000*time.Hour, start)
	c.Assert(place(p, start.Add(maxPause-time.Second)), qt.IsNil)
	c.Assert(place(p, start.Add(maxPause)), qt.Not(qt.IsNil))
}

// TestRequestsReturnOneAfterAnotherAfterPause guards against all callers at once at a server
// whose pause ends, and against a server that gets too few for good.
func TestRequestsReturnOneAfterAnotherAfterPause(t *testing.T) {
	c := qt.New(t)
	p := newPlainPlacer(1)
	s := p.byService["desk"][0].Server
	running := place(p, start)
	p.SetPause(s, time.Second, start)
	now := start.Add(time.Second)
	first := place(p, now)
	c.Assert(first, qt.Not(qt.IsNil))
	c.Assert(place(p, now), qt.IsNil)
	// A request that failed says nothing of the server's room.
	first.Finish(Cancelled, now)
	first = place(p, now)
	c.Assert(first, qt.Not(qt.IsNil))
	running.Finish(Served, now)
	first.Finish(Served, now)
	open := 0
	for place(p, now) != nil {
		open++
	}
	c.Assert(open >= s.Slots, qt.IsTrue, qt.Commentf("%d requests", open))
}

// TestServerThatRefusesAllGetsFewRequests guards against quick refusals that draw more
// requests to the server that refuses.
func TestServerThatRefusesAllGetsFewRequests(t *testing.T) {
	c := qt.New(t)
	p := newPlainPlacer(3)
	refusing := p.byService["desk"][0].ID
	const callers, serviceTime, refusalTime = 6, 10 * time.Millisecond, time.Millisecond
	busy := make([]*Placed, callers)
	until := make([]time.Time, callers)
	refusals, total := 0, 0
	for now := start; now.Before(start.Add(6 * time.Second)); now = now.Add(time.Millisecond) {
		for i, placed := range busy {
			if placed != nil && now.Before(until[i]) {
				continue
			}
			if placed != nil {
				outcome := Served
				if placed.ID == refusing {
					outcome = Rejected
					refusals++
				}
				placed.Finish(outcome, now)
				total++
			}
			busy[i] = place(p, now)
			c.Assert(busy[i], qt.Not(qt.IsNil))
			until[i] = now.Add(serviceTime)
			if busy[i].ID == refusing {
				until[i] = now.Add(refusalTime)
			}
		}
	}
	c.Assert(refusals*10 <= total, qt.IsTrue, qt.Commentf("%d of %d requests were refused", refusals, total))
}

// BenchmarkPlace places and finishes one request among 60 servers.
func BenchmarkPlace(b *testing.B) {
	p := newPlainPlacer(60)
	for b.Loop() {
		placed, ok := p.Place(deskWork(start), start).(*Placed)
		if !ok {
			b.Fatal("refused")
		}
		placed.Finish(Served, start)
	}
}
