package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/backend/limiter"
	"siskinfall/internal/backend/validator"
	"siskinfall/internal/standin/flooder"
	"siskinfall/internal/standin/mangler"
)

// TestMalformedAnswerIsShown guards against showing the operator an answer that is no HTTP, a
// ticket that counts as accepted after it, or a refusal that is read from it.
func TestMalformedAnswerIsShown(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nX-Extra: a\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 409 Conflict\r\nX-Extra: a\r\nContent-Length: 16\r\n\r\n{\"code\":\"stale\"}",
	} {
		for fault, text := range mangler.Mangle(answer) {
			t.Run(fault, func(t *testing.T) {
				c := qt.New(t)
				ln, addr, err := mangler.Listen(text, make(chan int64, 2))
				c.Assert(err, qt.IsNil)
				c.Cleanup(func() { _ = ln.Close() })
				client := NewClient(addr, "")
				for _, err := range []error{client.Get(c.Context(), "/x", &struct{}{}), client.Post(c.Context(), "/x", nil, &struct{}{})} {
					c.Assert(err, qt.ErrorIs, validator.ErrMalformed)
					c.Assert(IsProblem(err), qt.IsFalse)
				}
			})
		}
	}
}

// TestAnswerWithoutEndIsReadInFull guards against collecting an answer in memory until the call
// times out.
func TestAnswerWithoutEndIsReadInFull(t *testing.T) {
	c := qt.New(t)
	f := flooder.New("HTTP/1.1 200 OK\r\n\r\n", "a", limiter.MaxAnswerBytes)
	ln, addr, err := f.Listen()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	var data []byte
	c.Assert(NewClient(addr, "").Get(c.Context(), "/x", &data), qt.ErrorIs, limiter.ErrTooLarge)
	c.Assert(f.Wait().Closed, qt.IsTrue)
}

// TestRedirectIsFollowed guards against a change that counts as accepted, and a key that is sent
// to another listener, because an answer names its address.
func TestRedirectIsFollowed(t *testing.T) {
	c := qt.New(t)
	requests := 0
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests++
		_, _ = io.WriteString(w, "{}")
	}))
	c.Cleanup(other.Close)
	ts := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusFound))
	c.Cleanup(ts.Close)
	addr := netip.MustParseAddrPort(ts.Listener.Addr().String())
	err := NewClient(addr, "k1").Post(c.Context(), "/x", nil, &struct{}{})
	c.Check(IsProblem(err), qt.IsTrue)
	c.Check(requests, qt.Equals, 0)
}
