package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/backend/limiter"
	"siskinfall/internal/backend/validator"
	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/gateway/placer"
	"siskinfall/internal/gateway/quarantiner"
)

// maxUnsentRetries bounds the retries of a request after attempts that sent nothing.
const maxUnsentRetries = 3

// nextAction is how a request continues after an attempt: done or retry.
type nextAction interface{ nextAction() }

// done ends the request because the caller has its answer.
type done struct{}

// retry sends the request to another server if allowed.
type retry struct {
	// sent is set if the failed attempt may have reached a server.
	sent bool
	// fallback is the answer if no further attempt can be made.
	fallback failure
}

// failure is an error answer of this process, or the failure that a backend server
// answered.
type failure struct {
	status     int
	reason     string
	retryAfter time.Duration
	// buffered is the backend server's answer, nil for an answer of this process.
	buffered *bufferedAnswer
}

// bufferedAnswer is a backend server's answer that was read completely.
type bufferedAnswer struct {
	resp *http.Response
	body []byte
}

// orRefused returns the failure, or the refusal if there was no failure before or if the
// refusal knows better when the caller may return.
func (f failure) orRefused(r *placer.Refused) failure {
	isRefusal := f.buffered == nil && f.status == http.StatusServiceUnavailable
	if f.status == 0 || r.AllClosed && isRefusal {
		return failure{status: http.StatusServiceUnavailable, reason: r.Reason, retryAfter: r.RetryAfter}
	}
	return f
}

func (done) nextAction()  {}
func (retry) nextAction() {}

// serve sends the request to servers until it is answered or no retry is allowed.
func (x *exchange) serve(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	defer context.AfterFunc(x.ended, cancel)() //nolint:contextcheck // the end of the process is no parent of ctx
	if !x.awaitPlace(ctx) {
		return
	}
	defer x.releasePlace()
	unsentAttempts := 0
	lastFailure := failure{}
	for {
		if lastFailure.buffered != nil && !x.placer.HasOther(x.service, x.tried) {
			x.answerFailure(ctx, lastFailure)
			return
		}
		switch v := x.placer.Place(x.newWork(), time.Now()).(type) {
		case *placer.Refused:
			x.answerFailure(ctx, lastFailure.orRefused(v))
			return
		case *placer.Placed:
			x.placed = v
			x.logPlaced(v)
			action, ok := x.tryServer(ctx, v).(retry)
			if !ok {
				return
			}
			lastFailure = action.fallback
			if !action.sent {
				unsentAttempts++
			}
			if unsentAttempts > maxUnsentRetries || x.mustEnd() || action.sent && !x.takeRetry() {
				x.answerFailure(ctx, lastFailure)
				return
			}
		}
	}
}

// mustEnd reports whether no further attempt would serve the caller.
func (x *exchange) mustEnd() bool {
	return x.r.Context().Err() != nil || x.ended.Err() != nil || x.isEventOverdue(time.Now()) || x.isBlocked()
}

// isBlocked reports whether the request was blocked since it was admitted. A trial goes on
// until a server may have run it.
func (x *exchange) isBlocked() bool {
	if x.isTrial && !x.mayHaveRun {
		return false
	}
	return x.quarantine.IsBlocked(x.digest, time.Now(), x.parts...)
}

// takeRetry reports whether the request may be retried, and charges the retry to the
// budget.
func (x *exchange) takeRetry() bool {
	if x.mayHaveRun && !x.route.IsRepeatable() || x.unnumbered {
		return false
	}
	if !x.hasAttemptLeft(time.Now()) || !x.budget.TakeRetry(x.service, time.Now()) {
		return false
	}
	retries.Inc()
	if x.w.hasBegun() {
		resumedStreams.Inc()
	}
	return true
}

// hasAttemptLeft reports whether the route's attempts and the deadline allow another one.
func (x *exchange) hasAttemptLeft(now time.Time) bool {
	return x.attempts < x.route.MaxAttempts && now.Before(x.deadline)
}

// mayRetry reports whether a retry is possible, but for the budget.
func (x *exchange) mayRetry(now time.Time) bool {
	return x.hasAttemptLeft(now) && x.placer.HasOther(x.service, x.tried)
}

// answerFailure ends a request for which no further attempt is made. An answer that has
// begun is left incomplete. If a server may have run the request, an answer of this process
// has no status that means that it was not run.
func (x *exchange) answerFailure(ctx context.Context, f failure) {
	switch {
	case x.r.Context().Err() != nil:
		x.logEnd(0, "caller left", 0)
	case x.w.hasBegun():
		x.logEnd(x.w.status, "answer broke off: "+f.reason, 0)
	case f.buffered != nil:
		x.writeBuffered(f.buffered)
	case x.mayHaveRun && errors.Is(ctx.Err(), context.DeadlineExceeded):
		x.fail(http.StatusGatewayTimeout, "no answer in time", 0)
	case x.mayHaveRun && f.status < http.StatusInternalServerError, x.mayHaveRun && f.status == http.StatusServiceUnavailable:
		x.fail(http.StatusBadGateway, f.reason, f.retryAfter)
	default:
		x.fail(f.status, f.reason, f.retryAfter)
	}
}

func (x *exchange) newWork() placer.Work {
	return placer.Work{
		Route: x.route.Name, Service: x.service, Zone: x.zone, Priority: x.getPriority(),
		EstimatedAnswerTokens: x.EstimatedAnswerTokens, MaxAnswerTokens: x.MaxAnswerTokens, CallerTimeout: x.Timeout, Patience: x.route.Patience, Deadline: x.deadline,
		Exclude: x.tried, Admitted: x.ticket != nil,
	}
}

// getPriority returns the priority of the client account or else of the route.
func (x *exchange) getPriority() int {
	if x.account != nil && x.account.Priority != nil {
		return *x.account.Priority
	}
	return x.route.Priority
}

// tryServer makes one attempt at a placed server and handles its outcome.
func (x *exchange) tryServer(ctx context.Context, p *placer.Placed) nextAction {
	if x.mayRace() {
		return x.tryRace(ctx, p)
	}
	return x.handleOutcome(ctx, p, x.attempt(ctx, p))
}

// handleOutcome handles the outcome of the latest attempt.
func (x *exchange) handleOutcome(ctx context.Context, p *placer.Placed, out outcome) nextAction {
	switch out := out.(type) {
	case *notSent:
		x.logAttempt(p, "not sent", out.err)
		if x.r.Context().Err() != nil {
			p.Finish(placer.Cancelled, time.Now())
			return retry{fallback: failure{status: http.StatusBadGateway, reason: "caller left"}, sent: true}
		}
		if errors.Is(out.err, errClosed) {
			p.Finish(placer.Cancelled, time.Now())
			return retry{fallback: failure{status: http.StatusServiceUnavailable, reason: errClosed.Error(), retryAfter: failureRetryAfter}}
		}
		p.Finish(placer.Unreachable, time.Now())
		x.tried = append(x.tried, p.ID)
		return retry{fallback: failure{status: http.StatusServiceUnavailable, reason: "backend server can't be reached", retryAfter: failureRetryAfter}}
	case *notRun:
		return x.handleNotRun(p, out)
	case *unknown:
		return x.handleUnknown(ctx, p, out.err)
	case *answered:
		switch {
		case x.w.hasBegun() && !x.w.isContinuedBy(out.resp):
			return x.handleFailedResumption(p, out, x.w.newMismatch(out.resp))
		case x.route.Kind == holder.Streaming && out.resp.StatusCode == http.StatusOK:
			return x.relayStream(ctx, p, out)
		}
		return x.relayAnswer(ctx, p, out)
	}
	return done{}
}

// failureRetryAfter is sent to a caller whose request could not be sent to any backend
// server, was rejected, or lost its connection.
const failureRetryAfter = 300 * time.Millisecond

func (x *exchange) handleNotRun(p *placer.Placed, out *notRun) nextAction {
	x.logAttempt(p, "not run", nil)
	outcome := placer.Rejected
	if out.status == http.StatusMisdirectedRequest {
		outcome = placer.Misdirected
	}
	p.Finish(outcome, time.Now())
	return retry{sent: true, fallback: failure{status: http.StatusServiceUnavailable, reason: "refused by the backend server", retryAfter: failureRetryAfter}}
}

var errNotContinued = errors.New("answer does not continue the one that has begun")

// handleFailedResumption handles an answer that does not continue the one that has begun.
// Nothing of it is relayed, and the caller does not wait for the rest of it.
func (x *exchange) handleFailedResumption(p *placer.Placed, a *answered, err error) nextAction {
	a.release(false, x.pool)
	p.Finish(placer.Failed, time.Now())
	x.logAttempt(p, "resumption failed", wrapper.At("resume_stream", p.ID, err))
	return retry{sent: true, fallback: failure{status: http.StatusBadGateway, reason: "resumption failed by the backend server"}}
}

// handleUnknown handles an attempt that may have run and received no answer.
func (x *exchange) handleUnknown(ctx context.Context, p *placer.Placed, err error) nextAction {
	x.logAttempt(p, "outcome unknown", err)
	x.mayHaveRun = true
	if x.r.Context().Err() != nil {
		p.Finish(placer.Cancelled, time.Now())
		return retry{sent: true, fallback: failure{status: http.StatusBadGateway, reason: "caller left"}}
	}
	if x.ended.Err() != nil {
		p.Finish(placer.Cancelled, time.Now())
		return retry{sent: true, fallback: failure{status: http.StatusGatewayTimeout, reason: "no answer before the gateway stopped"}}
	}
	switch {
	case errors.Is(err, errUnmarked):
		p.Finish(placer.Failed, time.Now())
	case errors.Is(err, errUnidentified):
		p.Finish(placer.Rejected, time.Now())
	case errors.Is(err, limiter.ErrTooLarge), errors.Is(err, validator.ErrMalformed):
		p.Finish(placer.Lost, time.Now())
	case isCutOff(err, p.GetDownSince(), x.sentAt, time.Now()):
		p.Finish(placer.Lost, time.Now())
	default:
		p.Finish(placer.Lost, time.Now())
		x.addLoss(p, err)
	}
	if ctx.Err() != nil {
		return retry{sent: true, fallback: failure{status: http.StatusGatewayTimeout, reason: "no answer in time"}}
	}
	return retry{sent: true, fallback: failure{status: http.StatusBadGateway, reason: "connection to the backend server broke", retryAfter: failureRetryAfter}}
}

// minCutOffDelay is how long a group has been down at least when its servers cut off their
// work. A server that crashes is lost before the stall of its group is reported.
const minCutOffDelay = 500 * time.Millisecond

// isCutOff reports whether a server has closed the connection because its group has been down
// for some time. A server that crashes takes the group down and is lost before that; the
// requests that the others cut off later are not the cause.
func isCutOff(err error, downSince, sentAt, now time.Time) bool {
	return isClosed(err) && downSince.After(sentAt) && now.Sub(downSince) >= minCutOffDelay
}

// isClosed reports whether the server, or its platform after its end, has closed the connection.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// addLoss records a server that was lost while it had the request. A server that sends
// without end, or that answers, even if malformed, has not crashed.
func (x *exchange) addLoss(p *placer.Placed, err error) {
	var opts []quarantiner.LossOption
	if p.IsEngine() {
		opts = append(opts, quarantiner.InGroup())
	}
	server := quarantiner.NewServer(p.ID, p.Started)
	n := x.quarantine.AddLoss(x.digest, server, x.sentAt, time.Now(), opts...)
	if isClosed(err) && !x.partsServed {
		x.quarantine.AddPartLosses(x.parts, server, time.Now(), opts...)
	}
	losses.Inc()
	log.Warn("backend server lost while it had the request", "event", "crash", "request", x.ID, "server", p.ID, "digest", x.digest, "crashes", n,
		"parts", x.parts, "events", x.attemptEvents, "after", time.Since(x.sentAt))
}

// addServed records that a server has run the request and answered.
func (x *exchange) addServed() {
	if n := x.quarantine.AddServed(x.digest, time.Now()); n > 0 {
		log.Info("request was served and did not crash its servers", "event", "explained", "request", x.ID, "digest", x.digest, "losses", n)
	}
	x.addPartsServed()
}

// beginningEvents is the number of events that a server may send of an answer that crashes it.
// A server with a deadly part in a prompt crashes as it begins to answer.
const beginningEvents = 1

// addPartsServed records, once for each request, that a server has answered more than its
// beginning.
func (x *exchange) addPartsServed() {
	if !x.partsServed {
		x.partsServed = true
		x.quarantine.AddPartsServed(x.parts, quarantiner.NewServer(x.placed.ID, x.placed.Started), x.sentAt, time.Now())
	}
}

// logPlaced logs the server of an attempt. If this process ends before the request,
// no other line names the server.
func (x *exchange) logPlaced(p *placer.Placed) {
	log.Info("request placed", "event", "placed", "request", x.ID, "route", x.route.Name, "service", x.service, "server", p.ID,
		"among", p.ServerCount, "cold", p.Cold, "estimate", p.Estimate, "report_age", p.ReportAge(), "sent", x.attempts, "catalog", x.snapshot.Version)
}

// logAttempt logs an attempt whose answer was not relayed.
func (x *exchange) logAttempt(p *placer.Placed, result string, err error) {
	log.Info("attempt ended", "event", "attempt", "request", x.ID, "server", p.ID, "service", x.service, "result", result,
		"estimate", p.Estimate, "report_age", p.ReportAge(), "sent", x.attempts, "last_event", x.lastEvent, "error", err)
}
