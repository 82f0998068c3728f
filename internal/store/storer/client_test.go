package storer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/backend/limiter"
	"siskinfall/internal/standin/flooder"
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
