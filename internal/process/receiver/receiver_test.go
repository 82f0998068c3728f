package receiver

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/process/accountant"
)

type owner struct{}

func (owner) Evict() {}

func noDeadline(int, time.Time) error { return nil }

// TestBodyIsReadWholeInAnyPieces guards against a body that is cut off, or read beyond its size,
// where the buffer grows.
func TestBodyIsReadWholeInAnyPieces(t *testing.T) {
	c := qt.New(t)
	const limit = 20000
	for _, size := range []int{1, 511, 512, 513, accountant.FreeBodyBytes, accountant.FreeBodyBytes + 1, limit - 1, limit} {
		text := strings.Repeat("x", size)
		for _, length := range []int64{-1, int64(size)} {
			b := Body{Reader: iotest.HalfReader(strings.NewReader(text)), Length: length, Limit: limit, SetDeadline: noDeadline}
			data, err := b.ReadAll()
			c.Assert(err, qt.IsNil)
			c.Assert(string(data) == text, qt.IsTrue, qt.Commentf("%d of %d bytes", len(data), size))
			c.Assert(cap(data) <= limit+1, qt.IsTrue)
		}
	}
}

// TestBodyIsRefusedBeforeItsMemoryIsTaken guards against reading what there is no room for, and
// against a charge that outlives the request.
func TestBodyIsRefusedBeforeItsMemoryIsTaken(t *testing.T) {
	c := qt.New(t)
	a := accountant.New(accountant.Bounds{Memory: 600 << 10, Descriptors: 10})
	account := a.Open(owner{}, time.Now())
	c.Assert(account.Begin(time.Now()), qt.IsTrue)
	r := strings.NewReader(strings.Repeat("x", 1<<20))
	b := Body{Reader: r, Length: -1, Limit: 1 << 20, Account: account, SetDeadline: noDeadline}
	_, err := b.ReadAll()
	c.Assert(err, qt.ErrorIs, ErrNoRoom)
	c.Assert(r.Len() > 900<<10, qt.IsTrue)
	c.Assert(a.GetHeld().Bytes[accountant.Body] <= 100<<10, qt.IsTrue)
	account.End(time.Now())
	c.Assert(a.GetHeld().Bytes[accountant.Body], qt.Equals, int64(0))
	b = Body{Reader: r, Length: 2 << 20, Limit: 1 << 20, Account: account, SetDeadline: noDeadline}
	_, err = b.ReadAll()
	var tooLarge *http.MaxBytesError
	c.Assert(errors.As(err, &tooLarge), qt.IsTrue)
}
