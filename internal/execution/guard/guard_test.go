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

// simulation runs many concurrent attempts at a few keys on a platform with faults.
type simulation struct {
	store *keeper.Direct
	mu    sync.Mutex
	rng   *rand.Rand
	// agents are replaced when they are killed, which ends their attempts.
	agents   []*agent
	sequence int
	// runs holds the generations handed over by key.
	runs map[ID][]uint64
	// closed holds the highest generation by key for which Close succeeded; it and
	// all lower ones must not run afterwards.
	closed     map[ID]uint64
	violations []string
}

type agent struct {
	*Guard
	ctx    context.Context
	cancel context.CancelFunc
}

func newSimulation(seed uint64) *simulation {
	si := &simulation{store: keeper.NewDirect(seed), rng: rand.New(rand.NewPCG(seed, 5)), runs: make(map[ID][]uint64), closed: make(map[ID]uint64)}
	si.store.SetFaultProbabilities(keeper.FaultProbabilities{Fail: 0.1, Lose: 0.1, Late: 0.1})
	for range 3 {
		si.agents = append(si.agents, si.newAgent())
	}
	return si
}

func (si *simulation) newAgent() *agent {
	si.sequence++
	ctx, cancel := context.WithCancel(context.Background())
	return &agent{Guard: New(ctx, si.store, Owner{Instance: "agent", Incarnation: uint64(si.sequence)}), ctx: ctx, cancel: cancel}
}

func (si *simulation) randInt(n int) int {
	si.mu.Lock()
	defer si.mu.Unlock()
	return si.rng.IntN(n)
}

// sendAttempts makes up to four attempts at a key, as a dispatcher and its agents do.
func (si *simulation) sendAttempts(id ID) {
	generation := uint64(1)
	for try := range 4 {
		si.mu.Lock()
		a := si.agents[si.rng.IntN(len(si.agents))]
		si.sequence++
		attempt := fmt.Sprintf("attempt %d.%d", si.sequence, try)
		si.mu.Unlock()
		ctx, cancel := context.WithTimeout(a.ctx, 2*time.Second)
		d, err := a.Begin(ctx, Request{ID: id, Attempt: attempt, Digest: []byte("d"), Generation: generation, Retention: time.Minute})
		if err == nil {
			generation = si.handleDecision(ctx, id, generation, d)
		}
		cancel()
		if si.randInt(4) == 0 {
			si.close(id, generation)
		}
	}
}

// handleDecision handles a decision as an agent does and returns the generation for
// the next attempt.
func (si *simulation) handleDecision(ctx context.Context, id ID, generation uint64, d Decision) uint64 {
	switch d := d.(type) {
	case *Denial:
		if d.Reason == ReasonClosed {
			return d.Generation + 1
		}
	case *Permit:
		si.run(ctx, id, generation, d)
	case *Replay:
	}
	return generation
}

func (si *simulation) run(ctx context.Context, id ID, generation uint64, p *Permit) {
	if ctx.Err() != nil || p.HandOver() != nil {
		p.Fail()
		return
	}
	if si.randInt(5) == 0 {
		// The backend server could not be reached.
		p.RevertHandOver()
		p.Fail()
		return
	}
	si.mu.Lock()
	si.runs[id] = append(si.runs[id], generation)
	if generation <= si.closed[id] {
		si.violations = append(si.violations, fmt.Sprintf("%v ran generation %d after it was closed", id, generation))
	}
	si.mu.Unlock()
	time.Sleep(time.Duration(si.randInt(100)) * time.Millisecond)
	if si.randInt(4) == 0 {
		p.Fail()
		return
	}
	p.PublishAnswer(&Answer{Status: 200, Body: []byte("ok")})
	_ = p.RecordAnswer(ctx)
}

// close closes a generation, as a dispatcher does before it answers that a request
// was not run.
func (si *simulation) close(id ID, generation uint64) {
	err := NewRegistry(si.store).Close(context.Background(), id, generation, time.Minute)
	if err != nil {
		return
	}
	si.mu.Lock()
	defer si.mu.Unlock()
	si.closed[id] = max(si.closed[id], generation)
}

// killAgents kills and replaces agents at random intervals. Their rows remain.
func (si *simulation) killAgents() {
	for range 8 {
		time.Sleep(time.Duration(si.randInt(600)) * time.Millisecond)
		si.mu.Lock()
		i := si.rng.IntN(len(si.agents))
		si.agents[i].cancel()
		si.agents[i] = si.newAgent()
		si.mu.Unlock()
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
				si := newSimulation(seed)
				var wg sync.WaitGroup
				for i := range 40 {
					id := ID{Account: "a", Service: "s", Key: fmt.Sprint(i % 8)}
					wg.Go(func() { si.sendAttempts(id) })
				}
				wg.Go(si.killAgents)
				wg.Wait()
				for id, generations := range si.runs {
					c.Check(generations, qt.HasLen, 1, qt.Commentf("%v", id))
				}
				c.Check(si.violations, qt.HasLen, 0)
				ran += len(si.runs)
				for _, a := range si.agents {
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

func TestBeginReplaysAnswerAndRefusesReusedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := keeper.NewDirect(1)
		g := New(t.Context(), store, Owner{Instance: "one"})
		p, ok := begin(c, g, "k", "1", "d", 1).(*Permit)
		c.Assert(ok, qt.IsTrue)
		c.Assert(p.HandOver(), qt.IsNil)
		large := make([]byte, 2*maxInlineBytes)
		p.PublishAnswer(&Answer{Status: 201, Body: large})
		c.Assert(p.RecordAnswer(t.Context()), qt.IsNil)
		other := New(t.Context(), store, Owner{Instance: "two"})
		replay, ok := begin(c, other, "k", "2", "d", 1).(*Replay)
		c.Assert(ok, qt.IsTrue)
		c.Assert(replay.Answer.Status, qt.Equals, 201)
		c.Assert(replay.Answer.Body, qt.HasLen, len(large))
		c.Assert(begin(c, other, "k", "3", "other", 1), qt.DeepEquals, Decision(&Denial{Reason: ReasonKeyReused}))
	})
}

func TestHandOverFailsTheSecondTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, ok := begin(c, New(t.Context(), keeper.NewDirect(1), Owner{Instance: "one"}), "k", "1", "d", 1).(*Permit)
		c.Assert(ok, qt.IsTrue)
		c.Assert(p.HandOver(), qt.IsNil)
		c.Assert(p.HandOver(), qt.IsNotNil)
		c.Assert((&Permit{request: p.request, guard: p.guard}).HandOver(), qt.IsNotNil)
	})
}

func TestSettleClosesExecutionWithUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := keeper.NewDirect(1)
		g := New(t.Context(), store, Owner{Instance: "one"})
		p, ok := begin(c, g, "k", "1", "d", 1).(*Permit)
		c.Assert(ok, qt.IsTrue)
		c.Assert(p.HandOver(), qt.IsNil)
		p.Fail()
		g.Wait(t.Context())
		c.Assert(begin(c, g, "k", "2", "d", 1), qt.DeepEquals, Decision(&Denial{Reason: ReasonOutcomeUnknown}))
		reg := NewRegistry(store)
		id := ID{Account: "a", Service: "s", Key: "k"}
		c.Assert(reg.Settle(t.Context(), id, false, "op"), qt.IsNil)
		c.Assert(begin(c, g, "k", "3", "d", 1), qt.DeepEquals, Decision(&Denial{Reason: ReasonClosed, Generation: 1}))
		_, ok = begin(c, g, "k", "4", "d", 2).(*Permit)
		c.Assert(ok, qt.IsTrue)
		c.Assert(reg.Settle(t.Context(), ID{Key: "none"}, false, "op"), qt.ErrorIs, ErrExecutionNotExist)
	})
}

// A shutdown while the store is unavailable must not wait for the background writes
// beyond its own deadline.
func TestWaitReturnsWhenItsContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := keeper.NewDirect(1)
		background, stop := context.WithCancel(t.Context())
		g := New(background, store, Owner{Instance: "one"})
		p, ok := begin(c, g, "k", "1", "d", 1).(*Permit)
		c.Assert(ok, qt.IsTrue)
		store.SetFaultProbabilities(keeper.FaultProbabilities{Fail: 1})
		p.Fail()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		g.Wait(ctx)
		c.Assert(ctx.Err(), qt.IsNotNil)
		stop()
		g.Wait(t.Context())
	})
}

func TestSweepDeletesOnlyExpiredRows(t *testing.T) {
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
