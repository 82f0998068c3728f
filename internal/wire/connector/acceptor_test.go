package connector

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/wire/encoder"
)

// fullListener can't accept the first connections for lack of file descriptors.
type fullListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *fullListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestAcceptorServesAfterItRanOutOfFiles guards against a listener for peers that ends for good
// at the first error.
func TestAcceptorServesAfterItRanOutOfFiles(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	full := &fullListener{Listener: ln}
	full.failures.Store(3)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- NewAcceptor(newHello("server"), echo).Serve(ctx, full) }()
	pool := NewPool(newHello("client"))
	defer pool.Close()
	reply := &encoder.ConfigSync{}
	c.Assert(pool.Call(t.Context(), ln.Addr().(*net.TCPAddr).AddrPort(), newOpen(7), reply), qt.IsNil)
	c.Assert(reply.GetDigest(), qt.Equals, uint64(7))
	cancel()
	c.Assert(<-done, qt.IsNil)
}
