package connector

import (
	"net"
	"sync"
	"time"
)

// Bounds of a coalescer.
const (
	// maxPending is the number of bytes beyond which writers wait.
	maxPending = 256 << 10
	// closeFlush is how long Close waits for pending bytes.
	closeFlush = time.Second
)

// coalescer joins writes that come while an earlier one is under way, so that
// many small frames cost one system call. It counts the bytes of the session.
type coalescer struct {
	net.Conn
	mu sync.Mutex
	// cond tells of every change below.
	cond *sync.Cond
	// pending is written next; writing says that a write is under way.
	pending []byte
	writing bool
	closed  bool
	// err is the first error of a write; it is kept.
	err error
}

func newCoalescer(conn net.Conn) *coalescer {
	c := &coalescer{Conn: conn}
	c.cond = sync.NewCond(&c.mu)
	go c.flush()
	return c
}

// Read implements net.Conn.
func (c *coalescer) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn. It returns before the bytes are sent; an error of
// sending is returned by a later call.
func (c *coalescer) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > maxPending && c.err == nil && !c.closed {
		c.cond.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	c.pending = append(c.pending, p...)
	c.cond.Broadcast()
	return len(p), nil
}

// flush writes what is pending until the connection is closed.
func (c *coalescer) flush() {
	var spare []byte
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		for len(c.pending) == 0 && !c.closed {
			c.cond.Wait()
		}
		if len(c.pending) == 0 || c.err != nil {
			return
		}
		batch := c.pending
		c.pending, c.writing = spare[:0], true
		c.mu.Unlock()
		n, err := c.Conn.Write(batch)
		sent.Add(uint64(n))
		c.mu.Lock()
		c.writing = false
		if err != nil {
			c.err = err
		}
		spare = batch
		c.cond.Broadcast()
	}
}

// Close sends what is pending, for a while, and closes the connection.
func (c *coalescer) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		_ = c.SetWriteDeadline(time.Now().Add(closeFlush))
		c.cond.Broadcast()
	}
	for (len(c.pending) > 0 || c.writing) && c.err == nil {
		c.cond.Wait()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}
