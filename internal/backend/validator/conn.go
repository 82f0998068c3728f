package validator

import (
	"fmt"
	"net"
	"sync"
)

// Conn is a connection whose reader checks the heads of answers that it passes on. It may be
// read while its other methods are called.
type Conn struct {
	net.Conn
	mu   sync.Mutex
	head Head
	// err is set once a byte was malformed, or by Reject. No byte is read after that:
	// bufio.Reader.ReadLine returns the bytes before an error as a line, and drops the error.
	err error
	// failed is whether the last read has returned an error.
	failed bool
	// begun is whether a byte has been read since the head is expected.
	begun bool
}

// NewConn returns a Conn that does not yet expect a head.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// ExpectHead makes the next byte the first one of a head, of which some bytes may have been
// read before. It is called for each request, before its answer is parsed. It returns an error
// that wraps ErrMalformed if one of the bytes is malformed.
func (c *Conn) ExpectHead(read []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.head.Expect()
		_, c.err = c.head.Check(read)
	}
	c.failed, c.begun = c.err != nil, len(read) > 0
	return c.err
}

// HasBegun reports whether a byte has been read since the head is expected. If not, what a
// reader with a buffer has of an answer came before its request.
func (c *Conn) HasBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

// Read implements io.Reader. It returns an error that wraps ErrMalformed after the last byte
// before a malformed one.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.GetFault(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = c.begun || n > 0
	if c.err != nil {
		// The connection was rejected meanwhile.
		return 0, c.err
	}
	n, c.err = c.head.Check(p[:n])
	if c.err != nil {
		err = c.err
	}
	c.failed = err != nil
	return n, err
}

// Reject closes the connection. Reads return err from then on.
func (c *Conn) Reject(err error) error {
	c.mu.Lock()
	c.err = err
	c.mu.Unlock()
	return c.Close()
}

// GetFault returns the error of the malformed byte, or with which the connection was rejected,
// nil if there is none.
func (c *Conn) GetFault() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Explain returns why an answer can't be parsed, given the error of its parser. The error wraps
// ErrMalformed if a byte was malformed, or if the parser refused what it could read.
func (c *Conn) Explain(parsing error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.err != nil:
		return c.err
	case !c.failed:
		return fmt.Errorf("%w: %w", ErrMalformed, parsing)
	}
	return parsing
}
