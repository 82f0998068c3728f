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

// bench is a group whose messages are lost, late and doubled, and whose agents,
// engines and coordinators die and pause.
type bench struct {
	group *registrar.Group
	mu    sync.Mutex
	rng   *rand.Rand
	// faulty switches the faults of the network.
	faulty  bool
	members map[string]*member
	// incarnation numbers agents as they start.
	incarnation uint64
	epoch       uint64
	// used holds what the engines used in each step that they began and that no
	// engine lost.
	used    map[uint64][]follower.Assignment
	reached uint64
	clash   string
	maps    map[uint64]bool
}

// member is an agent with its engine.
type member struct {
	name   string
	agent  *follower.Follower
	memory follower.Memory
	// trusted is the incarnation of the agent whose grants the engine takes.
	trusted uint64
	started uint64
	// cancel ends what the engine waits for at an agent that is killed.
	cancel context.CancelFunc
	ctx    context.Context
}

// Stage takes a while, as copying does.
func (b *bench) Stage(ctx context.Context, _ *planner.Map) error {
	time.Sleep(b.random(200 * time.Millisecond))
	return ctx.Err()
}

// engine is a member's engine as its agent sees it.
type engine struct {
	*bench
	m *member
}

// GetMemory may fail at first, as an engine that is busy.
func (e *engine) GetMemory(_ context.Context, incarnation uint64) (follower.Memory, error) {
	if e.chance(0.2) {
		return follower.Memory{}, errLost
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.m.trusted = max(e.m.trusted, incarnation)
	return e.m.memory, nil
}

func (b *bench) random(limit time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.rng.Int64N(int64(limit)))
}

func (b *bench) chance(p float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faulty && b.rng.Float64() < p
}

func newBench(seed uint64) *bench {
	b := &bench{
		rng: rand.New(rand.NewPCG(seed, 11)), faulty: true, members: make(map[string]*member),
		used: make(map[uint64][]follower.Assignment), maps: make(map[uint64]bool),
		group: &registrar.Group{
			Name: "g", Members: []string{"m0", "m1", "m2"}, RanksPerMember: 2, Experts: 8, Layers: 1, SlotsPerRank: 2, ExpertBytes: 1,
			CopyRate: 1 << 30, StepSkewWeight: 1, RebalanceCostWeight: 0.001, RebalanceInterval: 400 * time.Millisecond,
		},
	}
	for _, name := range b.group.Members {
		b.members[name] = &member{name: name}
		b.startAgent(b.members[name])
	}
	return b
}

// newSoundBench returns a group without faults whose agents know their engines.
func newSoundBench() *bench {
	b := newBench(1)
	b.mu.Lock()
	b.faulty = false
	b.mu.Unlock()
	time.Sleep(time.Second)
	return b
}

// startAgent replaces a member's agent by one without memory.
func (b *bench) startAgent(m *member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.cancel != nil {
		m.cancel()
	}
	b.incarnation++
	m.started = b.incarnation
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.agent = follower.New(m.ctx, b.group.Name, m.name, b.incarnation, &engine{bench: b, m: m})
}

// lateness is the chance that an order comes late; decisions do so more often,
// since a late one does the most harm.
func lateness(o *encoder.GroupOrder) float64 {
	if isDecision(o) {
		return 0.15
	}
	return 0.02
}

func isDecision(o *encoder.GroupOrder) bool {
	return o.GetKind() == encoder.OrderKind_ORDER_COMMIT || o.GetKind() == encoder.OrderKind_ORDER_ABORT
}

func (b *bench) getAgent(m *member) *follower.Follower {
	b.mu.Lock()
	defer b.mu.Unlock()
	return m.agent
}

// Call implements Transport over a network with faults.
func (b *bench) Call(ctx context.Context, name string, o *encoder.GroupOrder) (*encoder.GroupReply, error) {
	deliver := func() *encoder.GroupReply {
		return b.getAgent(b.members[name]).Handle(proto.CloneOf(o))
	}
	if b.chance(lateness(o)) {
		// Late and twice: these arrive when the caller has long given up.
		for range 2 {
			delay := b.random(2 * time.Second)
			time.AfterFunc(delay, func() { deliver() })
		}
		return nil, errLost
	}
	if b.chance(0.02) {
		return nil, errLost
	}
	time.Sleep(b.random(10 * time.Millisecond))
	r := deliver()
	if b.chance(0.03) || ctx.Err() != nil {
		return nil, errLost
	}
	return r, nil
}

// replaceEngine replaces a member's whole instance: its engine forgets too.
func (b *bench) replaceEngine(m *member) {
	b.mu.Lock()
	m.memory = follower.Memory{}
	b.mu.Unlock()
	b.startAgent(m)
}

// lead runs coordinators, one after the other and at times two at once; a
// pause stops a coordinator in the middle of what it does.
func (b *bench) lead(ctx context.Context, wg *sync.WaitGroup) {
	for ctx.Err() == nil {
		b.mu.Lock()
		b.epoch++
		epoch := b.epoch
		b.mu.Unlock()
		life, cancel := context.WithTimeout(ctx, time.Second+b.random(6*time.Second))
		c := New(b.group, epoch, &pausing{bench: b}, WithPause(50*time.Millisecond))
		wg.Go(func() {
			defer cancel()
			_ = c.Run(life)
		})
		sleeper.Sleep(ctx, b.random(4*time.Second))
	}
}

// pausing is a transport whose process pauses now and then before it sends.
type pausing struct{ *bench }

func (p *pausing) Call(ctx context.Context, name string, o *encoder.GroupOrder) (*encoder.GroupReply, error) {
	if p.chance(0.002) || isDecision(o) && p.chance(0.1) {
		time.Sleep(p.random(3 * time.Second))
	}
	return p.bench.Call(ctx, name, o)
}

// step runs one step in lock-step over all members.
func (b *bench) step(ctx context.Context, n uint64) bool {
	assignments := make([]follower.Assignment, len(b.group.Members))
	for !b.haveBegun(n) && ctx.Err() == nil {
		var wg sync.WaitGroup
		for i, name := range b.group.Members {
			m := b.members[name]
			wg.Go(func() { assignments[i] = b.beginStep(ctx, m, n, assignments[i]) })
		}
		wg.Wait()
	}
	if ctx.Err() != nil {
		return false
	}
	if err := b.getAgent(b.members["m0"]).ConfirmStep(assignments); err != nil {
		b.clash = err.Error()
		return false
	}
	b.reached = n
	b.maps[assignments[0].Version] = true
	b.sample()
	return true
}

// haveBegun reports whether every engine has begun a step.
func (b *bench) haveBegun(n uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.members {
		if m.memory.Step != n {
			return false
		}
	}
	return true
}

// beginStep asks the member's agent until one lets the step begin. An engine
// that has begun it stays with what it used.
func (b *bench) beginStep(ctx context.Context, m *member, n uint64, used follower.Assignment) follower.Assignment {
	b.mu.Lock()
	begun := m.memory.Step == n
	b.mu.Unlock()
	if begun {
		return used
	}
	for ctx.Err() == nil {
		b.mu.Lock()
		agent, life, incarnation := m.agent, m.ctx, m.started
		b.mu.Unlock()
		call, cancel := context.WithCancel(life)
		stop := context.AfterFunc(ctx, cancel)
		a, placed, err := agent.BeginStep(call, n)
		stop()
		cancel()
		if err == nil && b.takeGrant(m, incarnation, n, placed) {
			return a
		}
		sleeper.Sleep(ctx, time.Millisecond)
	}
	return follower.Assignment{}
}

// takeGrant lets the engine begin a step, unless it listens to a newer agent.
func (b *bench) takeGrant(m *member, incarnation, n uint64, placed *planner.Map) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if incarnation < m.trusted {
		return false
	}
	m.memory = follower.Memory{Step: n, Map: placed}
	return true
}

// sample reports counts that change all the time, so that maps change too.
func (b *bench) sample() {
	for _, m := range b.members {
		s := follower.Sample{Counts: make([]uint64, b.group.Experts), Speeds: []float64{1, 1}, StepTime: 5 * time.Millisecond, Skew: 1}
		for i := range s.Counts {
			s.Counts[i] = uint64(b.random(1000)) * (1 + (b.reached/97+uint64(i))%5)
		}
		b.getAgent(m).AddSample(s)
	}
}

// breakThings restarts agents, and replaces whole instances, now and then.
func (b *bench) breakThings(ctx context.Context) {
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, b.random(3*time.Second))
		m := b.members[b.group.Members[b.random(3)]]
		if b.chance(0.2) {
			b.replaceEngine(m)
		}
		if b.chance(0.6) {
			b.startAgent(m)
		}
	}
}

// runSteps runs a group under faults and returns how far it came.
func runSteps(seed, steps uint64) *bench {
	b := newBench(seed)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { b.lead(ctx, &wg) })
	wg.Go(func() { b.breakThings(ctx) })
	for n := uint64(1); n <= steps; n++ {
		// A group whose members live must get on within this time.
		limit, done := context.WithTimeout(ctx, 5*time.Minute)
		ok := b.step(limit, n)
		done()
		if !ok {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	wg.Wait()
	for _, m := range b.members {
		m.cancel()
	}
	time.Sleep(10 * time.Second)
	return b
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
				b := runSteps(seed, steps)
				c.Assert(b.clash, qt.Equals, "")
				c.Assert(b.reached, qt.Equals, steps, qt.Commentf("the group is stuck"))
				c.Assert(asserter.Violations(), qt.Equals, before)
				c.Assert(len(b.maps) > 3, qt.IsTrue, qt.Commentf("%d maps", len(b.maps)))
			})
		})
	}
}

// scripted is a transport that loses some orders.
type scripted struct {
	*bench
	lose func(o *encoder.GroupOrder) bool
}

func (s *scripted) Call(ctx context.Context, name string, o *encoder.GroupOrder) (*encoder.GroupReply, error) {
	if s.lose(o) {
		return nil, errLost
	}
	return s.bench.Call(ctx, name, o)
}

// A decision whose messages were all lost stands: one of them may still land.
func TestDecisionStandsWhenNobodyHeardIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newSoundBench()
		ctx := t.Context()
		net := &scripted{bench: b, lose: func(*encoder.GroupOrder) bool { return false }}
		lead := New(b.group, 1, net)
		c.Assert(lead.round(ctx), qt.IsNil)
		c.Assert(b.step(ctx, 1), qt.IsTrue)
		net.lose = func(o *encoder.GroupOrder) bool { return o.GetKind() == encoder.OrderKind_ORDER_COMMIT }
		next := &planner.Map{Version: lead.newVersion(), Layers: []planner.Layer{planner.Contiguous(lead.shape)}}
		_, err := lead.change(ctx, next)
		c.Assert(err, qt.IsNil)
		net.lose = func(*encoder.GroupOrder) bool { return false }
		lead.nextPlan = time.Now().Add(time.Hour)
		c.Assert(lead.round(ctx), qt.IsNil)
		c.Assert(b.step(ctx, 100), qt.IsTrue)
		c.Assert(b.maps[next.Version], qt.IsTrue)
		for _, m := range b.members {
			m.cancel()
		}
	})
}

// A group whose configured shape has changed gets a map of the new shape.
func TestNewShapeGetsANewMap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newSoundBench()
		c.Assert(New(b.group, 1, b).round(t.Context()), qt.IsNil)
		c.Assert(b.step(t.Context(), 1), qt.IsTrue)
		larger := *b.group
		larger.Layers, larger.SlotsPerRank = 3, 4
		lead := New(&larger, 2, b)
		c.Assert(lead.round(t.Context()), qt.IsNil)
		history := lead.GetHistory()
		c.Assert(history[len(history)-1].Outcome, qt.Equals, "in_force")
		c.Assert(b.step(t.Context(), 200), qt.IsTrue)
		placed := b.members["m0"].memory.Map
		c.Assert(lead.fits(placed), qt.IsTrue)
		for _, m := range b.members {
			m.cancel()
		}
	})
}

// While another group of its lane moves, a group keeps its map.
func TestMoveWaitsForItsLane(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newSoundBench()
		free := false
		lane := func(context.Context, time.Duration) (func(), error) {
			if !free {
				return nil, errors.New("lane is taken")
			}
			return func() {}, nil
		}
		lead := New(b.group, 1, b, WithLane(lane))
		c.Assert(lead.round(t.Context()), qt.IsNil)
		for n := range uint64(40) {
			c.Assert(b.step(t.Context(), n+1), qt.IsTrue)
		}
		lead.nextPlan = time.Time{}
		c.Assert(lead.round(t.Context()), qt.IsNil)
		history := lead.GetHistory()
		c.Assert(history[len(history)-1].Outcome, qt.Equals, "postponed: lane is taken")
		free = true
		for n := range uint64(40) {
			c.Assert(b.step(t.Context(), n+41), qt.IsTrue)
		}
		lead.nextPlan = time.Time{}
		c.Assert(lead.round(t.Context()), qt.IsNil)
		history = lead.GetHistory()
		c.Assert(history[len(history)-1].Outcome, qt.Equals, "in_force")
		for _, m := range b.members {
			m.cancel()
		}
	})
}
