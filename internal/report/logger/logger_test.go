package logger

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
)

// stuck blocks until it is opened.
type stuck struct {
	mu   sync.Mutex
	buf  bytes.Buffer
	gate chan struct{}
	seen chan struct{}
	// entered is closed by the first write.
	entered chan struct{}
	once    sync.Once
}

func newStuck() *stuck {
	return &stuck{gate: make(chan struct{}), seen: make(chan struct{}), entered: make(chan struct{})}
}

func (s *stuck) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.entered) })
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	if strings.Contains(string(p), "last") {
		defer close(s.seen)
	}
	return s.buf.Write(p)
}

// TestStuckReaderNeverBlocks logs far more than the queue holds while nobody reads.
func TestStuckReaderNeverBlocks(t *testing.T) {
	c := qt.New(t)
	out := newStuck()
	w := New(out)
	const event = `{"event":"server"}` + "\n"
	for range 3 * queueLines {
		n, err := w.Write([]byte(event))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, len(event))
	}
	_, _ = w.Write([]byte(`{"event":"ended","request":"last","reason":"no backend server"}` + "\n"))
	close(out.gate)
	<-out.seen
	out.mu.Lock()
	defer out.mu.Unlock()
	c.Assert(out.buf.String(), qt.Contains, `"event":"log_dropped"`)
	c.Assert(out.buf.String(), qt.Contains, `"by_event":"server:`)
}

// TestDecisionsAgainstRequestsAreDroppedLast fills the queue with each kind of line
// in turn while nobody reads.
func TestDecisionsAgainstRequestsAreDroppedLast(t *testing.T) {
	c := qt.New(t)
	const lines = 64
	out := newStuck()
	w := New(out, WithQueue(lines))
	_, _ = w.Write([]byte(`{"event":"start"}` + "\n"))
	<-out.entered
	fillWith := func(line string) {
		for range 2 * lines {
			_, _ = w.Write([]byte(line + "\n"))
		}
	}
	fillWith(`{"event":"ended","request":"1","reason":"answered"}`)
	c.Assert(len(w.lines), qt.Equals, lines/2)
	fillWith(`{"event":"outage","service":"llm"}`)
	c.Assert(len(w.lines), qt.Equals, lines*3/4)
	fillWith(`{"event":"ended","request":"2","reason":"can't be finished in time"}`)
	c.Assert(len(w.lines), qt.Equals, lines)
	counts, sum := w.takeLost()
	c.Assert(counts, qt.Matches, `ended:\d+ outage:\d+`)
	c.Assert(sum, qt.Equals, 5*lines)
	close(out.gate)
}

// BenchmarkEndOfRequest is the line that each request costs.
func BenchmarkEndOfRequest(b *testing.B) {
	l := log.NewWithOptions(New(io.Discard), log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.JSONFormatter})
	l = l.With("instance", "gateway-1", "availability_zone", "zone-a")
	b.ReportAllocs()
	var size countingWriter
	defer func() { b.ReportMetric(float64(size)/float64(b.N), "bytes/line") }()
	l.SetOutput(io.MultiWriter(New(io.Discard), &size))
	for b.Loop() {
		l.Info("request ended", "event", "ended", "request", "9c41d07be2a35f68", "status", 200, "reason", "answered", "route", "r-1",
			"service", "llm", "took", time.Second, "sent", 1, "tried", []string{"i-1"}, "catalog", 7, "server", "i-1", "estimate", 8, "report_age", "12ms")
	}
}

// countingWriter counts bytes.
type countingWriter int

func (w *countingWriter) Write(p []byte) (int, error) {
	*w += countingWriter(len(p))
	return len(p), nil
}
