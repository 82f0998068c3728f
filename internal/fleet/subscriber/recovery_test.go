package subscriber

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
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

// recoveryBound is how long a change may take to a sidecar, or from it to a gateway that starts.
const recoveryBound = 2 * time.Second

// idleEngine is an engine without work.
type idleEngine struct{}

func (idleEngine) Read(context.Context, commander.Query, bool) (*commander.Status, error) {
	return &commander.Status{Started: time.UnixMilli(1)}, nil
}

// startSidecar serves gateways until the test ends, and returns its address.
func startSidecar(t *testing.T) (*Publisher, netip.AddrPort) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	addr := netip.MustParseAddrPort(ln.Addr().String())
	p := NewPublisher(idleEngine{}, addr)
	handle := func(ctx context.Context, peer *encoder.Hello, _ *encoder.Open, st *connector.Stream) {
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
	s := New(netip.MustParseAddrPort("127.0.0.1:80"), sidecar.Port(), pool, catalog, placer.New(), losses, func([]string) {},
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
// all gateways have ended, without a store.
func TestGatewayRecoversLossesFromSidecar(t *testing.T) {
	c := qt.New(t)
	sidecar, addr := startSidecar(t)
	losses := quarantiner.New(1)
	gateway, stop := startGateway(t, addr, losses)
	awaitTrue(c, "the sidecar was asked", gateway.IsAsked)
	block(losses, 7, time.Now())
	awaitTrue(c, "the sidecar knows", func() bool { return sidecar.losses.IsBlocked(7, time.Now()) })
	stop()
	restarted := quarantiner.New(2, quarantiner.WithPeers())
	gateway, _ = startGateway(t, addr, restarted)
	awaitTrue(c, "the sidecar was asked", gateway.IsAsked)
	c.Assert(restarted.IsBlocked(7, time.Now()), qt.IsTrue)
}
