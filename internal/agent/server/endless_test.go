package server

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"siskinfall/internal/agent/driver"
	"siskinfall/internal/backend/limiter"
	"siskinfall/internal/expert/follower"
	"siskinfall/internal/wire/encoder"
)

// serveBackend replaces the agent's backend server by a healthy one with a handler.
func (ta *testAgent) serveBackend(c *qt.C, handler http.HandlerFunc) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"boot":"b"}`) })
	mux.HandleFunc("/", handler)
	backend := httptest.NewServer(mux)
	c.Cleanup(backend.Close)
	ta.driver = driver.NewDriver(netip.MustParseAddrPort(backend.Listener.Addr().String()))
}

// measure sends an attempt and returns its last event and the length of the data before it.
func (ta *testAgent) measure(c *qt.C, req *encoder.RunRequest) (last *encoder.RunEvent, n int) {
	st := ta.open(c, req)
	for {
		ev := &encoder.RunEvent{}
		c.Assert(st.Receive(ev), qt.IsNil)
		switch k := ev.GetKind().(type) {
		case *encoder.RunEvent_Chunk:
			n += len(k.Chunk.GetData())
		case *encoder.RunEvent_End, *encoder.RunEvent_Refusal:
			return ev, n
		}
	}
}

// newEvent returns an event of a size in bytes.
func newEvent(size int) string {
	const begin, end = "data: ", "\n\n"
	return begin + strings.Repeat("a", size-len(begin)-len(end)) + end
}

// writeStream writes a stream of events in a single write, so that they arrive together.
func writeStream(w http.ResponseWriter, events ...string) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, strings.Join(events, "")+encoder.EndMarker+"\n\n")
}

// TestEventsBeforeLongEventBreakStream guards against counting events that were collected
// before an event towards its limit.
func TestEventsBeforeLongEventBreakStream(t *testing.T) {
	for name, sizes := range map[string][]int{
		"alone":          {limiter.MaxEventBytes},
		"after another":  {20 << 10, limiter.MaxEventBytes},
		"after many":     {10 << 10, 10 << 10, 10 << 10, limiter.MaxEventBytes, 100, limiter.MaxEventBytes - 1},
		"long lines":     {900, 1024, 1025, 40 << 10, 64 << 10},
		"half the limit": {limiter.MaxEventBytes / 2, limiter.MaxEventBytes},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ta := newTestAgent(c)
			total := len(encoder.EndMarker) + 2
			events := make([]string, 0, len(sizes))
			for _, size := range sizes {
				events = append(events, newEvent(size))
				total += size
			}
			ta.serveBackend(c, func(w http.ResponseWriter, _ *http.Request) { writeStream(w, events...) })
			last, n := ta.measure(c, newRun("a.1", true))
			c.Assert(last.GetEnd(), qt.IsNotNil, qt.Commentf("%v", last.GetRefusal()))
			c.Assert(n, qt.Equals, total)
		})
	}
}

// TestEventOverLimitIsForwarded guards against collecting an event without bound.
func TestEventOverLimitIsForwarded(t *testing.T) {
	c := qt.New(t)
	ta := newTestAgent(c)
	ta.serveBackend(c, func(w http.ResponseWriter, _ *http.Request) {
		writeStream(w, newEvent(100), newEvent(limiter.MaxEventBytes+1))
	})
	last, n := ta.measure(c, newRun("a.1", true))
	c.Assert(last.GetRefusal().GetExecution(), qt.Equals, encoder.Execution_EXECUTION_UNKNOWN)
	c.Assert(n <= 100, qt.IsTrue)
}

// TestLineOfBufferSizeSplitsEvent guards against taking the end of a line that fills the
// read buffer for the blank line that ends an event.
func TestLineOfBufferSizeSplitsEvent(t *testing.T) {
	c := qt.New(t)
	ta := newTestAgent(c)
	line := "data: " + strings.Repeat("a", chunkSize-len("data: "))
	ta.serveBackend(c, func(w http.ResponseWriter, _ *http.Request) { writeStream(w, line+"\ndata: b\n\n") })
	st := ta.open(c, newRun("a.1", true))
	for {
		ev := &encoder.RunEvent{}
		c.Assert(st.Receive(ev), qt.IsNil)
		if chunk := ev.GetChunk(); chunk != nil {
			c.Assert(strings.HasSuffix(string(chunk.GetData()), "\n\n"), qt.IsTrue, qt.Commentf("chunk of %d bytes", len(chunk.GetData())))
		}
		if ev.GetEnd() != nil {
			return
		}
		c.Assert(ev.GetRefusal(), qt.IsNil)
	}
}

// writeWithoutEnd writes blocks to w until the agent closes the connection.
func writeWithoutEnd(w http.ResponseWriter, block string) {
	for {
		if _, err := io.WriteString(w, block); err != nil {
			return
		}
	}
}

// TestAnswerWithoutEndLooksComplete guards against ending an answer without end, or one that
// is cut at its bound, as complete.
func TestAnswerWithoutEndLooksComplete(t *testing.T) {
	for name, test := range map[string]struct {
		contentType, block string
		idempotent         bool
		step               string
		bound              int
	}{
		"body":             {"text/plain", strings.Repeat("a", chunkSize), true, "backend_call", limiter.MaxAnswerBytes},
		"events":           {"text/event-stream", newEvent(chunkSize), true, "backend_call", limiter.MaxAnswerBytes},
		"body to record":   {"text/plain", strings.Repeat("a", chunkSize), false, "record_answer", maxAnswerBytes},
		"line of an event": {"text/event-stream", strings.Repeat("a", chunkSize), true, "read_event", limiter.MaxEventBytes},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			before := tooLargeCount(test.step)
			ta := newTestAgent(c)
			ended := make(chan struct{})
			ta.serveBackend(c, func(w http.ResponseWriter, _ *http.Request) {
				defer close(ended)
				w.Header().Set("Content-Type", test.contentType)
				writeWithoutEnd(w, test.block)
			})
			last, n := ta.measure(c, newRun("a.1", test.idempotent))
			c.Assert(last.GetRefusal().GetCode(), qt.Equals, encoder.CodeAnswerBroken)
			c.Assert(last.GetRefusal().GetExecution(), qt.Equals, encoder.Execution_EXECUTION_UNKNOWN)
			c.Assert(n <= test.bound, qt.IsTrue)
			<-ended
			c.Assert(tooLargeCount(test.step), qt.Equals, before+1)
		})
	}
}

func tooLargeCount(step string) uint64 {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`siskinfall_answers_too_large_total{step=%q}`, step)).Get()
}

// TestRecordedAnswerOfMaximumSizeFails guards against a bound that drops a proper answer.
func TestRecordedAnswerOfMaximumSizeFails(t *testing.T) {
	c := qt.New(t)
	ta := newTestAgent(c)
	ta.serveBackend(c, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("a", maxAnswerBytes))
	})
	last, n := ta.measure(c, newRun("a.1", false))
	c.Assert(last.GetEnd(), qt.IsNotNil)
	c.Assert(n, qt.Equals, maxAnswerBytes)
}

// TestEngineRequestWithoutEndIsReadInFull guards against collecting a request of the engine
// in memory until it stops.
func TestEngineRequestWithoutEndIsReadInFull(t *testing.T) {
	for name, size := range map[string]int{"at the limit": maxEngineRequestBytes, "over the limit": maxEngineRequestBytes + 1} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var sample follower.Sample
			body := strings.Repeat(" ", size-len("{}")) + "{}"
			w := httptest.NewRecorder()
			ok := decode(w, httptest.NewRequest(http.MethodPost, PathSample, strings.NewReader(body)), &sample)
			c.Assert(ok, qt.Equals, size == maxEngineRequestBytes)
		})
	}
}
