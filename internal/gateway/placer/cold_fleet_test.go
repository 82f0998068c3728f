package placer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/gateway/apportioner"
)

// The fleet of the randomised test, and what its deployment grants: no more than the bound may
// arrive in any second from all gateways together.
const (
	fleetGateways  = 36
	fleetJoining   = 6
	fleetSeeds     = 3
	fleetColdRate  = 17
	fleetOverage   = 1.5
	fleetSlack     = 5
	fleetTick      = 50 * time.Millisecond
	fleetDuration  = 50 * time.Second
	fleetExchange  = time.Second
	fleetLoss      = 0.2
	fleetListDelay = 2 * time.Second
	maxWriteDelay  = 50 * time.Millisecond
	maxDialDelay   = 300 * time.Millisecond
)

// fleetBound is the number of requests in any second above which a cold server crashes.
func fleetBound() int {
	rate, overage := float64(fleetColdRate), fleetOverage
	return int(rate*overage + fleetSlack)
}

// coldGateway is a gateway of the randomised test, by virtual time.
type coldGateway struct {
	addr   netip.AddrPort
	shares *apportioner.Apportioner
	placer *Placer
	// known holds the other gateways that it has heard of.
	known   map[int]bool
	isHeard bool
	// stoppedUntil is the end of its restart or freeze.
	stoppedUntil time.Time
	isDown       bool
	side         int
	// pending holds what is placed and not sent.
	pending []pendingRequest
	// readAt is when it reads the server's newest entry.
	readAt time.Time
}

// pendingRequest is sent when its connection is there.
type pendingRequest struct {
	*Placed
	connectedAt time.Time
}

// coldFleet are gateways that all send to one cold server as much as they may.
type coldFleet struct {
	rng      *rand.Rand
	now      time.Time
	gateways []*coldGateway
	server   lister.Server
	cutUntil time.Time
	// arrivals holds when requests were sent.
	arrivals []time.Time
}

func newColdFleet(seed uint64) *coldFleet {
	f := &coldFleet{rng: rand.New(rand.NewPCG(seed, seed)), now: start}
	f.server = lister.Server{ID: "s", Service: "desk", Slots: 10000, Zone: "a", Started: start.Add(-time.Hour), ColdUntil: start.Add(time.Hour)}
	for i := range fleetGateways {
		g := &coldGateway{addr: addr(i)}
		f.gateways = append(f.gateways, g)
		f.restart(i)
		if i < fleetGateways-fleetJoining {
			for other := range fleetGateways - fleetJoining {
				g.known[other] = other != i
			}
			delete(g.known, i)
			g.isHeard = true
		} else {
			g.isDown, g.stoppedUntil = true, start.Add(time.Duration(f.rng.Int64N(int64(fleetDuration))))
		}
	}
	return f
}

// restart gives a gateway a new process, which knows the seeds.
func (f *coldFleet) restart(i int) {
	g := f.gateways[i]
	g.shares = apportioner.New(g.addr, f.now)
	g.placer = New(WithShares(g.shares.GetShare))
	g.placer.SetCatalog(&holder.Catalog{Services: []holder.Service{{Name: "desk", ColdStart: testColdStart, ColdRate: fleetColdRate}}})
	g.placer.setServers([]lister.Server{f.server}, f.now)
	g.known, g.isHeard, g.isDown, g.pending = make(map[int]bool), false, false, nil
	for seed := range fleetSeeds {
		if seed != i {
			g.known[seed] = true
		}
	}
	f.setShares(g)
}

// setShares passes what a gateway knows of the others on to its shares.
func (f *coldFleet) setShares(g *coldGateway) {
	others := make([]netip.AddrPort, 0, len(g.known))
	for j := range g.known {
		others = append(others, addr(j))
	}
	g.shares.SetGateways(others, g.isHeard, f.now)
}

func (f *coldFleet) isRunning(g *coldGateway) bool { return !f.now.Before(g.stoppedUntil) }

// exchange lets a gateway poll those that it knows, some of which don't hear it.
func (f *coldFleet) exchange(i int) {
	g := f.gateways[i]
	for _, j := range slices.Sorted(maps.Keys(g.known)) {
		o := f.gateways[j]
		if !f.isRunning(o) || o.isDown || f.now.Before(f.cutUntil) && o.side != g.side || f.rng.Float64() < fleetLoss {
			continue
		}
		o.known[i], g.isHeard = true, true
		for k := range o.known {
			if k != i && !f.gateways[k].isDown {
				g.known[k] = true
			}
		}
	}
}

// disturb begins a random failure now and then.
func (f *coldFleet) disturb() {
	i := f.rng.IntN(fleetGateways)
	g := f.gateways[i]
	switch p := f.rng.Float64(); {
	case !f.isRunning(g):
	case p < 0.010:
		g.isDown, g.stoppedUntil = true, f.now.Add(500*time.Millisecond+time.Duration(f.rng.Int64N(int64(2*time.Second))))
	case p < 0.020:
		g.stoppedUntil = f.now.Add(time.Duration(f.rng.Int64N(int64(5 * time.Second))))
	case p < 0.025 && !f.now.Before(f.cutUntil):
		f.cutUntil = f.now.Add(time.Duration(f.rng.Int64N(int64(8 * time.Second))))
		for _, o := range f.gateways {
			o.side = f.rng.IntN(2)
		}
	case p < 0.027:
		// Many restart together, and know little of each other.
		for _, o := range f.gateways {
			if f.isRunning(o) && f.rng.Float64() < 0.6 {
				o.isDown, o.stoppedUntil = true, f.now.Add(time.Second)
			}
		}
	case p < 0.032:
		f.server.Started = f.now
		for _, o := range f.gateways {
			o.readAt = f.now.Add(time.Duration(f.rng.Int64N(int64(fleetListDelay))))
		}
	}
}

// run moves one gateway on by a tick.
func (f *coldFleet) run(i int) {
	g := f.gateways[i]
	if !f.isRunning(g) {
		return
	}
	if g.isDown {
		f.restart(i)
	}
	if f.rng.Float64() < float64(fleetTick)/float64(fleetExchange) {
		f.exchange(i)
		f.setShares(g)
	}
	if !g.readAt.IsZero() && !f.now.Before(g.readAt) {
		g.readAt = time.Time{}
		g.placer.setServers([]lister.Server{f.server}, f.now)
	}
	g.pending = slices.DeleteFunc(g.pending, func(r pendingRequest) bool {
		if f.now.Before(r.connectedAt) {
			return false
		}
		if r.BeginSend(f.now) == "" {
			f.arrivals = append(f.arrivals, f.now.Add(time.Duration(f.rng.Int64N(int64(maxWriteDelay)))))
		}
		r.Finish(Served, f.now)
		return true
	})
	if placed, ok := g.placer.Place(deskWork(f.now), f.now).(*Placed); ok {
		g.pending = append(g.pending, pendingRequest{placed, f.now.Add(time.Duration(f.rng.Int64N(int64(maxDialDelay))))})
	}
}

// busiestSecond returns the largest number of arrivals in any second.
func (f *coldFleet) busiestSecond() int {
	slices.SortFunc(f.arrivals, time.Time.Compare)
	most, first := 0, 0
	for last, at := range f.arrivals {
		for at.Sub(f.arrivals[first]) > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestAllGatewaysKeepWithinRateOfColdServer guards against gateways that together crash a cold
// server, because they divide its rate by different views of the fleet, restart, freeze between
// a decision and its sending, or send to a new incarnation what was granted for the old one.
func TestAllGatewaysKeepWithinRateOfColdServer(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := qt.New(t)
			f := newColdFleet(seed)
			for f.now.Sub(start) < fleetDuration {
				f.disturb()
				for i := range f.gateways {
					f.run(i)
				}
				f.now = f.now.Add(fleetTick)
			}
			perSecond := float64(len(f.arrivals)) / fleetDuration.Seconds()
			t.Logf("%d in the busiest second, bound %d; %.1f a second", f.busiestSecond(), fleetBound(), perSecond)
			c.Check(f.busiestSecond() <= fleetBound(), qt.IsTrue)
			// The rate is also used: half of it reaches the server through all the failures.
			c.Check(perSecond > fleetColdRate/2, qt.IsTrue)
		})
	}
}
