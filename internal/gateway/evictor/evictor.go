// Package evictor closes client connections that are idle, or take to send the head of
// a request, for longer than the limits of the catalog, that don't take their answers, and
// those that have to give way at the bounds of package process/accountant.
package evictor

import (
	"context"
	"net"
	"net/http"
	"time"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/process/accountant"
)

const (
	// defaultHeaderTimeout is used if there is no catalog yet or it sets no limit.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout is used like defaultHeaderTimeout. It is longer than any known
	// caller waits before it reuses a connection.
	defaultIdleTimeout = 3 * time.Minute
)

// Evictor applies timeouts and bounds to the connections of an http.Server. It is safe for
// concurrent use.
type Evictor struct {
	catalog *holder.Holder
	// accounts is nil without bounds.
	accounts *accountant.Accountant
	refusal  http.HandlerFunc
	// noLimit is the header timeout if there is no catalog yet or it sets no limit.
	noLimit time.Duration
	causes  counters
}

// Option configures an Evictor.
type Option func(*Evictor)

// WithAccounts sets the bounds of the connections.
func WithAccounts(a *accountant.Accountant) Option { return func(e *Evictor) { e.accounts = a } }

// WithRefusal sets what answers a request for which there is no room. By default the status
// is 503. The connection is closed in any case.
func WithRefusal(h http.HandlerFunc) Option { return func(e *Evictor) { e.refusal = h } }

// WithHeaderTimeout sets the header timeout that is used if the catalog sets none, 5 s by default.
func WithHeaderTimeout(d time.Duration) Option { return func(e *Evictor) { e.noLimit = d } }

// New returns an Evictor that uses the limits of the catalog.
func New(catalog *holder.Holder, opts ...Option) *Evictor {
	e := &Evictor{catalog: catalog, noLimit: defaultHeaderTimeout, refusal: func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "too many requests", http.StatusServiceUnavailable)
	}}
	for _, f := range opts {
		f(e)
	}
	return e
}

// listener wraps accepted connections.
type listener struct {
	net.Listener
	*Evictor
}

// Accept implements net.Listener. Connections for which there is no room are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if cc := l.newConn(c); cc != nil {
			return cc, nil
		}
		l.causes.count(causeNoRoom, c.RemoteAddr(), l.catalog.GetVersion())
		_ = c.Close()
	}
}

// newConn returns nil if there is no room for the connection.
func (e *Evictor) newConn(c net.Conn) *conn {
	cc := &conn{Conn: c, Evictor: e}
	if e.accounts != nil {
		if cc.account = e.accounts.Open(cc, time.Now()); cc.account == nil {
			return nil
		}
	}
	// A caller may connect some time before its first request.
	cc.awaitHead()
	return cc
}

type connKey struct{}

// Watch hooks into a server's handler and connection states. The server must serve on
// the returned listener.
func (e *Evictor) Watch(s *http.Server, ln net.Listener) net.Listener {
	nextContext := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if nextContext != nil {
			ctx = nextContext(ctx, c)
		}
		if cc, ok := c.(*conn); ok && cc.account != nil {
			ctx = accountant.NewContext(ctx, cc.account)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	next := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if cc, ok := c.(*conn); ok && state == http.StateIdle {
			cc.account.End(time.Now())
			cc.awaitHead()
		}
		if next != nil {
			next(c, state)
		}
	}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && !c.begin(r) {
			e.causes.count(causeNoRoom, c.RemoteAddr(), e.catalog.GetVersion())
			w.Header().Set("Connection", "close")
			e.refusal(w, r)
			return
		}
		handler.ServeHTTP(w, r)
	})
	return &listener{Listener: ln, Evictor: e}
}

func (e *Evictor) headerTimeout() time.Duration {
	if c := e.catalog.Get(); c != nil && c.Limits.HeaderTimeout > 0 {
		return c.Limits.HeaderTimeout
	}
	return e.noLimit
}

func (e *Evictor) idleTimeout() time.Duration {
	if c := e.catalog.Get(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}
