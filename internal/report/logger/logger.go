// Package logger writes log lines without ever blocking the caller: lines go
// through a bounded queue. As it fills, ordinary lines are dropped first, lines about
// failed and refused requests last. Dropped lines are counted by event, and the counts
// are logged.
package logger

import (
	"bytes"
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxQueuedLines bounds the lines that wait; at 300 bytes a line that is about a
// megabyte.
const maxQueuedLines = 4096

// maxQueuedBytes bounds them together: a caller's request ID may be as long as a head.
const maxQueuedBytes = 4 << 20

// Fractions of the queue up to which lines are accepted.
const (
	// ordinaryFill applies to answered requests, attempts, placements and orders. It
	// leaves half of the queue to lines that say more than that work succeeded.
	ordinaryFill = 0.5
	// stateFill applies to lines about no request. It leaves a quarter to failed and
	// refused requests: a flapping dependency may cause state changes without end.
	stateFill = 0.75
)

var droppedTotal = metrics.NewCounter("siskinfall_log_lines_dropped_total")

// Writer is an io.Writer for a logger. It is safe for concurrent use.
type Writer struct {
	lines chan []byte
	// queued is the sum of the lines that wait, in bytes. It exceeds maxQueuedBytes at most by
	// one line of each concurrent call of Write.
	queued atomic.Int64
	out    io.Writer
	mu     sync.Mutex
	// dropped counts the lines dropped since the last summary line, by event.
	dropped map[string]int
}

// Option configures a Writer.
type Option func(*options)

type options struct{ lines int }

// WithQueue sets the number of lines that may wait, 4096 by default.
func WithQueue(lines int) Option { return func(o *options) { o.lines = lines } }

// New returns a Writer on out and starts its goroutine, which runs as long as
// the process.
func New(out io.Writer, opts ...Option) *Writer {
	o := options{lines: maxQueuedLines}
	for _, f := range opts {
		f(&o)
	}
	w := &Writer{lines: make(chan []byte, o.lines), out: out, dropped: make(map[string]int)}
	go w.run()
	return w
}

// Write implements io.Writer. It queues a copy of the line or drops it, and never
// fails.
func (w *Writer) Write(p []byte) (int, error) {
	if float64(len(w.lines)) >= float64(cap(w.lines))*maxFill(p) || w.queued.Load()+int64(len(p)) > maxQueuedBytes {
		w.drop(p)
		return len(p), nil
	}
	w.queued.Add(int64(len(p)))
	select {
	case w.lines <- bytes.Clone(p):
	default:
		w.queued.Add(-int64(len(p)))
		w.drop(p)
	}
	return len(p), nil
}

var (
	eventField     = []byte(`"event":"`)
	endedEvent     = []byte(`"event":"ended"`)
	attemptEvent   = []byte(`"event":"attempt"`)
	placedEvent    = []byte(`"event":"placed"`)
	orderEvent     = []byte(`"event":"order"`)
	answeredReason = []byte(`"reason":"answered"`)
	requestField   = []byte(`"request":"`)
)

// maxFill returns the fraction of the queue up to which a line is accepted.
func maxFill(line []byte) float64 {
	switch {
	case bytes.Contains(line, endedEvent) && bytes.Contains(line, answeredReason), bytes.Contains(line, attemptEvent), bytes.Contains(line, placedEvent), bytes.Contains(line, orderEvent):
		return ordinaryFill
	case !bytes.Contains(line, requestField):
		return stateFill
	}
	return 1
}

// eventOf returns the event of a line, "other" for none.
func eventOf(line []byte) string {
	_, rest, ok := bytes.Cut(line, eventField)
	name, _, closed := bytes.Cut(rest, []byte{'"'})
	if !ok || !closed {
		return "other"
	}
	return string(name)
}

func (w *Writer) drop(line []byte) {
	droppedTotal.Inc()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped[eventOf(line)]++
}

// takeDropped returns the counts of the lines dropped since the last call, by event,
// and their sum.
func (w *Writer) takeDropped() (counts string, sum int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.dropped) == 0 {
		return "", 0
	}
	parts := make([]string, 0, len(w.dropped))
	for name, n := range w.dropped {
		parts = append(parts, fmt.Sprintf("%s:%d", name, n))
		sum += n
	}
	clear(w.dropped)
	sort.Strings(parts)
	return strings.Join(parts, " "), sum
}

func (w *Writer) run() {
	for line := range w.lines {
		w.queued.Add(-int64(len(line)))
		if counts, n := w.takeDropped(); n > 0 {
			_, _ = fmt.Fprintf(w.out, `{"time":%q,"level":"warn","msg":"log lines dropped","event":"log_dropped","lines":%d,"by_event":%q}`+"\n",
				time.Now().Format(time.RFC3339Nano), n, counts)
		}
		// A failed write can't be logged, as the log itself is what failed.
		_, _ = w.out.Write(line)
	}
}
