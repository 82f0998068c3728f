// Package forwarder is the gateway's reverse proxy: it sends each request of a caller
// to a backend server and relays the answer. A partial answer never looks complete.
// Unlike package entry/dispatcher, it connects to backend servers itself, not through
// agents.
package forwarder

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/admission/admitter"
	"siskinfall/internal/backend/dialer"
	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/check/asserter"
	"siskinfall/internal/gateway/budgeter"
	"siskinfall/internal/gateway/hedger"
	"siskinfall/internal/gateway/placer"
	"siskinfall/internal/gateway/quarantiner"
	"siskinfall/internal/process/accountant"
)

// Request holds what the headers of a caller's request contain.
type Request struct {
	// ID identifies the request; a client retry has another ID.
	ID string
	// Key is the API key, empty if there is none.
	Key string
	// Timeout is the caller's timeout, 0 if it sent none.
	Timeout time.Duration
	// PromptTokens is the length of the prompt and MaxAnswerTokens an upper bound for
	// the length of the answer; 0 if the caller sent none.
	PromptTokens, MaxAnswerTokens int
	// EstimatedAnswerTokens is the caller's estimate of the answer's length, right at the
	// median and often far off; 0 if it sent none.
	EstimatedAnswerTokens int
	// LastEventID is the number of the last event that the caller has, 0 for none.
	LastEventID int
	// SharedParts are the IDs of the parts of the prompt that other requests may have too, in
	// the order of the prompt.
	SharedParts []uint64
}

// Outbound holds what the gateway adds to the caller's headers for a backend server.
type Outbound struct {
	ServerID string
	// Account is empty for public routes.
	Account string
	// Timeout is the remaining time until the deadline.
	Timeout time.Duration
	// LastEventID is the number of the last event that the caller has, 0 for none.
	LastEventID int
	// Priority is from 0, the most urgent, to 9. It is not sent if negative.
	Priority int
}

// ServerLoad is the load of a server as reported in the headers of an answer.
type ServerLoad struct{ Running, Waiting, Slots int }

// Answer holds what the headers of a backend server's answer contain.
type Answer struct {
	RequestID string
	ServerID  string
	// FaultyServer names another server that keeps this one from answering, empty if
	// none is reported.
	FaultyServer string
	// NotRun is set if the server has not run the request and never will.
	NotRun bool
	// Signed is set if the answer comes from a backend server, and not from
	// another process at its address.
	Signed bool
	// KeepAlive is how long the server keeps the idle connection, 0 if it sent
	// nothing.
	KeepAlive time.Duration
	Load      *ServerLoad
	// Leaving is set if the server says that it leaves.
	Leaving bool
	// Pause is how long the server wants no requests of this gateway, 0 if it said nothing.
	Pause time.Duration
	// Cold is for how long the server says that it is cold, 0 if it said nothing.
	Cold time.Duration
}

// Codec decodes and encodes the headers of a platform.
type Codec interface {
	DecodeRequest(h http.Header) Request
	// EncodeRequest changes h, a copy of the caller's headers, in place.
	EncodeRequest(h http.Header, out Outbound)
	DecodeAnswer(status int, h http.Header) Answer
	// EncodeRefusal sets the request ID and the time to retry after, which is left
	// out if it is 0.
	EncodeRefusal(h http.Header, requestID string, after time.Duration)
}

const (
	// defaultTimeout is used if neither caller nor route set a timeout.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes is used if the catalog sets no limit.
	defaultMaxBodyBytes = 1 << 20
	// maxCatalogAge is the age beyond which the catalog may lack recent changes. A
	// source is silent for up to four seconds while nothing changes, and a change
	// must take effect within two.
	maxCatalogAge = 5500 * time.Millisecond
	// noCatalogRetryAfter is sent while there is no catalog or a stale one.
	noCatalogRetryAfter = 500 * time.Millisecond
	// connectionShare is the fraction of a server's connections that one gateway
	// may use.
	connectionShare = 0.25
	// minConnections is always allowed, even beyond connectionShare.
	minConnections = 8
)

// Forwarder is the HTTP handler for callers' requests. It is safe for concurrent use.
type Forwarder struct {
	catalog    *holder.Holder
	placer     *placer.Placer
	budget     *budgeter.Budget
	pool       *dialer.Pool
	quarantine *quarantiner.Set
	codec      Codec
	// hedger is nil where no second attempts are made.
	hedger *hedger.Hedger
	// zone is the availability zone of this gateway.
	zone string
	// drain is nil until the process is asked to stop.
	drain atomic.Pointer[drainPeriod]
	// ended is done once requests in flight have to be answered, by endRequests.
	ended       context.Context //nolint:containedctx // it ends with the process, not with a call
	endRequests context.CancelFunc
	// gates is nil without admission.
	gates *gates
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithSecondAttempts makes second attempts beside slow ones, for each request at most a ratio.
func WithSecondAttempts(ratio float64) Option {
	return func(f *Forwarder) {
		if ratio > 0 {
			f.hedger = hedger.New(ratio)
		}
	}
}

// New returns a Forwarder for the gateway in a zone.
func New(catalog *holder.Holder, p *placer.Placer, budget *budgeter.Budget, pool *dialer.Pool, quarantine *quarantiner.Set, codec Codec, zone string, opts ...Option) *Forwarder {
	ended, endRequests := context.WithCancel(context.Background())
	f := &Forwarder{
		zone: zone, catalog: catalog, placer: p, budget: budget, pool: pool, quarantine: quarantine, codec: codec,
		ended: ended, endRequests: endRequests,
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := f.newExchange(w, r)
	if x.admit() && x.readBody() && x.checkDrain(time.Now()) && x.checkQuarantine() {
		x.serve(r.Context())
	}
	if x.isTrial {
		f.quarantine.EndTrial(x.digest, x.mayHaveRun, x.parts...)
	}
	x.w.end()
}

func (f *Forwarder) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	req := f.codec.DecodeRequest(r.Header)
	return &exchange{
		Forwarder: f, w: newReply(w, r, req.ID), r: r, start: time.Now(), Request: req, memory: accountant.FromContext(r.Context()),
	}
}

// exchange is the state of one request over its attempts at backend servers.
type exchange struct {
	*Forwarder
	Request
	w     *reply
	r     *http.Request
	start time.Time
	// snapshot is the catalog that applies to the request from start to end.
	snapshot *holder.Catalog
	route    *holder.Route
	// account is nil on public routes, and if the catalog requires no keys.
	account *holder.Account
	service string
	// memory is the account of the caller's connection, nil without bounds.
	memory *accountant.Account
	body   []byte
	// hasBody is set once the body has been read to its end.
	hasBody bool
	// digest identifies the request across client retries.
	digest uint64
	// parts holds the digests of the shared parts of the prompt, in its order.
	parts []uint64
	// partsServed is set once a server has answered more than the beginning.
	partsServed bool
	// isTrial is set if the request would be blocked but may be sent once.
	isTrial bool
	// deadline results from the timeouts of the caller and the route.
	deadline time.Time
	// eventDeadline is when the next event is due; zero if the route has no
	// patience.
	eventDeadline time.Time
	// ticket is the request's place at its service, nil without admission.
	ticket *admitter.Ticket
	// tried holds the IDs of the servers that were tried, in order.
	tried []string
	// placed is the latest placement, nil before the first.
	placed *placer.Placed
	// attempts counts how often the request was sent to a server, sentAt is when it last was.
	attempts int
	sentAt   time.Time
	// attemptEvents counts the events with data of the latest attempt.
	attemptEvents int
	// lastEvent is the number of the last relayed event.
	lastEvent int
	// unnumbered is set once an event with data but no number was relayed. Such a stream
	// can't be resumed, since the next server would send the event again.
	unnumbered bool
	// mayHaveRun is set once a server may have begun to run the request.
	mayHaveRun bool
}

// admit determines route, client account, deadline and service, or answers and
// reports false.
func (x *exchange) admit() bool {
	x.snapshot = x.catalog.Get()
	if x.snapshot == nil {
		x.fail(http.StatusServiceUnavailable, "no catalog yet", noCatalogRetryAfter)
		return false
	}
	if limit := x.snapshot.Limits.HeaderBytes; limit > 0 && headerBytes(x.r) > limit {
		x.fail(http.StatusRequestHeaderFieldsTooLarge, "head too large", 0)
		return false
	}
	x.route = x.snapshot.MatchRoute(x.r.Host, getTargetPath(x.r.RequestURI))
	if x.route == nil {
		return x.deny(http.StatusNotFound, "no route")
	}
	if !x.route.Public && x.snapshot.NeedsKeys() {
		x.account = x.snapshot.GetAccount(x.Key)
		if x.account == nil {
			return x.deny(http.StatusUnauthorized, "unknown key")
		}
	}
	timeout := x.route.Timeout
	if x.Timeout > 0 && (timeout == 0 || x.Timeout < timeout) {
		timeout = x.Timeout
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	x.deadline = x.start.Add(timeout)
	x.extendEventDeadline(x.start)
	x.service = pickTarget(x.route.Targets)
	x.budget.AddRequest(x.service, x.start)
	if x.hedger != nil {
		x.hedger.AddRequest(x.service)
	}
	return true
}

// headerBytes returns the size of a request's head on the wire.
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

const (
	// patienceFraction is the fraction of a route's patience after which an attempt without
	// a first event is abandoned, so that the caller gets an answer before it leaves.
	patienceFraction = 0.88
	// begunPatienceFraction is the same for an answer that has begun. Its end is no answer to
	// the caller, who may still get the next event, so the caller leaves first.
	begunPatienceFraction = 1.1
)

// extendEventDeadline sets the deadline of the next event.
func (x *exchange) extendEventDeadline(now time.Time) {
	if x.route.Patience <= 0 {
		return
	}
	fraction := patienceFraction
	if x.w.hasBegun() {
		fraction = begunPatienceFraction
	}
	x.eventDeadline = now.Add(time.Duration(float64(x.route.Patience) * fraction))
}

// isEventOverdue reports whether the deadline of the next event has passed.
func (x *exchange) isEventOverdue(now time.Time) bool {
	return !x.eventDeadline.IsZero() && now.After(x.eventDeadline)
}

// deny refuses a request that the catalog does not allow. With a stale catalog, the
// status asks for a client retry instead. It always reports false.
func (x *exchange) deny(status int, reason string) bool {
	age := x.catalog.GetAge(x.start)
	if age > maxCatalogAge {
		x.fail(http.StatusServiceUnavailable, reason+", but the catalog may be old", noCatalogRetryAfter)
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

// checkQuarantine reports whether the request may be sent, or answers that it has
// crashed too many servers and reports false.
func (x *exchange) checkQuarantine() bool {
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	x.digest = quarantiner.Digest(x.r.Method, x.r.RequestURI, account, x.body)
	for _, id := range x.SharedParts {
		x.parts = append(x.parts, quarantiner.PartDigest(id))
	}
	if !x.quarantine.IsComplete() {
		x.fail(http.StatusServiceUnavailable, "crashes seen by other gateways are not known yet", noCatalogRetryAfter)
		return false
	}
	switch x.quarantine.Admit(x.digest, x.start, x.parts...) {
	case quarantiner.Blocked:
		quarantined.Inc()
		x.fail(http.StatusServiceUnavailable, "request, or a part of its prompt, has crashed backend servers", 0)
		return false
	case quarantiner.Trial:
		x.isTrial = true
		trials.Inc()
		log.Warn("blocked request is tried once more", "event", "trial", "request", x.ID, "digest", x.digest, "parts", x.parts)
	case quarantiner.Clear:
	}
	return true
}

// promisesNotRun reports whether a status means that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// fail answers a request without an answer of a backend server. The answer must not have
// begun.
func (x *exchange) fail(status int, reason string, retryAfter time.Duration) {
	if promisesNotRun(status) && asserter.Holds(!x.mayHaveRun, asserter.RuleNotRun, "request %s, status %d, %s", x.ID, status, reason) != nil {
		status = http.StatusBadGateway
	}
	x.abandonBody()
	x.codec.EncodeRefusal(x.w.Header(), x.ID, retryAfter)
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	err := x.w.sendHead(status)
	if err == nil {
		_, err = io.WriteString(x.w, reason+"\n")
	}
	if err == nil {
		x.w.setComplete()
	}
	x.logEnd(status, reason, retryAfter)
}

// logEnd logs and counts the end of a request.
func (x *exchange) logEnd(status int, reason string, retryAfter time.Duration) {
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	took := time.Since(x.start)
	countEnd(status, took)
	fields := []any{
		"event", "ended", "request", x.ID, "status", status, "sent_status", x.w.status, "reason", reason, "route", route, "service", x.service,
		"took", took, "sent", x.attempts, "tried", x.tried, "catalog", x.catalog.GetVersion(),
		"digest", x.digest,
	}
	if len(x.parts) > 0 {
		fields = append(fields, "parts", x.parts)
	}
	if x.placed != nil {
		fields = append(fields, "server", x.placed.ID, "estimate", x.placed.Estimate, "report_age", x.placed.ReportAge())
	}
	if retryAfter > 0 {
		fields = append(fields, "retry_after", retryAfter)
	}
	if x.MaxAnswerTokens > 0 {
		fields = append(fields, "prompt_tokens", x.PromptTokens, "answer_tokens", x.MaxAnswerTokens, "likely_tokens", x.EstimatedAnswerTokens)
	}
	if x.lastEvent > 0 {
		fields = append(fields, "last_event", x.lastEvent)
	}
	fields = append(fields, x.admissionFields()...)
	log.Info("request ended", fields...)
}
