// Package evictor closes callers' connections that stay idle, or take to send the
// head of a request, for longer than the catalog allows.
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
	// defaultHeader is used before there is a catalog, or where it names no limit.
	defaultHeader = 5 * time.Second
	// defaultIdle is longer than any caller known waits before it uses a connection
	// again.
	defaultIdle = 3 * time.Minute
)

var evicted = metrics.NewCounter("siskinfall_gateway_connections_evicted_total")

// Evictor watches the connections of one http.Server. It is safe for concurrent
// use.
type Evictor struct{ catalog *holder.Holder }

// phase is what a connection is at.
type phase int

const (
	// waiting connections have no request.
	waiting phase = iota
	// reading connections have sent a part of a request's head.
	reading
	// serving connections have a request in work; its route's time holds.
	serving
)

// conn is a caller's connection.
type conn struct {
	net.Conn
	*Evictor
	mu    sync.Mutex
	phase phase
	// timer closes the connection; it is stopped while serving.
	timer *time.Timer
}

type connKey struct{}

// New returns an Evictor by a catalog's limits.
func New(catalog *holder.Holder) *Evictor { return &Evictor{catalog: catalog} }

// listener wraps what it accepts.
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
	x := &conn{Conn: c, Evictor: l.Evictor}
	// A caller may connect ahead of its first request.
	x.enter(waiting)
	return x, nil
}

// Watch makes a server tell of its connections. The server must be given the
// listener that is returned.
func (e *Evictor) Watch(s *http.Server, ln net.Listener) net.Listener {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	next := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if x, ok := c.(*conn); ok && state == http.StateIdle {
			x.enter(waiting)
		}
		if next != nil {
			next(c, state)
		}
	}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if x, ok := r.Context().Value(connKey{}).(*conn); ok {
			x.enter(serving)
		}
		handler.ServeHTTP(w, r)
	})
	return &listener{Listener: ln, Evictor: e}
}

// Read implements net.Conn.
func (x *conn) Read(p []byte) (int, error) {
	n, err := x.Conn.Read(p)
	if n > 0 && x.isWaiting() {
		x.enter(reading)
	}
	return n, err
}

// Close implements net.Conn.
func (x *conn) Close() error {
	x.enter(serving)
	return x.Conn.Close()
}

func (x *conn) isWaiting() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.phase == waiting
}

// enter begins a phase with its limit.
func (x *conn) enter(p phase) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.timer != nil {
		x.timer.Stop()
	}
	x.phase = p
	switch p {
	case waiting:
		x.timer = time.AfterFunc(x.idle(), func() { x.evict("idle") })
	case reading:
		x.timer = time.AfterFunc(x.header(), func() { x.evict("request head too slow") })
	case serving:
	}
}

func (x *conn) evict(reason string) {
	evicted.Inc()
	log.Info("connection of a caller closed", "event", "evicted", "caller", x.RemoteAddr(), "reason", reason, "catalog", x.catalog.GetVersion())
	if err := x.Conn.Close(); err != nil {
		log.Info("connection not closed", "event", "evicted", "caller", x.RemoteAddr(), "error", err)
	}
}

func (e *Evictor) header() time.Duration {
	if c := e.catalog.Get(); c != nil && c.Limits.HeaderTimeout > 0 {
		return c.Limits.HeaderTimeout
	}
	return defaultHeader
}

func (e *Evictor) idle() time.Duration {
	if c := e.catalog.Get(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return defaultIdle
}
