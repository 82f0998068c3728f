// Package forwarder takes requests of callers, hands each to a backend server,
// and passes the answer back whole.
package forwarder

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/backend/dialer"
	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/check/asserter"
	"siskinfall/internal/gateway/budgeter"
	"siskinfall/internal/gateway/placer"
	"siskinfall/internal/gateway/quarantiner"
)

// Request is what a caller's headers say.
type Request struct {
	// ID names one attempt of a caller.
	ID  string
	Key string
	// Wait is for how long the caller waits, 0 if it did not say.
	Wait time.Duration
	// PromptTokens and AnswerTokens are 0 where they are not told; the second is
	// an upper bound.
	PromptTokens, AnswerTokens int
	// LikelyTokens is the caller's estimate of the answer, right at the median and
	// often far off; 0 if it is not told.
	LikelyTokens int
	// AfterEvent is the last event that the caller has, 0 for none.
	AfterEvent int
}

// Outbound is what a backend server is told beside the caller's own headers.
type Outbound struct {
	ServerID string
	// Account is empty for public routes.
	Account string
	// Wait is what is left.
	Wait time.Duration
	// AfterEvent is the last event that the caller has, 0 for none.
	AfterEvent int
	// Urgency is from 0, the most urgent, to 9; below 0 it is not told.
	Urgency int
}

// ServerLoad is what an answer says of the server's load.
type ServerLoad struct{ Running, Waiting, Slots int }

// Answer is what the headers of a backend server's answer say.
type Answer struct {
	RequestID string
	ServerID  string
	// FaultAt names the server that keeps another from answering, if it is told.
	FaultAt string
	// NotRun says that the server has not run the request and never will.
	NotRun bool
	// Signed answers come from a backend server, not from something at its address.
	Signed    bool
	KeepAlive time.Duration
	Load      *ServerLoad
}

// Codec translates headers.
type Codec interface {
	DecodeRequest(h http.Header) Request
	// EncodeRequest changes a copy of the caller's headers.
	EncodeRequest(h http.Header, out Outbound)
	DecodeAnswer(status int, h http.Header) Answer
	// EncodeRefusal names the request and when to come back; after may be 0.
	EncodeRefusal(h http.Header, requestID string, after time.Duration)
}

// Bounds of requests.
const (
	// defaultWait is used where neither caller nor route say how long to wait.
	defaultWait = 30 * time.Second
	// defaultBody bounds a body before the catalog says how large it may be, in
	// bytes.
	defaultBody = 1 << 20
	// staleAfter is the age at which the catalog may lack what is new: a source is
	// silent for four seconds while nothing changes, and a change must be in force
	// within two.
	staleAfter = 5500 * time.Millisecond
	// noCatalogRetry is told while there is no catalog.
	noCatalogRetry = 500 * time.Millisecond
	// connectionShare is the part of a server's connections that one gateway may
	// use.
	connectionShare = 0.25
	// leastConnections is allowed whatever the share.
	leastConnections = 8
)

// Forwarder serves callers. It is safe for concurrent use.
type Forwarder struct {
	catalog *holder.Holder
	placer  *placer.Placer
	budget  *budgeter.Budget
	pool    *dialer.Pool
	crashes *quarantiner.Set
	codec   Codec
	// zone is the availability zone of this gateway.
	zone string
}

// New returns a Forwarder.
func New(catalog *holder.Holder, p *placer.Placer, budget *budgeter.Budget, pool *dialer.Pool, crashes *quarantiner.Set, codec Codec, zone string) *Forwarder {
	return &Forwarder{zone: zone, catalog: catalog, placer: p, budget: budget, pool: pool, crashes: crashes, codec: codec}
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Forwarder: f, w: w, r: r, start: time.Now(), Request: f.codec.DecodeRequest(r.Header)}
	if !x.admit() || !x.readBody() || !x.isHarmless() {
		return
	}
	x.serve(r.Context())
}

// exchange is one attempt of a caller.
type exchange struct {
	*Forwarder
	Request
	w     http.ResponseWriter
	r     *http.Request
	start time.Time
	// current is the catalog by which the request is handled from start to end.
	current *holder.Catalog
	route   *holder.Route
	// account is nil on public routes.
	account *holder.Account
	service string
	body    []byte
	// digest identifies the request when it is sent again.
	digest uint64
	// until is when the caller or the route gives up.
	until time.Time
	// eventBy is when the next event of a stream is due; zero for other answers.
	eventBy time.Time
	// tried names the servers that were handed the request, in order.
	tried []string
	// placed is the latest place, nil before the first.
	placed *placer.Placed
	// sent counts the times the request was handed over.
	sent int
	// lastEvent is the last event passed on, and passed says whether the head was.
	lastEvent int
	passed    bool
	// mayHaveRun says that some server may have begun to work on it.
	mayHaveRun bool
}

// admit finds route and client account, or answers and reports false.
func (x *exchange) admit() bool {
	x.current = x.catalog.Get()
	if x.current == nil {
		x.fail(http.StatusServiceUnavailable, "no catalog yet", noCatalogRetry)
		return false
	}
	if limit := x.current.Limits.HeaderBytes; limit > 0 && headerBytes(x.r) > limit {
		x.fail(http.StatusRequestHeaderFieldsTooLarge, "head too large", 0)
		return false
	}
	x.route = x.current.MatchRoute(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		return x.deny(http.StatusNotFound, "no route")
	}
	if !x.route.Public && x.current.NeedsKeys() {
		x.account = x.current.GetAccount(x.Key)
		if x.account == nil {
			return x.deny(http.StatusUnauthorized, "unknown key")
		}
	}
	wait := x.route.Timeout
	if x.Wait > 0 && (wait == 0 || x.Wait < wait) {
		wait = x.Wait
	}
	if wait == 0 {
		wait = defaultWait
	}
	x.until = x.start.Add(wait)
	x.expectEvent(x.start)
	x.service = pickTarget(x.route.Targets)
	x.budget.AddRequest(x.service, x.start)
	return true
}

// headerBytes is the size of a request's head on the wire.
func headerBytes(r *http.Request) int {
	const lineEnd, separator = 2, 2
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + 2 + lineEnd
	n += len("Host") + separator + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + separator + len(v) + lineEnd
		}
	}
	return n + lineEnd
}

// patienceUsed is the part of a caller's patience after which a silent stream is
// given up: the caller must hear of it before it leaves.
const patienceUsed = 0.88

// expectEvent sets when the next event is due.
func (x *exchange) expectEvent(now time.Time) {
	if x.route.Patience > 0 {
		x.eventBy = now.Add(time.Duration(float64(x.route.Patience) * patienceUsed))
	}
}

// isOverdue reports whether a stream has been silent for too long.
func (x *exchange) isOverdue(now time.Time) bool { return !x.eventBy.IsZero() && now.After(x.eventBy) }

// deny answers that the request is not allowed, if the catalog is recent enough
// to say so.
func (x *exchange) deny(status int, reason string) bool {
	age := x.catalog.GetAge(x.start)
	if age > staleAfter {
		x.fail(http.StatusServiceUnavailable, reason+", but the catalog may be old", noCatalogRetry)
		return false
	}
	x.fail(status, reason, 0)
	return false
}

func pickTarget(targets []holder.Target) string {
	total := 0
	for _, t := range targets {
		total += t.Weight
	}
	n := rand.IntN(total)
	for _, t := range targets {
		if n < t.Weight {
			return t.Service
		}
		n -= t.Weight
	}
	return targets[0].Service
}

// readBody reads the request's body whole, so that it can be handed over again,
// or answers and reports false.
func (x *exchange) readBody() bool {
	limit := x.current.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	if x.r.ContentLength == 0 {
		return true
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.fail(http.StatusRequestEntityTooLarge, "body too large", 0)
		return false
	case err != nil:
		log.Info("request broke off", "event", "ended", "request", x.ID, "step", "read_body", "error", err)
		panic(http.ErrAbortHandler)
	}
	x.body = body
	return true
}

// isHarmless reports whether the request has not crashed too many servers, or
// answers and reports false.
func (x *exchange) isHarmless() bool {
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	x.digest = quarantiner.Digest(x.r.Method, x.r.RequestURI, account, x.body)
	if !x.crashes.IsStopped(x.digest) {
		return true
	}
	x.fail(http.StatusServiceUnavailable, "request has crashed backend servers", 0)
	return false
}

// promisesNotRun reports whether a status says that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// fail ends a request without an answer of a backend server.
func (x *exchange) fail(status int, reason string, after time.Duration) {
	if promisesNotRun(status) && asserter.Holds(!x.mayHaveRun, asserter.RuleNotRun, "request %s, status %d, %s", x.ID, status, reason) != nil {
		status = http.StatusBadGateway
	}
	x.codec.EncodeRefusal(x.w.Header(), x.ID, after)
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, reason+"\n")
	x.logEnd(status, reason, after)
}

// logEnd tells how a request ended, and counts it.
func (x *exchange) logEnd(status int, reason string, after time.Duration) {
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	took := time.Since(x.start)
	countEnd(status, took)
	kv := []any{
		"event", "ended", "request", x.ID, "status", status, "reason", reason, "route", route, "service", x.service,
		"took", took, "sent", x.sent, "tried", x.tried, "catalog", x.catalog.GetVersion(),
	}
	if x.placed != nil {
		kv = append(kv, "server", x.placed.ID, "estimate", x.placed.Estimate, "report_age", x.placed.ReportAge())
	}
	if after > 0 {
		kv = append(kv, "retry_after", after)
	}
	if x.AnswerTokens > 0 {
		kv = append(kv, "prompt_tokens", x.PromptTokens, "answer_tokens", x.AnswerTokens, "likely_tokens", x.LikelyTokens)
	}
	if x.lastEvent > 0 {
		kv = append(kv, "last_event", x.lastEvent)
	}
	log.Info("request ended", kv...)
}
