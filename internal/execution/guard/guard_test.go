package guard

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"siskinfall/internal/standin/keeper"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	os.Exit(m.Run())
}

// trial lets many attempts at a few keys race over a platform with faults.
type trial struct {
	store *keeper.Direct
	mu    sync.Mutex
	rng   *rand.Rand
	// agents are replaced when they die; their attempts then end.
	agents []*agent
	serial int
	// runs counts hand-overs by key and generation.
	runs map[ID][]uint64
	// closed holds the highest generation that Close has promised never to run,
	// and how many runs there were then.
	closed map[ID]uint64
	broken []string
}

type agent struct {
	*Guard
	ctx    context.Context
	cancel context.CancelFunc
}

func newTrial(seed uint64) *trial {
	tr := &trial{store: keeper.NewDirect(seed), rng: rand.New(rand.NewPCG(seed, 5)), runs: make(map[ID][]uint64), closed: make(map[ID]uint64)}
	tr.store.SetChances(keeper.Chances{Fail: 0.1, Lose: 0.1, Late: 0.1})
	for range 3 {
		tr.agents = append(tr.agents, tr.newAgent())
	}
	return tr
}

func (tr *trial) newAgent() *agent {
	tr.serial++
	ctx, cancel := context.WithCancel(context.Background())
	return &agent{Guard: New(ctx, tr.store, Owner{Instance: "agent", Incarnation: uint64(tr.serial)}), ctx: ctx, cancel: cancel}
}

func (tr *trial) int(n int) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.rng.IntN(n)
}

// send makes one attempt at a key, as a dispatcher and an agent do together.
func (tr *trial) send(id ID) {
	generation := uint64(1)
	for try := range 4 {
		tr.mu.Lock()
		a := tr.agents[tr.rng.IntN(len(tr.agents))]
		tr.serial++
		attempt := fmt.Sprintf("attempt %d.%d", tr.serial, try)
		tr.mu.Unlock()
		ctx, cancel := context.WithTimeout(a.ctx, 2*time.Second)
		d, err := a.Begin(ctx, Request{ID: id, Attempt: attempt, Digest: []byte("d"), Generation: generation, Retention: time.Minute})
		if err == nil {
			generation = tr.act(ctx, id, generation, d)
		}
		cancel()
		if tr.int(4) == 0 {
			tr.close(id, generation)
		}
	}
}

// act does what an agent does with a decision; it returns the generation to try
// next.
func (tr *trial) act(ctx context.Context, id ID, generation uint64, d Decision) uint64 {
	switch d := d.(type) {
	case *Denial:
		if d.Reason == ReasonClosed {
			return d.Generation + 1
		}
	case *Permit:
		tr.run(ctx, id, generation, d)
	case *Replay:
	}
	return generation
}

func (tr *trial) run(ctx context.Context, id ID, generation uint64, p *Permit) {
	if ctx.Err() != nil || p.HandOver() != nil {
		p.Fail()
		return
	}
	if tr.int(5) == 0 {
		// The backend server could not be reached.
		p.Withdraw()
		p.Fail()
		return
	}
	tr.mu.Lock()
	tr.runs[id] = append(tr.runs[id], generation)
	if generation <= tr.closed[id] {
		tr.broken = append(tr.broken, fmt.Sprintf("%v ran generation %d after it was closed", id, generation))
	}
	tr.mu.Unlock()
	time.Sleep(time.Duration(tr.int(100)) * time.Millisecond)
	if tr.int(4) == 0 {
		p.Fail()
		return
	}
	p.Answer(&Answer{Status: 200, Body: []byte("ok")})
	_ = p.Record(ctx)
}

// close is what a dispatcher does before it says that a request was not run.
func (tr *trial) close(id ID, generation uint64) {
	err := NewRegistry(tr.store).Close(context.Background(), id, generation, time.Minute)
	if err != nil {
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.closed[id] = max(tr.closed[id], generation)
}

// killAgents replaces agents now and then; what they began is left as it is.
func (tr *trial) killAgents() {
	for range 8 {
		time.Sleep(time.Duration(tr.int(600)) * time.Millisecond)
		tr.mu.Lock()
		i := tr.rng.IntN(len(tr.agents))
		tr.agents[i].cancel()
		tr.agents[i] = tr.newAgent()
		tr.mu.Unlock()
	}
}

func TestRandomisedRunsAtMostOnce(t *testing.T) {
	seeds := uint64(60)
	if os.Getenv("SISKINFALL_SOAK") != "" {
		seeds = 5000
	}
	ran := 0
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				tr := newTrial(seed)
				var wg sync.WaitGroup
				for i := range 40 {
					id := ID{Account: "a", Service: "s", Key: fmt.Sprint(i % 8)}
					wg.Go(func() { tr.send(id) })
				}
				wg.Go(tr.killAgents)
				wg.Wait()
				for id, generations := range tr.runs {
					c.Check(generations, qt.HasLen, 1, qt.Commentf("%v", id))
				}
				c.Check(tr.broken, qt.HasLen, 0)
				ran += len(tr.runs)
				for _, a := range tr.agents {
					a.cancel()
				}
			})
		})
	}
	qt.Assert(t, ran > int(seeds), qt.IsTrue, qt.Commentf("%d keys ran", ran))
}

func begin(c *qt.C, g *Guard, key, attempt, digest string, generation uint64) Decision {
	d, err := g.Begin(c.Context(), Request{
		ID: ID{Account: "a", Service: "s", Key: key}, Attempt: attempt, Digest: []byte(digest), Generation: generation, Retention: time.Hour,
	})
	c.Assert(err, qt.IsNil)
	return d
}

func TestAnswerIsReplayedAndOtherContentRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := keeper.NewDirect(1)
		g := New(t.Context(), store, Owner{Instance: "one"})
		p, ok := begin(c, g, "k", "1", "d", 1).(*Permit)
		c.Assert(ok, qt.IsTrue)
		c.Assert(p.HandOver(), qt.IsNil)
		large := make([]byte, 2*maxInline)
		p.Answer(&Answer{Status: 201, Body: large})
		c.Assert(p.Record(t.Context()), qt.IsNil)
		other := New(t.Context(), store, Owner{Instance: "two"})
		replay, ok := begin(c, other, "k", "2", "d", 1).(*Replay)
		c.Assert(ok, qt.IsTrue)
		c.Assert(replay.Answer.Status, qt.Equals, 201)
		c.Assert(replay.Answer.Body, qt.HasLen, len(large))
		c.Assert(begin(c, other, "k", "3", "other", 1), qt.DeepEquals, Decision(&Denial{Reason: ReasonReused}))
	})
}

func TestSecondHandOverIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, ok := begin(c, New(t.Context(), keeper.NewDirect(1), Owner{Instance: "one"}), "k", "1", "d", 1).(*Permit)
		c.Assert(ok, qt.IsTrue)
		c.Assert(p.HandOver(), qt.IsNil)
		c.Assert(p.HandOver(), qt.IsNotNil)
		c.Assert((&Permit{request: p.request, guard: p.guard}).HandOver(), qt.IsNotNil)
	})
}

func TestOperatorSettlesWhatWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := keeper.NewDirect(1)
		g := New(t.Context(), store, Owner{Instance: "one"})
		p, ok := begin(c, g, "k", "1", "d", 1).(*Permit)
		c.Assert(ok, qt.IsTrue)
		c.Assert(p.HandOver(), qt.IsNil)
		p.Fail()
		g.Wait(t.Context())
		c.Assert(begin(c, g, "k", "2", "d", 1), qt.DeepEquals, Decision(&Denial{Reason: ReasonLost}))
		reg := NewRegistry(store)
		id := ID{Account: "a", Service: "s", Key: "k"}
		c.Assert(reg.Settle(t.Context(), id, false, "op"), qt.IsNil)
		c.Assert(begin(c, g, "k", "3", "d", 1), qt.DeepEquals, Decision(&Denial{Reason: ReasonClosed, Generation: 1}))
		_, ok = begin(c, g, "k", "4", "d", 2).(*Permit)
		c.Assert(ok, qt.IsTrue)
		c.Assert(reg.Settle(t.Context(), ID{Key: "none"}, false, "op"), qt.ErrorIs, ErrExecutionNotExist)
	})
}

// A shutdown while the store is down does not wait for it longer than it may.
func TestWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := keeper.NewDirect(1)
		background, stop := context.WithCancel(t.Context())
		g := New(background, store, Owner{Instance: "one"})
		p, ok := begin(c, g, "k", "1", "d", 1).(*Permit)
		c.Assert(ok, qt.IsTrue)
		store.SetChances(keeper.Chances{Fail: 1})
		p.Fail()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		g.Wait(ctx)
		c.Assert(ctx.Err(), qt.IsNotNil)
		stop()
		g.Wait(t.Context())
	})
}

func TestSweepDeletesExpiredRowsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := keeper.NewDirect(1)
		reg := NewRegistry(store)
		for i := range 150 {
			id := ID{Account: "a", Service: "s", Key: fmt.Sprintf("%03d", i)}
			c.Assert(reg.Close(t.Context(), id, 1, time.Duration(1+i%2)*time.Hour), qt.IsNil)
		}
		deleted, after := 0, ""
		for range 2 {
			next, n, err := reg.Sweep(t.Context(), after, time.Now().Add(90*time.Minute))
			c.Assert(err, qt.IsNil)
			deleted, after = deleted+n, next
		}
		c.Assert(deleted, qt.Equals, 75)
		c.Assert(after, qt.Equals, "")
	})
}
