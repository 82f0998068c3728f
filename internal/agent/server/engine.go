package server

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"siskinfall/internal/backend/limiter"
	"siskinfall/internal/expert/follower"
	"siskinfall/internal/expert/planner"
)

// Paths of the agent's interface for the local engine.
const (
	PathBeginStep   = "/engine/steps/begin"
	PathConfirmStep = "/engine/steps/confirm"
	PathSample      = "/engine/samples"
)

// BeginRequest is an engine's request to begin a step.
type BeginRequest struct {
	Step uint64 `json:"step"`
	// KnownVersion is the version of the map that the engine has. The map is sent if
	// the step uses another version.
	KnownVersion uint64 `json:"known_version"`
}

// BeginReply grants a step.
type BeginReply struct {
	follower.Assignment
	// Incarnation is the agent's. The engine refuses grants of an older incarnation.
	Incarnation uint64 `json:"incarnation"`
	// Layers is empty if the engine has the map.
	Layers []planner.Layer `json:"layers,omitempty"`
}

// stepHandler is the part of a GroupHandler that the engine's interface uses. Handlers
// without it serve no steps.
type stepHandler interface {
	BeginStep(ctx context.Context, step uint64) (follower.Assignment, *planner.Map, error)
	ConfirmStep(all []follower.Assignment) error
	AddSample(s follower.Sample)
}

// AdminHandler returns the HTTP handler for metrics, health and the local engine.
func (s *Server) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "alive\n") })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	if handler, ok := s.group.(stepHandler); ok {
		mux.HandleFunc("POST "+PathBeginStep, func(w http.ResponseWriter, r *http.Request) { s.beginStep(w, r, handler) })
		mux.HandleFunc("POST "+PathConfirmStep, func(w http.ResponseWriter, r *http.Request) { confirmStep(w, r, handler) })
		mux.HandleFunc("POST "+PathSample, func(w http.ResponseWriter, r *http.Request) { addSample(w, r, handler) })
	}
	return mux
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) beginStep(w http.ResponseWriter, r *http.Request, handler stepHandler) {
	var req BeginRequest
	if !decode(w, r, &req) {
		return
	}
	a, m, err := handler.BeginStep(r.Context(), req.Step)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	reply := BeginReply{Assignment: a, Incarnation: s.incarnation}
	if a.Version != req.KnownVersion {
		reply.Layers = m.Layers
	}
	_ = json.NewEncoder(w).Encode(reply)
}

func confirmStep(w http.ResponseWriter, r *http.Request, handler stepHandler) {
	var all []follower.Assignment
	if !decode(w, r, &all) {
		return
	}
	if err := handler.ConfirmStep(all); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

func addSample(w http.ResponseWriter, r *http.Request, handler stepHandler) {
	var sample follower.Sample
	if decode(w, r, &sample) {
		handler.AddSample(sample)
	}
}

// maxEngineRequestBytes is three times the size of a sample with 20-digit counts for 128
// layers of 128 experts.
const maxEngineRequestBytes = 1 << 20

// decode decodes an engine's request, or answers that it can't and reports false.
func decode(w http.ResponseWriter, r *http.Request, out any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEngineRequestBytes)).Decode(out)
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		limiter.Report(limiter.Source{Server: r.RemoteAddr, Step: "engine_request"}, tooLarge.Limit)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
