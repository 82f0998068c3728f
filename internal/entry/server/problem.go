package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"siskinfall/internal/entry/dispatcher"
	"siskinfall/internal/wire/encoder"
)

// Problem is the application/problem+json body of a refusal.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Code is stable.
	Code      string `json:"code"`
	RequestID string `json:"request_id"`
	Step      string `json:"step"`
	// Execution is not_run, unknown or completed.
	Execution string `json:"execution"`
	Detail    string `json:"detail,omitempty"`
	// RetryAfter is sent in whole seconds, rounded up; 0 is not sent.
	RetryAfter        time.Duration `json:"-"`
	RetryAfterSeconds int           `json:"retry_after,omitempty"`
}

func newProblem(status int, code, step, detail string) *Problem {
	return &Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Code: code, Step: step, Detail: detail,
		Execution: dispatcher.ExecutionName(encoder.Execution_EXECUTION_NOT_RUN),
	}
}

func newRefusalProblem(r *dispatcher.Refused) *Problem {
	p := newProblem(r.Status(), r.Code, r.Step, r.Detail)
	p.Execution = dispatcher.ExecutionName(r.Execution)
	p.RetryAfter = r.RetryAfter
	return p
}

func (p *Problem) withID(id string) *Problem {
	p.RequestID = id
	if p.RetryAfter > 0 {
		p.RetryAfterSeconds = int(math.Ceil(p.RetryAfter.Seconds()))
	}
	return p
}

// write sends the problem as the complete response.
func (p *Problem) write(w http.ResponseWriter, id string) {
	p.withID(id)
	w.Header().Set("Content-Type", "application/problem+json")
	if p.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(p.RetryAfterSeconds))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
