package gossiper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/gateway/quarantiner"
	"siskinfall/internal/wire/encoder"
)

// The gateways of the users' grown deployments: their number, the rate of their links in
// bytes a second, the size of a catalog with a thousand routes, and the time within which it
// must be in force.
const (
	grownGateways    = 46
	grownLinkRate    = 40e6 / 8
	grownRoutes      = 1000
	grownRouteName   = 200
	maxInForceDelay  = 3 * time.Second
	grownStoreDelay  = 800 * time.Millisecond
	exchangeOverhead = 200
)

// sharedLink is the link of one gateway, which all its exchanges share.
type sharedLink struct {
	mu    sync.Mutex
	free  time.Time
	bytes int
}

// carry waits until the link has carried a message.
func (l *sharedLink) carry(m proto.Message) {
	n := proto.Size(m) + exchangeOverhead
	l.mu.Lock()
	now := time.Now()
	l.free = now.Add(max(l.free.Sub(now), 0) + time.Duration(float64(n)/grownLinkRate*float64(time.Second)))
	l.bytes += n
	wait := l.free.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}

// linkedGateways exchange state over slow links.
type linkedGateways struct {
	gossipers []*Gossiper
	catalogs  []*holder.Holder
	links     []*sharedLink
	rng       *rand.Rand
}

// startLinkedGateways starts gateways, of which those in cut do not read the store.
func startLinkedGateways(ctx context.Context, wg *sync.WaitGroup, cut map[int]bool) *linkedGateways {
	n := &linkedGateways{rng: rand.New(rand.NewPCG(1, 1))}
	for i := range grownGateways {
		own := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 7, byte(i + 1)}), 80)
		h := holder.New()
		n.catalogs, n.links = append(n.catalogs, h), append(n.links, &sharedLink{})
		g := New(own, nil, nil, h, lister.New(), quarantiner.New(uint64(i)), func(int, int) {}, WithStoreState(func() bool { return !cut[i] }))
		for other := range grownGateways {
			g.AddGateways([]string{fmt.Sprintf("127.0.7.%d:80", other+1)})
		}
		g.started = time.Now().Add(-time.Minute)
		n.gossipers = append(n.gossipers, g)
	}
	for i := range n.gossipers {
		for j := range n.gossipers {
			if i == j {
				continue
			}
			offset := time.Duration(n.rng.Int64N(int64(maxSyncInterval)))
			wg.Go(func() {
				time.Sleep(offset)
				_ = n.gossipers[i].poll(ctx, n.gossipers[j].own, func(request *encoder.GatewaySync) (*encoder.GatewaySync, error) {
					return n.call(i, j, request)
				})
			})
		}
	}
	return n
}

// call carries an exchange over the links of both gateways.
func (n *linkedGateways) call(from, to int, request *encoder.GatewaySync) (*encoder.GatewaySync, error) {
	n.links[from].carry(request)
	n.links[to].carry(request)
	answer, err := n.gossipers[to].answer(request, time.Now())
	if err != nil {
		return nil, err
	}
	n.links[to].carry(answer)
	n.links[from].carry(answer)
	return answer, nil
}

// putCatalog puts a large catalog in force at all gateways that read the store, some time
// after each other.
func (n *linkedGateways) putCatalog(version uint64, cut map[int]bool) {
	c := &holder.Catalog{Version: version}
	for i := range grownRoutes {
		c.Routes = append(c.Routes, holder.Route{Name: fmt.Sprint(i, strings.Repeat("x", grownRouteName)), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Kind: holder.Idempotent})
	}
	for i, h := range n.catalogs {
		if cut[i] {
			continue
		}
		time.AfterFunc(time.Duration(n.rng.Int64N(int64(grownStoreDelay))), func() {
			copied := *c
			h.ApplyIfNewer(&copied, "store")
		})
	}
}

func (n *linkedGateways) countInForce(version uint64) int {
	count := 0
	for _, h := range n.catalogs {
		if h.GetVersion() >= version {
			count++
		}
	}
	return count
}

// TestLargeCatalogReachesGatewaysCutFromStoreInTime guards against gateways whose links are
// filled by copies of one catalog from all others, so that it is in force too late.
func TestLargeCatalogReachesGatewaysCutFromStoreInTime(t *testing.T) {
	for name, cut := range map[string]int{"none cut": 0, "a third cut": grownGateways / 3, "all but one cut": grownGateways - 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				isCut := make(map[int]bool)
				for i := range cut {
					isCut[i] = true
				}
				n := startLinkedGateways(ctx, &wg, isCut)
				time.Sleep(3 * time.Second)
				sent := catalogsSent.Get()
				n.putCatalog(1, isCut)
				time.Sleep(maxInForceDelay)
				c.Check(n.countInForce(1), qt.Equals, grownGateways)
				sent = catalogsSent.Get() - sent
				cancel()
				wg.Wait()
				t.Logf("%d catalogs sent, %d bytes on the first link", sent, n.links[0].bytes)
				// One copy for each gateway that is cut off, and one to spare.
				c.Check(sent <= uint64(2*cut), qt.IsTrue, qt.Commentf("%d catalogs sent", sent))
			})
		})
	}
}
