package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/gateway/placer"
)

// maxUnsent bounds how often a server that can't be reached is replaced.
const maxUnsent = 3

// next says how a request goes on after one attempt.
type next interface{ next() }

// done ends the request; the caller has its answer.
type done struct{}

// again hands the request to another server. Sent says that a server has had it.
type again struct {
	sent bool
	// fail is the answer if no further attempt can be made.
	fail failure
}

// failure is an answer of this process, or the failure that a backend server
// answered.
type failure struct {
	status int
	reason string
	after  time.Duration
	// held is nil for an answer of this process.
	held *heldAnswer
}

// heldAnswer is a backend server's answer, read whole.
type heldAnswer struct {
	resp *http.Response
	body []byte
}

func (done) next()  {}
func (again) next() {}

// serve hands the request over until it is answered or nothing more may be tried.
func (x *exchange) serve(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, x.until)
	defer cancel()
	unsent := 0
	last := failure{}
	for {
		if last.held != nil && !x.placer.HasOther(x.service, x.tried) {
			x.giveUp(ctx, last)
			return
		}
		switch v := x.placer.Place(x.newWork(), time.Now()).(type) {
		case *placer.Refused:
			if last.status == 0 {
				last = failure{status: http.StatusServiceUnavailable, reason: v.Reason, after: v.After}
			}
			x.giveUp(ctx, last)
			return
		case *placer.Placed:
			x.placed = v
			x.logPlaced(v)
			step, ok := x.try(ctx, v).(again)
			if !ok {
				return
			}
			last = step.fail
			if !step.sent {
				unsent++
			}
			if x.r.Context().Err() != nil || x.isOverdue(time.Now()) || unsent > maxUnsent || step.sent && !x.mayRepeat() {
				x.giveUp(ctx, last)
				return
			}
		}
	}
}

// mayRepeat reports whether the request may be handed over once more, and counts
// that against the budget.
func (x *exchange) mayRepeat() bool {
	if x.mayHaveRun && !x.route.IsRepeatable() {
		return false
	}
	if x.sent >= x.route.MaxAttempts || !time.Now().Before(x.until) || !x.budget.TakeRepeat(x.service, time.Now()) {
		return false
	}
	repeats.Inc()
	if x.passed {
		resumed.Inc()
	}
	return true
}

// giveUp answers a request that no server answers.
func (x *exchange) giveUp(ctx context.Context, f failure) {
	switch {
	case x.r.Context().Err() != nil:
		x.logEnd(0, "caller left", 0)
		panic(http.ErrAbortHandler)
	case f.held != nil:
		x.writeHeld(f.held)
	case x.passed:
		x.logEnd(http.StatusOK, "answer broke off: "+f.reason, 0)
		panic(http.ErrAbortHandler)
	case x.mayHaveRun && errors.Is(ctx.Err(), context.DeadlineExceeded):
		x.fail(http.StatusGatewayTimeout, "no answer in time", 0)
	case x.mayHaveRun && f.status < http.StatusInternalServerError, x.mayHaveRun && f.status == http.StatusServiceUnavailable:
		x.fail(http.StatusBadGateway, f.reason, f.after)
	default:
		x.fail(f.status, f.reason, f.after)
	}
}

func (x *exchange) newWork() placer.Work {
	w := placer.Work{
		Route: x.route.Name, Service: x.service, Zone: x.zone, Priority: x.route.Priority,
		Answer: x.LikelyTokens, MostAnswer: x.AnswerTokens, Wait: x.Wait, Patience: x.route.Patience, Until: x.until,
		Exclude: x.tried,
	}
	if x.account != nil && x.account.Priority != nil {
		w.Priority = *x.account.Priority
	}
	return w
}

// try makes one attempt at a placed server.
func (x *exchange) try(ctx context.Context, p *placer.Placed) next {
	switch out := x.attempt(ctx, p).(type) {
	case *notSent:
		x.logAttempt(p, "not sent", out.err)
		if x.r.Context().Err() != nil {
			p.Finish(placer.Cancelled, time.Now())
			return again{fail: failure{status: http.StatusBadGateway, reason: "caller left"}, sent: true}
		}
		p.Finish(placer.Unreachable, time.Now())
		x.tried = append(x.tried, p.ID)
		return again{fail: failure{status: http.StatusServiceUnavailable, reason: "backend server can't be reached", after: notSentRetry}}
	case *notRun:
		return x.handleNotRun(p, out)
	case *unknown:
		return x.handleUnknown(ctx, p, out.err)
	case *answered:
		if x.route.Kind == holder.Streaming && out.resp.StatusCode == http.StatusOK {
			return x.passStream(ctx, p, out)
		}
		return x.passWhole(ctx, p, out)
	}
	return done{}
}

// notSentRetry is told to a caller whose request could not be sent to any
// backend server.
const notSentRetry = 300 * time.Millisecond

func (x *exchange) handleNotRun(p *placer.Placed, out *notRun) next {
	x.logAttempt(p, "not run", nil)
	outcome := placer.Rejected
	if out.status == http.StatusMisdirectedRequest {
		outcome = placer.Misdirected
	}
	p.Finish(outcome, time.Now())
	return again{sent: true, fail: failure{status: http.StatusServiceUnavailable, reason: "refused by the backend server", after: notSentRetry}}
}

// handleUnknown goes on after a request that may have run.
func (x *exchange) handleUnknown(ctx context.Context, p *placer.Placed, err error) next {
	x.logAttempt(p, "outcome unknown", err)
	x.mayHaveRun = true
	if x.r.Context().Err() != nil {
		p.Finish(placer.Cancelled, time.Now())
		return again{sent: true, fail: failure{status: http.StatusBadGateway, reason: "caller left"}}
	}
	p.Finish(placer.Lost, time.Now())
	if crashes := x.crashes.AddCrash(x.digest, time.Now()); crashes > 1 {
		log.Warn("request lost several backend servers", "event", "crash", "request", x.ID, "server", p.ID, "crashes", crashes, "digest", x.digest)
	}
	if ctx.Err() != nil {
		return again{sent: true, fail: failure{status: http.StatusGatewayTimeout, reason: "no answer in time"}}
	}
	return again{sent: true, fail: failure{status: http.StatusBadGateway, reason: "connection to the backend server broke", after: notSentRetry}}
}

// logPlaced tells where a request goes: should this process end before it, no other
// line does.
func (x *exchange) logPlaced(p *placer.Placed) {
	log.Info("request placed", "event", "placed", "request", x.ID, "route", x.route.Name, "service", x.service, "server", p.ID,
		"among", p.Among, "estimate", p.Estimate, "report_age", p.ReportAge(), "sent", x.sent, "catalog", x.current.Version)
}

// logAttempt tells of an attempt that did not end in an answer.
func (x *exchange) logAttempt(p *placer.Placed, result string, err error) {
	log.Info("attempt ended", "event", "attempt", "request", x.ID, "server", p.ID, "service", x.service, "result", result,
		"estimate", p.Estimate, "report_age", p.ReportAge(), "sent", x.sent, "last_event", x.lastEvent, "error", err)
}
