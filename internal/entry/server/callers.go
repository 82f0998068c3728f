package server

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"siskinfall/internal/admission/limiter"
	"siskinfall/internal/config/registrar"
	"siskinfall/internal/entry/dispatcher"
	"siskinfall/internal/report/burner"
	"siskinfall/internal/wire/encoder"
)

// Header names of the HTTP interface for callers.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerClass          = "X-Siskinfall-Class"
	headerReplayed       = "Idempotency-Replayed"
	headerTimeout        = "X-Request-Timeout"
)

// Limits on a caller's request.
const (
	maxKeyLength = 128
	// maxPrefixBytes bounds the start of the prompt that is hashed.
	maxPrefixBytes = 1024
)

// forwardedHeaders are the request headers that are sent to the backend server.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", headerIdempotencyKey}

// chatRequest is the part of a chat request that routing reads.
type chatRequest struct {
	Model    string          `json:"model"`
	Messages json.RawMessage `json:"messages"`
}

// serveModel serves chat completions; the model names the service.
func (s *Server) serveModel(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, func(snap *registrar.Snapshot, body []byte) (*registrar.Service, uint64, *Problem) {
		var c chatRequest
		if err := json.Unmarshal(body, &c); err != nil {
			return nil, 0, newProblem(http.StatusBadRequest, encoder.CodeBadRequest, "parse_request", "the body is not a chat request")
		}
		svc := snap.Services[c.Model]
		if svc == nil || svc.Kind != registrar.ServiceModel {
			return nil, 0, newProblem(http.StatusNotFound, encoder.CodeNotFound, "find_service", "there is no such model")
		}
		return svc, hashPrefix(c.Messages), nil
	})
}

func hashPrefix(messages []byte) uint64 {
	return xxhash.Sum64(messages[:min(len(messages), maxPrefixBytes)])
}

// servePlain serves plain services; the path names the service.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, func(snap *registrar.Snapshot, _ []byte) (*registrar.Service, uint64, *Problem) {
		svc, ok := snap.GetServiceByPath(r.URL.Path)
		if !ok {
			return nil, 0, newProblem(http.StatusNotFound, encoder.CodeNotFound, "find_service", "no service has this path")
		}
		return svc, 0, nil
	})
}

// serviceFinder returns the service of a request and the hash of the start of its
// prompt.
type serviceFinder func(snap *registrar.Snapshot, body []byte) (*registrar.Service, uint64, *Problem)

var requestSeq atomic.Uint64

// newRequestID returns an ID that is unique over all instances and restarts.
func (s *Server) newRequestID() string {
	return fmt.Sprintf("%s-%x-%d", s.cfg.Instance, s.incarnation, requestSeq.Add(1))
}

// getPublicID returns the caller's own request ID if it sent a valid one, else
// generated. Attempts always carry a generated ID, since a caller may use an ID
// twice.
func getPublicID(r *http.Request, generated string) string {
	id := r.Header.Get(headerRequestID)
	if id == "" || len(id) > maxKeyLength || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return generated
	}
	return id
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, find serviceFinder) {
	id := getPublicID(r, s.newRequestID())
	w.Header().Set(headerRequestID, id)
	resp := newResponse(w, r, id)
	s.answer(resp, r, find)
	resp.close()
}

// answer refuses or runs a request.
func (s *Server) answer(resp *response, r *http.Request, find serviceFinder) {
	if !s.Accept() {
		resp.refuse(newProblem(http.StatusServiceUnavailable, encoder.CodeDraining, "accept", "this instance is shutting down"))
		return
	}
	defer s.Finish()
	if !s.configured.Load() {
		resp.refuse(newProblem(http.StatusServiceUnavailable, encoder.CodeNotReady, "accept", "this instance has no configuration yet"))
		return
	}
	if !s.suspectsKnown.Load() {
		resp.refuse(newProblem(http.StatusServiceUnavailable, encoder.CodeNotReady, "accept", "crashes seen by other instances are not known yet"))
		return
	}
	req, problem := s.newRequest(resp.w, r, resp.id, find)
	if problem != nil {
		resp.refuse(problem)
		return
	}
	s.runRequest(resp, r, req)
}

// newRequest authenticates and checks a request, and sets its service, class,
// deadline and key.
func (s *Server) newRequest(w http.ResponseWriter, r *http.Request, id string, find serviceFinder) (*dispatcher.Request, *Problem) {
	snap := s.activeConfig.Get()
	account, ok := snap.GetAccountByKey(bearerKey(r))
	if !ok {
		return nil, newProblem(http.StatusUnauthorized, encoder.CodeUnauthorized, "authenticate", "the bearer key is not known")
	}
	body, problem := readBody(w, r, s.cfg.Entry.MaxBody, id)
	if problem != nil {
		return nil, problem
	}
	svc, prefix, problem := find(snap, body)
	if problem != nil {
		return nil, problem
	}
	if len(account.Services) > 0 && !slices.Contains(account.Services, svc.Name) {
		return nil, newProblem(http.StatusForbidden, encoder.CodeForbidden, "authorize", "the client account may not use this service")
	}
	req := &dispatcher.Request{
		ID: s.newRequestID(), PublicID: id, Account: account, Service: svc,
		ConfigNumber: snap.GetNumber(registrar.Ref{Kind: registrar.KindService, Name: svc.Name}),
		Method:       r.Method, Path: r.URL.RequestURI(), Headers: forwardHeaders(r), Body: body,
		Idempotent: svc.IsIdempotent(r.Method, r.URL.Path), PrefixHash: prefix,
		Priority: snap.GetClassIndex(getClass(r, account)), Deadline: time.Now().Add(getTimeout(r, svc)),
		Digest: newDigest(account.Name, r.Method, r.URL.RequestURI(), body),
	}
	return req, s.setIdempotencyKey(r, req)
}

// setIdempotencyKey sets the key of a non-idempotent request: the caller's, or the
// request ID. The prefixes keep the two apart.
func (s *Server) setIdempotencyKey(r *http.Request, req *dispatcher.Request) *Problem {
	key := r.Header.Get(headerIdempotencyKey)
	switch {
	case req.Idempotent:
		return nil
	case len(key) > maxKeyLength || strings.ContainsAny(key, "/\n"):
		return newProblem(http.StatusBadRequest, encoder.CodeBadRequest, "check_key", "the idempotency key is too long or has a slash")
	case key != "":
		req.Key = "c:" + key
		return nil
	case req.Service.RequireKey:
		return newProblem(http.StatusBadRequest, encoder.CodeKeyRequired, "check_key", "this service requires an Idempotency-Key")
	}
	req.Key = "r:" + req.ID
	return nil
}

func bearerKey(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return key
}

func getClass(r *http.Request, a *registrar.ClientAccount) string {
	if class := r.Header.Get(headerClass); class != "" {
		return class
	}
	return a.Class
}

// getTimeout returns the service's timeout, or a shorter one from the request.
func getTimeout(r *http.Request, svc *registrar.Service) time.Duration {
	requested, err := time.ParseDuration(r.Header.Get(headerTimeout))
	if err != nil || requested <= 0 {
		return svc.Timeout
	}
	return min(requested, svc.Timeout)
}

func forwardHeaders(r *http.Request) []*encoder.Header {
	var list []*encoder.Header
	for _, name := range forwardedHeaders {
		if v := r.Header.Get(name); v != "" {
			list = append(list, &encoder.Header{Name: name, Value: v})
		}
	}
	return list
}

// newDigest returns a hash that identifies a request by its content and client
// account.
func newDigest(parts ...any) []byte {
	h := sha256.New()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%v\x00", p)
	}
	return h.Sum(nil)
}

// runRequest admits a request and writes its outcome.
func (s *Server) runRequest(resp *response, r *http.Request, req *dispatcher.Request) {
	req.Trace = s.recorder.NewTrace(req.PublicID, req.Account.Name, req.Service.Name)
	release, wait, err := s.limiter.Acquire(r.Context(), req.Account)
	if err != nil {
		req.Trace.Add("limit", "refused: %v", err)
		resp.refuse(newLimitProblem(err, wait))
		countRequest(req, "limited")
		return
	}
	defer release()
	outcome := s.dispatcher.Do(r.Context(), req, resp)
	s.recordOutcome(req, outcome)
	refused, ok := outcome.(*dispatcher.Refused)
	if !ok {
		return
	}
	log.Info("request refused", "request_id", req.PublicID, "attempts_of", req.ID, "client_account", req.Account.Name, "service", req.Service.Name,
		"code", refused.Code, "step", refused.Step, "execution", dispatcher.ExecutionName(refused.Execution))
	p := newRefusalProblem(refused)
	if refused.HeadSent {
		resp.sendErrorEvent(p)
		return
	}
	resp.refuse(p)
}

func newLimitProblem(err error, wait time.Duration) *Problem {
	code := encoder.CodeRateLimited
	if errors.Is(err, limiter.ErrConcurrency) {
		code = encoder.CodeConcurrency
	}
	p := newProblem(http.StatusTooManyRequests, code, "limit", err.Error())
	p.RetryAfter = wait
	return p
}

// recordOutcome adds the outcome to the service-level history and the metrics.
func (s *Server) recordOutcome(req *dispatcher.Request, outcome dispatcher.Outcome) {
	result, good := "gone", true
	switch o := outcome.(type) {
	case *dispatcher.Completed:
		result = "completed"
		good = o.Status < http.StatusInternalServerError && o.FirstByte <= req.Service.Objective.FirstByte
	case *dispatcher.Refused:
		result = o.Code
		good = o.Code == encoder.CodeKeyReused || o.Code == encoder.CodeCulprit
	case *dispatcher.CallerGone:
	}
	classes := s.activeConfig.Get().Ranking.Classes
	class := classes[min(req.Priority, len(classes)-1)].Name
	s.burnCounter.Add(burner.Key{Service: req.Service.Name, Class: class}, good, time.Now())
	countRequest(req, result)
}

func countRequest(req *dispatcher.Request, result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskinfall_requests_total{service=%q,result=%q}`, req.Service.Name, result)).Inc()
}
