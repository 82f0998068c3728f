package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"siskinfall/internal/backend/validator"
	"siskinfall/internal/check/asserter"
	"siskinfall/internal/config/registrar"
	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/routing/tracker"
	"siskinfall/internal/suspect/isolator"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// nextAction is what the dispatcher does after an attempt.
type nextAction interface{ sealed() }

// finished ends the request with an outcome.
type finished struct{ Outcome }

// retry asks for another attempt.
type retry struct {
	// free says that the retry is not charged to the retry budget.
	free bool
}

func (*finished) sealed() {}
func (*retry) sealed()    {}

var (
	errOffsetMismatch  = errors.New("data does not follow what came before")
	errAttemptMismatch = errors.New("event of another attempt")
	errUnknownKind     = errors.New("event of unknown kind")
	errCallerGone      = errors.New("caller has gone")
	errHeadMismatch    = errors.New("answer differs from what the caller has")
	errHeadMissing     = errors.New("answer without a head")
	errSecondHead      = errors.New("second head in one answer")
	errStatusNotFinal  = errors.New("status of the answer is not final")
)

var mismatchedEvents = metrics.NewCounter("siskinfall_crossed_events_total")

// runAttempt makes one attempt at a target.
func (j *job) runAttempt(ctx context.Context, target *tracker.Target) nextAction {
	j.attempts++
	j.attemptSeq++
	j.tried = append(j.tried, target.Backend)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if j.Idempotent {
		stop := cancelOnLoss(ctx, cancel, target)
		defer stop()
	}
	target.Start(j.PrefixHash, time.Now())
	refusal, err := j.exchange(ctx, target)
	target.Finish(isBackendFault(refusal, err) && ctx.Err() == nil)
	switch {
	case errors.Is(err, errCallerGone):
		return &finished{&CallerGone{}}
	case err != nil:
		return j.handleError(ctx, target, err)
	case refusal != nil:
		return j.handleRefusal(ctx, target, refusal)
	}
	j.sink.Complete()
	j.Trace.Add("complete", "status %d by %s", j.head.GetStatus(), target.Name)
	return &finished{&Completed{Status: int(j.head.GetStatus()), FirstByte: j.firstByte}}
}

// cancelOnLoss cancels an attempt when the agent's heartbeats are missing or its
// model group is stalled.
func cancelOnLoss(ctx context.Context, cancel context.CancelFunc, target *tracker.Target) (stop func()) {
	done := make(chan struct{})
	lost := target.Lost()
	go func() {
		select {
		case <-lost:
			cancel()
		case <-ctx.Done():
		case <-done:
		}
	}()
	return func() { close(done) }
}

// isBackendFault reports whether an attempt counts as a failure of its backend
// server.
func isBackendFault(refusal *encoder.Refusal, err error) bool {
	if err != nil {
		return !errors.Is(err, errCallerGone)
	}
	switch refusal.GetCode() {
	case encoder.CodeAnswerBroken, encoder.CodeCrashed, encoder.CodeBackendError:
		return true
	}
	return false
}

// exchange sends the request and forwards the answer to the caller. It returns a
// refusal, an error, or neither when the caller has the whole answer.
func (j *job) exchange(ctx context.Context, target *tracker.Target) (*encoder.Refusal, error) {
	req := j.newRunRequest()
	st, err := j.pool.Open(ctx, target.Addr, &encoder.Open{Kind: &encoder.Open_Run{Run: req}})
	if err != nil {
		// The frame may have been written, in part or completely.
		j.unresolved = j.unresolved || mayHaveBeenSent(err)
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = st.Close() })
	defer stop()
	defer func() { _ = st.Close() }()
	refusal, err := j.receive(st, req, target)
	if err != nil {
		j.unresolved = true
	}
	return refusal, err
}

// mayHaveBeenSent reports whether the peer may have received the first frame
// although Open returned err.
func mayHaveBeenSent(err error) bool {
	step, _ := wrapper.GetStep(err)
	return step == "send_frame"
}

func (j *job) newRunRequest() *encoder.RunRequest {
	return &encoder.RunRequest{
		RequestId: j.ID, AttemptId: j.newAttemptID(), ClientAccount: j.Account.Name, Service: j.Service.Name,
		Method: j.Method, Path: j.Path, Headers: j.Headers, Body: j.Body,
		DeadlineMicros: j.Deadline.UnixMicro(), BudgetMicros: time.Until(j.Deadline).Microseconds(),
		Idempotent: j.Idempotent, IdempotencyKey: j.Key, Digest: j.Digest, Generation: j.generation,
		ConfigNumber: j.ConfigNumber, Priority: uint32(j.Priority), Weight: uint32(j.Account.Weight),
		ResumePrefix: j.sent, Isolated: j.isolated,
	}
}

// answerReceiver is the state of one attempt's answer as it arrives.
type answerReceiver struct {
	*job
	req    *encoder.RunRequest
	target *tracker.Target
	peer   string
	// headReceived says that the head has arrived; it comes once, before all data.
	headReceived bool
	// offset and sum are the length and the checksum of the forwarded data; offset
	// also counts the resume prefix.
	offset uint64
	sum    *xxhash.Digest
}

// receive handles the events of one attempt until its last one.
func (j *job) receive(st *connector.Stream, req *encoder.RunRequest, target *tracker.Target) (*encoder.Refusal, error) {
	r := &answerReceiver{job: j, req: req, target: target, peer: st.Peer(), offset: uint64(len(req.GetResumePrefix())), sum: xxhash.New()}
	for {
		ev := &encoder.RunEvent{}
		if err := st.Receive(ev); err != nil {
			return nil, err
		}
		if err := r.checkAttemptID(ev); err != nil {
			return nil, err
		}
		r.recordReport(ev)
		refusal, done, err := r.handleEvent(ev)
		if done || err != nil {
			return refusal, err
		}
	}
}

// checkAttemptID asserts that an event carries the ID of this attempt.
func (r *answerReceiver) checkAttemptID(ev *encoder.RunEvent) error {
	want := r.req.GetAttemptId()
	if ev.GetAttemptId() == want {
		return nil
	}
	mismatchedEvents.Inc()
	err := asserter.Holds(false, asserter.RuleOwnAnswer, "%s on the stream of %s", ev.GetAttemptId(), want)
	return wrapper.At("receive_answer", r.peer, errors.Join(errAttemptMismatch, err))
}

// recordReport records the load and the row state that an event carries; the
// last event of an attempt does.
func (r *answerReceiver) recordReport(ev *encoder.RunEvent) {
	if load := ev.GetLoad(); load != nil {
		r.target.SetLoad(int(load.GetRunning()+load.GetQueued()), time.Now())
		r.Trace.Add("queue", "%s: waited %d µs, %d running, %d queued", r.target.Name, ev.GetQueuedMicros(), load.GetRunning(), load.GetQueued())
	}
	if ev.GetRowState() != "" {
		r.Trace.Add("row", "generation %d: %s", r.req.GetGeneration(), ev.GetRowState())
	}
}

// handleEvent processes an event and reports whether it was the attempt's last.
func (r *answerReceiver) handleEvent(ev *encoder.RunEvent) (refusal *encoder.Refusal, done bool, err error) {
	switch k := ev.GetKind().(type) {
	case *encoder.RunEvent_Head:
		return nil, false, r.handleHead(k.Head)
	case *encoder.RunEvent_Chunk:
		return nil, false, r.handleChunk(k.Chunk)
	case *encoder.RunEvent_End:
		return nil, true, r.handleEnd(k.End)
	case *encoder.RunEvent_Refusal:
		return k.Refusal, true, nil
	}
	return nil, false, wrapper.At("receive_answer", r.peer, errUnknownKind)
}

// handleHead forwards the head. Only final statuses can be answered.
func (r *answerReceiver) handleHead(h *encoder.Head) error {
	switch {
	case r.headReceived:
		return wrapper.At("receive_answer", r.peer, errSecondHead)
	case h.GetStatus() < http.StatusOK || h.GetStatus() > validator.MaxStatus:
		return wrapper.At("receive_answer", r.peer, errStatusNotFinal)
	}
	r.headReceived = true
	return r.forwardHead(h)
}

// handleEnd asserts that the data before the end is the whole answer.
func (r *answerReceiver) handleEnd(e *encoder.End) error {
	if !r.headReceived {
		return wrapper.At("receive_answer", r.peer, errHeadMissing)
	}
	complete := e.GetLength() == r.offset && e.GetChecksum() == r.sum.Sum64()
	return asserter.Holds(complete, asserter.RuleWholeAnswer, "attempt %s: %d of %d bytes", r.req.GetAttemptId(), r.offset, e.GetLength())
}

// handleChunk forwards data that directly follows the data before it.
func (r *answerReceiver) handleChunk(c *encoder.Chunk) error {
	if !r.headReceived {
		return wrapper.At("receive_answer", r.peer, errHeadMissing)
	}
	if c.GetOffset() != r.offset {
		return wrapper.At("receive_answer", r.peer, errOffsetMismatch)
	}
	r.offset += uint64(len(c.GetData()))
	_, _ = r.sum.Write(c.GetData())
	return r.forwardData(c.GetData())
}

// forwardHead sends the head to the caller once. The answer of a later attempt must
// continue the one that the caller has.
func (j *job) forwardHead(h *encoder.Head) error {
	if j.head != nil {
		if !j.continues(h) {
			return errHeadMismatch
		}
		return nil
	}
	j.head = h
	j.firstByte = time.Since(j.start)
	if err := j.sink.SendHead(h); err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

// continues reports whether an answer with the head h can continue the one that the
// caller has.
func (j *job) continues(h *encoder.Head) bool {
	if len(j.sent) == 0 {
		return h.IsSameAs(j.head)
	}
	return h.GetStatus() == j.head.GetStatus() && h.IsEventStream()
}

func (j *job) forwardData(data []byte) error {
	if j.resumable = j.resumable && j.Idempotent && len(j.sent)+len(data) <= maxResumeBytes; j.resumable {
		j.sent = append(j.sent, data...)
	}
	if err := j.sink.SendData(data); err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

// handleError decides what follows an attempt that ended with an error.
func (j *job) handleError(ctx context.Context, target *tracker.Target, err error) nextAction {
	j.Trace.Add("attempt", "%s broke off: %v", target.Name, err)
	j.lastRefusal = &encoder.Refusal{Code: encoder.CodeAnswerBroken, Step: "receive_answer", Detail: "the connection to the backend server broke"}
	return j.retryOrRefuse(ctx, &retry{})
}

// retryOrRefuse makes the retry next unless the caller has a partial answer that
// cannot be resumed.
func (j *job) retryOrRefuse(ctx context.Context, next *retry) nextAction {
	if j.head != nil && (!j.Idempotent || !j.canResume()) {
		return &finished{j.refuse(ctx, j.lastRefusal.GetCode(), j.lastRefusal.GetStep())}
	}
	return next
}

// canResume reports whether another attempt can continue after the data that
// the caller has. Engines continue only event streams, and would repeat the end marker.
func (j *job) canResume() bool {
	return j.resumable && !bytes.HasSuffix(bytes.TrimRight(j.sent, "\r\n"), []byte("\n"+encoder.EndMarker)) && (len(j.sent) == 0 || j.Service.Kind == registrar.ServiceModel && j.head.IsEventStream())
}

// handleRefusal decides what follows an agent's refusal.
func (j *job) handleRefusal(ctx context.Context, target *tracker.Target, r *encoder.Refusal) nextAction {
	j.Trace.Add("attempt", "%s refused: %s at %s, execution %s", target.Name, r.GetCode(), r.GetStep(), ExecutionName(r.GetExecution()))
	j.lastRefusal = r
	if r.GetExecution() != encoder.Execution_EXECUTION_NOT_RUN {
		j.unresolved = true
	}
	switch r.GetCode() {
	case encoder.CodeConfigStale:
		return j.handleStaleConfig(ctx, r)
	case encoder.CodeConfigBehind:
		j.onBehind(target)
		j.undoAttempt()
		return j.retryOrRefuse(ctx, &retry{free: true})
	case encoder.CodeGenerationClosed:
		return j.handleClosedGeneration(ctx, r)
	case encoder.CodeCulprit:
		// The caller may send the request again, through any entry instance, once it is answered.
		j.onSuspects(ctx, []*encoder.Suspect{j.newSuspect(target, true)})
		return &finished{j.refuse(ctx, r.GetCode(), r.GetStep())}
	case encoder.CodeKeyReused:
		return &finished{j.refuse(ctx, r.GetCode(), r.GetStep())}
	case encoder.CodeOutcomeUnknown:
		return &finished{j.newOutcomeUnknown(r)}
	case encoder.CodeCrashed:
		j.markSuspect(ctx, target)
	case encoder.CodeLeaving:
		target.SetAvailable(false)
		return j.retryOrRefuse(ctx, &retry{free: true})
	}
	if !j.Idempotent && r.GetExecution() != encoder.Execution_EXECUTION_NOT_RUN {
		return &finished{j.refuse(ctx, r.GetCode(), r.GetStep())}
	}
	return j.retryOrRefuse(ctx, &retry{})
}

// undoAttempt makes the target of the last attempt eligible again and does not
// count the attempt.
func (j *job) undoAttempt() {
	j.tried = j.tried[:len(j.tried)-1]
	j.attempts--
}

// handleStaleConfig applies the newer configuration from the agent and retries,
// unless the service is gone or the request's idempotency changed.
func (j *job) handleStaleConfig(ctx context.Context, r *encoder.Refusal) nextAction {
	j.activeConfig.Apply(r.GetEntities())
	snap := j.activeConfig.Get()
	svc := snap.Services[j.Service.Name]
	if svc == nil || svc.IsIdempotent(j.Method, j.Path) != j.Idempotent {
		return &finished{j.refuse(ctx, r.GetCode(), r.GetStep())}
	}
	j.Service = svc
	j.ConfigNumber = snap.GetNumber(registrar.Ref{Kind: registrar.KindService, Name: svc.Name})
	j.undoAttempt()
	return j.retryOrRefuse(ctx, &retry{free: true})
}

// handleClosedGeneration retries with the next generation of the key. Earlier
// attempts of this request carry the closed generation and can no longer run.
func (j *job) handleClosedGeneration(ctx context.Context, r *encoder.Refusal) nextAction {
	j.generation = max(j.generation, r.GetClosedGeneration()) + 1
	j.unresolved = false
	j.undoAttempt()
	return j.retryOrRefuse(ctx, &retry{free: true})
}

func (j *job) newOutcomeUnknown(r *encoder.Refusal) *Refused {
	return &Refused{
		Code: r.GetCode(), Step: r.GetStep(), Execution: encoder.Execution_EXECUTION_UNKNOWN, HeadSent: j.head != nil,
		RetryAfter: minRetryAfter, Detail: "an earlier run of this key was handed over and its outcome was lost",
	}
}

// markSuspect isolates the next attempt from other suspects and reports the
// suspect to the other entry instances.
func (j *job) markSuspect(ctx context.Context, target *tracker.Target) {
	j.isolated = true
	go j.onSuspects(context.WithoutCancel(ctx), []*encoder.Suspect{j.newSuspect(target, false)})
}

func (j *job) newSuspect(target *tracker.Target, isCulprit bool) *encoder.Suspect {
	return &encoder.Suspect{
		Digest: j.Digest, Instance: target.Name, Culprit: isCulprit, ExpiresMicros: time.Now().Add(isolator.SuspectTTL).UnixMicro(),
	}
}
