package driver

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/backend/validator"
	"siskinfall/internal/expert/planner"
	"siskinfall/internal/standin/mangler"
)

func serveMalformed(c *qt.C, text string) netip.AddrPort {
	c.Helper()
	ln, addr, err := mangler.Listen(text, make(chan int64, 4))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	return addr
}

// TestMalformedAnswerIsReturned guards against taking bytes that are no HTTP for the backend
// server's answer, or for a sign that it has not got the request.
func TestMalformedAnswerIsReturned(t *testing.T) {
	for fault, text := range mangler.Mangle("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n{\"boot\":\"b\"}") {
		t.Run(fault, func(t *testing.T) {
			for _, idempotent := range []bool{false, true} {
				c := qt.New(t)
				_, err := NewDriver(serveMalformed(c, text)).Do(c.Context(), &Call{AttemptID: "a.1", Method: "POST", Path: "/x", Idempotent: idempotent})
				c.Assert(err, qt.ErrorIs, validator.ErrMalformed, qt.Commentf("idempotent: %v", idempotent))
				c.Assert(IsErrNotSent(err), qt.IsFalse)
			}
			c := qt.New(t)
			_, err := NewDriver(serveMalformed(c, text)).GetHealth(c.Context())
			c.Assert(err, qt.ErrorIs, validator.ErrMalformed)
		})
	}
}

// TestMalformedReplyOfEngineIsBelieved guards against a map that counts as staged, or a memory
// that counts as read, after bytes that are no HTTP.
func TestMalformedReplyOfEngineIsBelieved(t *testing.T) {
	for fault, text := range mangler.Mangle("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 12\r\n\r\n{\"version\":3}") {
		t.Run(fault, func(t *testing.T) {
			c := qt.New(t)
			_, err := NewGroupDriver(serveMalformed(c, text)).GetMemory(c.Context(), 1)
			c.Assert(err, qt.ErrorIs, validator.ErrMalformed)
			err = NewGroupDriver(serveMalformed(c, text)).Stage(c.Context(), &planner.Map{Version: 3})
			c.Assert(err, qt.ErrorIs, validator.ErrMalformed)
		})
	}
}

// TestRedirectStagesMap guards against a map that counts as staged because the engine named
// another address, which answered a request without the map.
func TestRedirectStagesMap(t *testing.T) {
	c := qt.New(t)
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == PathStage {
			http.Redirect(w, r, PathMemory, http.StatusFound)
		}
	}))
	c.Cleanup(ts.Close)
	addr := netip.MustParseAddrPort(ts.Listener.Addr().String())
	c.Assert(NewGroupDriver(addr).Stage(c.Context(), &planner.Map{Version: 3}), qt.ErrorMatches, ".*Found")
}
