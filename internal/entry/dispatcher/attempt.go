package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"siskinfall/internal/check/asserter"
	"siskinfall/internal/config/registrar"
	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/routing/tracker"
	"siskinfall/internal/suspect/isolator"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// step is what follows an attempt.
type step interface{ sealed() }

// finished ends the request.
type finished struct{ Outcome }

// again asks for another attempt.
type again struct {
	// free costs nothing of the budget.
	free bool
}

func (*finished) sealed() {}
func (*again) sealed()    {}

var (
	errOffset  = errors.New("data does not follow what came before")
	errAttempt = errors.New("event of another attempt")
	errKind    = errors.New("event of unknown kind")
	errCaller  = errors.New("caller has gone")
	errHead    = errors.New("answer differs from what the caller has")
)

var crossed = metrics.NewCounter("siskinfall_crossed_events_total")

// try makes one attempt at a target.
func (j *job) try(ctx context.Context, target *tracker.Target) step {
	j.attempts++
	j.sends++
	j.tried = append(j.tried, target.Backend)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if j.Idempotent {
		stop := cancelOnLoss(ctx, cancel, target)
		defer stop()
	}
	target.Start(j.Prefix, time.Now())
	refusal, err := j.exchange(ctx, target)
	target.Finish(isBackendFault(refusal, err) && ctx.Err() == nil)
	switch {
	case errors.Is(err, errCaller):
		return &finished{&CallerGone{}}
	case err != nil:
		return j.afterError(ctx, target, err)
	case refusal != nil:
		return j.afterRefusal(ctx, target, refusal)
	}
	j.Trace.Add("complete", "status %d by %s", j.status, target.Name)
	return &finished{&Completed{Status: j.status, FirstByte: j.first}}
}

// cancelOnLoss cancels an attempt when the agent's heartbeats are missing.
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

// isBackendFault reports whether an attempt speaks against its backend server.
func isBackendFault(refusal *encoder.Refusal, err error) bool {
	if err != nil {
		return !errors.Is(err, errCaller)
	}
	switch refusal.GetCode() {
	case encoder.CodeAnswerBroken, encoder.CodeCrashed, encoder.CodeBackendError:
		return true
	}
	return false
}

// exchange sends the request and passes the answer on. It returns a refusal, an
// error, or neither when the caller has the whole answer.
func (j *job) exchange(ctx context.Context, target *tracker.Target) (*encoder.Refusal, error) {
	req := j.newRunRequest()
	st, err := j.pool.Open(ctx, target.Addr, &encoder.Open{Kind: &encoder.Open_Run{Run: req}})
	if err != nil {
		// The frame may have been written in part or whole.
		j.unresolved = j.unresolved || wasSent(err)
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

// wasSent reports whether an error of Open leaves open that the peer got the
// first frame.
func wasSent(err error) bool {
	step, _ := wrapper.GetStep(err)
	return step == "send_frame"
}

func (j *job) newRunRequest() *encoder.RunRequest {
	return &encoder.RunRequest{
		RequestId: j.ID, AttemptId: j.newAttemptID(), ClientAccount: j.Account.Name, Service: j.Service.Name,
		Method: j.Method, Path: j.Path, Headers: j.Headers, Body: j.Body,
		DeadlineMicros: j.Deadline.UnixMicro(), BudgetMicros: time.Until(j.Deadline).Microseconds(),
		Idempotent: j.Idempotent, IdempotencyKey: j.Key, Digest: j.Digest, Generation: j.generation,
		ConfigNumber: j.Number, Priority: uint32(j.Priority), Weight: uint32(j.Account.Weight),
		ResumePrefix: j.sent, Isolated: j.isolated,
	}
}

// reception is the state of one attempt's answer as it arrives.
type reception struct {
	*job
	req    *encoder.RunRequest
	target *tracker.Target
	peer   string
	// offset and sum cover the answer up to what was passed on.
	offset uint64
	sum    *xxhash.Digest
}

// receive passes one attempt's events on until its end.
func (j *job) receive(st *connector.Stream, req *encoder.RunRequest, target *tracker.Target) (*encoder.Refusal, error) {
	r := &reception{job: j, req: req, target: target, peer: st.Peer(), offset: uint64(len(req.GetResumePrefix())), sum: xxhash.New()}
	for {
		ev := &encoder.RunEvent{}
		if err := st.Receive(ev); err != nil {
			return nil, err
		}
		if err := r.checkOwn(ev); err != nil {
			return nil, err
		}
		r.note(ev)
		refusal, done, err := r.take(ev)
		if done || err != nil {
			return refusal, err
		}
	}
}

// checkOwn asserts that an event belongs to this attempt.
func (r *reception) checkOwn(ev *encoder.RunEvent) error {
	own := r.req.GetAttemptId()
	if ev.GetAttemptId() == own {
		return nil
	}
	crossed.Inc()
	err := asserter.Holds(false, asserter.RuleOwnAnswer, "%s on the stream of %s", ev.GetAttemptId(), own)
	return wrapper.At("receive_answer", r.peer, errors.Join(errAttempt, err))
}

// note takes in what the last event of an attempt tells of the agent.
func (r *reception) note(ev *encoder.RunEvent) {
	if load := ev.GetLoad(); load != nil {
		r.target.SetLoad(int(load.GetRunning()+load.GetQueued()), time.Now())
		r.Trace.Add("queue", "%s: waited %d µs, %d running, %d queued", r.target.Name, ev.GetQueuedMicros(), load.GetRunning(), load.GetQueued())
	}
	if ev.GetRowState() != "" {
		r.Trace.Add("row", "generation %d: %s", r.req.GetGeneration(), ev.GetRowState())
	}
}

// take passes an event on, and reports whether it was the attempt's last.
func (r *reception) take(ev *encoder.RunEvent) (refusal *encoder.Refusal, done bool, err error) {
	switch k := ev.GetKind().(type) {
	case *encoder.RunEvent_Head:
		return nil, false, r.passHead(k.Head)
	case *encoder.RunEvent_Chunk:
		return nil, false, r.takeChunk(k.Chunk)
	case *encoder.RunEvent_End:
		whole := k.End.GetLength() == r.offset && k.End.GetChecksum() == r.sum.Sum64()
		err := asserter.Holds(whole, asserter.RuleWholeAnswer, "attempt %s: %d of %d bytes", r.req.GetAttemptId(), r.offset, k.End.GetLength())
		return nil, true, err
	case *encoder.RunEvent_Refusal:
		return k.Refusal, true, nil
	}
	return nil, false, wrapper.At("receive_answer", r.peer, errKind)
}

// takeChunk passes data on that follows what came before.
func (r *reception) takeChunk(c *encoder.Chunk) error {
	if c.GetOffset() != r.offset {
		return wrapper.At("receive_answer", r.peer, errOffset)
	}
	r.offset += uint64(len(c.GetData()))
	_, _ = r.sum.Write(c.GetData())
	return r.passData(c.GetData())
}

// passHead sends the head to the caller once; a resumed answer must agree.
func (j *job) passHead(h *encoder.Head) error {
	if j.head {
		if int(h.GetStatus()) != j.status {
			return errHead
		}
		return nil
	}
	j.head = true
	j.status = int(h.GetStatus())
	j.first = time.Since(j.start)
	if err := j.sink.SendHead(j.status, h.GetHeaders(), h.GetReplayed()); err != nil {
		return errors.Join(errCaller, err)
	}
	return nil
}

func (j *job) passData(data []byte) error {
	if j.resumable = j.resumable && j.Idempotent && len(j.sent)+len(data) <= maxResume; j.resumable {
		j.sent = append(j.sent, data...)
	}
	if err := j.sink.SendData(data); err != nil {
		return errors.Join(errCaller, err)
	}
	return nil
}

// afterError decides what follows an attempt that broke off.
func (j *job) afterError(ctx context.Context, target *tracker.Target, err error) step {
	j.Trace.Add("attempt", "%s broke off: %v", target.Name, err)
	j.last = &encoder.Refusal{Code: encoder.CodeAnswerBroken, Step: "receive_answer", Detail: "the connection to the backend server broke"}
	return j.resumeOrEnd(ctx)
}

// resumeOrEnd goes on unless the caller has a part that cannot be continued.
func (j *job) resumeOrEnd(ctx context.Context) step {
	if j.head && (!j.Idempotent || !j.canResume()) {
		return &finished{j.giveUp(ctx, j.last.GetCode(), j.last.GetStep())}
	}
	return &again{}
}

// canResume reports whether the answer can go on behind what the caller has.
func (j *job) canResume() bool {
	return j.resumable && (len(j.sent) == 0 || j.Service.Kind == registrar.ServiceModel)
}

// afterRefusal decides what follows an agent's refusal.
func (j *job) afterRefusal(ctx context.Context, target *tracker.Target, r *encoder.Refusal) step {
	j.Trace.Add("attempt", "%s refused: %s at %s, execution %s", target.Name, r.GetCode(), r.GetStep(), ExecutionName(r.GetExecution()))
	j.last = r
	if r.GetExecution() != encoder.Execution_EXECUTION_NOT_RUN {
		j.unresolved = true
	}
	switch r.GetCode() {
	case encoder.CodeConfigStale:
		return j.afterStale(ctx, r)
	case encoder.CodeConfigBehind:
		j.onBehind(target)
		j.untry()
		return &again{free: true}
	case encoder.CodeGenerationClosed:
		return j.afterClosed(r)
	case encoder.CodeKeyReused, encoder.CodeCulprit:
		return &finished{j.giveUp(ctx, r.GetCode(), r.GetStep())}
	case encoder.CodeOutcomeUnknown:
		return &finished{j.newUnknown(r)}
	case encoder.CodeCrashed:
		j.suspect(target)
	case encoder.CodeLeaving:
		target.SetAvailable(false)
		return &again{free: true}
	}
	if !j.Idempotent && r.GetExecution() != encoder.Execution_EXECUTION_NOT_RUN {
		return &finished{j.giveUp(ctx, r.GetCode(), r.GetStep())}
	}
	return j.resumeOrEnd(ctx)
}

// untry lets the target of the last attempt be picked again, at no cost.
func (j *job) untry() {
	j.tried = j.tried[:len(j.tried)-1]
	j.attempts--
}

// afterStale takes in the newer configuration and decides anew.
func (j *job) afterStale(ctx context.Context, r *encoder.Refusal) step {
	j.book.Apply(r.GetEntities())
	snap := j.book.Get()
	svc := snap.Services[j.Service.Name]
	if svc == nil || svc.IsIdempotent(j.Method, j.Path) != j.Idempotent {
		return &finished{j.giveUp(ctx, r.GetCode(), r.GetStep())}
	}
	j.Service = svc
	j.Number = snap.GetNumber(registrar.Ref{Kind: registrar.KindService, Name: svc.Name})
	j.untry()
	return &again{free: true}
}

// afterClosed opens the next generation of the key. An attempt of this request
// that is under way carries the closed one and can no longer run.
func (j *job) afterClosed(r *encoder.Refusal) step {
	j.generation = max(j.generation, r.GetClosedGeneration()) + 1
	j.unresolved = false
	j.untry()
	return &again{free: true}
}

func (j *job) newUnknown(r *encoder.Refusal) *Refused {
	return &Refused{
		Code: r.GetCode(), Step: r.GetStep(), Execution: encoder.Execution_EXECUTION_UNKNOWN, Begun: j.head,
		RetryAfter: minRetryAfter, Detail: "an earlier run of this key was handed over and its outcome was lost",
	}
}

// suspect makes the next attempt run apart from other suspects, and tells the
// other entry instances.
func (j *job) suspect(target *tracker.Target) {
	j.isolated = true
	j.onSuspects([]*encoder.Suspect{{
		Digest: j.Digest, Instance: target.Name, ExpiresMicros: time.Now().Add(isolator.SuspectTTL).UnixMicro(),
	}})
}
