package connector

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/wire/encoder"
)

func newHello(name string) *encoder.Hello {
	return &encoder.Hello{Version: encoder.Version, Instance: name}
}

// serve starts an acceptor. stop stops it and waits until it has returned.
func serve(c *qt.C, handler Handler) (addr netip.AddrPort, stop func()) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = NewAcceptor(newHello("server"), handler).Serve(ctx, ln)
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort(), func() { cancel(); <-done }
}

func echo(_ context.Context, peer *encoder.Hello, open *encoder.Open, st *Stream) {
	_ = st.Send(&encoder.ConfigSync{Instance: peer.GetInstance(), Digest: open.GetConfig().GetDigest()})
}

func newOpen(digest uint64) *encoder.Open {
	return &encoder.Open{Kind: &encoder.Open_Config{Config: &encoder.ConfigSync{Digest: digest}}}
}

func TestCallsShareOneSessionAndLeakNoGoroutines(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	addr, stop := serve(c, echo)
	defer stop()
	pool := NewPool(newHello("client"))
	defer pool.Close()
	var wg sync.WaitGroup
	for i := range uint64(50) {
		wg.Go(func() {
			reply := &encoder.ConfigSync{}
			c.Check(pool.Call(t.Context(), addr, newOpen(i), reply), qt.IsNil)
			c.Check(reply.GetDigest(), qt.Equals, i)
			c.Check(reply.GetInstance(), qt.Equals, "client")
		})
	}
	wg.Wait()
	c.Assert(len(pool.links), qt.Equals, 1)
	pool.CloseIdle(time.Hour)
	c.Assert(len(pool.links), qt.Equals, 1)
	pool.CloseIdle(0)
	c.Assert(len(pool.links), qt.Equals, 0)
	c.Assert(pool.Call(t.Context(), addr, newOpen(1), &encoder.ConfigSync{}), qt.IsNil)
	pool.Close()
	c.Assert(pool.Call(t.Context(), addr, newOpen(1), &encoder.ConfigSync{}), qt.IsNotNil)
}

// echoAndHold answers and keeps its side of the stream open until the session ends.
func echoAndHold(ctx context.Context, peer *encoder.Hello, open *encoder.Open, st *Stream) {
	echo(ctx, peer, open, st)
	<-ctx.Done()
}

// A peer that never closed its side of a returned call's stream kept the session open.
func TestIdleSessionStaysOpenForPeerThatNeverClosesStream(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	addr, stop := serve(c, echoAndHold)
	defer stop()
	pool := NewPool(newHello("client"))
	defer pool.Close()
	c.Assert(pool.Call(t.Context(), addr, newOpen(1), &encoder.ConfigSync{}), qt.IsNil)
	pool.CloseIdle(0)
	c.Assert(len(pool.links), qt.Equals, 0)
}

// A stream closed twice must not end the count of another one.
func TestSessionWithOpenStreamIsClosedAsIdle(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	addr, stop := serve(c, echoAndHold)
	defer stop()
	pool := NewPool(newHello("client"))
	defer pool.Close()
	closed, err := pool.Open(t.Context(), addr, newOpen(1))
	c.Assert(err, qt.IsNil)
	open, err := pool.Open(t.Context(), addr, newOpen(2))
	c.Assert(err, qt.IsNil)
	c.Assert(closed.Close(), qt.IsNil)
	c.Assert(closed.Close(), qt.IsNil)
	pool.CloseIdle(0)
	c.Assert(len(pool.links), qt.Equals, 1)
	c.Assert(open.Receive(&encoder.ConfigSync{}), qt.IsNil)
	c.Assert(open.Close(), qt.IsNil)
	pool.CloseIdle(time.Hour)
	c.Assert(len(pool.links), qt.Equals, 1)
	pool.CloseIdle(0)
	c.Assert(len(pool.links), qt.Equals, 0)
}

// countedConn ends its count in open when it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.open.Add(-1) })
	return err
}

// A caller that waited for a link while it was dropped dialed a session that nothing closed.
func TestDroppedLinkIsDialedAgain(t *testing.T) {
	c := qt.New(t)
	addr, stop := serve(c, echo)
	defer stop()
	var open atomic.Int64
	pool := NewPool(newHello("client"), WithDial(func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		conn, err := dialTCP(ctx, addr)
		if err != nil {
			return nil, err
		}
		open.Add(1)
		return &countedConn{Conn: conn, open: &open}, nil
	}))
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			for range 20 {
				_ = pool.Call(t.Context(), addr, newOpen(1), &encoder.ConfigSync{})
				pool.Drop(addr)
			}
		})
	}
	wg.Wait()
	pool.Close()
	c.Assert(open.Load(), qt.Equals, int64(0))
}

// The pool kept a link for each address that it had never reached.
func TestIdleLinkStaysWhenDialNeverSucceeded(t *testing.T) {
	c := qt.New(t)
	errDial := errors.New("refused")
	pool := NewPool(newHello("client"), WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
		return nil, errDial
	}))
	defer pool.Close()
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	c.Assert(pool.Call(t.Context(), addr, newOpen(1), &encoder.ConfigSync{}), qt.ErrorIs, errDial)
	pool.CloseIdle(0)
	c.Assert(len(pool.links), qt.Equals, 0)
}

// blockingConn blocks its first Close until unblock is closed.
type blockingConn struct {
	net.Conn
	entered, unblock chan struct{}
	calls            atomic.Int64
}

func (c *blockingConn) Close() error {
	if c.calls.Add(1) == 1 {
		close(c.entered)
		<-c.unblock
	}
	return nil
}

// A call past its deadline waited for the close that its context had started, which may
// block for the write timeout of a stalled session.
func TestCloseWaitsForConcurrentClose(t *testing.T) {
	c := qt.New(t)
	conn := &blockingConn{entered: make(chan struct{}), unblock: make(chan struct{})}
	s := newStream(conn, "peer")
	s.session = &dialedSession{openStreams: 1}
	first, second := make(chan struct{}), make(chan struct{})
	go func() { defer close(first); _ = s.Close() }()
	<-conn.entered
	go func() { defer close(second); _ = s.Close() }()
	// The bound only ends a run that hangs.
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	select {
	case <-second:
	case <-ctx.Done():
		c.Error("the second Close waits for the first")
	}
	close(conn.unblock)
	<-first
	<-second
	c.Assert(s.session.openStreams, qt.Equals, 0)
}

func TestVersionMismatchFailsWithStepAndPeer(t *testing.T) {
	c := qt.New(t)
	addr, stop := serve(c, echo)
	defer stop()
	pool := NewPool(&encoder.Hello{Version: encoder.Version + 1, Instance: "newer"})
	defer pool.Close()
	err := pool.Call(t.Context(), addr, newOpen(1), &encoder.ConfigSync{})
	c.Assert(err, qt.IsNotNil)
	step, peer := wrapper.GetStep(err)
	c.Assert(string(step) != "", qt.IsTrue)
	c.Assert(peer, qt.Not(qt.Equals), "")
}

func TestOversizedFrameClosesOnlyItsStream(t *testing.T) {
	c := qt.New(t)
	addr, stop := serve(c, func(_ context.Context, _ *encoder.Hello, open *encoder.Open, st *Stream) {
		if open.GetConfig().GetDigest() == 1 {
			_, _ = st.conn.Write(bytes.Repeat([]byte{0xff}, 9))
			_, _ = st.conn.Write([]byte{1})
			return
		}
		echo(context.Background(), newHello("x"), open, st)
	})
	defer stop()
	pool := NewPool(newHello("client"))
	defer pool.Close()
	err := pool.Call(t.Context(), addr, newOpen(1), &encoder.ConfigSync{})
	c.Assert(err, qt.ErrorMatches, "receive_frame at server: .*")
	c.Assert(pool.Call(t.Context(), addr, newOpen(2), &encoder.ConfigSync{}), qt.IsNil)
}

func TestCoalescerKeepsOrderAndFlushesOnClose(t *testing.T) {
	c := qt.New(t)
	local, remote := net.Pipe()
	w := newCoalescer(local)
	var want strings.Builder
	got := make(chan string, 1)
	go func() {
		data, _ := io.ReadAll(remote)
		got <- string(data)
	}()
	for i := range 2000 {
		part := strings.Repeat(string(rune('a'+i%26)), i%97)
		want.WriteString(part)
		_, err := w.Write([]byte(part))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(w.Close(), qt.IsNil)
	c.Assert(<-got, qt.Equals, want.String())
	_, err := w.Write([]byte("late"))
	c.Assert(err, qt.IsNotNil)
}
