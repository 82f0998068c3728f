// Package dispatcher takes a caller's request through its attempts until the
// caller has a whole answer or a truthful refusal.
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
	// ShownID is what the caller knows the request by.
	ShownID string
	Account *registrar.ClientAccount
	Service *registrar.Service
	// Number is the service's configuration number.
	Number     uint64
	Method     string
	Path       string
	Headers    []*encoder.Header
	Body       []byte
	Idempotent bool
	// Key is never empty when Idempotent is false.
	Key      string
	Digest   []byte
	Prefix   uint64
	Priority int
	Deadline time.Time
	Trace    *recorder.Trace
}

// Sink is the caller's side of an answer. It is used by one goroutine.
type Sink interface {
	// SendHead is called once, before any data.
	SendHead(status int, headers []*encoder.Header, replayed bool) error
	SendData(data []byte) error
}

// Outcome is how a request ended for its caller.
type Outcome interface{ sealed() }

// Completed says that the caller has the whole answer.
type Completed struct {
	Status int
	// FirstByte is the time from the first attempt to the head of the answer.
	FirstByte time.Duration
}

// Refused says why the caller gets no answer, or no whole one.
type Refused struct {
	Code string
	Step string
	// Execution is true for all attempts together.
	Execution  encoder.Execution
	RetryAfter time.Duration
	Detail     string
	// Begun says that the caller has a part of an answer already.
	Begun bool
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
	// pickers holds one for each service, since services take different times.
	pickers    map[string]*picker.Picker
	executions *guard.Registry
	suspects   *isolator.Set
	book       *registrar.ActiveConfig
	budgets    *budgets
	onSuspects func([]*encoder.Suspect)
	onBehind   func(*tracker.Target)
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithSuspects calls f with suspects that an attempt has shown.
func WithSuspects(f func([]*encoder.Suspect)) Option {
	return func(d *Dispatcher) { d.onSuspects = f }
}

// WithBehind calls f when an agent lacks configuration; f brings it there.
func WithBehind(f func(*tracker.Target)) Option {
	return func(d *Dispatcher) { d.onBehind = f }
}

// New returns a Dispatcher.
func New(t *tracker.Tracker, pool *connector.Pool, newPicker func() *picker.Picker, g *guard.Registry, s *isolator.Set, b *registrar.ActiveConfig, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		tracker: t, pool: pool, newPicker: newPicker, pickers: make(map[string]*picker.Picker), executions: g, suspects: s, book: b, budgets: newBudgets(),
		onSuspects: func([]*encoder.Suspect) {}, onBehind: func(*tracker.Target) {},
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
	// attempts counts those that were more than a question of configuration.
	attempts int
	// sends counts every attempt; it makes attempt ids unique.
	sends int
	// idleSince is when no backend server was to be had, zero if one was.
	idleSince time.Time
	tried     []*picker.Backend
	// unresolved says that an attempt ended without a word: it may still run.
	unresolved bool
	generation uint64
	// head says that the caller has the head of the answer.
	head   bool
	status int
	first  time.Duration
	// sent holds what the caller has of a stream, for resumption.
	sent []byte
	// resumable says that sent is complete.
	resumable bool
	isolated  bool
	last      *encoder.Refusal
}

// maxResume is the most of a stream that is kept for resumption, in bytes.
const maxResume = 1 << 20

// maxFreeRetries bounds the attempts that cost no budget.
const maxFreeRetries = 16

// Do runs a request to its end.
func (d *Dispatcher) Do(ctx context.Context, r *Request, sink Sink) Outcome {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	d.budgets.earn(r.Service)
	j := &job{Dispatcher: d, Request: r, sink: sink, start: time.Now(), generation: 1, resumable: true}
	j.isolated = d.suspects.GetVerdict(r.Digest) == isolator.Suspect
	return j.loop(ctx)
}

// loop makes attempts until one decides the request.
func (j *job) loop(ctx context.Context) Outcome {
	pause := newPause()
	for free := 0; ; {
		if j.suspects.GetVerdict(j.Digest) == isolator.Culprit {
			return j.giveUp(ctx, encoder.CodeCulprit, "check_suspects")
		}
		target := j.pick()
		if target == nil && !j.waitForBackend(ctx, pause) {
			return j.giveUp(ctx, encoder.CodeNoBackend, "pick")
		}
		if target == nil {
			continue
		}
		j.idleSince = time.Time{}
		switch next := j.try(ctx, target).(type) {
		case *finished:
			return next.Outcome
		case *again:
			if next.free && free < maxFreeRetries {
				free++
				continue
			}
			if out := j.mayRetry(ctx, pause); out != nil {
				return out
			}
		}
	}
}

// mayRetry pays for another attempt and pauses, or ends the request.
func (j *job) mayRetry(ctx context.Context, pause *pause) Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return &CallerGone{}
	case ctx.Err() != nil:
		return j.giveUp(ctx, encoder.CodeDeadlineExceeded, "retry")
	case j.attempts >= j.Service.MaxAttempts:
		return j.giveUp(ctx, j.last.GetCode(), j.last.GetStep())
	case !j.budgets.spend(j.Service):
		j.Trace.Add("retry", "retry budget of %s is spent", j.Service.Name)
		return j.giveUp(ctx, encoder.CodeRetryBudget, "retry")
	}
	pause.wait(ctx)
	return nil
}

// getPicker returns the picker of a service.
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

// pick chooses a backend server.
func (j *job) pick() *tracker.Target {
	set := j.tracker.GetService(j.Service.Name)
	demand := picker.PickInfo{Prefix: j.Prefix, Exclude: j.tried, Now: time.Now()}
	p := j.getPicker(j.Service.Name)
	b := p.Pick(set.Backends, demand)
	if b == nil {
		return nil
	}
	j.Trace.Add("pick", "%s with %.4f s; others: %v", b.Name, p.Score(b, demand), scoreOthers(p, set, b, demand))
	return set.GetTarget(b)
}

// maxScored bounds the backend servers whose scores a trace shows.
const maxScored = 16

// scored is a backend server with its score at the time of a choice.
type scored struct {
	name  string
	score float64
	// out says that it could not be chosen.
	out bool
}

// String is the form in a trace.
func (s scored) String() string {
	if s.out {
		return s.name + " not available"
	}
	return fmt.Sprintf("%s %.4f s", s.name, s.score)
}

// scoreOthers lists the first backend servers that were not chosen.
func scoreOthers(p *picker.Picker, set *tracker.ServiceSet, chosen *picker.Backend, demand picker.PickInfo) []scored {
	list := make([]scored, 0, min(len(set.Backends), maxScored))
	for _, b := range set.Backends {
		if b != chosen && len(list) < maxScored {
			list = append(list, scored{name: b.Name, score: p.Score(b, demand), out: !b.IsAvailable()})
		}
	}
	return list
}

// longestWait is how long a request waits while no backend server is available.
const longestWait = time.Second

// waitForBackend pauses while no backend server is available; it reports false
// when the request has waited long enough.
func (j *job) waitForBackend(ctx context.Context, pause *pause) bool {
	if j.idleSince.IsZero() {
		j.idleSince = time.Now()
	}
	if time.Since(j.idleSince) > longestWait || time.Until(j.Deadline) < pause.last {
		return false
	}
	pause.wait(ctx)
	return ctx.Err() == nil
}

// giveUp ends the request with what is true of all its attempts together.
func (j *job) giveUp(ctx context.Context, code, step string) Outcome {
	out := &Refused{
		Code: code, Step: step, Execution: encoder.Execution_EXECUTION_NOT_RUN, Begun: j.head,
		RetryAfter: j.retryAfter(), Detail: j.last.GetDetail(),
	}
	if out.Code == "" {
		out.Code = encoder.CodeDeadlineExceeded
	}
	if j.unresolved || j.head {
		out.Execution = encoder.Execution_EXECUTION_UNKNOWN
	}
	if j.unresolved && !j.Idempotent {
		out.Execution = j.closeKey(ctx)
	}
	j.Trace.Add("refuse", "%s at %s, execution %s", out.Code, out.Step, ExecutionName(out.Execution))
	return out
}

// closeTimeout bounds the closing of a key after the request's deadline.
const closeTimeout = time.Second

// closeKey makes sure that no attempt under way can still run. Until that is
// certain, the execution is unknown.
func (j *job) closeKey(ctx context.Context) encoder.Execution {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	err := j.executions.Close(ctx, j.id(), j.generation, j.Service.Retention)
	j.Trace.Add("close_key", "generation %d, error %v", j.generation, err)
	if err != nil {
		return encoder.Execution_EXECUTION_UNKNOWN
	}
	return encoder.Execution_EXECUTION_NOT_RUN
}

func (j *job) id() guard.ID {
	return guard.ID{Account: j.Account.Name, Service: j.Service.Name, Key: j.Key}
}

// minRetryAfter is the least time told to a caller.
const minRetryAfter = time.Second

func (j *job) retryAfter() time.Duration {
	told := time.Duration(j.last.GetRetryAfterMicros()) * time.Microsecond
	return max(told, minRetryAfter)
}

// ExecutionName is the form of an execution in own formats.
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

// Status is the HTTP status for a refusal.
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

// newAttemptID is unique among all attempts of all requests.
func (j *job) newAttemptID() string {
	return fmt.Sprintf("%s.%d", j.ID, j.sends)
}
