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

// node is one process with a book.
type node struct {
	*Spreader
	book *registrar.Book
	addr netip.AddrPort
}

func newNode(c *qt.C, name string) *node {
	ctx, cancel := context.WithCancel(context.Background())
	hello := &encoder.Hello{Version: encoder.Version, Instance: name}
	pool := connector.NewPool(hello)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	n := &node{book: registrar.NewBook(), addr: ln.Addr().(*net.TCPAddr).AddrPort()}
	n.Spreader = New(n.book, pool, name)
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

func newState(c *qt.C, name string, number uint64) []*encoder.Entity {
	ticket := &registrar.Ticket{Number: number, Services: []*registrar.Service{{
		Name: name, Kind: registrar.ServiceModel, Timeout: time.Second, Attempts: 1, Retention: time.Hour,
	}}}
	entities, err := ticket.Entities()
	c.Assert(err, qt.IsNil)
	return entities
}

func TestNodeWithoutStateLearnsFromAPeer(t *testing.T) {
	c := qt.New(t)
	old, fresh := newNode(c, "old"), newNode(c, "fresh")
	old.book.Apply(newState(c, "a", 3))
	c.Assert(fresh.Exchange(t.Context(), old.addr), qt.IsNil)
	c.Assert(fresh.book.Get().Digest, qt.Equals, old.book.Get().Digest)
}

// Nodes that took in different tickets while they were cut off from each other
// are equal after each has asked the others a few times.
func TestRandomisedCutsHeal(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(20261204, 1))
	nodes := make([]*node, 6)
	for i := range nodes {
		nodes[i] = newNode(c, fmt.Sprint("n", i))
	}
	for round := range 5 {
		for number := range 20 {
			n := nodes[rng.IntN(len(nodes))]
			n.book.Apply(newState(c, fmt.Sprint("s", rng.IntN(8)), uint64(round*20+number+1)))
		}
		for range nodes {
			for i, n := range nodes {
				c.Assert(n.Exchange(t.Context(), nodes[(i+1)%len(nodes)].addr), qt.IsNil)
			}
		}
		for _, n := range nodes {
			c.Assert(n.book.Get().Digest, qt.Equals, nodes[0].book.Get().Digest)
		}
	}
}

func TestPushBringsBackWhatIsNewer(t *testing.T) {
	c := qt.New(t)
	a, b := newNode(c, "a"), newNode(c, "b")
	b.book.Apply(newState(c, "x", 9))
	old := newState(c, "x", 2)
	a.book.Apply(old)
	c.Assert(a.Push(t.Context(), b.addr, old), qt.IsNil)
	ref := registrar.Ref{Kind: registrar.KindService, Name: "x"}
	c.Assert(b.book.Get().GetNumber(ref), qt.Equals, uint64(9))
	c.Assert(a.Exchange(t.Context(), b.addr), qt.IsNil)
	c.Assert(a.book.Get().GetNumber(ref), qt.Equals, uint64(9))
}
