package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/fleet/lister"
)

// newZonedPlacer returns a Placer with one server in each zone.
func newZonedPlacer(zones ...string) *Placer {
	p := newPlainPlacer(len(zones))
	all := make([]lister.Server, 0, len(zones))
	for i, s := range p.byService["desk"] {
		s.Zone = zones[i]
		all = append(all, s.Server)
	}
	p.SetServers(all)
	return p
}

// TestClosedZoneGetsNothing guards against a path on which a server of a zone that is out of
// use is still chosen, or sent what was placed before.
func TestClosedZoneGetsNothing(t *testing.T) {
	c := qt.New(t)
	p := newZonedPlacer("zone-a", "zone-b")
	placed := place(p, start)
	p.SetClosedZones([]string{placed.Zone}, start)
	c.Check(placed.GetClosedReason(start), qt.Equals, string(zoneIsClosed))
	for range 5 {
		other := place(p, start)
		c.Assert(other, qt.Not(qt.IsNil))
		c.Check(other.Zone, qt.Not(qt.Equals), placed.Zone)
		c.Check(p.HasOther("desk", []string{other.ID}), qt.IsFalse)
	}
	c.Check(p.IsInUse(placed.ID), qt.IsTrue)
	p.SetClosedZones([]string{"zone-a", "zone-b"}, start)
	c.Check(p.IsRunning("desk", start), qt.IsFalse)
	refused, ok := p.Place(deskWork(start), start).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Check(refused.AllClosed, qt.IsTrue)
	c.Check(refused.RetryAfter > 0, qt.IsTrue)
}

// TestZoneIsClosedForServersListedLater guards against a server that starts, or starts again
// under its ID, in a zone that is out of use and gets work.
func TestZoneIsClosedForServersListedLater(t *testing.T) {
	c := qt.New(t)
	p := newZonedPlacer("zone-a")
	s := p.byService["desk"][0].Server
	p.SetClosedZones([]string{"zone-a"}, start)
	s.Started = s.Started.Add(time.Minute)
	p.SetServers([]lister.Server{s, {ID: "new", Service: "desk", Zone: "zone-a", Slots: 4}})
	c.Check(place(p, start), qt.IsNil)
}

// TestLeavingAndPauseOutlastClosedZone guards against a zone's return that opens servers which
// leave or have asked for a pause.
func TestLeavingAndPauseOutlastClosedZone(t *testing.T) {
	c := qt.New(t)
	p := newZonedPlacer("zone-a", "zone-a")
	leaving, paused := p.byService["desk"][0].Server, p.byService["desk"][1].Server
	p.SetLeaving(leaving, start)
	p.SetPause(paused, 3*time.Second, start)
	p.SetClosedZones([]string{"zone-a"}, start)
	p.SetClosedZones(nil, start.Add(time.Second))
	c.Check(place(p, start.Add(2*time.Second)), qt.IsNil)
	back := place(p, start.Add(3*time.Second))
	c.Assert(back, qt.Not(qt.IsNil))
	c.Check(back.ID, qt.Equals, paused.ID)
}

// TestZoneReturnsServerByServer guards against all callers at once at the empty servers of a
// zone that is back in use.
func TestZoneReturnsServerByServer(t *testing.T) {
	c := qt.New(t)
	p := newZonedPlacer("zone-a")
	p.SetClosedZones([]string{"zone-a"}, start)
	p.SetClosedZones(nil, start.Add(time.Second))
	first := place(p, start.Add(time.Second))
	c.Assert(first, qt.Not(qt.IsNil))
	c.Check(place(p, start.Add(time.Second)), qt.IsNil)
	first.Finish(Served, start.Add(time.Second))
	c.Check(place(p, start.Add(time.Second)), qt.Not(qt.IsNil))
}

// TestWorkOfClosedZoneIsCountedToItsEnd guards against an operator who can't see that a zone is
// empty, or is told so too early.
func TestWorkOfClosedZoneIsCountedToItsEnd(t *testing.T) {
	c := qt.New(t)
	p := newZonedPlacer("zone-a")
	one, two := place(p, start), place(p, start)
	p.SetClosedZones([]string{"zone-a"}, start)
	for _, want := range []int{1, 0} {
		one.Finish(Served, start)
		c.Check(p.zoneWork["zone-a"], qt.Equals, want)
		one = two
	}
}
