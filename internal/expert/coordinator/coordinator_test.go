package coordinator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"siskinfall/internal/check/asserter"
	"siskinfall/internal/config/registrar"
	"siskinfall/internal/expert/follower"
	"siskinfall/internal/expert/planner"
	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/wire/encoder"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	os.Exit(m.Run())
}

var errLost = errors.New("message lost")

// testGroup is a group whose messages are lost, delayed and duplicated, whose
// agents and engines are replaced, and whose coordinators end and pause.
type testGroup struct {
	group *registrar.Group
	mu    sync.Mutex
	rng   *rand.Rand
	// faulty enables the injected faults.
	faulty  bool
	members map[string]*member
	// incarnation is the incarnation of the agent started last.
	incarnation uint64
	epoch       uint64
	// used holds the assignments of the engines by step.
	used     map[uint64][]follower.Assignment
	lastStep uint64
	conflict string
	seenMaps map[uint64]bool
}

// member is an agent with its engine.
type member struct {
	name   string
	agent  *follower.Follower
	memory follower.Memory
	// minIncarnation is that of the latest agent to read the engine's state. The
	// engine refuses grants of older agents.
	minIncarnation   uint64
	agentIncarnation uint64
	// cancel ends the calls of the engine to an agent that is replaced.
	cancel context.CancelFunc
	ctx    context.Context
}

// Stage implements follower.Engine; it takes less than 200 ms.
func (g *testGroup) Stage(ctx context.Context, _ *planner.Map) error {
	time.Sleep(g.random(200 * time.Millisecond))
	return ctx.Err()
}

// engine implements follower.Engine for the agent of a member.
type engine struct {
	*testGroup
	m *member
}

// GetMemory implements follower.Engine; it fails at times, like a busy engine.
func (e *engine) GetMemory(_ context.Context, incarnation uint64) (follower.Memory, error) {
	if e.injectFault(0.2) {
		return follower.Memory{}, errLost
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.m.minIncarnation = max(e.m.minIncarnation, incarnation)
	return e.m.memory, nil
}

func (g *testGroup) random(limit time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.rng.Int64N(int64(limit)))
}

func (g *testGroup) injectFault(p float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faulty && g.rng.Float64() < p
}

func newTestGroup(seed uint64) *testGroup {
	g := &testGroup{
		rng: rand.New(rand.NewPCG(seed, 11)), faulty: true, members: make(map[string]*member),
		used: make(map[uint64][]follower.Assignment), seenMaps: make(map[uint64]bool),
		group: &registrar.Group{
			Name: "g", Members: []string{"m0", "m1", "m2"}, RanksPerMember: 2, Experts: 8, Layers: 1, SlotsPerRank: 2, ExpertBytes: 1,
			CopyRate: 1 << 30, StepSkewWeight: 1, RebalanceCostWeight: 0.001, RebalanceInterval: 400 * time.Millisecond,
		},
	}
	for _, name := range g.group.Members {
		g.members[name] = &member{name: name}
		g.startAgent(g.members[name])
	}
	return g
}

// newHealthyTestGroup returns a group without faults whose agents have read the
// state of their engines.
func newHealthyTestGroup() *testGroup {
	g := newTestGroup(1)
	g.mu.Lock()
	g.faulty = false
	g.mu.Unlock()
	time.Sleep(time.Second)
	return g
}

// startAgent replaces a member's agent by one without state.
func (g *testGroup) startAgent(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.cancel != nil {
		m.cancel()
	}
	g.incarnation++
	m.agentIncarnation = g.incarnation
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.agent = follower.New(m.ctx, g.group.Name, m.name, g.incarnation, &engine{testGroup: g, m: m})
}

// delayProbability is the probability that an order is delayed. It is higher for
// decisions, since a delayed one does the most harm.
func delayProbability(o *encoder.GroupOrder) float64 {
	if isDecision(o) {
		return 0.15
	}
	return 0.02
}

func isDecision(o *encoder.GroupOrder) bool {
	return o.GetKind() == encoder.OrderKind_ORDER_COMMIT || o.GetKind() == encoder.OrderKind_ORDER_ABORT
}

func (g *testGroup) getAgent(m *member) *follower.Follower {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.agent
}

// Call implements Transport over a network with faults.
func (g *testGroup) Call(ctx context.Context, name string, o *encoder.GroupOrder) (*encoder.GroupReply, error) {
	deliver := func() *encoder.GroupReply {
		return g.getAgent(g.members[name]).Handle(proto.CloneOf(o))
	}
	if g.injectFault(delayProbability(o)) {
		// The order is delivered late and twice, after its caller has returned.
		for range 2 {
			delay := g.random(2 * time.Second)
			time.AfterFunc(delay, func() { deliver() })
		}
		return nil, errLost
	}
	if g.injectFault(0.02) {
		return nil, errLost
	}
	time.Sleep(g.random(10 * time.Millisecond))
	r := deliver()
	if g.injectFault(0.03) || ctx.Err() != nil {
		return nil, errLost
	}
	return r, nil
}

// replaceEngine replaces a member's whole instance, so its engine's state is lost
// too.
func (g *testGroup) replaceEngine(m *member) {
	g.mu.Lock()
	m.memory = follower.Memory{}
	g.mu.Unlock()
	g.startAgent(m)
}

// runCoordinators runs coordinators whose lifetimes may overlap and which pause at
// random before they send.
func (g *testGroup) runCoordinators(ctx context.Context, wg *sync.WaitGroup) {
	for ctx.Err() == nil {
		g.mu.Lock()
		g.epoch++
		epoch := g.epoch
		g.mu.Unlock()
		lifetime, cancel := context.WithTimeout(ctx, time.Second+g.random(6*time.Second))
		c := New(g.group, epoch, &pausingTransport{testGroup: g}, WithRoundInterval(50*time.Millisecond))
		wg.Go(func() {
			defer cancel()
			_ = c.Run(lifetime)
		})
		sleeper.Sleep(ctx, g.random(4*time.Second))
	}
}

// pausingTransport pauses at random before it sends, like a suspended process.
type pausingTransport struct{ *testGroup }

func (p *pausingTransport) Call(ctx context.Context, name string, o *encoder.GroupOrder) (*encoder.GroupReply, error) {
	if p.injectFault(0.002) || isDecision(o) && p.injectFault(0.1) {
		time.Sleep(p.random(3 * time.Second))
	}
	return p.testGroup.Call(ctx, name, o)
}

// runStep runs one step on all members in lockstep.
func (g *testGroup) runStep(ctx context.Context, n uint64) bool {
	assignments := make([]follower.Assignment, len(g.group.Members))
	for !g.allBegun(n) && ctx.Err() == nil {
		var wg sync.WaitGroup
		for i, name := range g.group.Members {
			m := g.members[name]
			wg.Go(func() { assignments[i] = g.beginStep(ctx, m, n, assignments[i]) })
		}
		wg.Wait()
	}
	if ctx.Err() != nil {
		return false
	}
	if err := g.getAgent(g.members["m0"]).ConfirmStep(assignments); err != nil {
		g.conflict = err.Error()
		return false
	}
	g.lastStep = n
	g.seenMaps[assignments[0].Version] = true
	g.addSamples()
	return true
}

// allBegun reports whether every engine has begun step n.
func (g *testGroup) allBegun(n uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.memory.Step != n {
			return false
		}
	}
	return true
}

// beginStep calls the member's agent until one grants the step. For an engine that
// has already begun the step, it returns the previous assignment.
func (g *testGroup) beginStep(ctx context.Context, m *member, n uint64, previous follower.Assignment) follower.Assignment {
	g.mu.Lock()
	begun := m.memory.Step == n
	g.mu.Unlock()
	if begun {
		return previous
	}
	for ctx.Err() == nil {
		g.mu.Lock()
		agent, agentCtx, incarnation := m.agent, m.ctx, m.agentIncarnation
		g.mu.Unlock()
		callCtx, cancel := context.WithCancel(agentCtx)
		stop := context.AfterFunc(ctx, cancel)
		a, granted, err := agent.BeginStep(callCtx, n)
		stop()
		cancel()
		if err == nil && g.acceptGrant(m, incarnation, n, granted) {
			return a
		}
		sleeper.Sleep(ctx, time.Millisecond)
	}
	return follower.Assignment{}
}

// acceptGrant lets the engine begin a step, unless a newer agent has read its
// state.
func (g *testGroup) acceptGrant(m *member, incarnation, n uint64, granted *planner.Map) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if incarnation < m.minIncarnation {
		return false
	}
	m.memory = follower.Memory{Step: n, Map: granted}
	return true
}

// addSamples reports token counts that change with the steps, so that maps change
// too.
func (g *testGroup) addSamples() {
	for _, m := range g.members {
		s := follower.Sample{Counts: make([]uint64, g.group.Experts), Speeds: []float64{1, 1}, StepTime: 5 * time.Millisecond, Skew: 1}
		for i := range s.Counts {
			s.Counts[i] = uint64(g.random(1000)) * (1 + (g.lastStep/97+uint64(i))%5)
		}
		g.getAgent(m).AddSample(s)
	}
}

// injectFailures replaces agents and whole instances at random.
func (g *testGroup) injectFailures(ctx context.Context) {
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, g.random(3*time.Second))
		m := g.members[g.group.Members[g.random(3)]]
		if g.injectFault(0.2) {
			g.replaceEngine(m)
		}
		if g.injectFault(0.6) {
			g.startAgent(m)
		}
	}
}

// runSteps runs a group under faults for a number of steps, or until a step fails.
func runSteps(seed, steps uint64) *testGroup {
	g := newTestGroup(seed)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { g.runCoordinators(ctx, &wg) })
	wg.Go(func() { g.injectFailures(ctx) })
	for n := uint64(1); n <= steps; n++ {
		// A group whose members are reachable must begin its next step in this time.
		limit, done := context.WithTimeout(ctx, 5*time.Minute)
		ok := g.runStep(limit, n)
		done()
		if !ok {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	wg.Wait()
	for _, m := range g.members {
		m.cancel()
	}
	time.Sleep(10 * time.Second)
	return g
}

func TestRandomisedOneMapInEveryStep(t *testing.T) {
	seeds, steps := uint64(25), uint64(4500)
	if os.Getenv("SISKINFALL_SOAK") != "" {
		seeds = 500
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				before := asserter.Violations()
				g := runSteps(seed, steps)
				c.Assert(g.conflict, qt.Equals, "")
				c.Assert(g.lastStep, qt.Equals, steps, qt.Commentf("the group made no progress"))
				c.Assert(asserter.Violations(), qt.Equals, before)
				c.Assert(len(g.seenMaps) > 3, qt.IsTrue, qt.Commentf("%d maps", len(g.seenMaps)))
			})
		})
	}
}

// lossyTransport loses the orders for which lose returns true.
type lossyTransport struct {
	*testGroup
	lose func(o *encoder.GroupOrder) bool
}

func (t *lossyTransport) Call(ctx context.Context, name string, o *encoder.GroupOrder) (*encoder.GroupReply, error) {
	if t.lose(o) {
		return nil, errLost
	}
	return t.testGroup.Call(ctx, name, o)
}

// A commit stays decided although all of its messages were lost, because the
// coordinator can't tell a lost message from a delayed one.
func TestCommitStaysDecidedWhenItsMessagesAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newHealthyTestGroup()
		ctx := t.Context()
		net := &lossyTransport{testGroup: g, lose: func(*encoder.GroupOrder) bool { return false }}
		coordinator := New(g.group, 1, net)
		c.Assert(coordinator.round(ctx), qt.IsNil)
		c.Assert(g.runStep(ctx, 1), qt.IsTrue)
		net.lose = func(o *encoder.GroupOrder) bool { return o.GetKind() == encoder.OrderKind_ORDER_COMMIT }
		next := &planner.Map{Version: coordinator.newVersion(), Layers: []planner.Layer{planner.Contiguous(coordinator.shape)}}
		_, err := coordinator.changeMap(ctx, next)
		c.Assert(err, qt.IsNil)
		net.lose = func(*encoder.GroupOrder) bool { return false }
		coordinator.nextRebalance = time.Now().Add(time.Hour)
		c.Assert(coordinator.round(ctx), qt.IsNil)
		c.Assert(g.runStep(ctx, 100), qt.IsTrue)
		c.Assert(g.seenMaps[next.Version], qt.IsTrue)
		for _, m := range g.members {
			m.cancel()
		}
	})
}

// A group whose configured shape has changed gets a map of the new shape.
func TestChangedShapeReplacesMap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newHealthyTestGroup()
		c.Assert(New(g.group, 1, g).round(t.Context()), qt.IsNil)
		c.Assert(g.runStep(t.Context(), 1), qt.IsTrue)
		changed := *g.group
		changed.Layers, changed.SlotsPerRank = 3, 4
		coordinator := New(&changed, 2, g)
		c.Assert(coordinator.round(t.Context()), qt.IsNil)
		history := coordinator.GetHistory()
		c.Assert(history[len(history)-1].Outcome, qt.Equals, "in_force")
		c.Assert(g.runStep(t.Context(), 200), qt.IsTrue)
		active := g.members["m0"].memory.Map
		c.Assert(coordinator.matchesShape(active), qt.IsTrue)
		for _, m := range g.members {
			m.cancel()
		}
	})
}

// A group keeps its map while another group holds the copy lane that they share.
func TestRebalanceIsPostponedWhileLaneIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newHealthyTestGroup()
		laneFree := false
		lane := func(context.Context, time.Duration) (func(), error) {
			if !laneFree {
				return nil, errors.New("lane is taken")
			}
			return func() {}, nil
		}
		coordinator := New(g.group, 1, g, WithLane(lane))
		c.Assert(coordinator.round(t.Context()), qt.IsNil)
		for n := range uint64(40) {
			c.Assert(g.runStep(t.Context(), n+1), qt.IsTrue)
		}
		coordinator.nextRebalance = time.Time{}
		c.Assert(coordinator.round(t.Context()), qt.IsNil)
		history := coordinator.GetHistory()
		c.Assert(history[len(history)-1].Outcome, qt.Equals, "postponed: lane is taken")
		laneFree = true
		for n := range uint64(40) {
			c.Assert(g.runStep(t.Context(), n+41), qt.IsTrue)
		}
		coordinator.nextRebalance = time.Time{}
		c.Assert(coordinator.round(t.Context()), qt.IsNil)
		history = coordinator.GetHistory()
		c.Assert(history[len(history)-1].Outcome, qt.Equals, "in_force")
		for _, m := range g.members {
			m.cancel()
		}
	})
}
