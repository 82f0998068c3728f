package server

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"siskinfall/internal/wire/encoder"
	"siskinfall/internal/wire/resetter"
)

// response is the answer to a caller. It implements dispatcher.Sink and flushes
// every write of an event stream.
type response struct {
	w  http.ResponseWriter
	rc *http.ResponseController
	// id is the request ID in answers to the caller.
	id     string
	method string
	// stream is true only for an event stream with a body.
	stream bool
	*resetter.Resetter
	// complete is set only once the whole answer was written.
	complete bool
}

func newResponse(w http.ResponseWriter, r *http.Request, id string) *response {
	return &response{w: w, rc: http.NewResponseController(w), id: id, method: r.Method, Resetter: resetter.New(r)}
}

// SendHead implements dispatcher.Sink.
func (r *response) SendHead(head *encoder.Head) error {
	if err := r.Arm(); err != nil {
		return err
	}
	for _, h := range head.GetHeaders() {
		if h.GetName() != encoder.HeaderAttemptID {
			r.w.Header().Set(h.GetName(), h.GetValue())
		}
	}
	r.stream = head.IsEventStream() && encoder.HasBody(r.method, int(head.GetStatus()))
	if head.GetReplayed() {
		r.w.Header().Set(headerReplayed, "true")
	}
	r.w.WriteHeader(int(head.GetStatus()))
	return nil
}

// SendData implements dispatcher.Sink.
func (r *response) SendData(data []byte) error {
	if _, err := r.w.Write(data); err != nil {
		return err
	}
	if r.stream {
		return r.rc.Flush()
	}
	return nil
}

// Complete implements dispatcher.Sink.
func (r *response) Complete() {
	if err := r.Disarm(r.w); err != nil {
		log.Info("failed to complete answer", "request_id", r.id, "error", err)
		return
	}
	r.complete = true
}

// refuse answers with a problem.
func (r *response) refuse(p *Problem) {
	p.write(r.w, r.id)
	r.complete = true
}

// sendErrorEvent adds an error event to an event stream that cannot be completed.
func (r *response) sendErrorEvent(p *Problem) {
	if !r.stream {
		return
	}
	data, err := json.Marshal(p.withID(r.id))
	if err != nil {
		log.Error("failed to encode problem", "request_id", r.id, "error", err)
		return
	}
	_, _ = fmt.Fprintf(r.w, "event: error\ndata: %s\n\n", data)
	_ = r.rc.Flush()
}

var abortedAnswers = metrics.NewCounter("siskinfall_answers_aborted_total")

// close ends the response. Unless the answer is complete, it panics with
// http.ErrAbortHandler: net/http ends the answer of a handler that returns as a
// complete one.
func (r *response) close() {
	if r.complete {
		return
	}
	abortedAnswers.Inc()
	log.Info("answer aborted", "request_id", r.id)
	panic(http.ErrAbortHandler)
}
