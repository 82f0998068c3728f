package forwarder

import (
	"fmt"
	"mime"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"siskinfall/internal/check/asserter"
	"siskinfall/internal/wire/resetter"
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
	*resetter.Resetter
	requestID string
	// status is that of the head that was sent, 0 before.
	status int
	// complete is set once the whole answer was written.
	complete bool
}

func newReply(w http.ResponseWriter, r *http.Request, requestID string) *reply {
	return &reply{ResponseWriter: w, Resetter: resetter.New(r), requestID: requestID}
}

// hasBegun reports whether the caller has the head. From then on, the answer can be
// continued or aborted, but not replaced by another one.
func (p *reply) hasBegun() bool { return p.status != 0 }

// isContinuedBy reports whether a server's answer can continue this one, which has begun:
// the status and the media type must be the same.
func (p *reply) isContinuedBy(resp *http.Response) bool {
	return resp.StatusCode == p.status && getMediaType(resp.Header) == getMediaType(p.Header())
}

// newMismatch says why an answer does not continue this one.
func (p *reply) newMismatch(resp *http.Response) error {
	return fmt.Errorf("%w: status %d and type %q after %d and %q", errNotContinued, resp.StatusCode, resp.Header.Get("Content-Type"), p.status, p.Header().Get("Content-Type"))
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
	if err := p.Arm(); err != nil {
		return err
	}
	p.status = status
	p.WriteHeader(status)
	return nil
}

// setComplete marks the answer as whole, so that it ends cleanly.
func (p *reply) setComplete() {
	if err := p.Disarm(p.ResponseWriter); err != nil {
		log.Info("completing the answer failed", "event", "abort", "request", p.requestID, "error", err)
		return
	}
	p.complete = true
}

// Unwrap returns the underlying writer for http.ResponseController.
func (p *reply) Unwrap() http.ResponseWriter { return p.ResponseWriter }

// end counts the answer. For one that is not complete, it panics with http.ErrAbortHandler,
// by which net/http closes the connection.
func (p *reply) end() {
	if p.complete {
		completeAnswers.Inc()
		return
	}
	abortedAnswers.Inc()
	panic(http.ErrAbortHandler)
}
