package dialer

import (
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/backend/limiter"
)

// endlessConn repeats a text and counts the bytes that were read of it.
type endlessConn struct {
	net.Conn
	text string
	n    int
}

func (c *endlessConn) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = c.text[(c.n+i)%len(c.text)]
	}
	c.n += len(p)
	return len(p), nil
}

// TestHeadWithoutEndIsReadInFull guards against reading a head beyond its bound, also if a
// part of it is in the buffer already.
func TestHeadWithoutEndIsReadInFull(t *testing.T) {
	for _, peeked := range []int{0, 1, readBufferSize} {
		c := qt.New(t)
		conn := &endlessConn{text: "HTTP/1.1 200 OK " + strings.Repeat("a", 100)}
		cn := newConn(conn, Key{ID: "i-1"}, NewPool())
		_, err := cn.Reader.Peek(peeked)
		c.Assert(err, qt.IsNil)
		_, err = cn.ReadAnswer(&http.Request{Method: http.MethodGet})
		c.Assert(err, qt.Equals, limiter.ErrTooLarge)
		c.Assert(conn.n, qt.Equals, limiter.MaxHeadBytes)
	}
}
