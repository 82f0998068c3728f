package forwarder

import (
	"errors"
	"mime"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"siskinfall/internal/check/asserter"
)

var (
	completeAnswers = metrics.NewCounter(`siskinfall_gateway_answers_total{ending="complete"}`)
	abortedAnswers  = metrics.NewCounter(`siskinfall_gateway_answers_total{ending="aborted"}`)
)

// reply is the answer to a caller. It ends as complete only if setComplete was called; end
// aborts every other one, so that a new way out of the handler cannot complete an answer by
// returning.
type reply struct {
	http.ResponseWriter
	requestID string
	// unframed is set for a caller of HTTP/1.0: the end of its connection ends an answer of
	// unknown length.
	unframed bool
	// status is that of the head that was sent, 0 before.
	status int
	// complete is set once the whole answer was written.
	complete bool
}

// hasBegun reports whether the caller has the head. From then on, the answer can be
// continued or aborted, but not replaced by another one.
func (p *reply) hasBegun() bool { return p.status != 0 }

// isContinuedBy reports whether a server's answer can continue this one, which has begun:
// the status and the media type must be the same.
func (p *reply) isContinuedBy(resp *http.Response) bool {
	return resp.StatusCode == p.status && getMediaType(resp.Header) == getMediaType(p.Header())
}

// getMediaType returns the content type without parameters, or as it is if it is malformed.
func getMediaType(h http.Header) string {
	value := h.Get("Content-Type")
	if mediaType, _, err := mime.ParseMediaType(value); err == nil {
		return mediaType
	}
	return value
}

// sendHead sends the head. It fails if the answer has begun.
func (p *reply) sendHead(status int) error {
	err := asserter.Holds(!p.hasBegun(), asserter.RuleWholeAnswer, "request %s: head with status %d after one with %d", p.requestID, status, p.status)
	if err != nil {
		return err
	}
	p.status = status
	p.WriteHeader(status)
	return nil
}

// setComplete marks the answer as whole, so that it ends cleanly.
func (p *reply) setComplete() { p.complete = true }

// Unwrap returns the underlying writer for http.ResponseController.
func (p *reply) Unwrap() http.ResponseWriter { return p.ResponseWriter }

// end counts the answer. For one that is not complete, it panics with http.ErrAbortHandler,
// by which net/http closes the connection. If that would look like a regular end, the
// connection is reset instead.
func (p *reply) end() {
	if p.complete {
		completeAnswers.Inc()
		return
	}
	abortedAnswers.Inc()
	if p.unframed {
		p.reset()
	}
	panic(http.ErrAbortHandler)
}

// reset closes the caller's connection with a TCP reset.
func (p *reply) reset() {
	conn, _, err := http.NewResponseController(p.ResponseWriter).Hijack()
	if err != nil {
		log.Warn("taking over the client connection failed", "event", "reset", "request", p.requestID, "error", err)
		return
	}
	if c, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		err = c.SetLinger(0)
	}
	if err = errors.Join(err, conn.Close()); err != nil {
		log.Info("resetting the client connection failed", "event", "reset", "request", p.requestID, "error", err)
	}
}
