package connector

import (
	"net"
	"sync"
	"time"
)

// Bounds of a coalescer.
const (
	// maxPendingBytes is the number of pending bytes above which writers wait.
	maxPendingBytes = 256 << 10
	// closeFlushTimeout bounds the write of pending bytes in Close.
	closeFlushTimeout = time.Second
)

// coalescer combines the writes that arrive while an earlier one is in progress, so
// that many small frames cost one system call. It counts the bytes of the session.
type coalescer struct {
	net.Conn
	mu sync.Mutex
	// cond is signaled on every change of the fields below.
	cond *sync.Cond
	// pending is written next. writing is true while a write is in progress.
	pending []byte
	writing bool
	closed  bool
	// err is the first write error. It is never cleared.
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
	receivedBytes.Add(uint64(n))
	return n, err
}

// Write implements net.Conn. It returns before the bytes are sent; a later call
// returns the error if that fails.
func (c *coalescer) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > maxPendingBytes && c.err == nil && !c.closed {
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

// flush writes pending bytes until the connection is closed or a write fails.
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
		sentBytes.Add(uint64(n))
		c.mu.Lock()
		c.writing = false
		if err != nil {
			c.err = err
		}
		spare = batch
		c.cond.Broadcast()
	}
}

// Close writes the pending bytes, for at most closeFlushTimeout, and closes the
// connection.
func (c *coalescer) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		_ = c.SetWriteDeadline(time.Now().Add(closeFlushTimeout))
		c.cond.Broadcast()
	}
	for (len(c.pending) > 0 || c.writing) && c.err == nil {
		c.cond.Wait()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}
