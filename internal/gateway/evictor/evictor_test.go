package evictor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/catalog/holder"
)

// unreachedTimeout is longer than any test runs.
const unreachedTimeout = time.Hour

// newServer starts a server whose requests block until release is closed.
func newServer(t *testing.T, limits holder.Limits, release chan struct{}) *httptest.Server {
	t.Helper()
	h := holder.New()
	h.ApplyIfNewer(&holder.Catalog{Version: 1, Limits: limits}, "test")
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) { <-release }))
	s.Listener = New(h).Watch(s.Config, s.Listener)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func dial(c *qt.C, s *httptest.Server) net.Conn {
	var d net.Dialer
	conn, err := d.DialContext(c.Context(), "tcp", s.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn
}

func closedChannel() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}

func exchange(c *qt.C, conn net.Conn, r *bufio.Reader) {
	_, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(r, nil)
	c.Assert(err, qt.IsNil)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
}

// TestIdleConnectionIsClosed waits until the server closes a kept-alive connection.
// Without the idle timeout, that would take unreachedTimeout.
func TestIdleConnectionIsClosed(t *testing.T) {
	c := qt.New(t)
	s := newServer(t, holder.Limits{IdleTimeout: 50 * time.Millisecond, HeaderTimeout: unreachedTimeout}, closedChannel())
	conn := dial(c, s)
	r := bufio.NewReader(conn)
	exchange(c, conn, r)
	_, err := r.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
}

// TestConnectionWithUnfinishedHeadIsClosed sends only a part of a request's head.
func TestConnectionWithUnfinishedHeadIsClosed(t *testing.T) {
	c := qt.New(t)
	s := newServer(t, holder.Limits{IdleTimeout: unreachedTimeout, HeaderTimeout: 50 * time.Millisecond}, closedChannel())
	conn := dial(c, s)
	_, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHo")
	c.Assert(err, qt.IsNil)
	_, err = conn.Read(make([]byte, 1))
	c.Assert(err, qt.Not(qt.IsNil))
}

// TestConnectionIsKeptWhileRequestIsServed keeps a request in progress until several
// other connections have been closed by the same timeouts, so that both timeouts have
// expired for its connection too.
func TestConnectionIsKeptWhileRequestIsServed(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	const timeout = 30 * time.Millisecond
	s := newServer(t, holder.Limits{IdleTimeout: timeout, HeaderTimeout: timeout}, release)
	conn := dial(c, s)
	_, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	for range 5 {
		_, err = dial(c, s).Read(make([]byte, 1))
		c.Assert(err, qt.Not(qt.IsNil))
	}
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
}
