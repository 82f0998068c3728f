package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"siskinfall/internal/expert/follower"
	"siskinfall/internal/expert/planner"
)

// Paths of the agent's interface for the local engine.
const (
	PathBeginStep   = "/engine/steps/begin"
	PathConfirmStep = "/engine/steps/confirm"
	PathSample      = "/engine/samples"
)

// BeginRequest asks whether a step may begin.
type BeginRequest struct {
	Step uint64 `json:"step"`
	// KnownVersion is the version whose map the engine has; others are sent.
	KnownVersion uint64 `json:"known_version"`
}

// BeginReply lets a step begin.
type BeginReply struct {
	follower.Assignment
	// Incarnation is the agent's; the engine takes no grant from an older one.
	Incarnation uint64 `json:"incarnation"`
	// Layers is empty when the engine knows the map.
	Layers []planner.Layer `json:"layers,omitempty"`
}

// stepGate is what the engine's interface needs of the group side.
type stepGate interface {
	BeginStep(ctx context.Context, step uint64) (follower.Assignment, *planner.Map, error)
	ConfirmStep(all []follower.Assignment) error
	AddSample(s follower.Sample)
}

// AdminHandler returns the HTTP interface for metrics, health and the engine.
func (s *Server) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "alive\n") })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	if gate, ok := s.group.(stepGate); ok {
		mux.HandleFunc("POST "+PathBeginStep, func(w http.ResponseWriter, r *http.Request) { s.beginStep(w, r, gate) })
		mux.HandleFunc("POST "+PathConfirmStep, func(w http.ResponseWriter, r *http.Request) { confirmStep(w, r, gate) })
		mux.HandleFunc("POST "+PathSample, func(w http.ResponseWriter, r *http.Request) { addSample(w, r, gate) })
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

func (s *Server) beginStep(w http.ResponseWriter, r *http.Request, gate stepGate) {
	var req BeginRequest
	if !decode(w, r, &req) {
		return
	}
	a, m, err := gate.BeginStep(r.Context(), req.Step)
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

func confirmStep(w http.ResponseWriter, r *http.Request, gate stepGate) {
	var all []follower.Assignment
	if !decode(w, r, &all) {
		return
	}
	if err := gate.ConfirmStep(all); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

func addSample(w http.ResponseWriter, r *http.Request, gate stepGate) {
	var sample follower.Sample
	if decode(w, r, &sample) {
		gate.AddSample(sample)
	}
}

func decode(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
