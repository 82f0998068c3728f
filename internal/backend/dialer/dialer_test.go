package dialer

import (
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/backend/limiter"
)

// endlessConn repeats a text and counts the bytes that were read of it.
type endlessConn struct {
	net.Conn
	text string
	n    int
}

func (c *endlessConn) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = c.text[(c.n+i)%len(c.text)]
	}
	c.n += len(p)
	return len(p), nil
}

// TestHeadWithoutEndIsReadInFull guards against reading a head beyond its bound, also if a
// part of it is in the buffer already.
func TestHeadWithoutEndIsReadInFull(t *testing.T) {
	for _, peeked := range []int{0, 1, readBufferSize} {
		c := qt.New(t)
		conn := &endlessConn{text: "HTTP/1.1 200 OK " + strings.Repeat("a", 100)}
		cn := newConn(conn, Key{ID: "i-1"}, NewPool())
		_, err := cn.Reader.Peek(peeked)
		c.Assert(err, qt.IsNil)
		_, err = cn.ReadAnswer(&http.Request{Method: http.MethodGet})
		c.Assert(err, qt.Equals, limiter.ErrTooLarge)
		c.Assert(conn.n, qt.Equals, limiter.MaxHeadBytes)
	}
}

// TestPruneKeepsConnectionWithUnreadBytes guards against keeping an idle connection on which
// a server sends without end, or that it has closed, until the next request.
func TestPruneKeepsConnectionWithUnreadBytes(t *testing.T) {
	for name, end := range map[string]func(conn net.Conn) error{
		"bytes": func(conn net.Conn) error {
			_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
			return err
		},
		"closed": func(conn net.Conn) error { return conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = ln.Close() })
			pool := NewPool()
			key := Key{ID: "i-1", Addr: netip.MustParseAddrPort(ln.Addr().String())}
			conn, err := pool.Get(t.Context(), key, 1)
			c.Assert(err, qt.IsNil)
			server, err := ln.Accept()
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = server.Close() })
			pool.Put(conn)
			all := func(Key) bool { return true }
			pool.Prune(all, time.Now())
			c.Assert(pool.open[key], qt.Equals, 1)
			c.Assert(end(server), qt.IsNil)
			for conn.isReusable() {
				runtime.Gosched()
			}
			pool.Prune(all, time.Now())
			c.Assert(pool.open, qt.HasLen, 0)
			c.Assert(pool.idle, qt.HasLen, 0)
		})
	}
}

// TestReadDeadlineOfLastAnswerEndsReuse guards against giving up a sound idle connection
// because the deadline of an answer on it has passed since.
func TestReadDeadlineOfLastAnswerEndsReuse(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	pool := NewPool()
	key := Key{ID: "i-1", Addr: netip.MustParseAddrPort(ln.Addr().String())}
	conn, err := pool.Get(t.Context(), key, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetReadDeadline(time.Now()), qt.IsNil)
	pool.Put(conn)
	pool.Prune(func(Key) bool { return true }, time.Now())
	again, err := pool.Get(t.Context(), key, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.Equals, conn)
	c.Assert(again.Close(), qt.IsNil)
}
