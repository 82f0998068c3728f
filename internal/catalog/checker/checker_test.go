package checker

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"siskinfall/internal/catalog/holder"
)

func newEngine() *holder.Engine {
	return &holder.Engine{MemoryTokens: 200000, TokensPerEvent: 5, Pass: 5 * time.Millisecond, PrefillRate: 61000, UsualPrompt: 800, UsualAnswer: 140}
}

// newSound draws a catalog without mistakes.
func newSound(rng *rand.Rand) *holder.Catalog {
	c := &holder.Catalog{Version: rng.Uint64()}
	for i := range 1 + rng.IntN(4) {
		s := holder.Service{Name: fmt.Sprint("s", i), MaxConnections: rng.IntN(100)}
		if rng.IntN(2) == 0 {
			s.Engine = newEngine()
		}
		c.Services = append(c.Services, s)
		for j := range 1 + rng.IntN(3) {
			objective := time.Duration(100+rng.IntN(400)) * time.Millisecond
			c.Routes = append(c.Routes, holder.Route{
				Name: fmt.Sprint("r", i, j), Host: fmt.Sprintf("h%d.example", rng.IntN(2)), Prefix: fmt.Sprintf("/%d/%s", i, strings.Repeat("a/", j)), Kind: holder.Streaming,
				Objective: objective, Timeout: time.Second + objective, GapObjective: 100 * time.Millisecond, MaxAttempts: 1 + rng.IntN(3),
				Targets: []holder.Target{{Service: s.Name, Weight: 1 + rng.IntN(9)}, {Service: "s0", Weight: 1}},
			})
		}
	}
	for i := range rng.IntN(5) {
		c.Accounts = append(c.Accounts, holder.Account{Name: fmt.Sprint("a", i), Keys: []string{fmt.Sprint("k", i), fmt.Sprint("l", i)}})
	}
	return c
}

// TestSoundCatalogHasFindings guards against findings that operators learn to ignore.
func TestSoundCatalogHasFindings(t *testing.T) {
	for seed := range uint64(300) {
		c := qt.New(t)
		catalog := newSound(rand.New(rand.NewPCG(seed, 48)))
		c.Assert(Check(catalog, WithRetryBudget(0.2, 50)), qt.HasLen, 0, qt.Commentf("seed %d", seed))
		changes, err := Diff(catalog, catalog)
		c.Assert(err, qt.IsNil)
		c.Assert(changes, qt.HasLen, 0)
	}
}

// newMistaken returns a catalog with each mistake once.
func newMistaken() *holder.Catalog {
	to := func(service string) []holder.Target { return []holder.Target{{Service: service, Weight: 1}} }
	return &holder.Catalog{
		Routes: []holder.Route{
			{Name: "look", Host: "h.example", Prefix: "/look/", Targets: to("desk"), MaxAttempts: 2},
			{Name: "hidden", Host: "H.example", Prefix: "/look/", Targets: to("desk"), MaxAttempts: 1},
			{Name: "look", Host: "h.example", Prefix: "/again/", Targets: to("desk"), MaxAttempts: 1},
			{Name: "port", Host: "h.example:80", Prefix: "/port/", Targets: to("desk"), MaxAttempts: 1},
			{Name: "prefix", Host: "h.example", Prefix: "open", Targets: to("desk"), MaxAttempts: 1},
			{Name: "lost", Host: "h.example", Prefix: "/lost/", Targets: to("dekc"), MaxAttempts: 1},
			{Name: "late", Host: "h.example", Prefix: "/late/", Targets: to("desk"), Objective: 2 * time.Second, Timeout: time.Second, MaxAttempts: 1},
			{Name: "talk", Host: "h.example", Prefix: "/talk/", Targets: to("llm"), GapObjective: 20 * time.Millisecond, Timeout: 500 * time.Millisecond, MaxAttempts: 1},
		},
		Services: []holder.Service{
			{Name: "desk"}, {Name: "llm", Engine: newEngine()}, {Name: "llm", Engine: newEngine()}, {Name: "unused"},
			{Name: "small", Engine: &holder.Engine{MemoryTokens: 900, UsualPrompt: 800, UsualAnswer: 140}},
		},
		Accounts: []holder.Account{{Name: "acme", Keys: []string{"secret"}}, {Name: "other", Keys: []string{"k", "secret"}}, {Name: "acme", Keys: []string{"m"}}, {Name: "closed"}},
	}
}

// TestMistakeIsNotFound guards against sending a catalog with a mistake, and against keys in
// the output.
func TestMistakeIsNotFound(t *testing.T) {
	c := qt.New(t)
	var b strings.Builder
	findings := Check(newMistaken(), WithRetryBudget(0, 0))
	for _, f := range findings {
		fmt.Fprintln(&b, f)
	}
	c.Assert(HasErrors(findings), qt.IsTrue)
	c.Assert(strings.Contains(b.String(), "secret"), qt.IsFalse)
	goldie.New(t).Assert(t, "mistakes", []byte(b.String()))
}

// TestChangeIsNotShown guards against changes that an operator does not see, and against keys
// in the output.
func TestChangeIsNotShown(t *testing.T) {
	c := qt.New(t)
	older, newer := newMistaken(), newMistaken()
	newer.Version = 9
	newer.Limits.BodyBytes = 1000
	newer.Routes = newer.Routes[:7]
	newer.Routes[1].Targets[0].Weight = 3
	newer.Routes[6].Timeout = 3 * time.Second
	newer.Services[2].Engine.Slots = 12
	newer.Services[3].Name = "new"
	newer.Services[4].Engine = nil
	priority := 2
	newer.Accounts[1] = holder.Account{Name: "other", Keys: []string{"secret"}, Priority: &priority}
	var b strings.Builder
	changes, err := Diff(older, newer)
	c.Assert(err, qt.IsNil)
	for _, change := range changes {
		fmt.Fprintln(&b, change)
	}
	c.Assert(strings.Contains(b.String(), "secret"), qt.IsFalse)
	goldie.New(t).Assert(t, "changes", []byte(b.String()))
}
