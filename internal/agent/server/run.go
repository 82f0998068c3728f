package server

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"siskinfall/internal/admission/queuer"
	"siskinfall/internal/agent/driver"
	"siskinfall/internal/check/asserter"
	"siskinfall/internal/config/registrar"
	"siskinfall/internal/execution/guard"
	"siskinfall/internal/suspect/isolator"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// attempt is one attempt at a request, served by one goroutine.
type attempt struct {
	*Server
	req *encoder.RunRequest
	st  *connector.Stream
	// handedOver is set before the first byte goes to the backend server.
	handedOver bool
	// offset is the position in the answer after the bytes sent so far; it includes
	// the resume prefix. checksum covers only the bytes sent.
	offset   uint64
	checksum *xxhash.Digest
	// queued is the time spent waiting for a slot.
	queued time.Duration
	// rowState describes the execution row of a non-idempotent request.
	rowState string
	// monitored is set once the attempt has a slot and may run.
	monitored *isolator.Run
	// release frees the slot of the queue. Further calls have no effect.
	release func()
}

// run serves one attempt.
func (s *Server) run(ctx context.Context, req *encoder.RunRequest, st *connector.Stream) {
	a := &attempt{Server: s, req: req, st: st, checksum: xxhash.New(), offset: uint64(len(req.GetResumePrefix()))}
	if !s.Accept() {
		a.refuse(encoder.CodeLeaving, "accept", encoder.Execution_EXECUTION_NOT_RUN, "")
		return
	}
	defer s.Finish()
	if !a.checkConfig() {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, a.deadline())
	defer cancel()
	if req.GetIdempotent() {
		go a.cancelOnClose(cancel)
	}
	a.serve(ctx)
}

// deadline returns the earlier of the wall-clock deadline and the end of the time
// budget.
func (a *attempt) deadline() time.Time {
	wall := time.UnixMicro(a.req.GetDeadlineMicros())
	budget := time.Now().Add(time.Duration(a.req.GetBudgetMicros()) * time.Microsecond)
	if wall.Before(budget) {
		return wall
	}
	return budget
}

// cancelOnClose cancels an idempotent request when the entry instance closes the
// stream.
func (a *attempt) cancelOnClose(cancel context.CancelFunc) {
	_ = a.st.Receive(&encoder.Open{})
	cancel()
}

// checkConfig refuses a request that was routed by an older or a newer configuration
// of the service than this agent has.
func (a *attempt) checkConfig() bool {
	snap := a.activeConfig.Get()
	ref := registrar.Ref{Kind: registrar.KindService, Name: a.req.GetService()}
	own := snap.GetNumber(ref)
	switch {
	case own == a.req.GetConfigNumber():
		return true
	case own < a.req.GetConfigNumber():
		a.refuse(encoder.CodeConfigBehind, "check_config", encoder.Execution_EXECUTION_NOT_RUN, "")
		return false
	}
	a.send(&encoder.RunEvent{Kind: &encoder.RunEvent_Refusal{Refusal: &encoder.Refusal{
		Code: encoder.CodeConfigStale, Step: "check_config", Execution: encoder.Execution_EXECUTION_NOT_RUN,
		Entities: []*encoder.Entity{snap.Entities[ref]},
	}}})
	return false
}

func (a *attempt) serve(ctx context.Context) {
	start := time.Now()
	release, err := a.queue.Acquire(ctx, queuer.Work{
		Class: int(a.req.GetPriority()), Account: a.req.GetClientAccount(), Weight: int(a.req.GetWeight()),
		Bytes: len(a.req.GetBody()), Deadline: a.deadline(),
	})
	a.queued = time.Since(start)
	if err != nil {
		a.refuse(queueCode(err), "queue", encoder.Execution_EXECUTION_NOT_RUN, err.Error())
		return
	}
	a.release = release
	defer func() { a.release() }()
	run, err := a.monitor.StartRun(a.req.GetDigest(), a.req.GetIsolated())
	if err != nil {
		a.refuse(encoder.CodeIsolationBusy, "isolate", encoder.Execution_EXECUTION_NOT_RUN, err.Error())
		return
	}
	a.monitored = run
	defer run.Finish()
	if run.IsUnseen {
		a.refuse(encoder.CodeBusy, "check_backend", encoder.Execution_EXECUTION_NOT_RUN, "the backend server has crashed and was not seen since")
		return
	}
	if a.req.GetIdempotent() {
		a.runIdempotent(ctx)
		return
	}
	a.runOnce(ctx)
}

func queueCode(err error) string {
	switch {
	case errors.Is(err, queuer.ErrClosed):
		return encoder.CodeLeaving
	case errors.Is(err, queuer.ErrTooLate), errors.Is(err, context.DeadlineExceeded):
		return encoder.CodeDeadlineExceeded
	}
	return encoder.CodeBusy
}

func (a *attempt) newCall() *driver.Call {
	return &driver.Call{
		AttemptID: a.req.GetAttemptId(), Method: a.req.GetMethod(), Path: a.req.GetPath(), Headers: a.req.GetHeaders(),
		Body: a.req.GetBody(), Idempotent: a.req.GetIdempotent(), ResumePrefix: a.req.GetResumePrefix(),
	}
}

// handOver marks the request as handed over, immediately before it is sent to the
// backend server. It fails once the server has been leaving for leavingGracePeriod.
func (a *attempt) handOver() error {
	if err := a.checkLeaving(); err != nil {
		return err
	}
	a.handedOver = true
	return nil
}

func (a *attempt) runIdempotent(ctx context.Context) {
	if err := a.handOver(); err != nil {
		a.refuse(encoder.CodeLeaving, "hand_over", encoder.Execution_EXECUTION_NOT_RUN, err.Error())
		return
	}
	answer, err := a.driver.Do(ctx, a.newCall())
	if driver.IsErrNotSent(err) {
		a.handedOver = false
	}
	if err != nil {
		a.refuseFailed(ctx, err)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	if isTransient(answer.Status) {
		a.refuse(encoder.CodeBackendError, "backend_call", encoder.Execution_EXECUTION_UNKNOWN, http.StatusText(answer.Status))
		return
	}
	if err := a.checkAttemptID(answer); err != nil {
		a.refuse(encoder.CodeAnswerBroken, "check_answer", encoder.Execution_EXECUTION_UNKNOWN, err.Error())
		return
	}
	a.bufferHead(&encoder.Head{Status: uint32(answer.Status), Headers: answer.Headers})
	if err := a.copyBody(answer); err != nil {
		a.refuseFailed(ctx, err)
		return
	}
	a.sendEnd()
}

// isTransient reports whether an idempotent request that got this status may be
// retried.
func isTransient(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// checkAttemptID asserts that an answer with an attempt id carries that of this
// attempt.
func (a *attempt) checkAttemptID(answer *driver.Answer) error {
	for _, h := range answer.Headers {
		if h.GetName() != "X-Attempt-Id" {
			continue
		}
		ok := h.GetValue() == a.req.GetAttemptId()
		return asserter.Holds(ok, asserter.RuleOwnAnswer, "answer of %s to %s", h.GetValue(), a.req.GetAttemptId())
	}
	return nil
}

// refuseFailed refuses the attempt after a failed call. The refusal says whether the
// request may have run.
func (a *attempt) refuseFailed(ctx context.Context, err error) {
	execution := encoder.Execution_EXECUTION_UNKNOWN
	if !a.handedOver {
		execution = encoder.Execution_EXECUTION_NOT_RUN
	}
	if ctx.Err() != nil {
		a.refuse(encoder.CodeDeadlineExceeded, "backend_call", execution, ctx.Err().Error())
		return
	}
	if a.handedOver && a.monitored.DetectCrash(ctx) {
		log.Warn("backend server crashed", "attempt", a.req.GetAttemptId())
		a.notifyWatchers()
		a.refuseCrashed()
		return
	}
	a.refuse(encoder.CodeAnswerBroken, "backend_call", execution, err.Error())
}

func (a *attempt) refuseCrashed() {
	_, suspects := a.monitor.GetCrashes()
	code := encoder.CodeCrashed
	for _, s := range suspects {
		if s.GetCulprit() && string(s.GetDigest()) == string(a.req.GetDigest()) {
			code = encoder.CodeCulprit
		}
	}
	a.refuse(code, "backend_call", encoder.Execution_EXECUTION_UNKNOWN, "the backend server crashed")
}

// runOnce runs a non-idempotent request.
func (a *attempt) runOnce(ctx context.Context) {
	decision, err := a.guard.Begin(ctx, guard.Request{
		ID:         guard.ID{Account: a.req.GetClientAccount(), Service: a.req.GetService(), Key: a.req.GetIdempotencyKey()},
		Attempt:    a.req.GetAttemptId(),
		Digest:     a.req.GetDigest(),
		Generation: a.req.GetGeneration(),
		Retention:  a.retention(),
		OnWait:     a.release,
	})
	if err != nil {
		a.refuse(encoder.CodeOutcomeUnknown, "begin", encoder.Execution_EXECUTION_UNKNOWN, err.Error())
		return
	}
	switch d := decision.(type) {
	case *guard.Permit:
		a.rowState = "inserted"
		a.runPermit(ctx, d)
	case *guard.Replay:
		a.rowState = "answered before"
		a.sendAnswer(d.Answer, true)
	case *guard.Denial:
		a.deny(d)
	}
}

// defaultRetention is used while the service's configuration is missing.
const defaultRetention = 24 * time.Hour

func (a *attempt) retention() time.Duration {
	if svc := a.activeConfig.Get().Services[a.req.GetService()]; svc != nil {
		return svc.Retention
	}
	return defaultRetention
}

func (a *attempt) deny(d *guard.Denial) {
	a.rowState = string(d.Reason)
	execution := encoder.Execution_EXECUTION_NOT_RUN
	if d.Reason == guard.ReasonOutcomeUnknown {
		execution = encoder.Execution_EXECUTION_UNKNOWN
	}
	a.send(&encoder.RunEvent{Kind: &encoder.RunEvent_Refusal{Refusal: &encoder.Refusal{
		Code: string(d.Reason), Step: "begin", Execution: execution, ClosedGeneration: d.Generation,
	}}})
}

// runPermit runs the request, sends the answer and records it.
func (a *attempt) runPermit(ctx context.Context, p *guard.Permit) {
	err := a.handOver()
	if err == nil {
		err = p.HandOver()
	}
	if err != nil {
		p.Fail()
		a.handedOver = false
		a.refuse(encoder.CodeLeaving, "hand_over", encoder.Execution_EXECUTION_NOT_RUN, err.Error())
		return
	}
	// The answer is recorded for a resent request even when the session has ended.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), a.deadline())
	defer cancel()
	stop := context.AfterFunc(a.backgroundCtx, cancel) //nolint:contextcheck // outlives the session
	defer stop()
	answer, err := a.fetchAnswer(ctx)
	if driver.IsErrNotSent(err) {
		a.handedOver = false
		p.RevertHandOver()
	}
	if err != nil {
		p.Fail()
		a.refuseFailed(ctx, err)
		return
	}
	p.PublishAnswer(answer)
	a.release()
	a.sendAnswer(answer, false)
	if err := p.RecordAnswer(context.WithoutCancel(ctx)); err != nil {
		log.Warn("failed to record answer", "attempt", a.req.GetAttemptId(), "error", err)
	}
}

// fetchAnswer calls the backend server and reads the complete answer.
func (a *attempt) fetchAnswer(ctx context.Context) (*guard.Answer, error) {
	answer, err := a.driver.Do(ctx, a.newCall())
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	if err := a.checkAttemptID(answer); err != nil {
		return nil, err
	}
	body, err := a.readAnswer(answer)
	if err != nil {
		return nil, err
	}
	return &guard.Answer{Status: answer.Status, Headers: answer.Headers, Body: body}, nil
}
