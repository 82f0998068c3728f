package placer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
)

// TestSecondAttemptTakesOnlySpareRoom guards against second attempts at a service or a server
// that first attempts need, and at one that fails.
func TestSecondAttemptTakesOnlySpareRoom(t *testing.T) {
	const servers = 3
	for name, test := range map[string]struct {
		change func(p *Placer, first *Placed)
		want   bool
	}{
		"idle": {func(*Placer, *Placed) {}, true},
		"burst": {func(p *Placer, _ *Placed) {
			for range 11 {
				p.Place(deskWork(start), start)
			}
		}, false},
		"service is busy": {func(p *Placer, first *Placed) {
			p.SetLoad(first.ID, Load{Running: 6, Waiting: 1, At: start})
			for i := range servers {
				if id := fmt.Sprint("s", i); id != first.ID {
					p.SetLoad(id, Load{Running: 6, At: start})
					return
				}
			}
		}, false},
		"others are full": {func(p *Placer, first *Placed) {
			for i := range servers {
				if id := fmt.Sprint("s", i); id != first.ID {
					p.SetLoad(id, Load{Running: 3, At: start})
				}
			}
		}, false},
		"others fail": {func(p *Placer, first *Placed) {
			for _, s := range p.servers {
				if s.ID != first.ID {
					s.record(Failed, start)
				}
			}
		}, false},
		"others can't be reached": {func(p *Placer, first *Placed) {
			for _, s := range p.servers {
				if s.ID != first.ID {
					s.record(Unreachable, start)
				}
			}
		}, false},
		"others are cold": {func(p *Placer, first *Placed) {
			p.SetCatalog(&holder.Catalog{Services: []holder.Service{{Name: "desk", ColdStart: time.Second, ColdRate: 5}}})
			all := make([]lister.Server, 0, len(p.servers))
			for _, s := range p.servers {
				all = append(all, s.Server)
			}
			p.SetServers(all)
			for _, s := range all {
				if s.ID != first.ID {
					p.SetCold(s, time.Minute, start)
				}
			}
		}, false},
		"others leave": {func(p *Placer, first *Placed) {
			for _, s := range p.servers {
				if s.ID != first.ID {
					s.Leaving = true
				}
			}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newPlainPlacer(servers)
			first := p.Place(deskWork(start), start).(*Placed)
			test.change(p, first)
			second, ok := p.PlaceSpare(deskWork(start), first, start)
			c.Assert(ok, qt.Equals, test.want)
			if !ok {
				return
			}
			c.Assert(second.ID, qt.Not(qt.Equals), first.ID)
			c.Assert(p.servers[second.ID].inFlight, qt.Equals, 1)
			second.Finish(Cancelled, start)
			c.Assert(p.servers[second.ID].inFlight, qt.Equals, 0)
			c.Assert(p.servers[second.ID].health, qt.Equals, health{})
		})
	}
}

// TestSecondAttemptInSameGroup guards against a second attempt at an engine that runs the same
// passes as the first one's, unless the first one's request waits for a slot.
func TestSecondAttemptInSameGroup(t *testing.T) {
	c := qt.New(t)
	p := newEnginePlacer(4, start)
	first := p.Place(streamWork(start), start).(*Placed)
	_, ok := p.PlaceSpare(streamWork(start), first, start)
	c.Assert(ok, qt.IsFalse)
	p.SetEngineLoad(first.Addr, time.Time{}, Load{Running: testSlots, Waiting: 1, Pass: testPass, Slowness: 1, At: start})
	second, ok := p.PlaceSpare(streamWork(start), first, start)
	c.Assert(ok, qt.IsTrue)
	c.Assert(second.ID, qt.Not(qt.Equals), first.ID)
	_, ok = p.PlaceSpare(streamWork(start), first, start.Add(reportTTL))
	c.Assert(ok, qt.IsFalse)
}

// TestSecondAttemptInOtherGroup guards against waiting for a slow group while another one has
// room.
func TestSecondAttemptInOtherGroup(t *testing.T) {
	c := qt.New(t)
	p := newEnginePlacer(2, start)
	all := []lister.Server{p.servers["e0"].Server, p.servers["e1"].Server}
	p.SetServers(all)
	for i := range all {
		p.SetEngineLoad(addr(i), time.Time{}, Load{Group: fmt.Sprint("g", i), Pass: testPass, Slowness: 1, At: start})
	}
	first := p.Place(streamWork(start), start).(*Placed)
	_, ok := p.PlaceSpare(streamWork(start), first, start)
	c.Assert(ok, qt.IsTrue)
	for i := range all {
		p.SetEngineLoad(addr(i), time.Time{}, Load{Group: fmt.Sprint("g", i), Pass: testPass, Slowness: 1, At: start, Broken: fmt.Sprint("e", i) != first.ID})
	}
	_, ok = p.PlaceSpare(streamWork(start), first, start)
	c.Assert(ok, qt.IsFalse)
}
