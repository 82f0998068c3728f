// Package connector keeps one yamux session to each peer and opens streams of
// protobuf messages on it.
package connector

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/wire/encoder"
)

// Timeouts of a session.
const (
	handshakeTimeout = 3 * time.Second
	// minHandshakeTimeout is that of a dialer whose caller waits for less: a peer that is
	// paused accepts connections and does not answer, while one that is short of processor
	// time needs some of it.
	minHandshakeTimeout = 500 * time.Millisecond
	keepAliveInterval   = 10 * time.Second
	writeTimeout        = 5 * time.Second
)

// acceptBacklog is the number of streams that may wait to be accepted.
const acceptBacklog = 512

// maxHelloBytes bounds the first frame, which is read from anyone who connects.
const maxHelloBytes = 4 << 10

// writeBufferSize is the size of a stream's write buffer, in bytes.
const writeBufferSize = 1 << 10

// Stream is one exchange of messages with a peer.
type Stream struct {
	conn   net.Conn
	reader *encoder.Reader
	writer *bufio.Writer
	// peer is the name of the instance at the other end.
	peer string
	// session counts the stream until it is closed. It is nil for accepted streams.
	session *dialedSession
	// isReleased is true once the stream no longer counts.
	isReleased atomic.Bool
}

func newStream(conn net.Conn, peer string) *Stream {
	return &Stream{conn: conn, reader: encoder.NewReader(conn), writer: bufio.NewWriterSize(conn, writeBufferSize), peer: peer}
}

// Peer returns the name of the instance at the other end.
func (s *Stream) Peer() string { return s.peer }

// Close closes the stream in both directions. Further calls have no effect and do not
// wait for the first.
func (s *Stream) Close() error {
	err := s.conn.Close()
	if s.session != nil && s.isReleased.CompareAndSwap(false, true) {
		s.session.release()
	}
	return err
}

// SetReadDeadline bounds the wait for the next message.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

// SetWriteDeadline bounds the time for which writes wait for the peer's flow control.
func (s *Stream) SetWriteDeadline(t time.Time) error { return s.conn.SetWriteDeadline(t) }

// Stats counts the bytes of all sessions of a process.
type Stats struct {
	Sent     uint64
	Received uint64
}

func newConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.AcceptBacklog = acceptBacklog
	cfg.LogOutput = io.Discard
	return cfg
}

// handshake exchanges Hello frames. The dialer sends first. It fails if the peer has
// another protocol version.
func handshake(conn net.Conn, own *encoder.Hello, isDialer bool, timeout time.Duration) (*encoder.Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	peer := &encoder.Hello{}
	steps := []func() error{
		func() error { return encoder.Write(conn, own) },
		func() error { return readHello(conn, peer) },
	}
	if !isDialer {
		steps[0], steps[1] = steps[1], steps[0]
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	if peer.GetVersion() != encoder.Version {
		return nil, fmt.Errorf("protocol version %d, want %d", peer.GetVersion(), encoder.Version)
	}
	return peer, conn.SetDeadline(time.Time{})
}

// dialerTimeout returns the timeout of a handshake for a caller: its own, at least
// minHandshakeTimeout and at most handshakeTimeout.
func dialerTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return handshakeTimeout
	}
	return min(max(time.Until(deadline), minHandshakeTimeout), handshakeTimeout)
}

// readHello reads byte by byte so that nothing after the frame is consumed.
func readHello(conn net.Conn, m *encoder.Hello) error {
	return encoder.NewReader(&oneByteReader{r: conn}).ReadLimited(m, maxHelloBytes)
}

type oneByteReader struct{ r io.Reader }

func (o *oneByteReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	return o.r.Read(p[:1])
}

// Pool dials peers and keeps one session to each.
type Pool struct {
	own  *encoder.Hello
	dial DialFunc
	mu   sync.Mutex
	// links holds at most one entry for each address.
	links  map[netip.AddrPort]*link
	closed bool
}

// link holds the session to one address.
type link struct {
	// lock holds a value while the link is in use, also while the peer is dialed. Callers
	// wait for it no longer than their context allows.
	lock chan struct{}
	// session is nil until a dial succeeds.
	session *dialedSession
	// isRemoved is true once the pool no longer holds the link. It is not dialed then,
	// since nothing would close the session.
	isRemoved bool
}

func newLink() *link { return &link{lock: make(chan struct{}, 1)} }

func (l *link) unlock() { <-l.lock }

// errLinkRemoved says that the caller must get the link from the pool again.
var errLinkRemoved = errors.New("link removed")

// dialedSession is a session that carries only streams opened by this end.
type dialedSession struct {
	*yamux.Session
	hello *encoder.Hello
	mu    sync.Mutex
	// openStreams counts the streams that this end has not closed. yamux also counts
	// those that only the peer has not closed; a peer that never does so must not keep
	// the session open.
	openStreams int
	// lastUsed is when a stream was last opened or closed.
	lastUsed time.Time
}

// acquire counts a stream that is about to be opened. The caller holds the link's lock,
// so that the session is not closed as idle in between.
func (s *dialedSession) acquire() { s.countStream(1) }

// release ends the count of a stream.
func (s *dialedSession) release() { s.countStream(-1) }

func (s *dialedSession) countStream(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openStreams += n
	s.lastUsed = time.Now()
}

func (s *dialedSession) isIdle(minIdle time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openStreams == 0 && time.Since(s.lastUsed) >= minIdle
}

// DialFunc opens a connection to a peer.
type DialFunc func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

// Option configures a Pool.
type Option func(*Pool)

// WithDial sets the function that opens connections, for tests that cut them.
func WithDial(f DialFunc) Option { return func(p *Pool) { p.dial = f } }

// NewPool returns a Pool that sends own in its handshakes.
func NewPool(own *encoder.Hello, opts ...Option) *Pool {
	p := &Pool{own: own, dial: dialTCP, links: make(map[netip.AddrPort]*link)}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: handshakeTimeout}
	return d.DialContext(ctx, "tcp", addr.String())
}

// Open opens a stream to addr and sends its first frame.
func (p *Pool) Open(ctx context.Context, addr netip.AddrPort, open *encoder.Open) (*Stream, error) {
	session, err := p.acquireSession(ctx, addr)
	if err != nil {
		return nil, wrapper.At("dial", addr.String(), err)
	}
	conn, err := session.OpenStream()
	if err != nil {
		session.release()
		p.Drop(addr)
		return nil, wrapper.At("open_stream", session.hello.GetInstance(), err)
	}
	s := newStream(conn, session.hello.GetInstance())
	s.session = session
	if err := s.Send(open); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// Call opens a stream, sends its first frame and reads one message into m.
func (p *Pool) Call(ctx context.Context, addr netip.AddrPort, open *encoder.Open, m Message) error {
	s, err := p.Open(ctx, addr, open)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		_ = s.SetReadDeadline(deadline)
	}
	return s.Receive(m)
}

// Drop closes the session to addr, and with it every stream on it.
func (p *Pool) Drop(addr netip.AddrPort) {
	p.mu.Lock()
	l := p.links[addr]
	delete(p.links, addr)
	p.mu.Unlock()
	if l == nil {
		return
	}
	l.lock <- struct{}{}
	defer l.unlock()
	l.isRemoved = true
	if l.session != nil {
		_ = l.session.Close()
	}
}

// CloseIdle closes the sessions on which this end has had no open stream for minIdle.
// It does not wait for peers to close their side of a stream, so a call that has
// returned keeps no session open; a handler that still runs at the peer is canceled.
func (p *Pool) CloseIdle(minIdle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, l := range p.links {
		if l.closeIdle(minIdle) {
			delete(p.links, addr)
		}
	}
}

// closeIdle closes the session if it is idle, and reports whether the link is to be
// removed. A link without a session is removed unless it is being dialed.
func (l *link) closeIdle(minIdle time.Duration) bool {
	select {
	case l.lock <- struct{}{}:
	default:
		return false
	}
	defer l.unlock()
	if l.session == nil {
		l.isRemoved = true
		return true
	}
	if !l.session.isIdle(minIdle) {
		return false
	}
	l.isRemoved = true
	_ = l.session.Close()
	return true
}

// Close closes all sessions.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	addrs := make([]netip.AddrPort, 0, len(p.links))
	for addr := range p.links {
		addrs = append(addrs, addr)
	}
	p.mu.Unlock()
	for _, addr := range addrs {
		p.Drop(addr)
	}
}

func (p *Pool) getLink(addr netip.AddrPort) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, net.ErrClosed
	}
	l := p.links[addr]
	if l == nil {
		l = newLink()
		p.links[addr] = l
	}
	return l, nil
}

// acquireSession returns the session to addr, dialed if needed, and counts a stream
// on it.
func (p *Pool) acquireSession(ctx context.Context, addr netip.AddrPort) (*dialedSession, error) {
	for {
		l, err := p.getLink(addr)
		if err != nil {
			return nil, err
		}
		session, err := l.acquireSession(ctx, func() (*dialedSession, error) { return p.connect(ctx, addr) })
		if !errors.Is(err, errLinkRemoved) {
			return session, err
		}
	}
}

func (l *link) acquireSession(ctx context.Context, connect func() (*dialedSession, error)) (*dialedSession, error) {
	select {
	case l.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer l.unlock()
	if l.isRemoved {
		return nil, errLinkRemoved
	}
	if l.session == nil || l.session.IsClosed() {
		session, err := connect()
		if err != nil {
			return nil, err
		}
		l.session = session
	}
	l.session.acquire()
	return l.session, nil
}

func (p *Pool) connect(ctx context.Context, addr netip.AddrPort) (*dialedSession, error) {
	conn, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	hello, err := handshake(conn, p.own, true, dialerTimeout(ctx))
	if err != nil {
		_ = conn.Close()
		return nil, wrapper.At("handshake", addr.String(), err)
	}
	session, err := yamux.Client(newCoalescer(conn), newConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &dialedSession{Session: session, hello: hello}, nil
}
