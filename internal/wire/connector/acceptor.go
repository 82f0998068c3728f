package connector

import (
	"context"
	"errors"
	"net"
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
}

// NewAcceptor returns an Acceptor that sends own in its handshakes.
func NewAcceptor(own *encoder.Hello, handler Handler) *Acceptor {
	return &Acceptor{own: own, handler: handler}
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
		a.wg.Go(func() { a.serveConn(ctx, conn) })
	}
}

func (a *Acceptor) serveConn(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = conn.Close() }()
	peer, err := handshake(conn, a.own, false, handshakeTimeout)
	if err != nil {
		log.Warn("handshake failed", "step", "handshake", "peer", conn.RemoteAddr(), "error", err)
		return
	}
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
