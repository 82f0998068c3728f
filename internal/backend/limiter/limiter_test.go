package limiter

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
)

// countingBody counts the bytes read of an endless body.
type countingBody struct{ n int }

func (b *countingBody) Read(p []byte) (int, error) {
	b.n += len(p)
	return len(p), nil
}

func (b *countingBody) Close() error { return nil }

// TestReaderReadsBeyondBound guards against reading more than the byte that shows that a
// body exceeds its bound, and against a report for each further read.
func TestReaderReadsBeyondBound(t *testing.T) {
	c := qt.New(t)
	var logs bytes.Buffer
	log.SetOutput(&logs)
	c.Cleanup(func() { log.SetOutput(os.Stderr) })
	const bound = 1000
	body := &countingBody{}
	r := NewReader(body, bound, Source{Request: "r1", Server: "i-1", Step: "test"})
	for range 2 {
		n, err := io.Copy(io.Discard, r)
		c.Assert(err, qt.Equals, ErrTooLarge)
		c.Assert(n <= bound, qt.IsTrue)
	}
	c.Assert(body.n, qt.Equals, bound+1)
	c.Assert(strings.Count(logs.String(), "event=answer_too_large request=r1 server=i-1 step=test bytes=1000"), qt.Equals, 1)
}

// TestReaderCutsBodyOfBound guards against a bound that is off by a byte.
func TestReaderCutsBodyOfBound(t *testing.T) {
	c := qt.New(t)
	const bound = 1000
	for _, size := range []int{0, 1, bound - 1, bound} {
		text := strings.Repeat("a", size)
		data, err := io.ReadAll(NewReader(io.NopCloser(strings.NewReader(text)), bound, Source{}))
		c.Assert(err, qt.IsNil)
		c.Assert(string(data), qt.Equals, text)
	}
}
