package connector

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hashicorp/yamux"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/wire/encoder"
)

// acceptBackoff is the pause after a connection could not be accepted.
const acceptBackoff = 50 * time.Millisecond

// Handler serves one stream whose first frame is open. The stream is closed when
// Handler returns.
type Handler func(ctx context.Context, peer *encoder.Hello, open *encoder.Open, s *Stream)

// Acceptor accepts sessions of peers.
type Acceptor struct {
	own     *encoder.Hello
	handler Handler
	wg      sync.WaitGroup
	mu      sync.Mutex
	// connecting holds the connections before the end of their handshake, the oldest first.
	connecting []net.Conn
	// sessions counts the connections after it.
	sessions int
	// maxConnecting and maxSessions are 0 without bounds.
	maxConnecting, maxSessions int
}

// AcceptorOption configures an Acceptor.
type AcceptorOption func(*Acceptor)

// WithMaxSessions bounds the connections before and after the handshake.
func WithMaxSessions(connecting, sessions int) AcceptorOption {
	return func(a *Acceptor) { a.maxConnecting, a.maxSessions = connecting, sessions }
}

// NewAcceptor returns an Acceptor that sends own in its handshakes.
func NewAcceptor(own *encoder.Hello, handler Handler, opts ...AcceptorOption) *Acceptor {
	a := &Acceptor{own: own, handler: handler}
	for _, f := range opts {
		f(a)
	}
	return a
}

// startHandshake adds a connection. At the bound it closes the oldest, since the handshake of
// an instance takes one round trip.
func (a *Acceptor) startHandshake(conn net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.connecting = append(a.connecting, conn)
	if a.maxConnecting > 0 && len(a.connecting) > a.maxConnecting {
		_ = a.connecting[0].Close()
		a.connecting = slices.Delete(a.connecting, 0, 1)
	}
}

// endHandshake removes a connection. It reports whether there is room for a session with the
// peer, which must then be ended.
func (a *Acceptor) endHandshake(conn net.Conn, succeeded bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i := slices.Index(a.connecting, conn); i >= 0 {
		a.connecting = slices.Delete(a.connecting, i, i+1)
	}
	if !succeeded || a.maxSessions > 0 && a.sessions >= a.maxSessions {
		return false
	}
	a.sessions++
	return true
}

func (a *Acceptor) endSession() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sessions--
}

// Serve accepts sessions on ln until ctx ends, then closes them all and waits
// for the handlers. It returns an error if ln was closed before.
func (a *Acceptor) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	defer a.wg.Wait()
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return wrapper.At("accept", ln.Addr().String(), err)
		}
		if err != nil {
			// Such as too many open files, until some are closed.
			log.Warn("failed to accept a connection", "step", "accept", "listener", ln.Addr(), "error", err)
			sleeper.Sleep(ctx, acceptBackoff)
			continue
		}
		a.startHandshake(conn)
		a.wg.Go(func() { a.serveConn(ctx, conn) })
	}
}

func (a *Acceptor) serveConn(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = conn.Close() }()
	peer, err := handshake(conn, a.own, false, handshakeTimeout)
	if !a.endHandshake(conn, err == nil) {
		log.Warn("handshake failed", "step", "handshake", "peer", conn.RemoteAddr(), "error", err)
		return
	}
	defer a.endSession()
	session, err := yamux.Server(newCoalescer(conn), newConfig())
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	for {
		st, err := session.AcceptStream()
		if err != nil {
			return
		}
		a.wg.Go(func() { a.serveStream(ctx, peer, st) })
	}
}

func (a *Acceptor) serveStream(ctx context.Context, peer *encoder.Hello, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	s := newStream(conn, peer.GetInstance())
	open := &encoder.Open{}
	if err := s.Receive(open); err != nil {
		if !errors.Is(err, net.ErrClosed) {
			log.Warn("failed to read first frame", "error", err)
		}
		return
	}
	a.handler(ctx, peer, open, s)
}
