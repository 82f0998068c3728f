package inspector

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/config/registrar"
)

// drawSound draws a catalog without mistakes: prefixes may begin each other, hosts may share
// prefixes, and targets may be split.
func drawSound(t *rapid.T) *holder.Catalog {
	c := &holder.Catalog{Version: rapid.Uint64Min(1).Draw(t, "version")}
	services := rapid.IntRange(1, 4).Draw(t, "services")
	for i := range services {
		s := holder.Service{Name: fmt.Sprint("service-", i), MaxConnections: 500}
		if rapid.Bool().Draw(t, "engine") {
			s.Engine = &holder.Engine{Slots: 10, MemoryTokens: 200000, TokensPerEvent: 5, Pass: 5 * time.Millisecond, PerRequest: time.Millisecond, PrefillRate: 60000, UsualPrompt: 800, UsualAnswer: 100, SlotsPerRank: 5, MaxNewExperts: 2}
		}
		c.Services = append(c.Services, s)
	}
	prefixes := rapid.SliceOfNDistinct(rapid.StringMatching(`/([a-c]/){1,3}`), services, 8, rapid.ID[string]).Draw(t, "prefixes")
	kinds := []holder.Kind{holder.Idempotent, holder.NonIdempotent, holder.Streaming}
	for i, prefix := range prefixes {
		r := holder.Route{
			Name: fmt.Sprint("route-", i), Host: rapid.SampledFrom([]string{"a.example", "b.example"}).Draw(t, "host"), Prefix: prefix,
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Timeout: 8 * time.Second, Objective: 500 * time.Millisecond, MaxAttempts: 2,
			Targets: []holder.Target{{Service: c.Services[i%services].Name, Weight: rapid.IntRange(1, 100).Draw(t, "weight")}},
		}
		r.Resumable = r.Kind == holder.Streaming && rapid.Bool().Draw(t, "resumable")
		c.Routes = append(c.Routes, r)
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "accounts") {
		c.Accounts = append(c.Accounts, holder.Account{Name: fmt.Sprint("account-", i), Keys: []string{fmt.Sprint("key-", i)}})
	}
	c.Limits = holder.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 9 * time.Second}
	return c
}

// TestSoundConfigurationHasNoFindings guards against false alarms.
func TestSoundConfigurationHasNoFindings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawSound(t)
		if found := Inspect(c, WithRetryRatio(0.2)); len(found) > 0 {
			t.Fatalf("%v", found)
		}
		if d := Compare(c, c); len(d) > 0 {
			t.Fatalf("%v", d)
		}
	})
}

// TestFaultyTicketIsReported guards against tickets whose entries never match.
func TestFaultyTicketIsReported(t *testing.T) {
	c := qt.New(t)
	ticket := &registrar.Ticket{
		Number: 3,
		Services: []*registrar.Service{
			{Name: "desk", Kind: registrar.ServicePlain, PathPrefix: "/desk/", Timeout: time.Second, MaxAttempts: 2, Objective: registrar.Objective{FirstByte: 2 * time.Second}, Routes: []registrar.Route{
				{Methods: []string{"GET", "POST"}, PathPrefix: "/desk/kiln/"}, {Methods: []string{"GET"}, PathPrefix: "/desk/kiln/bookings"}, {Methods: []string{"PUT"}, PathPrefix: "/desk/kiln/bookings"},
			}},
			{Name: "desk-2", Kind: registrar.ServicePlain, PathPrefix: "/desk/", Timeout: time.Second, MaxAttempts: 1},
			{Name: "llm", Kind: registrar.ServiceModel, Timeout: time.Second, MaxAttempts: 1},
		},
		Accounts: []*registrar.ClientAccount{
			{Name: "a", KeyHashes: []string{"11"}, Rate: 5, Burst: 50, Concurrency: 4}, {Name: "b", KeyHashes: []string{"11"}},
		},
	}
	var b strings.Builder
	for _, f := range InspectTicket(ticket) {
		fmt.Fprintln(&b, f)
	}
	c.Assert(b.String(), qt.Not(qt.Equals), "")
	goldie.New(t).Assert(t, "ticket", []byte(b.String()))
}
