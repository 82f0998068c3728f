package dispatcher

import (
	"bytes"
	"context"
	"net"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"siskinfall/internal/check/asserter"
	"siskinfall/internal/config/registrar"
	"siskinfall/internal/execution/guard"
	"siskinfall/internal/report/recorder"
	"siskinfall/internal/routing/picker"
	"siskinfall/internal/routing/tracker"
	"siskinfall/internal/standin/keeper"
	"siskinfall/internal/store/storer"
	"siskinfall/internal/suspect/isolator"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// script is how a scripted agent answers one attempt.
type script func(req *encoder.RunRequest, st *connector.Stream)

// fixture is a dispatcher with scripted agents and a stand-in platform.
type fixture struct {
	*Dispatcher
	// keeper is the stand-in platform, and platform the client of it.
	keeper   *keeper.Platform
	platform *storer.Client
	mu       sync.Mutex
	// received holds the attempts in order of arrival.
	received []*encoder.RunRequest
	suspects *isolator.Set
}

// newFixture starts a number of agents. The nth attempt is answered by the nth
// script, or by the last one, whichever agent it reaches.
func newFixture(c *qt.C, agents int, scripts ...script) *fixture {
	log.SetLevel(log.FatalLevel)
	ctx, cancel := context.WithCancel(context.Background())
	f := &fixture{keeper: keeper.New(), suspects: isolator.NewSet()}
	srv := httptest.NewServer(f.keeper.Handler())
	f.platform = storer.NewClient(netip.MustParseAddrPort(srv.Listener.Addr().String()), storer.WithTimeout(time.Second))
	pool := connector.NewPool(&encoder.Hello{Version: encoder.Version, Instance: "entry"})
	tr := tracker.New("entry", "z", pool, f.platform, tracker.WithHeartbeat(50*time.Millisecond))
	c.Cleanup(func() { cancel(); pool.Close(); tr.Wait(); srv.Close() })
	list := make([]storer.Instance, 0, agents)
	for i := range agents {
		list = append(list, f.startAgent(ctx, c, string(rune('a'+i)), scripts))
	}
	tr.SetInstances(ctx, list)
	for len(tr.GetService("svc").Backends) < agents {
		sleep(ctx, time.Millisecond)
	}
	f.Dispatcher = New(tr, pool, func() *picker.Picker { return picker.New() }, guard.NewRegistry(f.platform), f.suspects, registrar.NewActiveConfig())
	return f
}

func (f *fixture) startAgent(ctx context.Context, c *qt.C, name string, scripts []script) storer.Instance {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	handle := func(ctx context.Context, _ *encoder.Hello, open *encoder.Open, st *connector.Stream) {
		switch k := open.GetKind().(type) {
		case *encoder.Open_Watch:
			for ctx.Err() == nil {
				if st.Send(&encoder.AgentStatus{Instance: name, Service: "svc", Ready: true, Concurrency: 4}) != nil {
					return
				}
				sleep(ctx, 20*time.Millisecond)
			}
		case *encoder.Open_Run:
			f.mu.Lock()
			n := min(len(f.received), len(scripts)-1)
			f.received = append(f.received, k.Run)
			f.mu.Unlock()
			scripts[n](k.Run, st)
		}
	}
	a := connector.NewAcceptor(&encoder.Hello{Version: encoder.Version, Instance: name}, handle)
	go func() { _ = a.Serve(ctx, ln) }()
	return storer.Instance{Name: name, Role: tracker.RoleAgent, Zone: "z", Address: netip.MustParseAddrPort(ln.Addr().String())}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func newRequest(idempotent bool) *Request {
	return &Request{
		ID: "r1", Account: &registrar.ClientAccount{Name: "acc", Weight: 1},
		Service: &registrar.Service{Name: "svc", Kind: registrar.ServiceModel, MaxAttempts: 4, RetryBudget: 1, Retention: time.Hour},
		Method:  "POST", Path: "/", Idempotent: idempotent, Key: "c:k", Digest: []byte("digest"),
		Deadline: time.Now().Add(3 * time.Second), Trace: recorder.New("entry", 1).NewTrace("r1", "acc", "svc"),
	}
}

// sink collects an answer.
type sink struct {
	bytes.Buffer
	status   int
	complete bool
}

func (s *sink) SendHead(head *encoder.Head) error {
	s.status = int(head.GetStatus())
	return nil
}

func (s *sink) SendData(data []byte) error {
	_, err := s.Write(data)
	return err
}

func (s *sink) Complete() { s.complete = true }

func send(st *connector.Stream, req *encoder.RunRequest, ev *encoder.RunEvent) {
	ev.AttemptId = req.GetAttemptId()
	_ = st.Send(ev)
}

func sendHead(st *connector.Stream, req *encoder.RunRequest) {
	head := &encoder.Head{Status: 200, Headers: []*encoder.Header{{Name: "Content-Type", Value: typeStream}}}
	send(st, req, &encoder.RunEvent{Kind: &encoder.RunEvent_Head{Head: head}})
}

func sendChunk(st *connector.Stream, req *encoder.RunRequest, offset uint64, data string) {
	send(st, req, &encoder.RunEvent{Kind: &encoder.RunEvent_Chunk{Chunk: &encoder.Chunk{Offset: offset, Data: []byte(data)}}})
}

func sendEnd(st *connector.Stream, req *encoder.RunRequest, length uint64, sent string) {
	end := &encoder.End{Length: length, Checksum: xxhash.Sum64String(sent)}
	send(st, req, &encoder.RunEvent{Kind: &encoder.RunEvent_End{End: end}})
}

func refuse(code string, execution encoder.Execution) script {
	return func(req *encoder.RunRequest, st *connector.Stream) {
		r := &encoder.Refusal{Code: code, Step: "test", Execution: execution}
		send(st, req, &encoder.RunEvent{Kind: &encoder.RunEvent_Refusal{Refusal: r}})
	}
}

func answer(text string) script {
	return func(req *encoder.RunRequest, st *connector.Stream) {
		sendHead(st, req)
		sendChunk(st, req, uint64(len(req.GetResumePrefix())), text)
		sendEnd(st, req, uint64(len(req.GetResumePrefix())+len(text)), text)
	}
}

// closeWithoutEvent ends the stream without an event.
func closeWithoutEvent(*encoder.RunRequest, *connector.Stream) {}

func TestLostAttemptClosesGenerationBeforeNotRun(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c, 2, closeWithoutEvent, refuse(encoder.CodeBusy, encoder.Execution_EXECUTION_NOT_RUN))
	req := newRequest(false)
	out, ok := f.Do(t.Context(), req, &sink{}).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(out.Execution, qt.Equals, encoder.Execution_EXECUTION_NOT_RUN)
	// The first attempt arrives late: its generation is closed, so it must not run.
	g := guard.New(t.Context(), f.platform, guard.Owner{Instance: "late"})
	d, err := g.Begin(t.Context(), guard.Request{
		ID: guard.ID{Account: "acc", Service: "svc", Key: "c:k"}, Attempt: "r1.1", Digest: req.Digest, Generation: 1, Retention: time.Hour,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(d, qt.DeepEquals, guard.Decision(&guard.Denial{Reason: guard.ReasonClosed, Generation: 1}))
}

func TestLostAttemptThatMayRunIsUnknown(t *testing.T) {
	c := qt.New(t)
	var f *fixture
	begin := func(req *encoder.RunRequest, _ *connector.Stream) {
		g := guard.New(context.Background(), f.platform, guard.Owner{Instance: "a"})
		_, _ = g.Begin(context.Background(), guard.Request{
			ID: guard.ID{Account: "acc", Service: "svc", Key: req.GetIdempotencyKey()}, Attempt: req.GetAttemptId(),
			Digest: req.GetDigest(), Generation: req.GetGeneration(), Retention: time.Hour,
		})
	}
	f = newFixture(c, 2, begin, refuse(encoder.CodeBusy, encoder.Execution_EXECUTION_NOT_RUN))
	out, ok := f.Do(t.Context(), newRequest(false), &sink{}).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(out.Execution, qt.Equals, encoder.Execution_EXECUTION_UNKNOWN)
}

func TestLostAttemptWithPlatformDownIsUnknown(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c, 2, closeWithoutEvent, refuse(encoder.CodeStoreUnavailable, encoder.Execution_EXECUTION_NOT_RUN))
	f.keeper.SetFaults(keeper.Faults{Down: true})
	out, ok := f.Do(t.Context(), newRequest(false), &sink{}).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(out.Execution, qt.Equals, encoder.Execution_EXECUTION_UNKNOWN)
}

func TestClosedGenerationRetriesWithTheNext(t *testing.T) {
	c := qt.New(t)
	closed := func(req *encoder.RunRequest, st *connector.Stream) {
		r := &encoder.Refusal{Code: encoder.CodeGenerationClosed, Execution: encoder.Execution_EXECUTION_NOT_RUN, ClosedGeneration: 4}
		send(st, req, &encoder.RunEvent{Kind: &encoder.RunEvent_Refusal{Refusal: r}})
	}
	f := newFixture(c, 1, closed, answer("done"))
	s := &sink{}
	_, ok := f.Do(t.Context(), newRequest(false), s).(*Completed)
	c.Assert(ok, qt.IsTrue)
	c.Assert(f.received[1].GetGeneration(), qt.Equals, uint64(5))
	c.Assert(f.received[0].GetAttemptId(), qt.Not(qt.Equals), f.received[1].GetAttemptId())
}

func TestAnswerOfAnotherAttemptIsDropped(t *testing.T) {
	c := qt.New(t)
	before := asserter.Violations()
	mismatched := func(req *encoder.RunRequest, st *connector.Stream) {
		other := &encoder.RunRequest{AttemptId: "other.1"}
		answer("not yours")(other, st)
	}
	f := newFixture(c, 2, mismatched, answer("yours"))
	s := &sink{}
	_, ok := f.Do(t.Context(), newRequest(true), s).(*Completed)
	c.Assert(ok, qt.IsTrue)
	c.Assert(s.String(), qt.Equals, "yours")
	c.Assert(asserter.Violations(), qt.Equals, before+1)
}

func TestTruncatedAnswerIsNotCompleted(t *testing.T) {
	c := qt.New(t)
	truncated := func(req *encoder.RunRequest, st *connector.Stream) {
		sendHead(st, req)
		sendChunk(st, req, uint64(len(req.GetResumePrefix())), "part")
		sendEnd(st, req, 99, "part")
	}
	f := newFixture(c, 1, truncated)
	s := &sink{}
	out, ok := f.Do(t.Context(), newRequest(true), s).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(s.complete, qt.IsFalse)
	c.Assert(out.HeadSent, qt.IsTrue)
	c.Assert(out.Execution, qt.Equals, encoder.Execution_EXECUTION_UNKNOWN)
}

func TestBrokenStreamResumesOnAnotherBackend(t *testing.T) {
	c := qt.New(t)
	breakOff := func(req *encoder.RunRequest, st *connector.Stream) {
		sendHead(st, req)
		sendChunk(st, req, 0, "one ")
	}
	f := newFixture(c, 2, breakOff, answer("two"))
	s := &sink{}
	_, ok := f.Do(t.Context(), newRequest(true), s).(*Completed)
	c.Assert(ok, qt.IsTrue)
	c.Assert(s.String(), qt.Equals, "one two")
	c.Assert(s.complete, qt.IsTrue)
	c.Assert(string(f.received[1].GetResumePrefix()), qt.Equals, "one ")
}

func TestBrokenNonIdempotentAnswerIsNotRetried(t *testing.T) {
	c := qt.New(t)
	breakOff := func(req *encoder.RunRequest, st *connector.Stream) {
		sendHead(st, req)
		sendChunk(st, req, 0, "part")
	}
	f := newFixture(c, 2, breakOff, answer("whole"))
	out, ok := f.Do(t.Context(), newRequest(false), &sink{}).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(out.HeadSent, qt.IsTrue)
	c.Assert(f.received, qt.HasLen, 1)
}

func TestSuspectIsIsolatedAndCulpritRefused(t *testing.T) {
	c := qt.New(t)
	unknown := encoder.Execution_EXECUTION_UNKNOWN
	f := newFixture(c, 3, refuse(encoder.CodeCrashed, unknown), refuse(encoder.CodeCulprit, unknown))
	out, ok := f.Do(t.Context(), newRequest(true), &sink{}).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(out.Code, qt.Equals, encoder.CodeCulprit)
	c.Assert(f.received, qt.HasLen, 2)
	c.Assert(f.received[0].GetIsolated(), qt.IsFalse)
	c.Assert(f.received[1].GetIsolated(), qt.IsTrue)
	f.suspects.Add(&encoder.Suspect{Digest: []byte("digest"), Culprit: true, ExpiresMicros: time.Now().Add(time.Minute).UnixMicro()})
	out, ok = f.Do(t.Context(), newRequest(true), &sink{}).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(out.Execution, qt.Equals, encoder.Execution_EXECUTION_NOT_RUN)
	c.Assert(f.received, qt.HasLen, 2)
}

func TestRetryBudgetBoundsAttempts(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c, 1, refuse(encoder.CodeBusy, encoder.Execution_EXECUTION_NOT_RUN))
	requests := 0
	for range 60 {
		req := newRequest(true)
		req.Service.RetryBudget = 0
		f.Do(t.Context(), req, &sink{})
		requests++
	}
	c.Assert(len(f.received) <= requests+maxRetryBudget, qt.IsTrue, qt.Commentf("%d attempts", len(f.received)))
}

// Data or an end without a head would become an empty or implicit status 200.
func TestAnswerWithoutHeadIsNotCompleted(t *testing.T) {
	c := qt.New(t)
	onlyEnd := func(req *encoder.RunRequest, st *connector.Stream) { sendEnd(st, req, 0, "") }
	onlyData := func(req *encoder.RunRequest, st *connector.Stream) {
		sendChunk(st, req, 0, "data")
		sendEnd(st, req, 4, "data")
	}
	for name, answer := range map[string]script{"only end": onlyEnd, "only data": onlyData} {
		c.Run(name, func(c *qt.C) {
			f := newFixture(c, 1, answer)
			s := &sink{}
			out, ok := f.Do(c.Context(), newRequest(true), s).(*Refused)
			c.Assert(ok, qt.IsTrue)
			c.Assert(out.HeadSent, qt.IsFalse)
			c.Assert(s.complete, qt.IsFalse)
			c.Assert(s.Len(), qt.Equals, 0)
		})
	}
}

// A head has a status of HTTP, is final and comes once: net/http takes a status below 200 for an
// interim one.
func TestInterimOrSecondHeadIsNotForwarded(t *testing.T) {
	c := qt.New(t)
	withStatus := func(statuses ...uint32) script {
		return func(req *encoder.RunRequest, st *connector.Stream) {
			for _, status := range statuses {
				send(st, req, &encoder.RunEvent{Kind: &encoder.RunEvent_Head{Head: &encoder.Head{Status: status}}})
			}
			sendEnd(st, req, 0, "")
		}
	}
	for name, answer := range map[string]script{"none": withStatus(0), "interim": withStatus(101), "second": withStatus(200, 200), "too high": withStatus(600), "highest": withStatus(999)} {
		c.Run(name, func(c *qt.C) {
			f := newFixture(c, 1, answer)
			s := &sink{}
			_, ok := f.Do(c.Context(), newRequest(true), s).(*Refused)
			c.Assert(ok, qt.IsTrue)
			c.Assert(s.complete, qt.IsFalse)
		})
	}
}

// answerWithType answers with a content type, and breaks off before the end unless
// whole is set.
func answerWithType(contentType, text string, whole bool) script {
	return func(req *encoder.RunRequest, st *connector.Stream) {
		head := &encoder.Head{Status: 200, Headers: []*encoder.Header{{Name: "Content-Type", Value: contentType}}}
		send(st, req, &encoder.RunEvent{Kind: &encoder.RunEvent_Head{Head: head}})
		offset := uint64(len(req.GetResumePrefix()))
		sendChunk(st, req, offset, text)
		if whole {
			sendEnd(st, req, offset+uint64(len(text)), text)
		}
	}
}

const (
	typeStream = "text/event-stream"
	typeJSON   = "application/json"
)

// An engine that repeats a whole JSON answer would append it to the part sent before.
func TestBrokenJSONAnswerIsNotResumed(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c, 2, answerWithType(typeJSON, `{"a":`, false), answerWithType(typeJSON, `{"a":1}`, true))
	s := &sink{}
	out, ok := f.Do(t.Context(), newRequest(true), s).(*Refused)
	c.Assert(ok, qt.IsTrue, qt.Commentf("completed with %q", s))
	c.Assert(out.HeadSent, qt.IsTrue)
	c.Assert(s.complete, qt.IsFalse)
	c.Assert(s.String(), qt.Equals, `{"a":`)
}

// A resumed attempt with the same status may answer with an error document.
func TestResumedAnswerOfOtherTypeIsNotAppended(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c, 2, answerWithType(typeStream, "data: 1\n\n", false), answerWithType(typeJSON, `{"error":"busy"}`, true))
	s := &sink{}
	_, ok := f.Do(t.Context(), newRequest(true), s).(*Refused)
	c.Assert(ok, qt.IsTrue, qt.Commentf("completed with %q", s))
	c.Assert(s.complete, qt.IsFalse)
	c.Assert(s.String(), qt.Equals, "data: 1\n\n")
}

// The incident: the failure of a second server must not become part of an answer.
func TestFailureOfResumedAttemptIsNotAppended(t *testing.T) {
	c := qt.New(t)
	failure := func(req *encoder.RunRequest, st *connector.Stream) {
		head := &encoder.Head{Status: 500, Headers: []*encoder.Header{{Name: "Content-Type", Value: typeStream}}}
		send(st, req, &encoder.RunEvent{Kind: &encoder.RunEvent_Head{Head: head}})
		offset := uint64(len(req.GetResumePrefix()))
		sendChunk(st, req, offset, "failed")
		sendEnd(st, req, offset+6, "failed")
	}
	f := newFixture(c, 2, answerWithType(typeStream, "data: 1\n\n", false), failure)
	s := &sink{}
	out, ok := f.Do(t.Context(), newRequest(true), s).(*Refused)
	c.Assert(ok, qt.IsTrue, qt.Commentf("completed with %q", s))
	c.Assert(out.HeadSent, qt.IsTrue)
	c.Assert(s.complete, qt.IsFalse)
	c.Assert(s.String(), qt.Equals, "data: 1\n\n")
}

// Headers that the caller has belong to the answer of the first attempt.
func TestHeadOfOtherAnswerIsNotContinued(t *testing.T) {
	c := qt.New(t)
	withTag := func(tag string, whole bool) script {
		return func(req *encoder.RunRequest, st *connector.Stream) {
			head := &encoder.Head{Status: 200, Headers: []*encoder.Header{{Name: "Etag", Value: tag}}}
			send(st, req, &encoder.RunEvent{Kind: &encoder.RunEvent_Head{Head: head}})
			if whole {
				sendChunk(st, req, 0, tag)
				sendEnd(st, req, uint64(len(tag)), tag)
			}
		}
	}
	f := newFixture(c, 2, withTag("first", false), withTag("second", true))
	s := &sink{}
	_, ok := f.Do(t.Context(), newRequest(true), s).(*Refused)
	c.Assert(ok, qt.IsTrue, qt.Commentf("completed with %q", s))
	c.Assert(s.complete, qt.IsFalse)
}

// A refusal that comes after the head must not lead to a second run of the request.
func TestRefusalAfterHeadIsNotRetriedUnlessResumable(t *testing.T) {
	c := qt.New(t)
	for _, code := range []string{encoder.CodeLeaving, encoder.CodeConfigBehind, encoder.CodeConfigStale, encoder.CodeGenerationClosed, encoder.CodeBusy} {
		c.Run(code, func(c *qt.C) {
			begun := func(req *encoder.RunRequest, st *connector.Stream) {
				sendHead(st, req)
				sendChunk(st, req, 0, "part")
				refuse(code, encoder.Execution_EXECUTION_NOT_RUN)(req, st)
			}
			f := newFixture(c, 2, begun, answerWithType(typeStream, "whole", true))
			f.activeConfig.Apply(newService(c, registrar.ServiceModel))
			s := &sink{}
			req := newRequest(false)
			out, ok := f.Do(c.Context(), req, s).(*Refused)
			c.Assert(ok, qt.IsTrue, qt.Commentf("completed with %q", s))
			c.Assert(out.HeadSent, qt.IsTrue)
			c.Assert(out.Execution, qt.Equals, encoder.Execution_EXECUTION_UNKNOWN)
			c.Assert(f.received, qt.HasLen, 1)
			c.Assert(s.String(), qt.Equals, "part")
		})
	}
}

// newService returns the configuration of a service whose POST requests to the test's
// path are not idempotent.
func newService(c *qt.C, kind registrar.ServiceKind) []*encoder.Entity {
	svc := &registrar.Service{
		Name: "svc", Kind: kind, MaxAttempts: 4, RetryBudget: 1, Retention: time.Hour,
		Routes: []registrar.Route{{Methods: []string{"POST"}, PathPrefix: "/", Idempotent: false}},
	}
	ticket := &registrar.Ticket{Number: 2, Services: []*registrar.Service{svc}}
	entities, err := ticket.Entities()
	c.Assert(err, qt.IsNil)
	return entities
}

// A part of the answer shows that the request ran, whatever the table says.
func TestPartOfAnswerIsNotReportedAsNotRun(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c, 1, answerWithType(typeJSON, "part", false))
	out, ok := f.Do(t.Context(), newRequest(false), &sink{}).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(out.Execution, qt.Equals, encoder.Execution_EXECUTION_UNKNOWN)
}

// An answer whose end was lost after its end marker must not get a second marker.
func TestAnswerWithEndMarkerIsNotResumed(t *testing.T) {
	c := qt.New(t)
	const whole = "data: 1\n\ndata: [DONE]\n\n"
	f := newFixture(c, 2, answerWithType(typeStream, whole, false), answerWithType(typeStream, "data: [DONE]\n\n", true))
	s := &sink{}
	_, isRefused := f.Do(t.Context(), newRequest(true), s).(*Refused)
	c.Assert(isRefused, qt.IsTrue)
	c.Assert(s.complete, qt.IsFalse)
	c.Assert(s.String(), qt.Equals, whole)
}
