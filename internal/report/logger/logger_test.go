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
}

func (s *stuck) Write(p []byte) (int, error) {
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
	out := &stuck{gate: make(chan struct{}), seen: make(chan struct{})}
	w := New(out)
	for range 3 * queueLines {
		n, err := w.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 5)
	}
	c.Assert(w.lost.Load() >= 2*queueLines-1, qt.IsTrue)
	close(out.gate)
	for w.lost.Load() > 0 || len(w.lines) == queueLines {
	}
	_, _ = w.Write([]byte("last\n"))
	<-out.seen
	out.mu.Lock()
	defer out.mu.Unlock()
	c.Assert(out.buf.String(), qt.Contains, `"event":"log_dropped"`)
}

// BenchmarkEndOfRequest is the line that each request costs.
func BenchmarkEndOfRequest(b *testing.B) {
	l := log.NewWithOptions(New(io.Discard), log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.JSONFormatter})
	l = l.With("instance", "gateway-1", "availability_zone", "zone-a")
	b.ReportAllocs()
	for b.Loop() {
		l.Info("request ended", "event", "ended", "request", "9c41d07be2a35f68", "status", 200, "reason", "answered", "route", "r-1",
			"service", "llm", "took", time.Second, "sent", 1, "tried", []string{"i-1"}, "catalog", 7, "server", "i-1", "estimate", 8, "report_age", "12ms")
	}
}
