package driver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/backend/limiter"
	"siskinfall/internal/standin/flooder"
)

// listen serves a flood, or an answer, on a new port.
func listen(c *qt.C, f *flooder.Flood) netip.AddrPort {
	c.Helper()
	ln, addr, err := f.Listen()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	return addr
}

// answer serves one answer on a new port.
func answer(c *qt.C, text string) netip.AddrPort {
	c.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

func assertBounded(c *qt.C, f *flooder.Flood, err error) {
	c.Helper()
	c.Check(err, qt.ErrorIs, limiter.ErrTooLarge)
	res := f.Wait()
	c.Assert(res.Closed, qt.IsTrue, qt.Commentf("%d bytes written", res.Written))
}

const (
	okHead  = "HTTP/1.1 200 OK\r\n\r\n"
	newline = "\r\n"
)

// TestHeadWithoutEndIsReadInFull guards against reading a head until its server stops.
func TestHeadWithoutEndIsReadInFull(t *testing.T) {
	for name, parts := range map[string][2]string{
		"status line":  {"HTTP/1.1 200 ", "OK"},
		"header lines": {"HTTP/1.1 200 OK" + newline, "X-More: a" + newline},
		"interim":      {"", "HTTP/1.1 103 X" + newline + newline},
	} {
		for _, idempotent := range []bool{false, true} {
			t.Run(fmt.Sprint(name, "/", idempotent), func(t *testing.T) {
				c := qt.New(t)
				f := flooder.New(parts[0], parts[1], limiter.MaxHeadBytes)
				_, err := NewDriver(listen(c, f)).Do(c.Context(), &Call{AttemptID: "a.1", Method: "POST", Path: "/x", Idempotent: idempotent})
				c.Assert(IsErrNotSent(err), qt.IsFalse)
				assertBounded(c, f, err)
			})
		}
	}
}

// TestHeadOfMaximumSizeFails guards against a bound that cuts off a proper head.
func TestHeadOfMaximumSizeFails(t *testing.T) {
	c := qt.New(t)
	head := "HTTP/1.1 200 OK" + newline + "Content-Length: 4" + newline + "X-Long: "
	pad := strings.Repeat("a", limiter.MaxHeadBytes-len(head)-2*len(newline))
	a, err := NewDriver(answer(c, head+pad+newline+newline+"body")).Do(c.Context(), &Call{AttemptID: "a.1", Method: "POST", Path: "/x"})
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(a.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.Equals, "body")
	c.Assert(a.Body.Close(), qt.IsNil)
}

// TestBodyWithoutEndIsReadInFull guards against reading an answer until its server stops.
func TestBodyWithoutEndIsReadInFull(t *testing.T) {
	c := qt.New(t)
	f := flooder.New(okHead, "a", limiter.MaxAnswerBytes)
	a, err := NewDriver(listen(c, f)).Do(c.Context(), &Call{AttemptID: "a.1", Method: "POST", Path: "/x"})
	c.Assert(err, qt.IsNil)
	n, err := io.Copy(io.Discard, a.Body)
	c.Check(n, qt.Equals, int64(limiter.MaxAnswerBytes))
	c.Assert(a.Body.Close(), qt.IsNil)
	assertBounded(c, f, err)
}

// TestHealthWithoutEndIsReadInFull guards against collecting the reply to a health check in
// memory until its timeout.
func TestHealthWithoutEndIsReadInFull(t *testing.T) {
	for name, begin := range map[string]string{"string": okHead + `{"boot":"`, "blanks": okHead} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := flooder.New(begin, " ", maxHealthBytes)
			_, err := NewDriver(listen(c, f)).GetHealth(c.Context())
			assertBounded(c, f, err)
		})
	}
}

// TestHealthOfMaximumSizeFails guards against a bound that cuts off a proper health reply.
func TestHealthOfMaximumSizeFails(t *testing.T) {
	c := qt.New(t)
	text := `{"boot":"b"`
	addr := answer(c, okHead+text+strings.Repeat(" ", maxHealthBytes-len(text)-1)+"}")
	h, err := NewDriver(addr).GetHealth(c.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(h.Boot, qt.Equals, "b")
}

// TestEngineReplyWithoutEndIsReadInFull guards against collecting an engine's reply in
// memory until its timeout, which Stage doesn't have.
func TestEngineReplyWithoutEndIsReadInFull(t *testing.T) {
	c := qt.New(t)
	f := flooder.New(okHead, " ", maxEngineReplyBytes)
	_, err := NewGroupDriver(listen(c, f)).GetMemory(c.Context(), 1)
	assertBounded(c, f, err)
}

// TestEngineReplyOfMaximumSizeFails guards against a bound that cuts off a proper reply.
func TestEngineReplyOfMaximumSizeFails(t *testing.T) {
	c := qt.New(t)
	text := `{"step":7,"version":3`
	addr := answer(c, okHead+text+strings.Repeat(" ", maxEngineReplyBytes-len(text)-1)+"}")
	m, err := NewGroupDriver(addr).GetMemory(c.Context(), 1)
	c.Assert(err, qt.IsNil)
	c.Assert(m.Step, qt.Equals, uint64(7))
}
