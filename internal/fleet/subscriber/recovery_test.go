package subscriber

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/gateway/placer"
	"siskinfall/internal/gateway/quarantiner"
	"siskinfall/internal/group/commander"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// recoveryBound is how long a change may take to a sidecar, and from it to a gateway that starts.
const recoveryBound = keptQueryTimeout

// idleEngine is an engine without work.
type idleEngine struct{}

func (idleEngine) Read(context.Context, commander.Query, bool) (*commander.Status, error) {
	return &commander.Status{Started: time.UnixMilli(1)}, nil
}

// deadEngine does not answer.
type deadEngine struct{}

func (deadEngine) Read(context.Context, commander.Query, bool) (*commander.Status, error) {
	return nil, errors.New("no engine")
}

// startSidecar serves gateways until the test ends, and returns its address.
func startSidecar(t *testing.T, engine Engine) (*Publisher, netip.AddrPort) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	addr := netip.MustParseAddrPort(ln.Addr().String())
	p := NewPublisher(engine, addr)
	handle := func(ctx context.Context, peer *encoder.Hello, open *encoder.Open, st *connector.Stream) {
		if open.GetKeptQuery() != nil {
			_ = p.ServeKept(st)
			return
		}
		_ = p.Serve(ctx, peer.GetInstance(), st)
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.Run(t.Context()) })
	wg.Go(func() {
		_ = connector.NewAcceptor(&encoder.Hello{Version: encoder.Version, Instance: "sidecar"}, handle).Serve(t.Context(), ln)
	})
	t.Cleanup(wg.Wait)
	return p, addr
}

// startGateway follows the sidecar at an address, which stands for its engine's, too. It returns
// a function that ends it.
func startGateway(t *testing.T, sidecar netip.AddrPort, losses *quarantiner.Set) (*Subscriber, func()) {
	t.Helper()
	pool := connector.NewPool(&encoder.Hello{Version: encoder.Version, Instance: "gateway"})
	catalog := holder.New()
	catalog.ApplyIfNewer(&holder.Catalog{Version: 1, Services: []holder.Service{{Name: "llm", Engine: &holder.Engine{}}}}, "test")
	s := New(netip.MustParseAddrPort("127.0.0.1:80"), "", sidecar.Port(), pool, catalog, placer.New(), losses, func([]string) {},
		func(netip.AddrPort) bool { return true })
	s.SetServers([]lister.Server{{Service: "llm", Addr: sidecar}})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	stop := func() {
		cancel()
		pool.Close()
		wg.Wait()
	}
	t.Cleanup(stop)
	return s, stop
}

func awaitTrue(c *qt.C, what string, holds func() bool) {
	c.Helper()
	for end := time.Now().Add(recoveryBound); !holds(); time.Sleep(5 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%s not within %v", what, recoveryBound))
	}
}

// TestGatewayRecoversLossesFromSidecar guards against a blocked request that is free again after
// all gateways have ended, without a store, also while the sidecar's engine is away.
func TestGatewayRecoversLossesFromSidecar(t *testing.T) {
	for name, engine := range map[string]Engine{"idle_engine": idleEngine{}, "dead_engine": deadEngine{}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sidecar, addr := startSidecar(t, engine)
			losses := quarantiner.New(1)
			_, stop := startGateway(t, addr, losses)
			block(losses, 7, time.Now())
			awaitTrue(c, "the sidecar knows", func() bool { return sidecar.losses.IsBlocked(7, time.Now()) })
			stop()
			restarted := quarantiner.New(2, quarantiner.WithPeers())
			gateway, _ := startGateway(t, addr, restarted)
			awaitTrue(c, "the sidecar was asked", func() bool { return gateway.IsAsked(time.Now()) })
			c.Assert(restarted.IsBlocked(7, time.Now()), qt.IsTrue)
		})
	}
}

// TestSidecarsAreAskedOnceServersAreKnown guards against a gateway that knows all it needs and
// refuses requests until it looks for sidecars the next time.
func TestSidecarsAreAskedOnceServersAreKnown(t *testing.T) {
	for name, isCatalogFirst := range map[string]bool{"catalog_first": true, "servers_first": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				pool := connector.NewPool(&encoder.Hello{}, connector.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
					return nil, errors.New("no sidecar")
				}))
				catalog := holder.New()
				s := New(netip.MustParseAddrPort("127.0.0.1:80"), "", 90, pool, catalog, placer.New(), quarantiner.New(1, quarantiner.WithPeers()), nil, nil)
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				wg.Go(func() { s.Run(ctx) })
				setCatalog := func() {
					catalog.ApplyIfNewer(&holder.Catalog{Version: 1, Services: []holder.Service{{Name: "llm", Engine: &holder.Engine{}}}}, "test")
				}
				setServers := func() {
					s.SetServers([]lister.Server{{Service: "llm", Addr: netip.MustParseAddrPort("127.0.0.1:81")}})
				}
				steps := []func(){setServers, setCatalog}
				if isCatalogFirst {
					slices.Reverse(steps)
				}
				for _, step := range steps {
					time.Sleep(redialInterval / 4)
					step()
				}
				synctest.Wait()
				c.Assert(s.IsAsked(time.Now()), qt.IsTrue)
				cancel()
				wg.Wait()
				pool.Close()
			})
		})
	}
}
