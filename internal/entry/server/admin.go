package server

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"siskinfall/internal/execution/guard"
	"siskinfall/internal/store/storer"
	"siskinfall/internal/wire/encoder"
)

// Roles of operators.
const (
	roleReader   = "reader"
	roleOperator = "operator"
)

// maxTicketBytes bounds the body of a ticket.
const maxTicketBytes = 4 << 20

func (s *Server) bootID() string { return strconv.FormatUint(s.incarnation, 36) }

// AdminHandler returns the HTTP interface for operators, metrics and health.
func (s *Server) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "alive\n") })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("POST /v1/tickets", s.authorize(roleOperator, s.postTicket))
	mux.HandleFunc("GET /v1/tickets", s.authorize(roleReader, s.getTickets))
	mux.HandleFunc("GET /v1/config", s.authorize(roleReader, s.getConfig))
	mux.HandleFunc("GET /v1/status", s.authorize(roleReader, s.serveStatus))
	mux.HandleFunc("GET /v1/events", s.authorize(roleReader, s.getEvents))
	mux.HandleFunc("GET /v1/explain/{id}", s.authorize(roleReader, s.getExplain))
	mux.HandleFunc("GET /v1/explain/map/{group}", s.authorize(roleReader, s.getExplainMap))
	mux.HandleFunc("GET /v1/report/burn", s.authorize(roleReader, s.getBurn))
	mux.HandleFunc("GET /v1/executions/{account}/{service}/{key}", s.authorize(roleReader, s.getExecution))
	mux.HandleFunc("POST /v1/executions/{account}/{service}/{key}", s.authorize(roleOperator, s.settleExecution))
	return s.boundBodies(mux)
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// operatorContextKey is the context key of the operator's name.
type operatorContextKey struct{}

// authorize calls next only for operators that have the role. Without configured
// operator keys, only requests from a loopback address are allowed.
func (s *Server) authorize(role string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name, ok := s.findOperator(r, role)
		if !ok {
			log.Warn("operator request refused", "step", "authorize", "peer", r.RemoteAddr, "method", r.Method, "path", r.URL.Path)
			newProblem(http.StatusForbidden, encoder.CodeForbidden, "authorize", "the key does not have the role "+role).write(w, "")
			return
		}
		next(w, r.WithContext(context.WithValue(r.Context(), operatorContextKey{}, name)))
	}
}

func (s *Server) findOperator(r *http.Request, role string) (string, bool) {
	if len(s.cfg.Entry.OperatorKeys) == 0 {
		addr, err := netip.ParseAddrPort(r.RemoteAddr)
		return "loopback", err == nil && addr.Addr().Unmap().IsLoopback()
	}
	sum := sha256.Sum256([]byte(bearerKey(r)))
	for _, k := range s.cfg.Entry.OperatorKeys {
		raw, err := hex.DecodeString(k.Hash)
		if err == nil && subtle.ConstantTimeCompare(raw, sum[:]) == 1 {
			return k.Name, role == roleReader || k.Role == roleOperator
		}
	}
	return "", false
}

func getOperatorName(r *http.Request) string {
	name, _ := r.Context().Value(operatorContextKey{}).(string)
	return name
}

func (s *Server) getTickets(w http.ResponseWriter, r *http.Request) {
	list, err := s.registry.ListTickets(r.Context())
	if err != nil {
		newProblem(http.StatusServiceUnavailable, encoder.CodeStoreUnavailable, "list_tickets", err.Error()).write(w, "")
		return
	}
	writeJSON(w, list)
}

func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	view := StatusView{Entries: []EntryView{}, Agents: []AgentView{}}
	ownDigest := s.activeConfig.Get().Digest
	for _, a := range s.queryAll(r.Context(), &encoder.StatusQuery{}) {
		view.Entries = append(view.Entries, EntryView{
			Instance: a.Instance.Name, Zone: a.Instance.Zone, Reached: a.Err == nil, Ready: a.Status.GetReady(),
			Digest: strconv.FormatUint(a.Status.GetConfigDigest(), 16), Lagging: a.Status.GetConfigDigest() != ownDigest,
		})
	}
	sort.Slice(view.Entries, func(i, j int) bool { return view.Entries[i].Instance < view.Entries[j].Instance })
	for _, target := range s.tracker.GetTargets() {
		st, reportedAt := target.GetStatus()
		view.Agents = append(view.Agents, AgentView{
			Instance: target.Name, Zone: target.Zone, Service: st.GetService(), Group: st.GetGroup(), Running: st.GetRunning(),
			Queued: st.GetQueued(), Available: target.IsAvailable(), Leaving: st.GetLeaving(), Crashes: st.GetCrashes(), Age: time.Since(reportedAt),
		})
	}
	writeJSON(w, view)
}

func executionID(r *http.Request) guard.ID {
	return guard.ID{Account: r.PathValue("account"), Service: r.PathValue("service"), Key: r.PathValue("key")}
}

func (s *Server) getExecution(w http.ResponseWriter, r *http.Request) {
	exec, err := s.executions.GetExecution(r.Context(), executionID(r))
	if err != nil {
		newExecutionProblem(err).write(w, "")
		return
	}
	writeJSON(w, exec)
}

func newExecutionProblem(err error) *Problem {
	if guard.IsErrExecutionNotExist(err) {
		return newProblem(http.StatusNotFound, encoder.CodeNotFound, "read_execution", err.Error())
	}
	if errors.Is(err, guard.ErrBadTransition) || storer.IsErrConflict(err) {
		return newProblem(http.StatusConflict, "execution_decided", "settle_execution", err.Error())
	}
	return newProblem(http.StatusServiceUnavailable, encoder.CodeStoreUnavailable, "read_execution", err.Error())
}

func (s *Server) settleExecution(w http.ResponseWriter, r *http.Request) {
	ran := r.URL.Query().Get("outcome") == "completed"
	if err := s.executions.Settle(r.Context(), executionID(r), ran, getOperatorName(r)); err != nil {
		newExecutionProblem(err).write(w, "")
		return
	}
	s.recorder.AddEvent("settled", "execution %s settled by %s, ran: %v", executionID(r).RowKey(), getOperatorName(r), ran)
	s.getExecution(w, r)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Listen returns a TCP listener on addr.
func Listen(addr netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", addr.String())
}
