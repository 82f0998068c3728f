package forwarder

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

var (
	discardedHeads  = metrics.NewCounter("siskinfall_gateway_heads_discarded_total")
	completeAnswers = metrics.NewCounter(`siskinfall_gateway_answers_total{ending="complete"}`)
	abortedAnswers  = metrics.NewCounter(`siskinfall_gateway_answers_total{ending="aborted"}`)
)

// reply is the answer to a caller, with a record of what was sent.
type reply struct {
	http.ResponseWriter
	requestID string
	// status is that of the head that was sent, 0 before.
	status int
}

// WriteHeader implements http.ResponseWriter. It logs a second head, which the caller does
// not get.
func (p *reply) WriteHeader(status int) {
	if p.status != 0 {
		discardedHeads.Inc()
		log.Warn("second head of an answer discarded", "event", "head_discarded", "request", p.requestID, "sent_status", p.status, "status", status)
		return
	}
	p.status = status
	p.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (p *reply) Unwrap() http.ResponseWriter { return p.ResponseWriter }

// countAnswer counts an answer by how it ended for the caller.
func countAnswer(complete bool) {
	if complete {
		completeAnswers.Inc()
		return
	}
	abortedAnswers.Inc()
}
