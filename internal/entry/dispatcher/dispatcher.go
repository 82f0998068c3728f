// Package dispatcher makes the attempts of a caller's request until the caller
// has a whole answer or a refusal that says whether the request may have run. The
// attempts go to the agents of backend servers; on the users' platform, package
// gateway/forwarder connects to the backend servers itself.
package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"siskinfall/internal/config/registrar"
	"siskinfall/internal/execution/guard"
	"siskinfall/internal/report/recorder"
	"siskinfall/internal/routing/picker"
	"siskinfall/internal/routing/tracker"
	"siskinfall/internal/suspect/isolator"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// Request is a caller's request after it was checked and admitted.
type Request struct {
	// ID is unique among all requests.
	ID string
	// PublicID is the request ID in answers to the caller.
	PublicID string
	Account  *registrar.ClientAccount
	Service  *registrar.Service
	// ConfigNumber is the number of the service's configuration.
	ConfigNumber uint64
	Method       string
	Path         string
	Headers      []*encoder.Header
	Body         []byte
	Idempotent   bool
	// Key is never empty when Idempotent is false.
	Key        string
	Digest     []byte
	PrefixHash uint64
	Priority   int
	Deadline   time.Time
	Trace      *recorder.Trace
}

// Sink writes an answer to the caller. It is used by one goroutine.
type Sink interface {
	// SendHead is called once, before any data.
	SendHead(head *encoder.Head) error
	SendData(data []byte) error
	// Complete is called once, after the last data of a whole answer. An answer
	// without this call is not whole and must not look so to the caller.
	Complete()
}

// Outcome is the final result of a request for its caller.
type Outcome interface{ sealed() }

// Completed says that the caller has the whole answer.
type Completed struct {
	Status int
	// FirstByte is the time from the start of Do to the head of the answer.
	FirstByte time.Duration
}

// Refused says why the caller gets no answer, or no whole one.
type Refused struct {
	Code string
	Step string
	// Execution covers all attempts of the request together.
	Execution  encoder.Execution
	RetryAfter time.Duration
	Detail     string
	// HeadSent says that the caller already has the head of an answer.
	HeadSent bool
}

// CallerGone says that the caller closed its connection.
type CallerGone struct{}

func (*Completed) sealed()  {}
func (*Refused) sealed()    {}
func (*CallerGone) sealed() {}

// Dispatcher runs requests; it is safe for concurrent use.
type Dispatcher struct {
	tracker   *tracker.Tracker
	pool      *connector.Pool
	newPicker func() *picker.Picker
	mu        sync.Mutex
	// pickers holds one picker for each service, since service times differ.
	pickers      map[string]*picker.Picker
	executions   *guard.Registry
	suspects     *isolator.Set
	activeConfig *registrar.ActiveConfig
	retryBudgets *retryBudgets
	onSuspects   func(context.Context, []*encoder.Suspect)
	onBehind     func(*tracker.Target)
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithSuspects calls f with the suspects that an attempt found. f returns once the other
// entry instances that can be reached know them.
func WithSuspects(f func(context.Context, []*encoder.Suspect)) Option {
	return func(d *Dispatcher) { d.onSuspects = f }
}

// WithAgentBehind calls f when an agent's configuration is older than this
// instance's; f must send the agent the newer one.
func WithAgentBehind(f func(*tracker.Target)) Option {
	return func(d *Dispatcher) { d.onBehind = f }
}

// New returns a Dispatcher.
func New(t *tracker.Tracker, pool *connector.Pool, newPicker func() *picker.Picker, g *guard.Registry, s *isolator.Set, active *registrar.ActiveConfig, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		tracker: t, pool: pool, newPicker: newPicker, pickers: make(map[string]*picker.Picker), executions: g, suspects: s, activeConfig: active, retryBudgets: newRetryBudgets(),
		onSuspects: func(context.Context, []*encoder.Suspect) {}, onBehind: func(*tracker.Target) {},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// job is the state of one request over its attempts.
type job struct {
	*Dispatcher
	*Request
	sink  Sink
	start time.Time
	// attempts counts the attempts that the service's maximum bounds. Attempts
	// that ended on a configuration or generation mismatch do not count.
	attempts int
	// attemptSeq counts every attempt; it makes attempt IDs unique.
	attemptSeq int
	// unavailableSince is when the latest period without an available backend
	// server began, zero if one was available.
	unavailableSince time.Time
	tried            []*picker.Backend
	// unresolved says that an attempt ended without a definite outcome, so the
	// request may still run.
	unresolved bool
	// generation is the generation of the key that attempts carry. Once it is closed,
	// none of them can run.
	generation uint64
	// head is the head that the caller has, nil for none.
	head      *encoder.Head
	firstByte time.Duration
	// sent is the data that the caller has, for resumption.
	sent []byte
	// resumable says that sent holds all the data that the caller has.
	resumable bool
	// isolated is set for a suspect: its attempts ask the agent to run it beside no
	// other suspect.
	isolated    bool
	lastRefusal *encoder.Refusal
}

// maxResumeBytes bounds the data of an answer that is kept for resumption.
const maxResumeBytes = 1 << 20

// maxFreeRetries bounds the retries of a request that are not charged to the
// retry budget.
const maxFreeRetries = 16

// Do makes attempts until the request completes, is refused or is abandoned by
// its caller.
func (d *Dispatcher) Do(ctx context.Context, r *Request, sink Sink) Outcome {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	d.retryBudgets.refill(r.Service)
	j := &job{Dispatcher: d, Request: r, sink: sink, start: time.Now(), generation: 1, resumable: true}
	j.isolated = d.suspects.GetVerdict(r.Digest) == isolator.Suspect
	return j.loop(ctx)
}

// loop makes attempts until one ends the request.
func (j *job) loop(ctx context.Context) Outcome {
	backoff := newBackoff()
	for freeRetries := 0; ; {
		if j.suspects.GetVerdict(j.Digest) == isolator.Culprit {
			return j.refuse(ctx, encoder.CodeCulprit, "check_suspects")
		}
		target := j.pick()
		if target == nil && !j.waitForBackend(ctx, backoff) {
			return j.refuse(ctx, encoder.CodeNoBackend, "pick")
		}
		if target == nil {
			continue
		}
		j.unavailableSince = time.Time{}
		switch next := j.runAttempt(ctx, target).(type) {
		case *finished:
			return next.Outcome
		case *retry:
			if next.free && freeRetries < maxFreeRetries {
				freeRetries++
				continue
			}
			if out := j.prepareRetry(ctx, backoff); out != nil {
				return out
			}
		}
	}
}

// prepareRetry charges the retry budget and waits for the backoff, or returns the
// outcome that ends the request.
func (j *job) prepareRetry(ctx context.Context, backoff *backoff) Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return &CallerGone{}
	case ctx.Err() != nil:
		return j.refuse(ctx, encoder.CodeDeadlineExceeded, "retry")
	case j.attempts >= j.Service.MaxAttempts:
		return j.refuse(ctx, j.lastRefusal.GetCode(), j.lastRefusal.GetStep())
	case !j.retryBudgets.takeRetry(j.Service):
		j.Trace.Add("retry", "retry budget of %s is spent", j.Service.Name)
		return j.refuse(ctx, encoder.CodeRetryBudget, "retry")
	}
	backoff.wait(ctx)
	return nil
}

// getPicker returns the picker of a service and creates it if needed.
func (d *Dispatcher) getPicker(service string) *picker.Picker {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pickers[service]
	if p == nil {
		p = d.newPicker()
		d.pickers[service] = p
	}
	return p
}

// pick chooses a backend server that was not tried yet, or returns nil.
func (j *job) pick() *tracker.Target {
	set := j.tracker.GetService(j.Service.Name)
	info := picker.PickInfo{Prefix: j.PrefixHash, Exclude: j.tried, Now: time.Now()}
	p := j.getPicker(j.Service.Name)
	b := p.Pick(set.Backends, info)
	if b == nil {
		return nil
	}
	j.Trace.Add("pick", "%s with %.4f s; others: %v", b.Name, p.Score(b, info), scoreOthers(p, set, b, info))
	return set.GetTarget(b)
}

// maxTraceScores bounds the backend servers whose scores a trace lists.
const maxTraceScores = 16

// backendScore is a backend server's score at the time of a choice.
type backendScore struct {
	name  string
	score float64
	// unavailable says that the backend server could not be chosen.
	unavailable bool
}

// String formats the score for a trace.
func (s backendScore) String() string {
	if s.unavailable {
		return s.name + " not available"
	}
	return fmt.Sprintf("%s %.4f s", s.name, s.score)
}

// scoreOthers returns the scores of up to maxTraceScores backend servers other
// than the chosen one.
func scoreOthers(p *picker.Picker, set *tracker.ServiceSet, chosen *picker.Backend, info picker.PickInfo) []backendScore {
	list := make([]backendScore, 0, min(len(set.Backends), maxTraceScores))
	for _, b := range set.Backends {
		if b != chosen && len(list) < maxTraceScores {
			list = append(list, backendScore{name: b.Name, score: p.Score(b, info), unavailable: !b.IsAvailable()})
		}
	}
	return list
}

// maxBackendWait bounds how long a request waits for an available backend server.
const maxBackendWait = time.Second

// waitForBackend waits for one backoff. It reports false if the request has
// waited longer than maxBackendWait, its deadline is too near, or ctx has ended.
func (j *job) waitForBackend(ctx context.Context, backoff *backoff) bool {
	if j.unavailableSince.IsZero() {
		j.unavailableSince = time.Now()
	}
	if time.Since(j.unavailableSince) > maxBackendWait || time.Until(j.Deadline) < backoff.last {
		return false
	}
	backoff.wait(ctx)
	return ctx.Err() == nil
}

// refuse returns a refusal whose execution state covers all attempts together.
// It closes the key of a non-idempotent request that may still run; one whose answer
// has begun has run.
func (j *job) refuse(ctx context.Context, code, step string) Outcome {
	out := &Refused{
		Code: code, Step: step, Execution: encoder.Execution_EXECUTION_NOT_RUN, HeadSent: j.head != nil,
		RetryAfter: j.retryAfter(), Detail: j.lastRefusal.GetDetail(),
	}
	if out.Code == "" {
		out.Code = encoder.CodeDeadlineExceeded
	}
	switch {
	case j.head != nil:
		out.Execution = encoder.Execution_EXECUTION_UNKNOWN
	case j.unresolved && !j.Idempotent:
		out.Execution = j.closeKey(ctx)
	case j.unresolved:
		out.Execution = encoder.Execution_EXECUTION_UNKNOWN
	}
	j.Trace.Add("refuse", "%s at %s, execution %s", out.Code, out.Step, ExecutionName(out.Execution))
	return out
}

// closeTimeout bounds the closing of a key; the request's deadline does not apply.
const closeTimeout = time.Second

// closeKey closes the generation, so that no attempt in flight can still run.
// The execution is unknown unless the close succeeds.
func (j *job) closeKey(ctx context.Context) encoder.Execution {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	err := j.executions.Close(ctx, j.executionID(), j.generation, j.Service.Retention)
	j.Trace.Add("close_key", "generation %d, error %v", j.generation, err)
	if err != nil {
		return encoder.Execution_EXECUTION_UNKNOWN
	}
	return encoder.Execution_EXECUTION_NOT_RUN
}

func (j *job) executionID() guard.ID {
	return guard.ID{Account: j.Account.Name, Service: j.Service.Name, Key: j.Key}
}

// minRetryAfter is the minimum Retry-After sent to a caller.
const minRetryAfter = time.Second

func (j *job) retryAfter() time.Duration {
	suggested := time.Duration(j.lastRefusal.GetRetryAfterMicros()) * time.Microsecond
	return max(suggested, minRetryAfter)
}

// ExecutionName returns the name of an execution state in answers, traces and
// logs.
func ExecutionName(e encoder.Execution) string {
	switch e {
	case encoder.Execution_EXECUTION_NOT_RUN:
		return "not_run"
	case encoder.Execution_EXECUTION_COMPLETED:
		return "completed"
	case encoder.Execution_EXECUTION_UNKNOWN, encoder.Execution_EXECUTION_UNSPECIFIED:
	}
	return "unknown"
}

// Status returns the HTTP status of the refusal.
func (r *Refused) Status() int {
	switch r.Code {
	case encoder.CodeDeadlineExceeded:
		return http.StatusGatewayTimeout
	case encoder.CodeKeyReused:
		return http.StatusUnprocessableEntity
	case encoder.CodeCulprit:
		return http.StatusUnprocessableEntity
	case encoder.CodeOutcomeUnknown:
		return http.StatusConflict
	case encoder.CodeAnswerBroken, encoder.CodeCrashed, encoder.CodeBackendError:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// newAttemptID returns an ID that is unique among all attempts of all requests.
func (j *job) newAttemptID() string {
	return fmt.Sprintf("%s.%d", j.ID, j.attemptSeq)
}
