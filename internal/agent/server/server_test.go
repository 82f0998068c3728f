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

// testAgent is an agent with a client of its protocol and simulated platform and
// backend server.
type testAgent struct {
	*Server
	keeper  *keeper.Platform
	backend *responder.Server
	pool    *connector.Pool
	addr    netip.AddrPort
	// streams receives the agent's ends of streams, for tests of attempt.
	streams chan *connector.Stream
}

func newTestAgent(c *qt.C) *testAgent {
	backend, err := responder.NewServer(netip.MustParseAddrPort("127.0.0.1:0"))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = backend.Close() })
	ta := startTestAgent(c, backend.Addr())
	ta.backend = backend
	return ta
}

// startTestAgent starts an agent of the backend server at addr.
func startTestAgent(c *qt.C, addr netip.AddrPort) *testAgent {
	ctx, cancel := context.WithCancel(context.Background())
	ta := &testAgent{keeper: keeper.New(), streams: make(chan *connector.Stream, 1)}
	platform := httptest.NewServer(ta.keeper.Handler())
	cfg := loader.NewSettings()
	cfg.Instance, cfg.Agent.Service, cfg.Agent.Backend = "agent", "svc", addr
	client := storer.NewClient(netip.MustParseAddrPort(platform.Listener.Addr().String()), storer.WithTimeout(time.Second))
	ta.Server = New(ctx, cfg, 1, client, nil)
	ta.activeConfig.Apply(newService(c, 5))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ta.addr = ln.Addr().(*net.TCPAddr).AddrPort()
	hello := &encoder.Hello{Version: encoder.Version, Instance: "agent"}
	a := connector.NewAcceptor(hello, func(ctx context.Context, peer *encoder.Hello, open *encoder.Open, st *connector.Stream) {
		if open.GetStatus() != nil {
			ta.streams <- st
			<-ctx.Done()
			return
		}
		ta.Handle(ctx, peer, open, st)
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Serve(ctx, ln)
	}()
	ta.pool = connector.NewPool(&encoder.Hello{Version: encoder.Version, Instance: "entry"})
	c.Cleanup(func() { ta.pool.Close(); cancel(); <-done; platform.Close() })
	return ta
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

func (ta *testAgent) open(c *qt.C, req *encoder.RunRequest) *connector.Stream {
	st, err := ta.pool.Open(c.Context(), ta.addr, &encoder.Open{Kind: &encoder.Open_Run{Run: req}})
	c.Assert(err, qt.IsNil)
	return st
}

// run sends an attempt and returns its last event and the data before it.
func (ta *testAgent) run(c *qt.C, req *encoder.RunRequest) (last *encoder.RunEvent, data string) {
	return receiveAll(c, ta.open(c, req))
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

// waitFor polls until ok returns true, and fails the test when its context ends.
func waitFor(c *qt.C, ok func() bool) {
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

func TestOtherConfigurationNumberIsRefused(t *testing.T) {
	c := qt.New(t)
	ta := newTestAgent(c)
	older := newRun("older", true)
	older.ConfigNumber = 4
	last, _ := ta.run(c, older)
	c.Assert(last.GetRefusal().GetCode(), qt.Equals, encoder.CodeConfigStale)
	c.Assert(last.GetRefusal().GetEntities()[0].GetNumber(), qt.Equals, uint64(5))
	newer := newRun("newer", true)
	newer.ConfigNumber = 6
	last, _ = ta.run(c, newer)
	c.Assert(last.GetRefusal().GetCode(), qt.Equals, encoder.CodeConfigBehind)
	c.Assert(ta.backend.GetAttempts(), qt.HasLen, 0)
}

func TestStoreDownRefusesOnlyNonIdempotentRequests(t *testing.T) {
	c := qt.New(t)
	ta := newTestAgent(c)
	ta.keeper.SetFaults(keeper.Faults{Down: true})
	last, _ := ta.run(c, newRun("order", false))
	c.Assert(last.GetRefusal().GetCode(), qt.Equals, encoder.CodeStoreUnavailable)
	c.Assert(last.GetRefusal().GetExecution(), qt.Equals, encoder.Execution_EXECUTION_NOT_RUN)
	c.Assert(ta.backend.GetRuns(), qt.HasLen, 0)
	last, data := ta.run(c, newRun("lookup", true))
	c.Assert(last.GetEnd(), qt.IsNotNil)
	c.Assert(strings.Contains(data, "body"), qt.IsTrue)
}

func TestClosedStreamCancelsOnlyIdempotentRequests(t *testing.T) {
	c := qt.New(t)
	ta := newTestAgent(c)
	ta.backend.SetFaults(responder.Faults{Stall: true})
	lookup, order := ta.open(c, newRun("lookup", true)), ta.open(c, newRun("order", false))
	waitFor(c, func() bool { return ta.backend.GetRunning() == 2 })
	c.Assert(lookup.Close(), qt.IsNil)
	c.Assert(order.Close(), qt.IsNil)
	waitFor(c, func() bool { return ta.backend.GetRunning() == 1 })
	ta.backend.SetFaults(responder.Faults{})
	waitFor(c, func() bool { return ta.backend.GetRunning() == 0 })
	// The answer was recorded although the stream was closed.
	resend := newRun("order", false)
	resend.AttemptId = "resend"
	last, data := ta.run(c, resend)
	c.Assert(last.GetEnd(), qt.IsNotNil)
	c.Assert(strings.Contains(data, "body"), qt.IsTrue)
	c.Assert(ta.backend.GetRuns(), qt.HasLen, 2)
}

// The end of an entry's session canceled an order that the backend server already ran.
func TestLostSessionCancelsHandedOverOrder(t *testing.T) {
	c := qt.New(t)
	ta := newTestAgent(c)
	ta.backend.SetFaults(responder.Faults{Stall: true})
	lookup := ta.open(c, newRun("lookup", true))
	ta.open(c, newRun("order", false))
	waitFor(c, func() bool { return ta.backend.GetRunning() == 2 })
	ta.pool.Drop(ta.addr)
	c.Assert(lookup.Receive(&encoder.RunEvent{}), qt.IsNotNil)
	waitFor(c, func() bool { return ta.backend.GetRunning() < 2 })
	ta.backend.SetFaults(responder.Faults{})
	waitFor(c, func() bool { return ta.backend.GetRunning() == 0 })
	resend := newRun("order", false)
	resend.AttemptId = "resend"
	last, data := ta.run(c, resend)
	c.Assert(last.GetEnd(), qt.IsNotNil)
	c.Assert(strings.Contains(data, "body"), qt.IsTrue)
	c.Assert(ta.backend.GetRuns(), qt.HasLen, 2)
}

func TestSecondIsolatedRequestIsRefused(t *testing.T) {
	c := qt.New(t)
	ta := newTestAgent(c)
	ta.backend.SetFaults(responder.Faults{Stall: true})
	first, second := newRun("first", true), newRun("second", true)
	first.Isolated, second.Isolated = true, true
	st := ta.open(c, first)
	waitFor(c, func() bool { return ta.backend.GetRunning() == 1 })
	last, _ := ta.run(c, second)
	c.Assert(last.GetRefusal().GetCode(), qt.Equals, encoder.CodeIsolationBusy)
	ta.backend.SetFaults(responder.Faults{})
	last, _ = receiveAll(c, st)
	c.Assert(last.GetEnd(), qt.IsNotNil)
}

func TestDrainRefusesNewRequestsAndCompletesRunningOnes(t *testing.T) {
	c := qt.New(t)
	ta := newTestAgent(c)
	ta.backend.SetFaults(responder.Faults{Stall: true})
	st := ta.open(c, newRun("old", true))
	waitFor(c, func() bool { return ta.backend.GetRunning() == 1 })
	drained := make(chan bool, 1)
	go func() { drained <- ta.Drain(context.Background()) }()
	waitFor(c, func() bool { return !ta.IsReady() && ta.GetStatus().GetLeaving() })
	last, _ := ta.run(c, newRun("new", true))
	c.Assert(last.GetRefusal().GetCode(), qt.Equals, encoder.CodeLeaving)
	ta.backend.SetFaults(responder.Faults{})
	last, _ = receiveAll(c, st)
	c.Assert(last.GetEnd(), qt.IsNotNil)
	c.Assert(<-drained, qt.IsTrue)
}

// newAttempt returns an attempt with the agent's end of a stream, and the client's
// end of it.
func (ta *testAgent) newAttempt(c *qt.C) (*attempt, *connector.Stream) {
	clientEnd, err := ta.pool.Open(c.Context(), ta.addr, &encoder.Open{Kind: &encoder.Open_Status{Status: &encoder.StatusQuery{}}})
	c.Assert(err, qt.IsNil)
	return &attempt{Server: ta.Server, req: newRun("a.1", true), st: <-ta.streams}, clientEnd
}

func TestNotRunAfterHandOverIsReportedAsUnknown(t *testing.T) {
	c := qt.New(t)
	before := asserter.Violations()
	a, clientEnd := newTestAgent(c).newAttempt(c)
	a.handedOver = true
	a.refuse(encoder.CodeBusy, "test", encoder.Execution_EXECUTION_NOT_RUN, "")
	last, _ := receiveAll(c, clientEnd)
	c.Assert(last.GetRefusal().GetExecution(), qt.Equals, encoder.Execution_EXECUTION_UNKNOWN)
	c.Assert(asserter.Violations(), qt.Equals, before+1)
}

func TestHandOverFailsAfterLeavingGracePeriod(t *testing.T) {
	c := qt.New(t)
	a, _ := newTestAgent(c).newAttempt(c)
	a.BeginDrain(time.Now().Add(-leavingGracePeriod - time.Second))
	c.Assert(asserter.IsViolation(a.handOver()), qt.IsTrue)
	c.Assert(a.handedOver, qt.IsFalse)
}

func TestAnswerWithOtherAttemptIDIsAViolation(t *testing.T) {
	c := qt.New(t)
	a, _ := newTestAgent(c).newAttempt(c)
	foreign := &driver.Answer{Headers: []*encoder.Header{{Name: "X-Attempt-Id", Value: "b.1"}}}
	c.Assert(asserter.IsViolation(a.checkAttemptID(foreign)), qt.IsTrue)
	c.Assert(a.checkAttemptID(&driver.Answer{Headers: []*encoder.Header{{Name: "X-Attempt-Id", Value: "a.1"}}}), qt.IsNil)
}
