// Package logger writes log lines without ever blocking who logs: lines go
// through a bounded queue. As it fills, ordinary lines are dropped first, decisions
// against a request last; what was dropped is counted by event and told.
package logger

import (
	"bytes"
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// queueLines bounds the lines that wait; at 300 bytes a line that is about a
// megabyte.
const queueLines = 4096

// Parts of the queue up to which lines are taken.
const (
	// ordinaryFill leaves half of the queue to lines that tell more than that work
	// went well.
	ordinaryFill = 0.5
	// beliefFill leaves a quarter to decisions against requests: a flapping dependency
	// may tell of itself without end.
	beliefFill = 0.75
)

var dropped = metrics.NewCounter("siskinfall_log_lines_dropped_total")

// Writer is an io.Writer for a logger. It is safe for concurrent use.
type Writer struct {
	lines chan []byte
	out   io.Writer
	mu    sync.Mutex
	// lost counts the lines dropped since the last summary line, by event.
	lost map[string]int
}

// Option configures a Writer.
type Option func(*options)

type options struct{ lines int }

// WithQueue bounds the lines that wait.
func WithQueue(lines int) Option { return func(o *options) { o.lines = lines } }

// New returns a Writer on out and starts its goroutine, which runs as long as
// the process.
func New(out io.Writer, opts ...Option) *Writer {
	o := options{lines: queueLines}
	for _, f := range opts {
		f(&o)
	}
	w := &Writer{lines: make(chan []byte, o.lines), out: out, lost: make(map[string]int)}
	go w.run()
	return w
}

// Write implements io.Writer. It takes a copy and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	if float64(len(w.lines)) >= float64(cap(w.lines))*fill(p) {
		w.drop(p)
		return len(p), nil
	}
	select {
	case w.lines <- bytes.Clone(p):
	default:
		w.drop(p)
	}
	return len(p), nil
}

var (
	eventField = []byte(`"event":"`)
	ended      = []byte(`"event":"ended"`)
	attempt    = []byte(`"event":"attempt"`)
	placed     = []byte(`"event":"placed"`)
	order      = []byte(`"event":"order"`)
	answered   = []byte(`"reason":"answered"`)
	request    = []byte(`"request":"`)
)

// fill is the part of the queue up to which a line is taken.
func fill(line []byte) float64 {
	switch {
	case bytes.Contains(line, ended) && bytes.Contains(line, answered), bytes.Contains(line, attempt), bytes.Contains(line, placed), bytes.Contains(line, order):
		return ordinaryFill
	case !bytes.Contains(line, request):
		return beliefFill
	}
	return 1
}

// event is the event of a line, "other" for none.
func event(line []byte) string {
	_, rest, ok := bytes.Cut(line, eventField)
	name, _, closed := bytes.Cut(rest, []byte{'"'})
	if !ok || !closed {
		return "other"
	}
	return string(name)
}

func (w *Writer) drop(line []byte) {
	dropped.Inc()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost[event(line)]++
}

// takeLost returns what was dropped since the last call, and its sum.
func (w *Writer) takeLost() (counts string, sum int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.lost) == 0 {
		return "", 0
	}
	parts := make([]string, 0, len(w.lost))
	for name, n := range w.lost {
		parts = append(parts, fmt.Sprintf("%s:%d", name, n))
		sum += n
	}
	clear(w.lost)
	sort.Strings(parts)
	return strings.Join(parts, " "), sum
}

func (w *Writer) run() {
	for line := range w.lines {
		if counts, n := w.takeLost(); n > 0 {
			_, _ = fmt.Fprintf(w.out, `{"time":%q,"level":"warn","msg":"log lines dropped","event":"log_dropped","lines":%d,"by_event":%q}`+"\n",
				time.Now().Format(time.RFC3339Nano), n, counts)
		}
		// A failed write has nowhere to be told.
		_, _ = w.out.Write(line)
	}
}
