// Package dialer pools connections to backend servers. It keeps to each server's
// connection limit and does not reuse a connection that the server has closed or sent
// unexpected bytes on.
package dialer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"siskinfall/internal/backend/limiter"
	"siskinfall/internal/backend/validator"
	"siskinfall/internal/fault/wrapper"
)

// ErrLimit says that the number of connections to a server has reached its limit.
var ErrLimit = errors.New("connection limit of the backend server reached")

// Timeouts and sizes of connections.
const (
	// dialTimeout bounds the wait for a new connection. A server is a few ms away; TCP
	// sends a lost SYN again only after a second, and trying another server is faster.
	dialTimeout = 250 * time.Millisecond
	// defaultIdleTimeout is assumed for a server that reports no idle timeout.
	defaultIdleTimeout = 15 * time.Second
	// maxIdleFraction is the fraction of the idle timeout for which an idle connection is
	// reused: the server must not close it while a request is in transit.
	maxIdleFraction = 0.6
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an unresponsive connection
	// within about two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// readBufferSize is in bytes; it holds an answer's head or a few events.
	readBufferSize = 2 << 10
)

var (
	dialCount   = metrics.NewCounter("siskinfall_backend_dials_total")
	unreadCount = metrics.NewCounter("siskinfall_backend_unread_bytes_total")
)

// Key identifies the server of a connection. A server that takes over the address of
// another has a different key.
type Key struct {
	ID   string
	Addr netip.AddrPort
}

// Conn is a connection to a backend server, used for one request at a time.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// readLimit is the source of Reader; it is unlimited except within ReadAnswer.
	readLimit io.LimitedReader
	// validated is the source of readLimit, over the embedded Conn.
	validated *validator.Conn
	// Reused is whether the connection has carried a request before.
	Reused bool
	key    Key
	pool   *Pool
	// idleSince is when the connection was last returned to the pool.
	idleSince time.Time
	// idleTimeout is how long the server keeps the connection open while it is idle.
	idleTimeout time.Duration
	closeOnce   sync.Once
}

// SetKeepAlive sets the idle timeout that the server reported, 0 if it reported none.
func (c *Conn) SetKeepAlive(d time.Duration) {
	if d > 0 {
		c.idleTimeout = d
	}
}

// Close closes the connection. It may be called more than once.
func (c *Conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.pool.release(c.key)
	})
	return err
}

// Abort closes the connection with a reset, so that the server drops the request
// at once instead of when it next writes.
func (c *Conn) Abort() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// If this fails because the connection is broken, Close reports it.
		_ = tcp.SetLinger(0)
	}
	return c.Close()
}

func newConn(conn net.Conn, key Key, pool *Pool) *Conn {
	c := &Conn{Conn: conn, validated: validator.NewConn(conn), key: key, pool: pool, idleTimeout: defaultIdleTimeout}
	c.readLimit = io.LimitedReader{R: c.validated, N: math.MaxInt64}
	c.Reader = bufio.NewReaderSize(&c.readLimit, readBufferSize)
	return c
}

// ServerID returns the ID of the server.
func (c *Conn) ServerID() string { return c.key.ID }

// ReadAnswer reads the head of an answer to req. It returns limiter.ErrTooLarge if the
// head exceeds limiter.MaxHeadBytes, and an error that wraps validator.ErrMalformed if it is
// malformed. The connection can't be used after an error.
func (c *Conn) ReadAnswer(req *http.Request) (*http.Response, error) {
	c.readLimit.N = limiter.MaxHeadBytes - int64(c.Reader.Buffered())
	// Peek can't fail for bytes that are buffered.
	buffered, _ := c.Reader.Peek(c.Reader.Buffered())
	if err := c.validated.ExpectHead(buffered); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.Reader, req)
	switch {
	case err == nil:
		c.readLimit.N = math.MaxInt64
		return resp, nil
	case c.readLimit.N <= 0:
		return nil, limiter.ErrTooLarge
	}
	return nil, c.validated.Explain(err)
}

// Pool holds connections to all servers. It is safe for concurrent use.
type Pool struct {
	mu sync.Mutex
	// idle holds idle connections by server, the most recently used last.
	idle map[Key][]*Conn
	// open counts connections by server, idle ones included.
	open map[Key]int
	// unidentified holds the servers in use that have sent a rejection without a request ID.
	unidentified map[Key]bool
	connect      Connect
}

// Connect opens a connection to a server.
type Connect func(ctx context.Context, key Key) (net.Conn, error)

// Option configures a Pool.
type Option func(*Pool)

// WithConnect replaces TCP.
func WithConnect(connect Connect) Option { return func(p *Pool) { p.connect = connect } }

// NewPool returns an empty Pool.
func NewPool(opts ...Option) *Pool {
	p := &Pool{idle: make(map[Key][]*Conn), open: make(map[Key]int), unidentified: make(map[Key]bool), connect: connectTCP}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

func connectTCP(ctx context.Context, key Key) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return d.DialContext(ctx, "tcp", key.Addr.String())
}

// MarkUnidentified records that the server has sent a rejection without a request ID. On a
// connection that was used before, such a rejection can be one of another request.
func (p *Pool) MarkUnidentified(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unidentified[c.key] = true
}

// GetTrusted is like Get, but the connection is new if the server sends rejections without
// a request ID, so that the first answer can't be one of another request.
func (p *Pool) GetTrusted(ctx context.Context, key Key, limit int) (*Conn, error) {
	if !p.makeRoomForNew(key, limit) {
		return p.Get(ctx, key, limit)
	}
	return p.dial(ctx, key)
}

// makeRoomForNew counts a new connection to a server that sends rejections without a request
// ID. It closes an idle one where the limit asks for it. It reports false for other servers,
// and if the limit is reached.
func (p *Pool) makeRoomForNew(key Key, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.unidentified[key] {
		return false
	}
	if list := p.idle[key]; p.open[key] >= limit && len(list) > 0 {
		p.idle[key] = list[1:]
		// Close locks p.mu, which is held here.
		go func() { _ = list[0].Close() }()
	} else if p.open[key] >= limit {
		return false
	}
	p.open[key]++
	return true
}

// Get returns an idle connection or opens a new one. It returns ErrLimit if limit
// connections to the server are open and none can be reused.
func (p *Pool) Get(ctx context.Context, key Key, limit int) (*Conn, error) {
	for {
		c, ok, err := p.reserve(key, limit, time.Now())
		if err != nil {
			return nil, wrapper.At("connect_backend", key.ID, err)
		}
		if !ok {
			break
		}
		if c.isReusable() {
			c.Reused = true
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, key)
}

// dial opens a connection that was counted.
func (p *Pool) dial(ctx context.Context, key Key) (*Conn, error) {
	dialCount.Inc()
	conn, err := p.connect(ctx, key)
	if err != nil {
		p.release(key)
		return nil, wrapper.At("connect_backend", key.ID, err)
	}
	return newConn(conn, key, p), nil
}

// reserve returns an idle connection. Without one, it counts a new connection against
// limit and reports false.
func (p *Pool) reserve(key Key, limit int, now time.Time) (*Conn, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for list := p.idle[key]; len(list) > 0; list = p.idle[key] {
		c := list[len(list)-1]
		p.idle[key] = list[:len(list)-1]
		if now.Sub(c.idleSince) < time.Duration(float64(c.idleTimeout)*maxIdleFraction) {
			return c, true, nil
		}
		// Close locks p.mu, which is held here.
		go func() { _ = c.Close() }()
	}
	if p.open[key] >= limit {
		return nil, false, ErrLimit
	}
	p.open[key]++
	return nil, false, nil
}

// Put returns a connection to the pool after its answer was read in full. It closes one
// with unread bytes.
func (p *Pool) Put(c *Conn) {
	if c.Reader.Buffered() > 0 {
		c.reportUnreadBytes()
		_ = c.Close()
		return
	}
	// With an expired deadline, the check for reuse would fail.
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.key] = append(p.idle[c.key], c)
}

func (p *Pool) release(key Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[key]--
	if p.open[key] <= 0 {
		delete(p.open, key)
	}
}

// Prune closes the idle connections to servers that are no longer in use, and those that
// have been idle for too long or can't be reused.
func (p *Pool) Prune(inUse func(Key) bool, now time.Time) {
	var closing []*Conn
	p.mu.Lock()
	maps.DeleteFunc(p.unidentified, func(key Key, _ bool) bool { return !inUse(key) })
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if inUse(key) && now.Sub(c.idleSince) < time.Duration(float64(c.idleTimeout)*maxIdleFraction) && c.isReusable() {
				kept = append(kept, c)
				continue
			}
			closing = append(closing, c)
		}
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// isReusable reports whether the server has neither closed an idle connection nor sent
// unexpected bytes on it.
func (c *Conn) isReusable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	unread, reusable := 0, false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread, reusable = n, errors.Is(err, syscall.EAGAIN)
		return true
	})
	if unread > 0 {
		c.reportUnreadBytes()
	}
	return err == nil && reusable
}

// reportUnreadBytes logs and counts a connection that is closed because the server has
// sent bytes after a complete answer.
func (c *Conn) reportUnreadBytes() {
	unreadCount.Inc()
	log.Warn("server sent bytes after its answer", "event", "unread_bytes", "server", c.key.ID, "address", c.key.Addr)
}
