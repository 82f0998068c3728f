package gossiper

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/gateway/quarantiner"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// gateway is a Gossiper with the state that it syncs.
type gateway struct {
	*Gossiper
	catalog *holder.Holder
	// versions receives each catalog version put in force, counts the latest number of
	// gateways.
	versions chan uint64
	counts   chan int
}

// startGateways starts n gateways, each at a loopback address of its own with one
// common port, as on the platform. The first one is the only seed.
func startGateways(c *qt.C, n int) []*gateway {
	ctx, cancel := context.WithCancel(c.Context())
	var wg sync.WaitGroup
	c.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	port := uint16(0)
	gateways := make([]*gateway, 0, n)
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(i + 1)}), port)
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr.String())
		c.Assert(err, qt.IsNil)
		own := netip.MustParseAddrPort(ln.Addr().String())
		port = own.Port()
		seed := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, 1}), 1)
		hello := &encoder.Hello{Version: encoder.Version, Instance: own.String(), Role: "gateway"}
		g := &gateway{catalog: holder.New(), versions: make(chan uint64, 16), counts: make(chan int, 1)}
		g.catalog.OnChange(func(x *holder.Catalog) { g.versions <- x.Version })
		pool := connector.NewPool(hello)
		context.AfterFunc(ctx, pool.Close)
		g.Gossiper = New(own, []netip.AddrPort{seed}, pool, g.catalog, lister.New(), quarantiner.New(1), func(n, _ int) {
			select {
			case <-g.counts:
			default:
			}
			g.counts <- n
		})
		wg.Go(func() {
			_ = connector.NewAcceptor(hello, func(_ context.Context, _ *encoder.Hello, _ *encoder.Open, s *connector.Stream) {
				_ = g.Serve(s)
			}).Serve(ctx, ln)
		})
		wg.Go(func() { g.Run(ctx) })
		gateways = append(gateways, g)
	}
	return gateways
}

// TestCatalogReachesAllThroughOneSeed checks that a catalog offered to one gateway
// reaches all others when they start with the seed only.
func TestCatalogReachesAllThroughOneSeed(t *testing.T) {
	c := qt.New(t)
	const n = 6
	gateways := startGateways(c, n)
	gateways[n-1].catalog.ApplyIfNewer(&holder.Catalog{Version: 5}, "test")
	for _, g := range gateways {
		c.Assert(<-g.versions, qt.Equals, uint64(5))
	}
	for _, g := range gateways {
		for got := 0; got != n; got = <-g.counts {
		}
	}
}

// TestGatewayThatIsCutOffKeepsItsShareOfTotals guards against two sides of a long network
// partition that divide the fleet's totals among themselves only, and use them twice.
func TestGatewayThatIsCutOffKeepsItsShareOfTotals(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	now := time.Now()
	own := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, 1}), 80)
	pool := connector.NewPool(&encoder.Hello{}, connector.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, net.ErrClosed }))
	g := New(own, nil, pool, holder.New(), lister.New(), quarantiner.New(1), func(int, int) {})
	g.AddGateways([]string{"127.0.2.2:80", "127.0.2.3:80"})
	members, sharers := g.update(ctx, &wg, now)
	c.Assert([]int{members, sharers}, qt.DeepEquals, []int{3, 3})
	members, sharers = g.update(ctx, &wg, now.Add(memberTTL+time.Second))
	c.Assert([]int{members, sharers}, qt.DeepEquals, []int{1, 3})
	g.add(netip.MustParseAddrPort("127.0.2.2:80"), now.Add(memberTTL+time.Second))
	members, sharers = g.update(ctx, &wg, now.Add(memberTTL+2*time.Second))
	c.Assert([]int{members, sharers}, qt.DeepEquals, []int{2, 3})
	_, sharers = g.update(ctx, &wg, now.Add(2*memberTTL+shareTTL))
	c.Assert(sharers, qt.Equals, 1+1)
}

// TestAnswerOmitsGatewaysWhenDigestsMatch compares a requester that has no gateways
// with one that has the same ones.
func TestAnswerOmitsGatewaysWhenDigestsMatch(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	newGossiper := func(own byte) *Gossiper {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, own}), 80)
		return New(addr, nil, nil, holder.New(), lister.New(), quarantiner.New(1), func(int, int) {})
	}
	a, b := newGossiper(1), newGossiper(2)
	a.AddGateways([]string{"127.0.2.2:80", "127.0.2.3:80"})
	answer, err := a.answer(b.newSync(now), now)
	c.Assert(err, qt.IsNil)
	c.Assert(answer.GetGateways(), qt.HasLen, 2)
	b.AddGateways([]string{"127.0.2.3:80", "127.0.2.1:80"})
	answer, err = a.answer(b.newSync(now), now)
	c.Assert(err, qt.IsNil)
	c.Assert(answer.GetGateways(), qt.HasLen, 0)
}

// TestSyncIntervalGrowsWithNumberOfGateways checks that a large fleet exchanges less
// often with each member, and still often enough that live gateways count as live.
func TestSyncIntervalGrowsWithNumberOfGateways(t *testing.T) {
	c := qt.New(t)
	g := New(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, 1}), 80), nil, nil, holder.New(), lister.New(), quarantiner.New(1), func(int, int) {})
	c.Assert(g.currentSyncInterval(), qt.Equals, syncInterval)
	for i := range 44 {
		g.add(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 3, byte(i)}), 80), time.Now())
	}
	c.Assert(g.currentSyncInterval() > 2*syncInterval, qt.IsTrue)
	c.Assert(g.currentSyncInterval() < livenessTimeout, qt.IsTrue)
}

// TestFewGatewaysTellEachSidecar guards against a list of engines that each gateway sends to
// each sidecar, and against sidecars that no gateway tells.
func TestFewGatewaysTellEachSidecar(t *testing.T) {
	c := qt.New(t)
	addrs := make([]string, 0, 99)
	for i := range 99 {
		addrs = append(addrs, fmt.Sprintf("127.0.8.%d:80", i+1))
	}
	gateways := make([]*Gossiper, 0, len(addrs))
	for _, addr := range addrs {
		g := New(netip.MustParseAddrPort(addr), nil, nil, holder.New(), lister.New(), quarantiner.New(1), func(int, int) {})
		g.AddGateways(addrs)
		gateways = append(gateways, g)
	}
	now := time.Now()
	byGateway := make([]int, len(gateways))
	for sidecar := range 129 {
		tellers := 0
		for i, g := range gateways {
			if g.IsAmongFirst(3, fmt.Sprint("side-", sidecar), now) {
				tellers++
				byGateway[i]++
			}
		}
		c.Assert(tellers, qt.Equals, 3)
	}
	c.Assert(slices.Max(byGateway) < 15, qt.IsTrue, qt.Commentf("%v", byGateway))
	// Gateways that no longer answer are left out.
	alone := New(netip.MustParseAddrPort(addrs[0]), nil, nil, holder.New(), lister.New(), quarantiner.New(1), func(int, int) {})
	alone.AddGateways(addrs)
	now = time.Now()
	for sidecar := range 129 {
		c.Assert(alone.IsAmongFirst(3, fmt.Sprint("side-", sidecar), now.Add(livenessTimeout+time.Second)), qt.IsTrue)
	}
}
