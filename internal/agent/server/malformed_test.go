package server

import (
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/standin/mangler"
	"siskinfall/internal/wire/encoder"
)

// TestMalformedAnswerIsForwarded guards against forwarding or recording an answer that is no
// HTTP, and against a refusal that promises that the request was not run.
func TestMalformedAnswerIsForwarded(t *testing.T) {
	for fault, text := range mangler.Mangle("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody") {
		t.Run(fault, func(t *testing.T) {
			for _, idempotent := range []bool{false, true} {
				c := qt.New(t)
				ta := newTestAgent(c)
				ta.serveBackend(c, func(w http.ResponseWriter, _ *http.Request) { hijackAndWrite(c, w, text) })
				last, n := ta.measure(c, newRun("a.1", idempotent))
				c.Assert(last.GetRefusal().GetCode(), qt.Equals, encoder.CodeAnswerBroken)
				c.Assert(last.GetRefusal().GetExecution(), qt.Equals, encoder.Execution_EXECUTION_UNKNOWN)
				c.Assert(n, qt.Equals, 0)
			}
		})
	}
}

// hijackAndWrite writes a text to the connection of a request and closes it.
func hijackAndWrite(c *qt.C, w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	c.Check(err, qt.IsNil)
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}
