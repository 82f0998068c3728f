package starter

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"siskinfall/internal/check/asserter"
	entry "siskinfall/internal/entry/server"
	"siskinfall/internal/operator/caller"
	"siskinfall/internal/settings/loader"
	"siskinfall/internal/standin/checker"
	"siskinfall/internal/standin/keeper"
	"siskinfall/internal/standin/responder"
	"siskinfall/internal/store/storer"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	os.Exit(m.Run())
}

const poisonText = "poison"

// newFleet starts entry instances and agents of a model in two availability zones,
// and applies a ticket.
func newFleet(c *qt.C, entries, agents int, opts ...Option) *Fleet {
	f, err := New(opts...)
	c.Assert(err, qt.IsNil)
	c.Cleanup(f.Close)
	for i := range entries {
		_, err := f.AddEntry(fmt.Sprint("entry-", i), fmt.Sprint("zone-", i%2))
		c.Assert(err, qt.IsNil)
	}
	for i := range agents {
		faults := responder.Faults{Poison: poisonText, TokenDelay: 2 * time.Millisecond}
		_, err := f.AddAgent(fmt.Sprint("agent-", i), fmt.Sprint("zone-", i%2), "assistant-llm", "", faults)
		c.Assert(err, qt.IsNil)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c.Assert(f.ApplyAndWait(ctx, "entry-0", fleetTicket(1, "10s"), agents), qt.IsNil)
	return f
}

func fleetTicket(number int, timeout string) string {
	return fmt.Sprintf(`number: %d
author: test
client_accounts:
  - {name: caller, key_sha256: [%s], class: field, weight: 1}
services:
  - name: assistant-llm
    kind: model
    timeout: %s
    attempts: 6
    retry_budget: 1
    execution_retention: 1h
    objective: {availability: 0.99, first_byte: 1s}
`, number, HashKey(DemoKey), timeout)
}

func (f *Fleet) callersAddr(name string) netip.AddrPort {
	return f.Processes[name].Settings.Listen.Callers
}

func (f *Fleet) adminClient(name string) *caller.Client {
	return caller.NewClient(f.Processes[name].Settings.Listen.Admin, "")
}

func newStreamCall(payload string, tokens int) checker.Call {
	return checker.Call{Kind: checker.KindStream, Service: "assistant-llm", Payload: payload, Tokens: tokens}
}

// A poison request that its client retries through every entry instance crashes at
// most two backend servers in all; every other request is answered.
func TestPoisonRequestCrashesAtMostTwoBackendServers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 3, 6)
	client := checker.NewClient(DemoKey)
	check := &checker.Checker{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				check.Add(client.Do(context.Background(), f.callersAddr(fmt.Sprint("entry-", i%3)), newStreamCall(fmt.Sprintf("innocent %d %d", i, n), 10)))
			}
		})
	}
	var last *checker.Outcome
	for send := range 12 {
		last = client.Do(context.Background(), f.callersAddr(fmt.Sprint("entry-", send%3)), newStreamCall(poisonText, 5))
		c.Assert(last.IsAnswered(), qt.IsFalse)
	}
	close(stop)
	wg.Wait()
	crashes := 0
	backends := make([]checker.Backend, 0, len(f.Processes))
	for _, p := range f.Processes {
		if p.Backend != nil {
			crashes += p.Backend.GetCrashes()
			backends = append(backends, p.Backend)
		}
	}
	c.Assert(crashes <= 2, qt.IsTrue, qt.Commentf("%d crashes", crashes))
	c.Assert(last.Code, qt.Equals, "request_crashes_backend")
	c.Assert(last.Execution, qt.Equals, "not_run")
	summary := check.GetSummary()
	c.Assert(check.Check(backends), qt.HasLen, 0)
	c.Assert(summary.Answered, qt.Equals, summary.Requests, qt.Commentf("%+v", summary))
}

// With the platform down, a new entry instance receives the configuration and the
// instance list from a seed peer and serves.
func TestEntryStartsFromPeersWhilePlatformIsDown(t *testing.T) {
	c := qt.New(t)
	var seed netip.AddrPort
	f := newFleet(c, 1, 2, WithSettings(func(cfg *loader.Settings) {
		if seed.IsValid() {
			cfg.Entry.SeedPeers = []netip.AddrPort{seed}
		}
	}))
	seed = f.Processes["entry-0"].Settings.Listen.Peers
	f.Platform.SetFaults(keeper.Faults{Down: true})
	p, err := f.AddEntry("entry-late", "zone-0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c.Assert(f.WaitRouted(ctx, p, 2), qt.IsNil)
	answer := checker.NewClient(DemoKey).Do(ctx, f.callersAddr("entry-late"), newStreamCall("hello", 3))
	c.Assert(answer.IsAnswered(), qt.IsTrue, qt.Commentf("%+v", answer))
}

// A ticket accepted just before the platform goes down takes effect at every entry
// instance.
func TestTicketPropagatesWhilePlatformIsDown(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 4, 1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var result entry.TicketResult
	c.Assert(f.adminClient("entry-1").Post(ctx, "/v1/tickets", []byte(fleetTicket(2, "20s")), &result), qt.IsNil)
	f.Platform.SetFaults(keeper.Faults{Down: true})
	err := WaitFor(ctx, func() error {
		for i := range 4 {
			var v entry.ConfigView
			if err := f.adminClient(fmt.Sprint("entry-", i)).Get(ctx, "/v1/config", &v); err != nil {
				return err
			}
			for _, e := range v.Entities {
				if e.Number != 2 {
					return fmt.Errorf("%s has %s at %d", v.Instance, e.Entity, e.Number)
				}
			}
		}
		return nil
	})
	c.Assert(err, qt.IsNil)
}

// The wait for a ticket includes entry instances that were listed after the
// accepting instance last polled the instance list.
func TestTicketWaitIncludesNewlyListedInstances(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1, 0, WithSettings(func(cfg *loader.Settings) { cfg.Entry.PollInterval = time.Minute }))
	late, err := f.AddEntry("entry-late", "zone-1")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c.Assert(f.WaitRouted(ctx, late, 0), qt.IsNil)
	var result entry.TicketResult
	c.Assert(f.adminClient("entry-0").Post(ctx, "/v1/tickets?wait=30s", []byte(fleetTicket(2, "20s")), &result), qt.IsNil)
	c.Assert(result.Lagging, qt.HasLen, 0)
	var v entry.ConfigView
	c.Assert(f.adminClient("entry-late").Get(ctx, "/v1/config", &v), qt.IsNil)
	for _, e := range v.Entities {
		c.Assert(e.Number, qt.Equals, uint64(2))
	}
	c.Assert(v.Entities, qt.Not(qt.HasLen), 0)
}

// An agent gets no new requests once it reports that it is leaving, the instance
// list marks it as leaving, or it is unreachable.
func TestLeavingAgentGetsNoNewRequests(t *testing.T) {
	leaveFuncs := map[string]func(f *Fleet, p *Process){
		"its own": func(_ *Fleet, p *Process) { p.stop() },
		"the list's": func(f *Fleet, p *Process) {
			f.Platform.SetInstance(storer.Instance{
				Name: p.Settings.Instance, Role: p.Role, Zone: p.Settings.Zone, Address: p.Settings.Listen.Peers, Leaving: true,
			})
		},
		"its silence": func(_ *Fleet, p *Process) { p.kill(); p.stop() },
	}
	for name, leave := range leaveFuncs {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c, 1, 2)
			before := asserter.Violations()
			leaving := f.Processes["agent-0"]
			leave(f, leaving)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			c.Assert(WaitFor(ctx, func() error { return f.checkUnavailable(ctx, "agent-0") }), qt.IsNil)
			attempts := len(leaving.Backend.GetAttempts())
			client := checker.NewClient(DemoKey)
			for i := range 40 {
				c.Assert(client.Do(ctx, f.callersAddr("entry-0"), newStreamCall(fmt.Sprint(i), 1)).IsAnswered(), qt.IsTrue)
			}
			c.Assert(leaving.Backend.GetAttempts(), qt.HasLen, attempts)
			c.Assert(asserter.Violations(), qt.Equals, before)
		})
	}
}

func (f *Fleet) checkUnavailable(ctx context.Context, agent string) error {
	return f.checkUnavailableAt(ctx, "entry-0", agent)
}

func (f *Fleet) checkUnavailableAt(ctx context.Context, entryName, agent string) error {
	var v entry.StatusView
	if err := f.adminClient(entryName).Get(ctx, "/v1/status", &v); err != nil {
		return err
	}
	for _, a := range v.Agents {
		if a.Instance == agent && a.Available {
			return fmt.Errorf("%s is still available", agent)
		}
	}
	return nil
}

// Without a key, with an unknown one or with a reader's, no ticket is accepted.
func TestTicketsRequireOperatorRole(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1, 0, WithSettings(func(cfg *loader.Settings) {
		if cfg.Instance == "entry-guarded" {
			cfg.Entry.OperatorKeys = []loader.OperatorKey{
				{Name: "reads", Hash: HashKey("r"), Role: "reader"}, {Name: "operates", Hash: HashKey("o"), Role: "operator"},
			}
		}
	}))
	p, err := f.AddEntry("entry-guarded", "zone-0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	client := func(key string) *caller.Client { return caller.NewClient(p.Settings.Listen.Admin, key) }
	c.Assert(WaitFor(ctx, func() error { return client("o").Get(ctx, "/v1/config", &entry.ConfigView{}) }), qt.IsNil)
	for _, key := range []string{"", "x", "r"} {
		err := client(key).Post(ctx, "/v1/tickets", []byte(fleetTicket(9, "1s")), &entry.TicketResult{})
		c.Assert(caller.IsProblem(err), qt.IsTrue)
		c.Assert(strings.Contains(err.Error(), "forbidden"), qt.IsTrue)
	}
	c.Assert(client("r").Get(ctx, "/v1/config", &entry.ConfigView{}), qt.IsNil)
	c.Assert(client("o").Post(ctx, "/v1/tickets", []byte(fleetTicket(9, "1s")), &entry.TicketResult{}), qt.IsNil)
}

// A stream that the engine breaks off repeatedly is resumed until it is complete.
func TestBrokenStreamsAreResumed(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1, 3)
	for _, p := range f.Processes {
		if p.Backend != nil {
			p.Backend.SetFaults(responder.Faults{BreakAfter: 7})
		}
	}
	resumed := checker.NewClient(DemoKey).Do(context.Background(), f.callersAddr("entry-0"), newStreamCall("long", 30))
	c.Assert(resumed.Body, qt.Equals, responder.ExpectedStream(checker.Messages("long"), 30))
	// Beyond the attempts allowed, the stream ends with an explicit error, never
	// cleanly.
	exhausted := checker.NewClient(DemoKey).Do(context.Background(), f.callersAddr("entry-0"), newStreamCall("longer", 300))
	c.Assert(exhausted.Err, qt.IsNotNil)
	c.Assert(strings.Contains(exhausted.Body, "event: error"), qt.IsTrue)
}

// serviceNumberAt returns the ticket number of the service's state at an entry
// instance.
func (f *Fleet) serviceNumberAt(ctx context.Context, c *qt.C, name string) uint64 {
	var v entry.ConfigView
	c.Assert(f.adminClient(name).Get(ctx, "/v1/config", &v), qt.IsNil)
	for _, e := range v.Entities {
		if e.Entity == "service/assistant-llm" {
			return e.Number
		}
	}
	return 0
}

// Two partitioned availability zones each serve requests with their own agents. A
// ticket accepted in one of them is in force in both after the partition.
func TestPartitionedZonesServeAndReconcile(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1, 4, WithSettings(func(cfg *loader.Settings) {
		if cfg.Instance == "entry-1" {
			// After its start it gets updates only from peers.
			cfg.Entry.PollInterval = time.Hour
		}
	}))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	// It starts when all others are listed, since it polls the list only once.
	peerOnly, err := f.AddEntry("entry-1", "zone-1")
	c.Assert(err, qt.IsNil)
	c.Assert(f.WaitRouted(ctx, peerOnly, 4), qt.IsNil)
	client := checker.NewClient(DemoKey)
	f.PartitionZones("zone-0", "zone-1")
	for agent, entryName := range map[string]string{"agent-1": "entry-0", "agent-0": "entry-1"} {
		c.Assert(WaitFor(ctx, func() error { return f.checkUnavailableAt(ctx, entryName, agent) }), qt.IsNil)
	}
	var result entry.TicketResult
	c.Assert(f.adminClient("entry-0").Post(ctx, "/v1/tickets", []byte(fleetTicket(2, "20s")), &result), qt.IsNil)
	for i := range 20 {
		for _, name := range []string{"entry-0", "entry-1"} {
			outcome := client.Do(ctx, f.callersAddr(name), newStreamCall(fmt.Sprint(name, i), 3))
			c.Assert(outcome.IsAnswered(), qt.IsTrue, qt.Commentf("%s: %+v", name, outcome))
		}
	}
	c.Assert(f.serviceNumberAt(ctx, c, "entry-0"), qt.Equals, uint64(2))
	c.Assert(f.serviceNumberAt(ctx, c, "entry-1"), qt.Equals, uint64(1))
	f.HealZones()
	c.Assert(WaitFor(ctx, func() error {
		if n := f.serviceNumberAt(ctx, c, "entry-1"); n != 2 {
			return fmt.Errorf("number %d", n)
		}
		return nil
	}), qt.IsNil)
	for _, name := range []string{"entry-0", "entry-1"} {
		c.Assert(f.WaitRouted(ctx, f.Processes[name], 4), qt.IsNil)
		c.Assert(client.Do(ctx, f.callersAddr(name), newStreamCall("after", 3)).IsAnswered(), qt.IsTrue)
	}
}

// An entry process that doesn't know its callers' connections can't answer HTTP/1.0.
func TestEntryAnswersHTTP10Callers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1, 2)
	conn, err := net.Dial("tcp", f.callersAddr("entry-0").String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	body := fmt.Sprintf(`{"model":"assistant-llm","stream":true,"max_tokens":20,"messages":%s}`, checker.Messages("old"))
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.0\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", DemoKey, len(body), body)
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	data, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, responder.ExpectedStream(checker.Messages("old"), 20))
}
