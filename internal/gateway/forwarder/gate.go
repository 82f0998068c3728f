package forwarder

import (
	"context"
	"net/http"
	"sync"
	"time"

	"siskinfall/internal/admission/admitter"
)

// reportLag is how much older an engine's report is than its arrival at a gateway.
const reportLag = 300 * time.Millisecond

// GetReportLag returns how much older an engine's report is than its arrival, for the placer
// of a gateway with admission.
func GetReportLag() time.Duration { return reportLag }

// answerTokenCost is the size of an answer token in prompt tokens: a prompt is read in
// parallel, an answer token takes a step of the engine.
const answerTokenCost = 10

// gates holds the admitters of services with model engines, by name.
type gates struct {
	mu        sync.Mutex
	admitters map[string]*admitter.Admitter
	// closed is set once nothing may wait any more.
	closed bool
}

// WithAdmission admits requests for model engines by what these can do within their callers'
// objectives. The others are placed as without it.
func WithAdmission() Option {
	return func(f *Forwarder) { f.gates = &gates{admitters: make(map[string]*admitter.Admitter)} }
}

func (g *gates) get(service string, now time.Time) *admitter.Admitter {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.admitters[service]
	if a == nil {
		a = admitter.New()
		if g.closed {
			a.Close(now)
		}
		g.admitters[service] = a
	}
	return a
}

// close refuses all that waits or comes later.
func (g *gates) close(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, a := range g.admitters {
		a.Close(now)
	}
}

// getGate returns the admitter of the request's service with its room up to date. It is nil
// without admission, for plain services, and while no engine can run a pass.
func (x *exchange) getGate(now time.Time) *admitter.Admitter {
	if x.gates == nil || !x.placer.IsEngineService(x.service) {
		return nil
	}
	a := x.gates.get(x.service, now)
	if a.NeedsRoom(now) {
		room, gateways := x.placer.GetRoom(x.service, now)
		a.SetRoom(room, gateways, now)
	}
	if !a.IsOpen() {
		return nil
	}
	return a
}

// awaitPlace reports whether the request may be sent to a server, or answers and reports
// false. The request may wait until then.
func (x *exchange) awaitPlace(ctx context.Context) bool {
	now := time.Now()
	a := x.getGate(now)
	if a == nil {
		return true
	}
	x.ticket = a.Ask(x.newAdmission(), now)
	switch v := x.awaitDecision(ctx, a).(type) {
	case *admitter.Granted:
		countAdmitted(x.service, x.route.Name, v.Waited)
		return true
	case *admitter.Refused:
		countRefused(x.service, x.route.Name, v)
		if x.r.Context().Err() != nil {
			x.logEnd(0, "caller left", 0)
			return false
		}
		if v.Reason == admitter.ReasonStopping {
			x.w.Header().Set("Connection", "close")
			v.RetryAfter = stoppingRetryAfter
		}
		x.fail(http.StatusServiceUnavailable, v.Reason, v.RetryAfter)
	}
	return false
}

// awaitDecision waits until the request is granted a place or refused.
func (x *exchange) awaitDecision(ctx context.Context, a *admitter.Admitter) admitter.Decision {
	select {
	case <-x.ticket.Done():
		return a.GetDecision(x.ticket)
	default:
	}
	timer := time.NewTimer(time.Until(x.ticket.LatestStart()))
	defer timer.Stop()
	select {
	case <-x.ticket.Done():
	case <-timer.C:
		return a.Expire(x.ticket, time.Now())
	case <-ctx.Done():
		a.Leave(x.ticket, time.Now())
	}
	return a.GetDecision(x.ticket)
}

func (x *exchange) newAdmission() admitter.Request {
	r := admitter.Request{
		Kind: x.route.Name, Priority: x.getPriority(), Size: x.PromptTokens + answerTokenCost*x.MaxAnswerTokens, Bytes: len(x.body),
		Objective: x.route.Objective, Deadline: x.deadline, Timeout: x.Timeout,
	}
	if x.account != nil {
		r.Account = x.account.Name
	}
	return r
}

// releasePlace gives the request's place on.
func (x *exchange) releasePlace() {
	if x.ticket != nil {
		x.gates.get(x.service, time.Now()).Release(x.ticket, time.Now())
	}
}

// admissionFields returns the log fields of the decision on the request.
func (x *exchange) admissionFields() []any {
	if x.ticket == nil {
		return nil
	}
	switch v := x.gates.get(x.service, time.Now()).GetDecision(x.ticket).(type) {
	case *admitter.Granted:
		return []any{"admitted", true, "waited", v.Waited, "returned", x.ticket.IsReturned()}
	case *admitter.Refused:
		return []any{"admitted", false, "waited", v.Waited, "returned", x.ticket.IsReturned()}
	}
	return nil
}
