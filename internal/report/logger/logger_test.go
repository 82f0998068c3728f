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

// blockingWriter blocks writes until unblock is closed.
type blockingWriter struct {
	mu      sync.Mutex
	buf     bytes.Buffer
	unblock chan struct{}
	// lastWritten is closed once a line that contains "last" is written.
	lastWritten chan struct{}
	// entered is closed by the first call of Write.
	entered chan struct{}
	once    sync.Once
}

func newBlockingWriter() *blockingWriter {
	return &blockingWriter{unblock: make(chan struct{}), lastWritten: make(chan struct{}), entered: make(chan struct{})}
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.entered) })
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	if strings.Contains(string(p), "last") {
		defer close(w.lastWritten)
	}
	return w.buf.Write(p)
}

// TestWriteDropsLinesWhenOutputBlocks writes three times as many lines as the queue
// holds while the output accepts none: a blocked log output must not block callers.
func TestWriteDropsLinesWhenOutputBlocks(t *testing.T) {
	c := qt.New(t)
	out := newBlockingWriter()
	w := New(out)
	const line = `{"event":"server"}` + "\n"
	for range 3 * maxQueuedLines {
		n, err := w.Write([]byte(line))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, len(line))
	}
	_, _ = w.Write([]byte(`{"event":"ended","request":"last","reason":"no backend server"}` + "\n"))
	close(out.unblock)
	<-out.lastWritten
	out.mu.Lock()
	defer out.mu.Unlock()
	c.Assert(out.buf.String(), qt.Contains, `"event":"log_dropped"`)
	c.Assert(out.buf.String(), qt.Contains, `"by_event":"server:`)
}

// TestRefusedRequestsAreDroppedLast fills the queue with each kind of line in turn
// while the output accepts none.
func TestRefusedRequestsAreDroppedLast(t *testing.T) {
	c := qt.New(t)
	const maxLines = 64
	out := newBlockingWriter()
	w := New(out, WithQueue(maxLines))
	_, _ = w.Write([]byte(`{"event":"start"}` + "\n"))
	<-out.entered
	fillWith := func(line string) {
		for range 2 * maxLines {
			_, _ = w.Write([]byte(line + "\n"))
		}
	}
	fillWith(`{"event":"ended","request":"1","reason":"answered"}`)
	c.Assert(len(w.lines), qt.Equals, maxLines/2)
	fillWith(`{"event":"outage","service":"llm"}`)
	c.Assert(len(w.lines), qt.Equals, maxLines*3/4)
	fillWith(`{"event":"ended","request":"2","reason":"can't be finished in time"}`)
	c.Assert(len(w.lines), qt.Equals, maxLines)
	counts, sum := w.takeDropped()
	c.Assert(counts, qt.Matches, `ended:\d+ outage:\d+`)
	c.Assert(sum, qt.Equals, 5*maxLines)
	close(out.unblock)
}

// BenchmarkEndOfRequest measures the line that is logged at the end of each request.
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

// TestLongLinesAreDroppedByTheirBytes guards against a queue that holds few lines and much
// memory, since callers choose how long their request IDs are.
func TestLongLinesAreDroppedByTheirBytes(t *testing.T) {
	c := qt.New(t)
	out := newBlockingWriter()
	w := New(out)
	line := `{"event":"ended","reason":"refused","request":"` + strings.Repeat("x", 16<<10) + `"}` + "\n"
	for range maxQueuedLines / 2 {
		_, err := w.Write([]byte(line))
		c.Assert(err, qt.IsNil)
	}
	_, dropped := w.takeDropped()
	// One line is being written.
	const bound = 4 << 20
	c.Assert(maxQueuedLines/2-dropped <= bound/len(line)+1, qt.IsTrue, qt.Commentf("%d", dropped))
	close(out.unblock)
}
