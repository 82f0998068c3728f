package gossiper

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/fleet/withdrawer"
	"siskinfall/internal/gateway/quarantiner"
	"siskinfall/internal/wire/encoder"
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

// zoneFleet are gateways of which some read the rows of zones from the store, by virtual time.
type zoneFleet struct {
	mu        sync.Mutex
	gossipers []*Gossiper
	zones     []*withdrawer.Zones
	revision  uint64
}

const (
	zoneGateways = 12
	// maxZoneDelay is the time after a change of a row from which on no gateway may go by the
	// state before.
	maxZoneDelay = 5 * time.Second
)

func zoneAddr(i int) string { return fmt.Sprintf("127.0.8.%d:80", i+1) }

func (f *zoneFleet) get(i int) *Gossiper {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gossipers[i]
}

// restart gives a gateway a new process, which polls the others until ctx ends.
func (f *zoneFleet) restart(ctx context.Context, i int) {
	g, zones := newZoneGossiper(zoneAddr(i), 0)
	f.mu.Lock()
	f.gossipers[i], f.zones[i] = g, zones
	f.mu.Unlock()
	for j := range f.gossipers {
		if j == i {
			continue
		}
		g.AddGateways([]string{zoneAddr(j)})
		go func() {
			_ = g.poll(ctx, netip.MustParseAddrPort(zoneAddr(j)), func(request *encoder.GatewaySync) (*encoder.GatewaySync, error) {
				peer := f.get(j)
				peer.mergeZones(request, zoneAddr(i), time.Now())
				return peer.answer(request, time.Now())
			})
		}()
	}
}

// write changes the rows, which the gateways in reading get at once.
func (f *zoneFleet) write(reading []int, closed ...string) {
	f.revision++
	for _, i := range reading {
		f.zones[i].Replace(closed, lister.Position{Era: 1, Revision: f.revision}, "store", time.Now())
	}
}

// TestZonesTakenInSeriesReachAllWhileGatewaysRestart guards against gateways that go by an
// earlier row, or know of none, while the store turns half of the fleet away and gateways restart.
func TestZonesTakenInSeriesReachAllWhileGatewaysRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := &zoneFleet{gossipers: make([]*Gossiper, zoneGateways), zones: make([]*withdrawer.Zones, zoneGateways)}
		processes := make([]context.CancelFunc, zoneGateways)
		restart := func(i int) {
			if processes[i] != nil {
				processes[i]()
			}
			var processCtx context.Context
			processCtx, processes[i] = context.WithCancel(ctx)
			f.restart(processCtx, i)
		}
		for i := range zoneGateways {
			f.gossipers[i], f.zones[i] = newZoneGossiper(zoneAddr(i), 0)
		}
		for i := range zoneGateways {
			restart(i)
		}
		for step, closed := range [][]string{nil, {"a"}, {"a", "b"}, {"b"}, nil, {"a"}} {
			first := step % 2 * zoneGateways / 2
			reading := make([]int, 0, zoneGateways/2)
			for i := range zoneGateways / 2 {
				reading = append(reading, first+i)
			}
			f.write(reading, closed...)
			time.Sleep(time.Second)
			restart((step*5 + 1) % zoneGateways)
			time.Sleep(maxZoneDelay - time.Second)
			for i, zones := range f.zones {
				c.Check(zones.IsKnown(), qt.IsTrue, qt.Commentf("gateway %d at step %d", i, step))
				c.Check(zones.GetClosed(), qt.ContentEquals, closed, qt.Commentf("gateway %d at step %d", i, step))
			}
		}
		cancel()
		synctest.Wait()
	})
}
