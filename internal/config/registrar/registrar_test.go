package registrar

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

	"github.com/anishathalye/porcupine"
	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"siskinfall/internal/standin/keeper"
	"siskinfall/internal/wire/encoder"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	os.Exit(m.Run())
}

func newService(name string, timeout time.Duration) *Service {
	return &Service{
		Name: name, Kind: ServiceModel, Timeout: timeout, MaxAttempts: 1, Retention: time.Hour,
		Objective: Objective{Availability: 0.9, FirstByte: time.Second},
	}
}

func newTicket(number uint64, timeout time.Duration, names ...string) *Ticket {
	t := &Ticket{Number: number, Author: "test"}
	for _, n := range names {
		t.Services = append(t.Services, newService(n, timeout))
	}
	return t
}

// acceptOp is one call of Accept in the history of an entity, as the input or the
// output of the model.
type acceptOp struct {
	number uint64
	// supersededBy is the number reported by a refusal, 0 for success.
	supersededBy uint64
	// uncertain is set if the operator received no outcome.
	uncertain bool
}

// register is the state of an entity: the number in force, and the accepted
// tickets as a bit set.
type register struct {
	number   uint64
	accepted uint64
}

func (r register) has(number uint64) bool { return r.accepted&(1<<number) != 0 }

func (r register) with(number uint64) register {
	return register{number: number, accepted: r.accepted | 1<<number}
}

// entityModel is a register that accepts only increasing numbers. Accepting the
// same ticket again succeeds without effect.
var entityModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(register), input.(acceptOp), output.(acceptOp)
		switch {
		case out.uncertain && in.number > s.number:
			return []any{s, s.with(in.number)}
		case out.uncertain, out.supersededBy == 0 && s.has(in.number):
			return []any{s}
		case out.supersededBy != 0 && out.supersededBy == s.number && out.supersededBy >= in.number && !s.has(in.number):
			return []any{s}
		case out.supersededBy == 0 && in.number > s.number:
			return []any{s.with(in.number)}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// TestRandomisedConcurrentAcceptsAreLinearizable runs concurrent operators on a
// platform with faults. Every ticket sets one entity, so the history of each
// entity must be that of a register.
func TestRandomisedConcurrentAcceptsAreLinearizable(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := keeper.NewDirect(seed)
				store.SetFaultProbabilities(keeper.FaultProbabilities{Fail: 0.05, Lose: 0.05, Late: 0.03})
				history := runConcurrentOperators(store, seed)
				for name, ops := range history {
					c.Check(porcupine.CheckOperations(entityModel, ops), qt.IsTrue, qt.Commentf("thing %s: %+v", name, ops))
				}
				checkReaders(c, store)
			})
		})
	}
}

func runConcurrentOperators(store *keeper.Direct, seed uint64) map[string][]porcupine.Operation {
	registry := NewRegistry(store)
	history := make(map[string][]porcupine.Operation)
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for client := range 4 {
		rng := rand.New(rand.NewPCG(seed, uint64(client)))
		wg.Go(func() {
			for range 8 {
				number := uint64(1 + rng.IntN(30))
				name := fmt.Sprint("thing", number%3)
				ticket := newTicket(number, time.Second+time.Duration(rng.IntN(2))*time.Second, name)
				call := time.Since(start)
				_, err := registry.Accept(context.Background(), ticket)
				op := porcupine.Operation{
					ClientId: client, Input: acceptOp{number: number}, Call: int64(call), Output: outputOf(number, err), Return: int64(time.Since(start)),
				}
				if errors.Is(err, ErrNumberTaken) {
					continue
				}
				if op.Output.(acceptOp).uncertain {
					op.Return = int64(time.Hour)
				}
				mu.Lock()
				history[name] = append(history[name], op)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return history
}

func outputOf(number uint64, err error) acceptOp {
	var superseded *SupersededError
	switch {
	case err == nil:
		return acceptOp{number: number}
	case errors.As(err, &superseded):
		return acceptOp{number: number, supersededBy: superseded.By}
	}
	return acceptOp{number: number, uncertain: true}
}

// checkReaders asserts that two readers reach the same configuration, and that no
// number is listed twice.
func checkReaders(c *qt.C, store *keeper.Direct) {
	time.Sleep(time.Minute)
	store.SetFaultProbabilities(keeper.FaultProbabilities{})
	registry := NewRegistry(store)
	first, second := NewActiveConfig(), NewActiveConfig()
	c.Assert(NewReader(registry, first).Poll(c.Context()), qt.IsNil)
	c.Assert(NewReader(registry, second).Poll(c.Context()), qt.IsNil)
	c.Assert(first.Get().Digest, qt.Equals, second.Get().Digest)
	list, err := registry.ListTickets(c.Context())
	c.Assert(err, qt.IsNil)
	seen := make(map[uint64]bool)
	for _, s := range list {
		c.Assert(seen[s.Number], qt.IsFalse)
		seen[s.Number] = true
	}
}

func TestAcceptRepeatsSameTicketAndRefusesReusedNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		registry := NewRegistry(keeper.NewDirect(1))
		_, err := registry.Accept(t.Context(), newTicket(5, time.Second, "a"))
		c.Assert(err, qt.IsNil)
		_, err = registry.Accept(t.Context(), newTicket(5, time.Second, "a"))
		c.Assert(err, qt.IsNil)
		_, err = registry.Accept(t.Context(), newTicket(5, 2*time.Second, "a"))
		c.Assert(err, qt.ErrorIs, ErrNumberTaken)
		_, err = registry.Accept(t.Context(), newTicket(4, time.Second, "a"))
		var superseded *SupersededError
		c.Assert(errors.As(err, &superseded), qt.IsTrue)
		c.Assert(superseded.By, qt.Equals, uint64(5))
		_, err = registry.Accept(t.Context(), newTicket(3, time.Second, "b"))
		c.Assert(err, qt.IsNil)
	})
}

func TestAcceptSucceedsWhenAnswersAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := keeper.NewDirect(1)
		store.SetFaultProbabilities(keeper.FaultProbabilities{Lose: 1})
		_, err := NewRegistry(store).Accept(t.Context(), newTicket(1, time.Second, "a"))
		c.Assert(err, qt.IsNil)
	})
}

func TestNewReaderStartsFromSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := keeper.NewDirect(1)
		registry := NewRegistry(store)
		config := NewActiveConfig()
		reader := NewReader(registry, config)
		for n := range uint64(3 * snapshotInterval) {
			_, err := registry.Accept(t.Context(), newTicket(n+1, time.Second, fmt.Sprint("s", n%7)))
			c.Assert(err, qt.IsNil)
			c.Assert(reader.Poll(t.Context()), qt.IsNil)
		}
		late := NewActiveConfig()
		r := NewReader(registry, late)
		c.Assert(r.loadSnapshot(t.Context()), qt.IsNil)
		c.Assert(r.lastSequence >= snapshotInterval, qt.IsTrue)
		c.Assert(r.Poll(t.Context()), qt.IsNil)
		c.Assert(late.Get().Digest, qt.Equals, config.Get().Digest)
	})
}

// Entities commute: applied in any order and any number of times, they give the
// same configuration.
func TestRandomisedEntitiesCommute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "states")
		all := make([]*encoder.Entity, 0, n)
		for range n {
			ticket := newTicket(rapid.Uint64Range(1, 30).Draw(t, "number"), time.Second, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"))
			entities, err := ticket.Entities()
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, entities...)
		}
		one, two := NewActiveConfig(), NewActiveConfig()
		one.Apply(all)
		for _, e := range rapid.Permutation(append(all, all...)).Draw(t, "order") {
			before := two.Get().GetNumber(Ref{Kind: KindService, Name: e.GetName()})
			two.Apply([]*encoder.Entity{e})
			if two.Get().GetNumber(Ref{Kind: KindService, Name: e.GetName()}) < before {
				t.Fatal("a number decreased")
			}
		}
		if one.Get().Digest != two.Get().Digest {
			t.Fatal("configurations differ")
		}
		if missing := one.Get().NewerThan(two.Get().Numbers()); len(missing) > 0 {
			t.Fatalf("missing %v", missing)
		}
	})
}

func TestParseTicketReportsEveryBrokenRule(t *testing.T) {
	c := qt.New(t)
	_, err := ParseTicket([]byte(`number: 0
services:
  - {name: "Bad Name", kind: odd, timeout: 1s}
  - {name: x, kind: plain, path_prefix: desk, timeout: 1s, attempts: 1, execution_retention: 1h, objective: {availability: 2, first_byte: 1s}}
`))
	var invalid *InvalidTicketError
	c.Assert(errors.As(err, &invalid), qt.IsTrue)
	c.Assert(len(invalid.Problems) >= 7, qt.IsTrue, qt.Commentf("%q", invalid.Problems))
	_, err = ParseTicket([]byte("number: 1\nservice: []\n"))
	c.Assert(IsInvalidTicket(err), qt.IsTrue)
}
