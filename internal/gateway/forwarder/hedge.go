package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"siskinfall/internal/admission/admitter"
	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/gateway/hedger"
	"siskinfall/internal/gateway/placer"
)

var (
	secondAttempts    = metrics.NewCounter("siskinfall_gateway_second_attempts_total")
	secondAttemptsWon = metrics.NewCounter("siskinfall_gateway_second_attempts_won_total")
)

// Reasons for which a late attempt gets no second one, beside those of package hedger.
const (
	notAllowed  hedger.Denial = "not allowed for the request"
	noSpareRoom hedger.Denial = "no spare room"
	overBudget  hedger.Denial = "over the retry budget"
)

// race is a first attempt at a request, which gets a second one beside it if it is late. The
// first whole answer is relayed, or the first stream that begins.
type race struct {
	*exchange
	class      hedger.Class
	from       hedger.Origin
	first      *flight
	launchedAt time.Time
	// landings has room for both attempts, so that none waits.
	landings chan landing
	// underway holds the attempts that have not landed.
	underway []*flight
	isLate   bool
	// secondPlace is the place in admission that the second attempt has beside the request's
	// own, nil if it needs none.
	secondPlace *admitter.Ticket
}

// landing is the end of an attempt, or the beginning of its answer.
type landing struct {
	*flight
	outcome
}

// mayRace reports whether the request may get a second attempt beside its first one.
func (x *exchange) mayRace() bool {
	return x.hedger != nil && x.route.IsRepeatable() && x.route.MaxAttempts > 1 && x.attempts == 0 && !x.isTrial
}

// tryRace makes a first attempt at a placed server, and a second one if it is late.
func (x *exchange) tryRace(ctx context.Context, p *placer.Placed) nextAction {
	now := time.Now()
	r := &race{
		exchange: x, class: x.newClass(), from: hedger.Origin{Service: x.service, Zone: p.Zone, Server: p.ID},
		launchedAt: now, landings: make(chan landing, 2),
	}
	var due <-chan time.Time
	if delay := x.hedger.GetDelay(r.class, x.route.Objective, now); delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		due = timer.C
	}
	// The relay of the winner ends before this function.
	ctxRace, cancel := context.WithCancel(ctx)
	defer cancel()
	r.first = r.launch(ctxRace, p)
	for {
		select {
		case <-due:
			r.isLate = true
			r.addSecond(ctxRace)
		case l := <-r.landings:
			if action := r.land(ctx, l); action != nil {
				return action
			}
		}
	}
}

// newClass returns the class of the request's times. That of a stream's first event depends
// on the prompt.
func (x *exchange) newClass() hedger.Class {
	size := len(x.body)
	if x.PromptTokens > 0 {
		size = x.PromptTokens
	}
	return hedger.NewClass(x.service, x.route.Kind == holder.Streaming, size)
}

// launch starts an attempt in a goroutine of its own, until its answer has arrived or begun.
func (r *race) launch(ctx context.Context, p *placer.Placed) *flight {
	f := &flight{placed: p, number: r.attempts + len(r.underway) + 1}
	ctx, f.cancel = context.WithCancel(ctx)
	r.underway = append(r.underway, f)
	go func() {
		out := r.send(ctx, f)
		if a, ok := out.(*answered); ok {
			if err := r.prefetch(a); err != nil {
				a.release(false, r.pool)
				out = &unknown{err: err}
			}
		}
		r.landings <- landing{f, out}
	}()
	return f
}

// prefetch reads an answer up to maxBufferedBytes, or a stream up to its first event.
func (x *exchange) prefetch(a *answered) error {
	var buf bytes.Buffer
	var err error
	if x.route.Kind == holder.Streaming && a.resp.StatusCode == http.StatusOK {
		_, _, err = newEventReader(io.TeeReader(a.resp.Body, &buf), x.sourceOf(a.conn, "read_event")).next()
	} else {
		_, err = io.CopyN(&buf, a.resp.Body, maxBufferedBytes)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	a.resp.Body = prefetchedBody{io.MultiReader(&buf, a.resp.Body), a.resp.Body}
	return nil
}

type prefetchedBody struct {
	io.Reader
	io.Closer
}

// addSecond starts the second attempt if it is allowed.
func (r *race) addSecond(ctx context.Context) {
	second, denial := r.placeSecond(time.Now())
	if denial != hedger.Allowed {
		countDenied(denial)
		return
	}
	secondAttempts.Inc()
	log.Info("second attempt placed", "event", "second_attempt", "request", r.ID, "route", r.route.Name, "service", r.service,
		"server", second.ID, "first", r.first.placed.ID, "after", time.Since(r.launchedAt), "estimate", second.Estimate)
	r.launch(ctx, second)
}

// placeSecond returns the server of the second attempt, charged to all limits.
func (r *race) placeSecond(now time.Time) (*placer.Placed, hedger.Denial) {
	hasAttemptLeft := r.attempts+len(r.underway) < r.route.MaxAttempts && now.Before(r.deadline)
	if !hasAttemptLeft || r.drain.Load() != nil || r.mustEnd() || r.quarantine.IsSuspect(r.digest, now, r.parts...) {
		return nil, notAllowed
	}
	w := r.newWork()
	w.Exclude = append(slices.Clone(r.tried), r.first.placed.ID)
	second, ok := r.placer.PlaceSpare(w, r.first.placed, now)
	if !ok {
		return nil, noSpareRoom
	}
	denial := r.charge(now)
	if denial != hedger.Allowed {
		r.releaseSecondPlace()
		second.Finish(placer.Cancelled, now)
		return nil, denial
	}
	return second, hedger.Allowed
}

// charge charges the second attempt to admission, its own limit and the retry budget.
func (r *race) charge(now time.Time) hedger.Denial {
	if !r.takePlace(now) {
		return noSpareRoom
	}
	denial := r.hedger.Take(r.from)
	if denial == hedger.Allowed && !r.budget.TakeRetry(r.service, now) {
		return overBudget
	}
	return denial
}

// takePlace takes a place in admission for the second attempt if one is free. It does not wait.
func (r *race) takePlace(now time.Time) bool {
	a := r.getGate(now)
	if a == nil {
		return true
	}
	if s := a.GetState(); s.Waiting > 0 || s.Running >= s.Limit {
		return false
	}
	place := a.Ask(r.newAdmission(), now)
	if _, ok := a.GetDecision(place).(*admitter.Granted); !ok {
		a.Leave(place, now)
		return false
	}
	r.secondPlace = place
	return true
}

// releaseSecondPlace gives the second place on. The attempt that is left has the request's own.
func (r *race) releaseSecondPlace() {
	if r.secondPlace != nil {
		r.gates.get(r.service, time.Now()).Release(r.secondPlace, time.Now())
		r.secondPlace = nil
	}
}

// land handles the landing of an attempt. It returns nil while the request waits for the other
// one.
func (r *race) land(ctx context.Context, l landing) nextAction {
	r.underway = slices.DeleteFunc(r.underway, func(f *flight) bool { return f == l.flight })
	r.releaseSecondPlace()
	isAnswer := r.isAnswer(l.outcome)
	if l.flight == r.first && isAnswer {
		r.record()
	}
	if isAnswer && l.flight != r.first {
		secondAttemptsWon.Inc()
	}
	if isAnswer || len(r.underway) == 0 {
		r.cancelOthers(l.flight)
		r.recordFlight(l.flight)
		return r.handleOutcome(ctx, l.placed, l.outcome)
	}
	r.recordFlight(l.flight)
	if a, ok := l.outcome.(*answered); ok {
		a.release(false, r.pool)
		l.placed.Finish(placer.Failed, time.Now())
		r.mayHaveRun = true
		r.logAttempt(l.placed, "failed by the backend server", nil)
		return nil
	}
	r.handleOutcome(ctx, l.placed, l.outcome)
	return nil
}

// isAnswer reports whether an outcome is an answer to be relayed, and no failure that calls
// for another attempt.
func (x *exchange) isAnswer(out outcome) bool {
	a, ok := out.(*answered)
	return ok && !x.isRetryableFailure(a.resp.StatusCode)
}

// cancelOthers cancels the attempts other than the winner. That says nothing of their servers.
func (r *race) cancelOthers(winner *flight) {
	for _, f := range r.underway {
		f.cancel()
	}
	for range r.underway {
		// A cancelled attempt lands at once.
		loser := <-r.landings
		if loser.flight == r.first {
			r.record()
		}
		if a, ok := loser.outcome.(*answered); ok {
			a.release(false, r.pool)
		}
		loser.placed.Finish(placer.Cancelled, time.Now())
		r.recordFlight(loser.flight)
		r.mayHaveRun = r.mayHaveRun || !loser.sentAt.IsZero()
		log.Info("slower attempt cancelled", "event", "attempt", "request", r.ID, "server", loser.placed.ID, "service", r.service, "result", "cancelled",
			"winner", winner.placed.ID, "was_first", loser.flight == r.first, "after", time.Since(loser.sentAt), "sent", r.attempts)
	}
	r.underway = nil
}

// record adds the time of the first attempt to those of its class.
func (r *race) record() {
	now := time.Now()
	r.hedger.Record(r.class, r.from, now.Sub(r.launchedAt), r.isLate, now)
}

// countDenied counts a late attempt without a second one. Denials are constants.
func countDenied(d hedger.Denial) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskinfall_gateway_second_attempts_denied_total{reason=%q}`, d)).Inc()
}
