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

// script answers one attempt of a scripted agent.
type script func(req *encoder.RunRequest, st *connector.Stream)

// rig is a dispatcher before scripted agents and a stand-in platform.
type rig struct {
	*Dispatcher
	keeper   *keeper.Platform
	platform *storer.Client
	mu       sync.Mutex
	// seen holds the attempts in order of arrival.
	seen     []*encoder.RunRequest
	suspects *isolator.Set
}

// newRig starts one agent for each script; an attempt takes the scripts in
// order, whichever agent it reaches.
func newRig(c *qt.C, agents int, scripts ...script) *rig {
	log.SetLevel(log.FatalLevel)
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{keeper: keeper.New(), suspects: isolator.NewSet()}
	srv := httptest.NewServer(r.keeper.Handler())
	r.platform = storer.NewClient(netip.MustParseAddrPort(srv.Listener.Addr().String()), storer.WithTimeout(time.Second))
	pool := connector.NewPool(&encoder.Hello{Version: encoder.Version, Instance: "entry"})
	tr := tracker.New("entry", "z", pool, r.platform, tracker.WithHeartbeat(50*time.Millisecond))
	c.Cleanup(func() { cancel(); pool.Close(); tr.Wait(); srv.Close() })
	list := make([]storer.Instance, 0, agents)
	for i := range agents {
		list = append(list, r.startAgent(ctx, c, string(rune('a'+i)), scripts))
	}
	tr.SetInstances(ctx, list)
	for len(tr.GetService("svc").Backends) < agents {
		sleep(ctx, time.Millisecond)
	}
	r.Dispatcher = New(tr, pool, func() *picker.Picker { return picker.New() }, guard.NewRegistry(r.platform), r.suspects, registrar.NewActiveConfig())
	return r
}

func (r *rig) startAgent(ctx context.Context, c *qt.C, name string, scripts []script) storer.Instance {
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
			r.mu.Lock()
			n := min(len(r.seen), len(scripts)-1)
			r.seen = append(r.seen, k.Run)
			r.mu.Unlock()
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
	status int
}

func (s *sink) SendHead(status int, _ []*encoder.Header, _ bool) error {
	s.status = status
	return nil
}

func (s *sink) SendData(data []byte) error {
	_, err := s.Write(data)
	return err
}

func send(st *connector.Stream, req *encoder.RunRequest, ev *encoder.RunEvent) {
	ev.AttemptId = req.GetAttemptId()
	_ = st.Send(ev)
}

func sendHead(st *connector.Stream, req *encoder.RunRequest) {
	send(st, req, &encoder.RunEvent{Kind: &encoder.RunEvent_Head{Head: &encoder.Head{Status: 200}}})
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

// hangUp ends the stream without a word.
func hangUp(*encoder.RunRequest, *connector.Stream) {}

func TestLostAttemptIsClosedBeforeNotRun(t *testing.T) {
	c := qt.New(t)
	r := newRig(c, 2, hangUp, refuse(encoder.CodeBusy, encoder.Execution_EXECUTION_NOT_RUN))
	req := newRequest(false)
	out, ok := r.Do(t.Context(), req, &sink{}).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(out.Execution, qt.Equals, encoder.Execution_EXECUTION_NOT_RUN)
	// The first attempt arrives late: it must not run any more.
	g := guard.New(t.Context(), r.platform, guard.Owner{Instance: "late"})
	d, err := g.Begin(t.Context(), guard.Request{
		ID: guard.ID{Account: "acc", Service: "svc", Key: "c:k"}, Attempt: "r1.1", Digest: req.Digest, Generation: 1, Retention: time.Hour,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(d, qt.DeepEquals, guard.Decision(&guard.Denial{Reason: guard.ReasonClosed, Generation: 1}))
}

func TestLostAttemptThatMayRunIsUnknown(t *testing.T) {
	c := qt.New(t)
	var r *rig
	begin := func(req *encoder.RunRequest, _ *connector.Stream) {
		g := guard.New(context.Background(), r.platform, guard.Owner{Instance: "a"})
		_, _ = g.Begin(context.Background(), guard.Request{
			ID: guard.ID{Account: "acc", Service: "svc", Key: req.GetIdempotencyKey()}, Attempt: req.GetAttemptId(),
			Digest: req.GetDigest(), Generation: req.GetGeneration(), Retention: time.Hour,
		})
	}
	r = newRig(c, 2, begin, refuse(encoder.CodeBusy, encoder.Execution_EXECUTION_NOT_RUN))
	out, ok := r.Do(t.Context(), newRequest(false), &sink{}).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(out.Execution, qt.Equals, encoder.Execution_EXECUTION_UNKNOWN)
}

func TestLostAttemptWithPlatformDownIsUnknown(t *testing.T) {
	c := qt.New(t)
	r := newRig(c, 2, hangUp, refuse(encoder.CodeStoreUnavailable, encoder.Execution_EXECUTION_NOT_RUN))
	r.keeper.SetFaults(keeper.Faults{Down: true})
	out, ok := r.Do(t.Context(), newRequest(false), &sink{}).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(out.Execution, qt.Equals, encoder.Execution_EXECUTION_UNKNOWN)
}

func TestClosedGenerationOpensTheNext(t *testing.T) {
	c := qt.New(t)
	closed := func(req *encoder.RunRequest, st *connector.Stream) {
		r := &encoder.Refusal{Code: encoder.CodeGenerationClosed, Execution: encoder.Execution_EXECUTION_NOT_RUN, ClosedGeneration: 4}
		send(st, req, &encoder.RunEvent{Kind: &encoder.RunEvent_Refusal{Refusal: r}})
	}
	r := newRig(c, 1, closed, answer("done"))
	s := &sink{}
	_, ok := r.Do(t.Context(), newRequest(false), s).(*Completed)
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.seen[1].GetGeneration(), qt.Equals, uint64(5))
	c.Assert(r.seen[0].GetAttemptId(), qt.Not(qt.Equals), r.seen[1].GetAttemptId())
}

func TestCrossedAnswerIsDropped(t *testing.T) {
	c := qt.New(t)
	before := asserter.Violations()
	crossed := func(req *encoder.RunRequest, st *connector.Stream) {
		other := &encoder.RunRequest{AttemptId: "other.1"}
		answer("not yours")(other, st)
	}
	r := newRig(c, 2, crossed, answer("yours"))
	s := &sink{}
	_, ok := r.Do(t.Context(), newRequest(true), s).(*Completed)
	c.Assert(ok, qt.IsTrue)
	c.Assert(s.String(), qt.Equals, "yours")
	c.Assert(asserter.Violations(), qt.Equals, before+1)
}

func TestCutAnswerNeverEndsCleanly(t *testing.T) {
	c := qt.New(t)
	short := func(req *encoder.RunRequest, st *connector.Stream) {
		sendHead(st, req)
		sendChunk(st, req, uint64(len(req.GetResumePrefix())), "part")
		sendEnd(st, req, 99, "part")
	}
	r := newRig(c, 1, short)
	out, ok := r.Do(t.Context(), newRequest(true), &sink{}).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(out.Begun, qt.IsTrue)
	c.Assert(out.Execution, qt.Equals, encoder.Execution_EXECUTION_UNKNOWN)
}

func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	c := qt.New(t)
	first := func(req *encoder.RunRequest, st *connector.Stream) {
		sendHead(st, req)
		sendChunk(st, req, 0, "one ")
	}
	r := newRig(c, 2, first, answer("two"))
	s := &sink{}
	_, ok := r.Do(t.Context(), newRequest(true), s).(*Completed)
	c.Assert(ok, qt.IsTrue)
	c.Assert(s.String(), qt.Equals, "one two")
	c.Assert(string(r.seen[1].GetResumePrefix()), qt.Equals, "one ")
}

func TestBrokenAnswerOfAnOrderIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	first := func(req *encoder.RunRequest, st *connector.Stream) {
		sendHead(st, req)
		sendChunk(st, req, 0, "part")
	}
	r := newRig(c, 2, first, answer("whole"))
	out, ok := r.Do(t.Context(), newRequest(false), &sink{}).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(out.Begun, qt.IsTrue)
	c.Assert(r.seen, qt.HasLen, 1)
}

func TestSuspectIsIsolatedAndCulpritRefused(t *testing.T) {
	c := qt.New(t)
	unknown := encoder.Execution_EXECUTION_UNKNOWN
	r := newRig(c, 3, refuse(encoder.CodeCrashed, unknown), refuse(encoder.CodeCulprit, unknown))
	out, ok := r.Do(t.Context(), newRequest(true), &sink{}).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(out.Code, qt.Equals, encoder.CodeCulprit)
	c.Assert(r.seen, qt.HasLen, 2)
	c.Assert(r.seen[0].GetIsolated(), qt.IsFalse)
	c.Assert(r.seen[1].GetIsolated(), qt.IsTrue)
	r.suspects.Add(&encoder.Suspect{Digest: []byte("digest"), Culprit: true, ExpiresMicros: time.Now().Add(time.Minute).UnixMicro()})
	out, ok = r.Do(t.Context(), newRequest(true), &sink{}).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(out.Execution, qt.Equals, encoder.Execution_EXECUTION_NOT_RUN)
	c.Assert(r.seen, qt.HasLen, 2)
}

func TestRetryBudgetBoundsAttempts(t *testing.T) {
	c := qt.New(t)
	r := newRig(c, 1, refuse(encoder.CodeBusy, encoder.Execution_EXECUTION_NOT_RUN))
	sent := 0
	for range 60 {
		req := newRequest(true)
		req.Service.RetryBudget = 0
		r.Do(t.Context(), req, &sink{})
		sent++
	}
	c.Assert(len(r.seen) <= sent+maxBudget, qt.IsTrue, qt.Commentf("%d attempts", len(r.seen)))
}
