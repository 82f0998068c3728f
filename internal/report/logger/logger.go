// Package logger writes log lines without ever blocking who logs: lines go
// through a bounded queue, and those that find it full are counted and dropped.
package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// queueLines bounds the lines that wait; at 300 bytes a line that is about a
// megabyte.
const queueLines = 4096

var dropped = metrics.NewCounter("siskinfall_log_lines_dropped_total")

// Writer is an io.Writer for a logger. It is safe for concurrent use.
type Writer struct {
	lines chan []byte
	out   io.Writer
	// lost counts the lines dropped since the last summary line.
	lost atomic.Int64
}

// New returns a Writer on out and starts its goroutine, which runs as long as
// the process.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines), out: out}
	go w.run()
	return w
}

// Write implements io.Writer. It takes a copy and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.lost.Add(1)
		dropped.Inc()
	}
	return len(p), nil
}

func (w *Writer) run() {
	for line := range w.lines {
		if n := w.lost.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, `{"time":%q,"level":"warn","msg":"log lines dropped","event":"log_dropped","lines":%d}`+"\n",
				time.Now().Format(time.RFC3339Nano), n)
		}
		// A failed write has nowhere to be told.
		_, _ = w.out.Write(line)
	}
}
