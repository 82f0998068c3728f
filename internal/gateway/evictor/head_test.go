package evictor

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/process/accountant"
)

// newBoundedServer starts a server that reads all bodies.
func newBoundedServer(t testing.TB, b accountant.Bounds) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	s.Listener = New(holder.New(), WithAccounts(accountant.New(b))).Watch(s.Config, s.Listener)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// TestRefusalOfHeadReachesCallerThatStillSends guards against a reset that destroys the answer.
func TestRefusalOfHeadReachesCallerThatStillSends(t *testing.T) {
	c := qt.New(t)
	s := newBoundedServer(t, accountant.Bounds{Memory: 256 << 10, Descriptors: 10})
	conn := dial(c, s)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a: \r\n", 5000))
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	_, err = io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
}

// TestRequestBeyondDescriptorsIsRefused guards against taking more requests than there are
// descriptors for them and for the connections to backend servers.
func TestRequestBeyondDescriptorsIsRefused(t *testing.T) {
	c := qt.New(t)
	s := newBoundedServer(t, accountant.Bounds{Memory: 64 << 20, Descriptors: 3})
	first := dial(c, s)
	_, err := io.WriteString(first, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 10\r\n\r\n")
	c.Assert(err, qt.IsNil)
	// The handler is at work once it asks for the body.
	resp, err := http.ReadResponse(bufio.NewReader(first), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusContinue)
	second := dial(c, s)
	_, err = fmt.Fprint(second, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	resp, err = http.ReadResponse(bufio.NewReader(second), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(resp.Close, qt.IsTrue)
	_ = resp.Body.Close()
}

// TestHeadIsMeasuredInAnyPieces guards against counting a body as fields of the head, however
// the bytes arrive.
func TestHeadIsMeasuredInAnyPieces(t *testing.T) {
	c := qt.New(t)
	const text, body = "GET / HTTP/1.1\r\nHost: h\r\na: b\r\n\r\n", "\n\nbody\n\n"
	for cut := range len(text + body) {
		var h head
		h.add([]byte((text + body)[:cut]))
		h.add([]byte((text + body)[cut:]))
		c.Assert([]int64{h.bytes, h.fields}, qt.DeepEquals, []int64{int64(len(text)), 4}, qt.Commentf("cut at %d", cut))
	}
}

// TestBytesSentAheadAreChargedToRequestBefore guards against bytes of the next request that are
// added to the head of a request while it begins, which net/http reads ahead at that time.
func TestBytesSentAheadAreChargedToRequestBefore(t *testing.T) {
	c := qt.New(t)
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	var want head
	want.set(r)
	// Long enough for the request to begin while they are added.
	ahead := bytes.Repeat([]byte("x"), 8<<20)
	for range 20 {
		e := New(holder.New(), WithAccounts(accountant.New(accountant.Bounds{Memory: 1 << 30, Descriptors: 10})))
		near, far := net.Pipe()
		conn := e.newConn(near)
		c.Assert(conn.addToHead([]byte("GET / HTTP/1.1\r\n")), qt.IsTrue)
		begun := false
		var wg sync.WaitGroup
		wg.Go(func() { begun = conn.begin(r) })
		c.Check(conn.addToHead(ahead), qt.IsTrue)
		wg.Wait()
		c.Assert(begun, qt.IsTrue)
		c.Assert(conn.head.bytes, qt.Equals, want.bytes)
		c.Assert(conn.Close(), qt.IsNil)
		c.Assert(far.Close(), qt.IsNil)
	}
}

// FuzzHeadsAndChunkedBodies sends a request's bytes in two parts, then an ordinary request on
// another connection. Nothing that the first caller sends may keep the second from being served.
func FuzzHeadsAndChunkedBodies(f *testing.F) {
	const post = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, text := range []string{
		"", "\r\n\r\n", "GET", "GET / HTTP/1.1\r\n\r\n", post + "0\r\n\r\n", post + "5\r\nhello\r\n0\r\nA: b\r\n\r\n", post + "fffffffffffffffff\r\n",
		post + "5;" + strings.Repeat("x", 5000) + "\r\nhello", post + "-1\r\n", post + strings.Repeat("1\r\nx\r\n", 500),
		"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", 4000) + "\n", "GET / HTTP/1.1\nHost: h\n" + strings.Repeat(" folded\n", 100) + "\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\n", strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 20),
	} {
		f.Add([]byte(text), uint16(len(text)/2))
	}
	s := newBoundedServer(f, accountant.Bounds{Memory: 4 << 20, Descriptors: 64})
	f.Fuzz(func(t *testing.T, text []byte, cut uint16) {
		c := qt.New(t)
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		c.Assert(err, qt.IsNil)
		n := min(int(cut), len(text))
		for _, part := range [][]byte{text[:n], text[n:]} {
			if _, err := conn.Write(part); err != nil {
				break
			}
		}
		c.Assert(conn.Close(), qt.IsNil)
		client := &http.Client{Timeout: time.Minute, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get(s.URL)
		c.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	})
}
