package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
)

// Terms of cold servers as on the users' deployments.
const (
	testColdStart = 3 * time.Second
	testColdRate  = 4
)

// newColdPlacer returns a Placer for the service of deskWork, whose servers are listed as warm.
func newColdPlacer(n int, opts ...Option) (*Placer, []lister.Server) {
	p := New(opts...)
	p.SetCatalog(&holder.Catalog{Services: []holder.Service{{Name: "desk", ColdStart: testColdStart, ColdRate: testColdRate}}})
	all := make([]lister.Server, 0, n)
	for _, s := range newPlainPlacer(n).byService["desk"] {
		s.Slots, s.Started = 100, start.Add(-time.Hour)
		all = append(all, s.Server)
	}
	p.setServers(all, start)
	return p, all
}

// sendAll places and sends as many requests as are let through.
func sendAll(p *Placer, now time.Time) int {
	for n := 0; ; n++ {
		placed := place(p, now)
		if placed == nil || placed.BeginSend(now) != "" {
			return n
		}
		placed.Finish(Served, now)
		if n > 10*testColdRate {
			return n
		}
	}
}

// TestColdServerGetsItsRateInAnyWindow guards against a cold server that is sent work like any
// other, and against one that gets nothing once its rate was used up.
func TestColdServerGetsItsRateInAnyWindow(t *testing.T) {
	c := qt.New(t)
	p, all := newColdPlacer(1)
	c.Assert(sendAll(p, start) > testColdRate, qt.IsTrue)
	now := start.Add(time.Minute)
	p.SetCold(all[0], 10*time.Second, now)
	c.Check(sendAll(p, now), qt.Equals, testColdRate)
	refused, ok := p.Place(deskWork(now), now.Add(900*time.Millisecond)).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Check(refused.AllClosed, qt.IsTrue)
	c.Check(refused.RetryAfter > 0 && refused.RetryAfter <= 200*time.Millisecond, qt.IsTrue)
	c.Check(sendAll(p, now.Add(time.Second)), qt.Equals, 0)
	c.Check(sendAll(p, now.Add(time.Second+sendMargin)), qt.Equals, testColdRate)
	c.Check(sendAll(p, now.Add(10*time.Second)) > testColdRate, qt.IsTrue)
}

// TestServerThatTurnsColdCountsWhatItGotBefore guards against a full rate on top of what was
// sent, or was placed and not sent yet, while the server was warm.
func TestServerThatTurnsColdCountsWhatItGotBefore(t *testing.T) {
	c := qt.New(t)
	p, all := newColdPlacer(1)
	placed := make([]*Placed, 0, 3*testColdRate)
	for range 3 * testColdRate {
		placed = append(placed, place(p, start))
	}
	p.SetCold(all[0], 10*time.Second, start)
	sent := 0
	for _, one := range placed {
		if one.BeginSend(start.Add(100*time.Millisecond)) == "" {
			sent++
		} else {
			one.Finish(Cancelled, start)
		}
	}
	c.Check(sent, qt.Equals, testColdRate)
	c.Check(sendAll(p, start.Add(200*time.Millisecond)), qt.Equals, 0)
}

// TestServerThatStartedIsColdWhateverItSays guards against a cold server that lists itself as
// warm, and against one whose restart is known from a report only.
func TestServerThatStartedIsColdWhateverItSays(t *testing.T) {
	c := qt.New(t)
	p, all := newColdPlacer(1)
	now := start.Add(time.Minute)
	all[0].Started = now
	p.setServers(all, now)
	c.Check(sendAll(p, now), qt.Equals, testColdRate)
	p.SetCold(all[0], time.Millisecond, now)
	c.Check(sendAll(p, now.Add(testColdStart-time.Millisecond)), qt.Equals, testColdRate)
	now = now.Add(time.Minute)
	c.Check(sendAll(p, now) > testColdRate, qt.IsTrue)
	p.SetEngineLoad(all[0].Addr, all[0].Started.Add(time.Minute), Load{At: now})
	c.Check(sendAll(p, now.Add(2*time.Second)), qt.Equals, testColdRate)
}

// TestRestartUnderSameIDGrantsNoSecondShare guards against a server that restarts between the
// placing of requests and their sending, and gets its rate twice.
func TestRestartUnderSameIDGrantsNoSecondShare(t *testing.T) {
	c := qt.New(t)
	p, all := newColdPlacer(1)
	p.SetCold(all[0], time.Minute, start)
	c.Check(sendAll(p, start), qt.Equals, testColdRate)
	all[0].Started = start
	now := start.Add(500 * time.Millisecond)
	p.setServers(all, now)
	c.Check(sendAll(p, now), qt.Equals, 0)
	now = start.Add(2 * time.Second)
	placed := place(p, now)
	c.Assert(placed, qt.Not(qt.IsNil))
	all[0].Started = now
	p.setServers(all, now)
	c.Check(placed.BeginSend(now), qt.Equals, reasonRestarted)
}

// TestZoneReturnsWithinColdRate guards against servers of a zone that is back in use that get
// more than cold ones bear before the list shows that they are cold.
func TestZoneReturnsWithinColdRate(t *testing.T) {
	c := qt.New(t)
	p, all := newColdPlacer(1)
	p.SetClosedZones([]string{all[0].Zone}, start)
	p.SetClosedZones(nil, start.Add(time.Second))
	c.Check(sendAll(p, start.Add(time.Second)), qt.Equals, testColdRate)
}

// TestCatalogWithoutColdTermsFreesServers guards against servers that stay at a rate which the
// operator has taken out of the catalog.
func TestCatalogWithoutColdTermsFreesServers(t *testing.T) {
	c := qt.New(t)
	p, all := newColdPlacer(1)
	p.SetCold(all[0], time.Minute, start)
	p.SetCatalog(&holder.Catalog{Services: []holder.Service{{Name: "desk"}}})
	c.Check(sendAll(p, start) > testColdRate, qt.IsTrue)
}

// TestPlacedRequestsUseUpColdRateBeforeTheyAreSent guards against requests that are placed at a
// cold server above its rate and come back unsent.
func TestPlacedRequestsUseUpColdRateBeforeTheyAreSent(t *testing.T) {
	c := qt.New(t)
	p, all := newColdPlacer(1)
	p.SetCold(all[0], time.Minute, start)
	var last *Placed
	for range testColdRate {
		last = place(p, start)
		c.Assert(last, qt.Not(qt.IsNil))
	}
	c.Check(place(p, start), qt.IsNil)
	last.Finish(Unreachable, start)
	c.Check(p.cold[incarnationOf(&all[0])].reserved, qt.Equals, testColdRate-1)
}

// TestServersListedAgainAreNotColdForThat guards against a fleet that is cold after an outage of
// the store, since its entries come back one after the other, and against a server that has
// just started and is in the first list of a gateway.
func TestServersListedAgainAreNotColdForThat(t *testing.T) {
	c := qt.New(t)
	p, all := newColdPlacer(1)
	now := start.Add(time.Minute)
	late := all[0]
	late.ID, late.Started = "late", start.Add(-time.Hour)
	p.setServers([]lister.Server{late}, now)
	c.Check(sendAll(p, now) > testColdRate, qt.IsTrue)
	late.ID, late.Started = "unknown", time.UnixMilli(0)
	p.setServers([]lister.Server{late}, now)
	c.Check(sendAll(p, now), qt.Equals, testColdRate)
	first, _ := newColdPlacer(0)
	late.ID, late.Started = "young", now.Add(-time.Second)
	first.setServers([]lister.Server{late}, now)
	c.Check(sendAll(first, now), qt.Equals, testColdRate)
}
