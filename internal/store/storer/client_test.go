package storer

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/backend/limiter"
	"siskinfall/internal/backend/validator"
	"siskinfall/internal/standin/flooder"
	"siskinfall/internal/standin/mangler"
)

// TestCutObjectIsReturnedAsWhole guards against taking the part of an object that was read
// up to the bound for the whole.
func TestCutObjectIsReturnedAsWhole(t *testing.T) {
	for name, f := range map[string]*flooder.Flood{
		"head": flooder.New("HTTP/1.1 200 ", "OK", limiter.MaxHeadBytes),
		"body": flooder.New("HTTP/1.1 200 OK\r\n\r\n", "a", limiter.MaxAnswerBytes),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ln, addr, err := f.Listen()
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = ln.Close() })
			data, err := NewClient(addr, WithTimeout(time.Minute)).GetObject(c.Context(), "x")
			c.Check(err, qt.ErrorIs, limiter.ErrTooLarge)
			c.Check(len(data), qt.Equals, 0)
			res := f.Wait()
			c.Assert(res.Closed, qt.IsTrue, qt.Commentf("%d bytes written", res.Written))
		})
	}
}

// TestMalformedAnswerIsBelieved guards against rows, missing rows and conflicts that are read
// from an answer that is no HTTP.
func TestMalformedAnswerIsBelieved(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusConflict} {
		for fault, text := range mangler.Mangle(fmt.Sprintf("HTTP/1.1 %d X\r\nX-Extra: a\r\nContent-Length: 2\r\n\r\n{}", status)) {
			t.Run(fmt.Sprint(status, " ", fault), func(t *testing.T) {
				c := qt.New(t)
				ln, addr, err := mangler.Listen(text, make(chan int64, 2))
				c.Assert(err, qt.IsNil)
				c.Cleanup(func() { _ = ln.Close() })
				client := NewClient(addr, WithTimeout(time.Minute))
				_, err = client.GetRow(c.Context(), "x")
				c.Check(err, qt.ErrorIs, validator.ErrMalformed)
				c.Check(errors.Is(err, ErrRowNotExist), qt.IsFalse)
				err = client.Commit(c.Context(), Txn{})
				c.Check(err, qt.ErrorIs, validator.ErrMalformed)
				c.Check(errors.Is(err, ErrConflict), qt.IsFalse)
			})
		}
	}
}

// TestRedirectCommits guards against a transaction that counts as committed because the store
// named another address, which answered a request without it.
func TestRedirectCommits(t *testing.T) {
	c := qt.New(t)
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			http.Redirect(w, r, "/", http.StatusFound)
		}
	}))
	c.Cleanup(ts.Close)
	addr := netip.MustParseAddrPort(ts.Listener.Addr().String())
	c.Assert(NewClient(addr, WithTimeout(time.Minute)).Commit(c.Context(), Txn{}), qt.ErrorMatches, ".*status 302")
}
