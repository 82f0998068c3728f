package forwarder

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"siskinfall/internal/backend/limiter"
)

// TestRandomisedEventsChangeInBuffer guards against events that are shifted, joined or lost
// while the buffer moves and grows.
func TestRandomisedEventsChangeInBuffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, 3*eventBufferBytes), 1, 20).Draw(t, "sizes")
		events := make([]string, 0, len(sizes))
		for id, size := range sizes {
			lineSize := rapid.IntRange(1, 2*eventBufferBytes).Draw(t, "line")
			event := fmt.Sprintf("id: %d\n", id+1)
			for ; size > 0; size -= lineSize {
				event += "data: " + strings.Repeat("a", min(size, lineSize)) + "\n"
			}
			events = append(events, event+"\n")
		}
		text := strings.Join(events, "")
		for _, r := range []io.Reader{strings.NewReader(text), iotest.HalfReader(strings.NewReader(text)), iotest.DataErrReader(strings.NewReader(text))} {
			checkEvents(t, r, events, io.EOF)
		}
		checkEvents(t, strings.NewReader(text[:len(text)-1]), events[:len(events)-1], io.ErrUnexpectedEOF)
	})
}

// checkEvents reads a stream and requires its events, with rising numbers, and its end.
func checkEvents(t *rapid.T, r io.Reader, events []string, end error) {
	er := newEventReader(r, limiter.Source{})
	for i, want := range events {
		event, id, err := er.next()
		if err != nil || id != i+1 || string(event) != want {
			t.Fatalf("event %d: got number %d, %d bytes, error %v, want %d bytes", i+1, id, len(event), err, len(want))
		}
	}
	if event, id, err := er.next(); !errors.Is(err, end) {
		t.Fatalf("end: got number %d, %d bytes, error %v, want %v", id, len(event), err, end)
	}
}

// TestEventOverLimitIsReturned guards against a limit that is off by a byte.
func TestEventOverLimitIsReturned(t *testing.T) {
	c := qt.New(t)
	text := strings.Repeat("a", limiter.MaxEventBytes-2) + "\n\n"
	event, _, err := newEventReader(strings.NewReader(text), limiter.Source{}).next()
	c.Assert(err, qt.IsNil)
	c.Assert(event, qt.HasLen, limiter.MaxEventBytes)
	_, _, err = newEventReader(strings.NewReader("a"+text), limiter.Source{}).next()
	c.Assert(err, qt.Equals, limiter.ErrTooLarge)
}

func BenchmarkNextEvent(b *testing.B) {
	for _, size := range []int{128, 900, 64 << 10, 1 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			event := "id: 1\ndata: " + strings.Repeat("a", size-14) + "\n\n"
			r := strings.NewReader(event)
			er := newEventReader(r, limiter.Source{})
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				r.Reset(event)
				if _, id, err := er.next(); id != 1 || err != nil {
					b.Fatal(id, err)
				}
			}
		})
	}
}
