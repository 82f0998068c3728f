package server

import (
	"context"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"siskinfall/internal/agent/driver"
	"siskinfall/internal/check/asserter"
	"siskinfall/internal/config/registrar"
	"siskinfall/internal/settings/loader"
	"siskinfall/internal/standin/keeper"
	"siskinfall/internal/standin/responder"
	"siskinfall/internal/store/storer"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	os.Exit(m.Run())
}

// rig is an agent between a caller of its protocol and stand-ins.
type rig struct {
	*Server
	keeper  *keeper.Keeper
	backend *responder.Server
	pool    *connector.Pool
	addr    netip.AddrPort
	// streams passes the agent's side of streams to white-box tests.
	streams chan *connector.Stream
}

func newRig(c *qt.C) *rig {
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{keeper: keeper.New(), streams: make(chan *connector.Stream, 1)}
	platform := httptest.NewServer(r.keeper.Handler())
	backend, err := responder.NewServer(netip.MustParseAddrPort("127.0.0.1:0"))
	c.Assert(err, qt.IsNil)
	r.backend = backend
	cfg := loader.NewSettings()
	cfg.Instance, cfg.Agent.Service, cfg.Agent.Backend = "agent", "svc", backend.Addr()
	client := storer.NewClient(netip.MustParseAddrPort(platform.Listener.Addr().String()), storer.WithTimeout(time.Second))
	r.Server = New(ctx, cfg, 1, client, nil)
	r.book.Apply(newService(c, 5))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	r.addr = ln.Addr().(*net.TCPAddr).AddrPort()
	hello := &encoder.Hello{Version: encoder.Version, Instance: "agent"}
	a := connector.NewAcceptor(hello, func(ctx context.Context, peer *encoder.Hello, open *encoder.Open, st *connector.Stream) {
		if open.GetStatus() != nil {
			r.streams <- st
			<-ctx.Done()
			return
		}
		r.Handle(ctx, peer, open, st)
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Serve(ctx, ln)
	}()
	r.pool = connector.NewPool(&encoder.Hello{Version: encoder.Version, Instance: "entry"})
	c.Cleanup(func() { r.pool.Close(); cancel(); <-done; _ = backend.Close(); platform.Close() })
	return r
}

func newService(c *qt.C, number uint64) []*encoder.Entity {
	t := &registrar.Ticket{Number: number, Services: []*registrar.Service{{Name: "svc", Kind: registrar.ServicePlain, Retention: time.Hour}}}
	entities, err := t.Entities()
	c.Assert(err, qt.IsNil)
	return entities
}

func newRun(attempt string, idempotent bool) *encoder.RunRequest {
	return &encoder.RunRequest{
		AttemptId: attempt, ClientAccount: "acc", Service: "svc", Method: "POST", Path: "/desk/orders", Body: []byte("body"),
		DeadlineMicros: time.Now().Add(time.Minute).UnixMicro(), BudgetMicros: time.Minute.Microseconds(),
		Idempotent: idempotent, IdempotencyKey: "c:" + attempt, Digest: []byte(attempt), Generation: 1, ConfigNumber: 5,
		Headers: []*encoder.Header{{Name: "Idempotency-Key", Value: attempt}},
	}
}

func (r *rig) open(c *qt.C, req *encoder.RunRequest) *connector.Stream {
	st, err := r.pool.Open(c.Context(), r.addr, &encoder.Open{Kind: &encoder.Open_Run{Run: req}})
	c.Assert(err, qt.IsNil)
	return st
}

// run sends an attempt and returns its last event and the data before it.
func (r *rig) run(c *qt.C, req *encoder.RunRequest) (last *encoder.RunEvent, data string) {
	return receiveAll(c, r.open(c, req))
}

func receiveAll(c *qt.C, st *connector.Stream) (last *encoder.RunEvent, data string) {
	for {
		ev := &encoder.RunEvent{}
		c.Assert(st.Receive(ev), qt.IsNil)
		switch k := ev.GetKind().(type) {
		case *encoder.RunEvent_Chunk:
			data += string(k.Chunk.GetData())
		case *encoder.RunEvent_End, *encoder.RunEvent_Refusal:
			return ev, data
		}
	}
}

// until waits for a condition of another goroutine.
func until(c *qt.C, ok func() bool) {
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-tick.C:
		case <-c.Context().Done():
			c.Fatal("condition not met")
		}
	}
}

func TestConfigurationNumbersMustMatch(t *testing.T) {
	c := qt.New(t)
	r := newRig(c)
	older := newRun("older", true)
	older.ConfigNumber = 4
	last, _ := r.run(c, older)
	c.Assert(last.GetRefusal().GetCode(), qt.Equals, encoder.CodeConfigStale)
	c.Assert(last.GetRefusal().GetEntities()[0].GetNumber(), qt.Equals, uint64(5))
	newer := newRun("newer", true)
	newer.ConfigNumber = 6
	last, _ = r.run(c, newer)
	c.Assert(last.GetRefusal().GetCode(), qt.Equals, encoder.CodeConfigBehind)
	c.Assert(r.backend.GetAttempts(), qt.HasLen, 0)
}

func TestStoreDownRefusesOrdersOnly(t *testing.T) {
	c := qt.New(t)
	r := newRig(c)
	r.keeper.SetFaults(keeper.Faults{Down: true})
	last, _ := r.run(c, newRun("order", false))
	c.Assert(last.GetRefusal().GetCode(), qt.Equals, encoder.CodeStoreUnavailable)
	c.Assert(last.GetRefusal().GetExecution(), qt.Equals, encoder.Execution_EXECUTION_NOT_RUN)
	c.Assert(r.backend.GetRuns(), qt.HasLen, 0)
	last, data := r.run(c, newRun("lookup", true))
	c.Assert(last.GetEnd(), qt.IsNotNil)
	c.Assert(strings.Contains(data, "body"), qt.IsTrue)
}

func TestClosedStreamCancelsIdempotentWorkOnly(t *testing.T) {
	c := qt.New(t)
	r := newRig(c)
	r.backend.SetFaults(responder.Faults{Stall: true})
	lookup, order := r.open(c, newRun("lookup", true)), r.open(c, newRun("order", false))
	until(c, func() bool { return r.backend.GetRunning() == 2 })
	c.Assert(lookup.Close(), qt.IsNil)
	c.Assert(order.Close(), qt.IsNil)
	until(c, func() bool { return r.backend.GetRunning() == 1 })
	r.backend.SetFaults(responder.Faults{})
	until(c, func() bool { return r.backend.GetRunning() == 0 })
	// The order's answer was recorded although nobody waited for it.
	resend := newRun("order", false)
	resend.AttemptId = "resend"
	last, data := r.run(c, resend)
	c.Assert(last.GetEnd(), qt.IsNotNil)
	c.Assert(strings.Contains(data, "body"), qt.IsTrue)
	c.Assert(r.backend.GetRuns(), qt.HasLen, 2)
}

func TestOneSuspectAtATime(t *testing.T) {
	c := qt.New(t)
	r := newRig(c)
	r.backend.SetFaults(responder.Faults{Stall: true})
	first, second := newRun("first", true), newRun("second", true)
	first.Isolated, second.Isolated = true, true
	st := r.open(c, first)
	until(c, func() bool { return r.backend.GetRunning() == 1 })
	last, _ := r.run(c, second)
	c.Assert(last.GetRefusal().GetCode(), qt.Equals, encoder.CodeIsolationBusy)
	r.backend.SetFaults(responder.Faults{})
	last, _ = receiveAll(c, st)
	c.Assert(last.GetEnd(), qt.IsNotNil)
}

func TestDrainRefusesNewWorkAndEndsOld(t *testing.T) {
	c := qt.New(t)
	r := newRig(c)
	r.backend.SetFaults(responder.Faults{Stall: true})
	st := r.open(c, newRun("old", true))
	until(c, func() bool { return r.backend.GetRunning() == 1 })
	drained := make(chan bool, 1)
	go func() { drained <- r.Drain(context.Background()) }()
	until(c, func() bool { return !r.IsReady() && r.GetStatus().GetLeaving() })
	last, _ := r.run(c, newRun("new", true))
	c.Assert(last.GetRefusal().GetCode(), qt.Equals, encoder.CodeLeaving)
	r.backend.SetFaults(responder.Faults{})
	last, _ = receiveAll(c, st)
	c.Assert(last.GetEnd(), qt.IsNotNil)
	c.Assert(<-drained, qt.IsTrue)
}

// newAttempt returns an attempt as run makes it, with both ends of its stream.
func (r *rig) newAttempt(c *qt.C) (*attempt, *connector.Stream) {
	far, err := r.pool.Open(c.Context(), r.addr, &encoder.Open{Kind: &encoder.Open_Status{Status: &encoder.StatusQuery{}}})
	c.Assert(err, qt.IsNil)
	return &attempt{Server: r.Server, req: newRun("a.1", true), st: <-r.streams}, far
}

func TestNotRunIsNeverSaidAfterHandOver(t *testing.T) {
	c := qt.New(t)
	before := asserter.Violations()
	a, far := newRig(c).newAttempt(c)
	a.handedOver = true
	a.refuse(encoder.CodeBusy, "test", encoder.Execution_EXECUTION_NOT_RUN, "")
	last, _ := receiveAll(c, far)
	c.Assert(last.GetRefusal().GetExecution(), qt.Equals, encoder.Execution_EXECUTION_UNKNOWN)
	c.Assert(asserter.Violations(), qt.Equals, before+1)
}

func TestNothingIsHandedOverLongAfterLeaving(t *testing.T) {
	c := qt.New(t)
	a, _ := newRig(c).newAttempt(c)
	a.BeginDrain(time.Now().Add(-leavingGrace - time.Second))
	c.Assert(asserter.IsViolation(a.handOver()), qt.IsTrue)
	c.Assert(a.handedOver, qt.IsFalse)
}

func TestAnswerOfAnotherAttemptIsAViolation(t *testing.T) {
	c := qt.New(t)
	a, _ := newRig(c).newAttempt(c)
	foreign := &driver.Answer{Headers: []*encoder.Header{{Name: "X-Attempt-Id", Value: "b.1"}}}
	c.Assert(asserter.IsViolation(a.checkOwn(foreign)), qt.IsTrue)
	c.Assert(a.checkOwn(&driver.Answer{Headers: []*encoder.Header{{Name: "X-Attempt-Id", Value: "a.1"}}}), qt.IsNil)
}
