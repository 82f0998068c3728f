// Package evictor closes client connections that are idle, or take to send the head of
// a request, for longer than the limits of the catalog.
package evictor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"siskinfall/internal/catalog/holder"
)

const (
	// defaultHeaderTimeout is used if there is no catalog yet or it sets no limit.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout is used like defaultHeaderTimeout. It is longer than any known
	// caller waits before it reuses a connection.
	defaultIdleTimeout = 3 * time.Minute
)

var evicted = metrics.NewCounter("siskinfall_gateway_connections_evicted_total")

// Evictor applies the timeouts to the connections of an http.Server. It is safe for
// concurrent use.
type Evictor struct{ catalog *holder.Holder }

// phase is the state of a connection; it determines the timeout.
type phase int

const (
	// idle connections have no request in progress.
	idle phase = iota
	// readingHead connections have received a part of a request's head.
	readingHead
	// serving connections have a request in progress, which is bounded by the
	// timeout of its route, or are being closed.
	serving
)

// conn is a client connection.
type conn struct {
	net.Conn
	*Evictor
	mu    sync.Mutex
	phase phase
	// timer closes the connection at the timeout of the phase; it is stopped while
	// serving.
	timer *time.Timer
}

type connKey struct{}

// New returns an Evictor that uses the limits of the catalog.
func New(catalog *holder.Holder) *Evictor { return &Evictor{catalog: catalog} }

// listener wraps accepted connections.
type listener struct {
	net.Listener
	*Evictor
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cc := &conn{Conn: c, Evictor: l.Evictor}
	// A caller may connect some time before its first request.
	cc.setPhase(idle)
	return cc, nil
}

// Watch hooks into a server's handler and connection states. The server must serve on
// the returned listener.
func (e *Evictor) Watch(s *http.Server, ln net.Listener) net.Listener {
	nextContext := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if nextContext != nil {
			ctx = nextContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	next := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if cc, ok := c.(*conn); ok && state == http.StateIdle {
			cc.setPhase(idle)
		}
		if next != nil {
			next(c, state)
		}
	}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.setPhase(serving)
		}
		handler.ServeHTTP(w, r)
	})
	return &listener{Listener: ln, Evictor: e}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.isIdle() {
		c.setPhase(readingHead)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.setPhase(serving)
	return c.Conn.Close()
}

// SetLinger sets the behaviour of Close like that of net.TCPConn. It does nothing for a
// connection of another kind.
func (c *conn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}

func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == idle
}

// setPhase starts a phase and its timeout.
func (c *conn) setPhase(next phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.phase = next
	switch next {
	case idle:
		c.timer = time.AfterFunc(c.idleTimeout(), func() { c.evict("idle") })
	case readingHead:
		c.timer = time.AfterFunc(c.headerTimeout(), func() { c.evict("request head too slow") })
	case serving:
	}
}

func (c *conn) evict(reason string) {
	evicted.Inc()
	log.Info("client connection evicted", "event", "evicted", "caller", c.RemoteAddr(), "reason", reason, "catalog", c.catalog.GetVersion())
	if err := c.Conn.Close(); err != nil {
		log.Info("closing the client connection failed", "event", "evicted", "caller", c.RemoteAddr(), "error", err)
	}
}

func (e *Evictor) headerTimeout() time.Duration {
	if c := e.catalog.Get(); c != nil && c.Limits.HeaderTimeout > 0 {
		return c.Limits.HeaderTimeout
	}
	return defaultHeaderTimeout
}

func (e *Evictor) idleTimeout() time.Duration {
	if c := e.catalog.Get(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}
