package evictor

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/process/accountant"
)

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

const (
	// writeTimeout bounds how long a part of an answer waits for the caller, and at least half of
	// it is granted to each part.
	writeTimeout = 30 * time.Second
	// lingerTime is how long a connection is read on after a refusal, since a caller that is
	// still sending would lose the answer to a reset.
	lingerTime = 500 * time.Millisecond
	// maxLingerBytes bounds what is read meanwhile.
	maxLingerBytes = 256 << 10
)

// conn is a client connection.
type conn struct {
	net.Conn
	*Evictor
	// account is nil without bounds.
	account *accountant.Account
	mu      sync.Mutex
	phase   phase
	// timer closes the connection at the timeout of the phase; it is stopped while
	// serving.
	timer *time.Timer
	// headMu orders what is read and the beginning of a request, during which net/http reads
	// ahead. It is locked before mu. mu must not be held while the account is charged, since
	// that may evict other connections; headMu may, since evictions don't lock it.
	headMu sync.Mutex
	// head is what has been read of the next head, and charged for it. It is not used while a
	// request is in progress. headMu guards it.
	head head
	// writeBy is the write deadline of the connection.
	writeBy time.Time
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.addToHead(p[:n]) {
		c.refuseHead(p)
		return 0, io.EOF
	}
	return n, err
}

// addToHead charges what was read if it belongs to a head. It reports false if there is no
// room for it.
func (c *conn) addToHead(p []byte) bool {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.mu.Lock()
	was := c.phase
	if was == idle {
		c.startPhase(readingHead)
	}
	c.mu.Unlock()
	if was == serving || c.account == nil {
		return true
	}
	now := time.Now()
	if was == idle {
		c.account.Enter(accountant.Unfinished, now)
	}
	c.head.add(p)
	return c.head.charge(c.account, now)
}

const headRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: 28\r\n\r\ntoo many and too long fields"

// refuseHead answers a head that is not read to its end, and lets the answer arrive. No answer
// to an earlier request is in progress while a head is read.
func (c *conn) refuseHead(buf []byte) {
	c.causes.count(causeHead, c.RemoteAddr(), c.catalog.GetVersion())
	deadline := time.Now().Add(lingerTime)
	if c.SetDeadline(deadline) != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, headRefusal); err != nil || c.CloseWrite() != nil {
		return
	}
	for n := 0; n < maxLingerBytes; {
		m, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		n += m
	}
}

// begin starts a request. It reports false if there is no room for it.
func (c *conn) begin(r *http.Request) bool {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.setPhase(serving)
	if c.account == nil {
		return true
	}
	now := time.Now()
	if !c.account.Begin(now) {
		return false
	}
	// Of heads that were sent ahead, a part may have been read with an earlier request.
	c.head.set(r)
	return c.head.charge(c.account, now)
}

// Write implements net.Conn. A part of an answer that the caller does not take in time ends
// the connection.
func (c *conn) Write(p []byte) (int, error) {
	now := time.Now()
	if c.writeBy.Sub(now) < writeTimeout/2 {
		c.writeBy = now.Add(writeTimeout)
		if err := c.SetWriteDeadline(c.writeBy); err != nil {
			return 0, err
		}
	}
	if c.account == nil {
		return c.Conn.Write(p)
	}
	stage := c.account.GetStage()
	c.account.Enter(accountant.Writing, now)
	n, err := c.Conn.Write(p)
	c.account.Enter(stage, time.Now())
	if isTimeout(err) {
		c.causes.count(causeAnswer, c.RemoteAddr(), c.catalog.GetVersion())
	}
	return n, err
}

// CloseWrite tells the caller that nothing follows. net/http calls it before it closes a
// connection on which the caller may still be sending. The request needs its memory no more.
func (c *conn) CloseWrite() error {
	c.account.End(time.Now())
	c.account.Enter(accountant.Closing, time.Now())
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.setPhase(serving)
	c.account.Close()
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

// awaitHead makes the connection idle.
func (c *conn) awaitHead() {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head = head{}
	c.setPhase(idle)
}

// setPhase starts a phase and its timeout.
func (c *conn) setPhase(next phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startPhase(next)
}

// startPhase is setPhase for a caller that holds mu.
func (c *conn) startPhase(next phase) {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.phase = next
	switch next {
	case idle:
		c.timer = time.AfterFunc(c.idleTimeout(), func() { c.evict(causeIdle) })
	case readingHead:
		c.timer = time.AfterFunc(c.headerTimeout(), func() { c.evict(causeSlowHead) })
	case serving:
	}
}

// Evict implements accountant.Owner. A request whose body is being read is answered; all else
// is closed.
func (c *conn) Evict() {
	c.mu.Lock()
	readsBody := c.phase == serving && c.account.GetStage() == accountant.Unfinished
	c.mu.Unlock()
	if !readsBody {
		c.evict(causeGaveWay)
		return
	}
	c.causes.count(causeGaveWay, c.RemoteAddr(), c.catalog.GetVersion())
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		log.Info("ending the wait for a request body failed", "event", "evicted", "caller", c.RemoteAddr(), "error", err)
	}
}

func (c *conn) evict(why cause) {
	c.causes.count(why, c.RemoteAddr(), c.catalog.GetVersion())
	c.account.Close()
	if err := c.Conn.Close(); err != nil {
		log.Info("closing the client connection failed", "event", "evicted", "caller", c.RemoteAddr(), "error", err)
	}
}
