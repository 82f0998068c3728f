package server

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/wire/encoder"
)

const healthReply = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"boot\":\"1\"}"

// newRawAgent starts an agent whose backend server writes answer to the connection and
// closes it.
func newRawAgent(c *qt.C, answer string) *testAgent {
	return newRawAgentWithLinger(c, answer, -1)
}

// newRawAgentWithLinger is like newRawAgent; a linger of 0 resets the connection instead
// of closing it.
func newRawAgentWithLinger(c *qt.C, answer string, linger int) *testAgent {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		c.Check(err, qt.IsNil)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reply := answer
		if r.URL.Path == "/health" {
			reply = healthReply
		}
		_, _ = io.WriteString(conn, reply)
		if reply == answer {
			c.Check(conn.(*net.TCPConn).SetLinger(linger), qt.IsNil)
		}
	}))
	c.Cleanup(backend.Close)
	return startTestAgent(c, netip.MustParseAddrPort(backend.Listener.Addr().String()))
}

const (
	typeStream  = "text/event-stream"
	firstEvent  = "data: 1\n\n"
	markerEvent = "data: [DONE]\n\n"
)

// withLength returns an answer whose body ends by its length.
func withLength(contentType, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", contentType, len(body), body)
}

// An engine that stops early may end its answer regularly, whatever the parameters of
// its content type.
func TestStreamWithCharsetAndNoEndMarkerIsNotCompleted(t *testing.T) {
	c := qt.New(t)
	ta := newRawAgent(c, withLength(typeStream+"; charset=utf-8", firstEvent))
	last, data := ta.run(c, newRun("a.1", true))
	c.Assert(last.GetRefusal().GetCode(), qt.Equals, encoder.CodeAnswerBroken, qt.Commentf("completed with %q", data))
	c.Assert(data, qt.Equals, firstEvent)
}

// A line as long as the read buffer is followed by its own line end, not by a blank line.
func TestEventWithLineOfBufferSizeIsNotSplit(t *testing.T) {
	c := qt.New(t)
	const field = "data: "
	long := field + strings.Repeat("x", chunkSize-len(field)) + "\nid: 1\n\n"
	ta := newRawAgent(c, withLength(typeStream, long+firstEvent+markerEvent))
	st := ta.open(c, newRun("a.1", true))
	var data string
	for {
		ev := &encoder.RunEvent{}
		c.Assert(st.Receive(ev), qt.IsNil)
		if ev.GetEnd() != nil {
			break
		}
		if chunk := ev.GetChunk(); chunk != nil {
			data += string(chunk.GetData())
			c.Assert(strings.HasSuffix(data, "\n\n"), qt.IsTrue, qt.Commentf("chunk ends with %q", data[len(data)-8:]))
		}
	}
	c.Assert(data, qt.Equals, long+firstEvent+markerEvent)
}

// withoutLastChunk returns an answer whose connection breaks before its final chunk.
func withoutLastChunk(contentType, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", contentType, len(body), body)
}

// What follows the end marker belongs to no answer or to another one.
func TestStreamThatContinuesAfterItsEndMarkerIsNotCompleted(t *testing.T) {
	c := qt.New(t)
	for name, answer := range map[string]string{
		"event":             withLength(typeStream, firstEvent+markerEvent+firstEvent),
		"second marker":     withLength(typeStream, firstEvent+markerEvent+markerEvent),
		"truncated event":   withLength(typeStream, firstEvent+markerEvent+"data: 2"),
		"marker with more":  withLength(typeStream, firstEvent+"data: [DONE]\ndata: 2\n\n"),
		"marker in a value": withLength(typeStream, firstEvent+"data: [DONE]2\n\n"),
		"broken connection": withoutLastChunk(typeStream, firstEvent+markerEvent),
	} {
		c.Run(name, func(c *qt.C) {
			last, data := newRawAgent(c, answer).run(c, newRun("a.1", true))
			c.Assert(last.GetRefusal().GetCode(), qt.Equals, encoder.CodeAnswerBroken, qt.Commentf("completed with %q", data))
			// A marker in an answer that is resumed would end it twice.
			c.Assert(data, qt.Not(qt.Contains), "[DONE]")
		})
	}
}

// Blank lines end no event, so they add nothing to a stream.
func TestStreamWithBlankLinesAfterItsEndMarkerIsCompleted(t *testing.T) {
	c := qt.New(t)
	for name, body := range map[string]string{
		"none":        firstEvent + markerEvent,
		"blank line":  firstEvent + markerEvent + "\n",
		"blank lines": firstEvent + markerEvent + "\r\n\r\n",
		"CRLF":        firstEvent + "data: [DONE]\r\n\r\n",
	} {
		c.Run(name, func(c *qt.C) {
			last, data := newRawAgent(c, withLength(typeStream, body)).run(c, newRun("a.1", true))
			c.Assert(last.GetEnd(), qt.IsNotNil, qt.Commentf("%v", last))
			c.Assert(data, qt.Equals, body)
		})
	}
}

// A recorded answer is replayed, so a part of a stream must not be recorded.
func TestTruncatedStreamIsNotRecorded(t *testing.T) {
	c := qt.New(t)
	ta := newRawAgent(c, withLength(typeStream, firstEvent))
	last, data := ta.run(c, newRun("order", false))
	c.Assert(last.GetRefusal().GetCode(), qt.Equals, encoder.CodeAnswerBroken, qt.Commentf("completed with %q", data))
	c.Assert(last.GetRefusal().GetExecution(), qt.Equals, encoder.Execution_EXECUTION_UNKNOWN)
	resend := newRun("order", false)
	resend.AttemptId = "resend"
	last, _ = ta.run(c, resend)
	c.Assert(last.GetRefusal().GetCode(), qt.Equals, encoder.CodeOutcomeUnknown)
}

// withoutLength returns an answer whose body ends with the connection.
func withoutLength(contentType, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nConnection: close\r\n\r\n%s", contentType, body)
}

// A body without a length is whole only if its connection is not reset.
func TestBodyThatEndsWithAResetIsNotCompleted(t *testing.T) {
	c := qt.New(t)
	for name, idempotent := range map[string]bool{"lookup": true, "order": false} {
		c.Run(name, func(c *qt.C) {
			ta := newRawAgentWithLinger(c, withoutLength("application/json", `{"a":`), 0)
			last, data := ta.run(c, newRun(name, idempotent))
			c.Assert(last.GetRefusal().GetCode(), qt.Equals, encoder.CodeAnswerBroken, qt.Commentf("completed with %q", data))
			c.Assert(last.GetRefusal().GetExecution(), qt.Equals, encoder.Execution_EXECUTION_UNKNOWN)
		})
		c.Run("whole "+name, func(c *qt.C) {
			last, data := newRawAgent(c, withoutLength("application/json", "{}")).run(c, newRun(name, idempotent))
			c.Assert(last.GetEnd(), qt.IsNotNil, qt.Commentf("%v", last))
			c.Assert(data, qt.Equals, "{}")
		})
	}
}

// The end marker shows that a stream is whole, and a HEAD request has no body.
func TestAnswerWithoutLengthThatIsWholeIsCompleted(t *testing.T) {
	c := qt.New(t)
	ta := newRawAgent(c, withoutLength(typeStream, firstEvent+markerEvent))
	last, data := ta.run(c, newRun("stream", true))
	c.Assert(last.GetEnd(), qt.IsNotNil, qt.Commentf("%v", last))
	c.Assert(data, qt.Equals, firstEvent+markerEvent)
	head := newRun("head", true)
	head.Method = http.MethodHead
	last, _ = newRawAgent(c, withoutLength("application/json", "")).run(c, head)
	c.Assert(last.GetEnd(), qt.IsNotNil, qt.Commentf("%v", last))
}

// The transport of the driver checks the length of a body and its final chunk.
func TestBodyShorterThanItsLengthIsNotCompleted(t *testing.T) {
	c := qt.New(t)
	answers := map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
		"chunks": withoutLastChunk("application/json", "part"),
	}
	for name, answer := range answers {
		for kind, idempotent := range map[string]bool{"lookup": true, "order": false} {
			c.Run(name+" "+kind, func(c *qt.C) {
				last, _ := newRawAgent(c, answer).run(c, newRun(kind, idempotent))
				c.Assert(last.GetRefusal().GetCode(), qt.Equals, encoder.CodeAnswerBroken)
			})
		}
	}
}

// An answer without a body has no end marker, whatever its content type.
func TestStreamWithoutBodyIsNotRefused(t *testing.T) {
	c := qt.New(t)
	answers := map[string]string{
		"head":        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
		"no content":  "HTTP/1.1 204 X\r\nContent-Type: text/event-stream\r\n\r\n",
		"not changed": "HTTP/1.1 304 X\r\nContent-Type: text/event-stream; charset=utf-8\r\n\r\n",
	}
	for name, answer := range answers {
		for kind, idempotent := range map[string]bool{"lookup": true, "order": false} {
			c.Run(name+" "+kind, func(c *qt.C) {
				run := newRun(kind, idempotent)
				if name == "head" {
					run.Method = http.MethodHead
				}
				last, _ := newRawAgent(c, answer).run(c, run)
				c.Assert(last.GetEnd(), qt.IsNotNil, qt.Commentf("%v", last))
			})
		}
	}
}
