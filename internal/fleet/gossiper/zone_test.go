package gossiper

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/fleet/withdrawer"
	"siskinfall/internal/gateway/quarantiner"
)

// newZoneGossiper returns a Gossiper whose set of zones is read at a revision, unless it is 0.
func newZoneGossiper(addr string, revision uint64, closed ...string) (*Gossiper, *withdrawer.Zones) {
	zones := withdrawer.New()
	if revision > 0 {
		zones.Replace(closed, lister.Position{Era: 1, Revision: revision}, "store", time.Now())
	}
	own := netip.MustParseAddrPort(addr)
	return New(own, nil, nil, holder.New(), lister.New(), quarantiner.New(1), func(int, int) {}, WithZones(zones)), zones
}

// exchangeOnce lets one gateway poll another.
func exchangeOnce(c *qt.C, from, to *Gossiper) {
	request := from.newRequest(nil, time.Now())
	to.mergeZones(request, from.own.String(), time.Now())
	answer, err := to.answer(request, time.Now())
	c.Assert(err, qt.IsNil)
	from.applyAnswer(answer, to.own, time.Now())
}

// TestClosedZoneReachesGatewaysThatStoreTurnsAway guards against a gateway that sends to a zone
// because it did not read the row itself, that has just started, or that has missed the return
// of a zone.
func TestClosedZoneReachesGatewaysThatStoreTurnsAway(t *testing.T) {
	c := qt.New(t)
	read, readZones := newZoneGossiper("127.0.0.1:80", 20, "a")
	turnedAway, turnedAwayZones := newZoneGossiper("127.0.0.2:80", 10)
	started, startedZones := newZoneGossiper("127.0.0.3:80", 0)
	exchangeOnce(c, turnedAway, read)
	c.Check(turnedAwayZones.GetClosed(), qt.DeepEquals, []string{"a"})
	exchangeOnce(c, started, turnedAway)
	c.Check(startedZones.GetClosed(), qt.DeepEquals, []string{"a"})
	readZones.Replace(nil, lister.Position{Era: 1, Revision: 30}, "store", time.Now())
	exchangeOnce(c, turnedAway, read)
	c.Check(turnedAwayZones.GetClosed(), qt.HasLen, 0)
	exchangeOnce(c, started, turnedAway)
	c.Check(startedZones.GetClosed(), qt.HasLen, 0)
}

// TestGatewayThatStartsKnowsFromPeersThatNoZoneIsClosed guards against a gateway that is never
// ready because its peers, which know of no zone, say nothing.
func TestGatewayThatStartsKnowsFromPeersThatNoZoneIsClosed(t *testing.T) {
	c := qt.New(t)
	peer, _ := newZoneGossiper("127.0.0.1:80", 20)
	started, zones := newZoneGossiper("127.0.0.3:80", 0)
	exchangeOnce(c, started, peer)
	c.Check(zones.IsKnown(), qt.IsTrue)
	c.Check(started.newRequest(nil, time.Now()).GetClosedZones(), qt.IsNil)
}
