package connector

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/wire/encoder"
)

// TestCallDoesNotOutwaitItsDeadlineBehindDial guards against a call that waits for another
// caller's dial of a silent peer, long after its own deadline.
func TestCallDoesNotOutwaitItsDeadlineBehindDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := NewPool(&encoder.Hello{}, WithDial(func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}))
		addr := netip.MustParseAddrPort("127.0.0.1:1")
		slow, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		go func() { _, _ = p.Open(slow, addr, &encoder.Open{}) }()
		synctest.Wait()
		start := time.Now()
		ctx, cancelCall := context.WithTimeout(t.Context(), 60*time.Millisecond)
		defer cancelCall()
		_, err := p.Open(ctx, addr, &encoder.Open{})
		c.Check(errors.Is(err, context.DeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
		c.Check(time.Since(start), qt.Equals, 60*time.Millisecond)
	})
}

// TestCallDoesNotOutwaitItsDeadlineInHandshake guards against a leader that waits for seconds for
// a paused peer, which accepts the connection and does not answer.
func TestCallDoesNotOutwaitItsDeadlineInHandshake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := NewPool(&encoder.Hello{}, WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
			conn, _ := net.Pipe()
			return conn, nil
		}))
		addr := netip.MustParseAddrPort("127.0.0.1:1")
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 60*time.Millisecond)
		defer cancel()
		_, err := p.Open(ctx, addr, &encoder.Open{})
		c.Check(err, qt.IsNotNil)
		c.Check(time.Since(start), qt.Equals, minHandshakeTimeout)
		start = time.Now()
		_, err = p.Open(t.Context(), addr, &encoder.Open{})
		c.Check(err, qt.IsNotNil)
		c.Check(time.Since(start), qt.Equals, handshakeTimeout)
	})
}
