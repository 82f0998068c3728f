package spreader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/config/registrar"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// node is one process with its own configuration.
type node struct {
	*Syncer
	config *registrar.ActiveConfig
	addr   netip.AddrPort
}

func newNode(c *qt.C, name string) *node {
	ctx, cancel := context.WithCancel(context.Background())
	hello := &encoder.Hello{Version: encoder.Version, Instance: name}
	pool := connector.NewPool(hello)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	n := &node{config: registrar.NewActiveConfig(), addr: ln.Addr().(*net.TCPAddr).AddrPort()}
	n.Syncer = New(n.config, pool, name)
	a := connector.NewAcceptor(hello, func(_ context.Context, _ *encoder.Hello, open *encoder.Open, st *connector.Stream) {
		_ = n.Handle(st, open.GetConfig())
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Serve(ctx, ln)
	}()
	c.Cleanup(func() { cancel(); pool.Close(); <-done })
	return n
}

func newEntities(c *qt.C, name string, number uint64) []*encoder.Entity {
	ticket := &registrar.Ticket{Number: number, Services: []*registrar.Service{{
		Name: name, Kind: registrar.ServiceModel, Timeout: time.Second, MaxAttempts: 1, Retention: time.Hour,
	}}}
	entities, err := ticket.Entities()
	c.Assert(err, qt.IsNil)
	return entities
}

func TestReconcileCopiesConfigurationToEmptyNode(t *testing.T) {
	c := qt.New(t)
	source, empty := newNode(c, "old"), newNode(c, "fresh")
	source.config.Apply(newEntities(c, "a", 3))
	c.Assert(empty.Reconcile(t.Context(), source.addr), qt.IsNil)
	c.Assert(empty.config.Get().Digest, qt.Equals, source.config.Get().Digest)
}

// Nodes that received different tickets while partitioned have the same
// configuration after a few rounds of Reconcile with their neighbours.
func TestRandomisedPartitionsConverge(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(20261204, 1))
	nodes := make([]*node, 6)
	for i := range nodes {
		nodes[i] = newNode(c, fmt.Sprint("n", i))
	}
	for round := range 5 {
		for number := range 20 {
			n := nodes[rng.IntN(len(nodes))]
			n.config.Apply(newEntities(c, fmt.Sprint("s", rng.IntN(8)), uint64(round*20+number+1)))
		}
		for range nodes {
			for i, n := range nodes {
				c.Assert(n.Reconcile(t.Context(), nodes[(i+1)%len(nodes)].addr), qt.IsNil)
			}
		}
		for _, n := range nodes {
			c.Assert(n.config.Get().Digest, qt.Equals, nodes[0].config.Get().Digest)
		}
	}
}

func TestPushKeepsNewerEntityAndReconcileFetchesIt(t *testing.T) {
	c := qt.New(t)
	a, b := newNode(c, "a"), newNode(c, "b")
	b.config.Apply(newEntities(c, "x", 9))
	old := newEntities(c, "x", 2)
	a.config.Apply(old)
	c.Assert(a.Push(t.Context(), b.addr, old), qt.IsNil)
	ref := registrar.Ref{Kind: registrar.KindService, Name: "x"}
	c.Assert(b.config.Get().GetNumber(ref), qt.Equals, uint64(9))
	c.Assert(a.Reconcile(t.Context(), b.addr), qt.IsNil)
	c.Assert(a.config.Get().GetNumber(ref), qt.Equals, uint64(9))
}
