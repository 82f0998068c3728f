package starter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"time"

	entry "siskinfall/internal/entry/server"
	"siskinfall/internal/expert/planner"
	"siskinfall/internal/operator/caller"
	"siskinfall/internal/settings/loader"
	"siskinfall/internal/standin/responder"
	"siskinfall/internal/standin/stepper"
)

// DemoKey is the bearer key of the demo's client account.
const DemoKey = "demo-key"

// Addresses of the demo's first entry instance.
var (
	demoCallers = netip.AddrPortFrom(loopback, 8080)
	demoAdmin   = netip.AddrPortFrom(loopback, 8081)
)

// startTimeout bounds the start of a fleet.
const startTimeout = 20 * time.Second

// demoTokenDelay is the time between two tokens of the demo's engines.
const demoTokenDelay = 20 * time.Millisecond

// HashKey returns the hash of a bearer key as tickets and settings hold it: SHA-256
// in hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// DemoTicket returns the first ticket of the demo, as YAML.
func DemoTicket() string {
	return fmt.Sprintf(`number: 1
author: demo
client_accounts:
  - name: nelson-combs
    key_sha256: [%s]
    class: field
    requests_per_second: 500
    burst: 500
    concurrency: 400
    weight: 1
services:
  - name: assistant-llm
    kind: model
    timeout: 30s
    attempts: 4
    retry_budget: 0.2
    execution_retention: 24h
    objective: {availability: 0.999, first_byte: 1700ms}
  - name: member-desk
    kind: plain
    path_prefix: /desk/
    require_key: true
    timeout: 10s
    attempts: 4
    retry_budget: 0.2
    execution_retention: 24h
    objective: {availability: 0.999, first_byte: 1s}
    routes:
      - {methods: [POST], path_prefix: /desk/quotes/, idempotent: true}
model_groups:
  - name: assistant-group
    service: assistant-llm
    members: [agent-1, agent-2, agent-3, agent-4]
    ranks_per_member: 2
    experts: 32
    layers: 4
    slots_per_rank: 5
    expert_bytes: 1048576
    step_skew_weight: 1
    rebalance_cost_weight: 0.1
    rebalance_interval: 10s
    copy_bytes_per_second: 104857600
rankings:
  - name: default
    classes:
      - {name: field, floor: 0}
      - {name: background, floor: 0.05}
`, HashKey(DemoKey))
}

// Demo is the fleet of the dev command.
type Demo struct {
	*Fleet
	// Stepper runs the passes of the model group.
	Stepper   *stepper.Stepper
	stopSteps context.CancelFunc
}

// StartDemo starts two entry instances in two availability zones, four agents
// of one model group and two of a plain service.
func StartDemo(ctx context.Context) (*Demo, error) {
	first := true
	fleet, err := New(WithSettings(func(cfg *loader.Settings) {
		if cfg.Instance == "entry-1" && first {
			cfg.Listen.Callers, cfg.Listen.Admin = demoCallers, demoAdmin
			first = false
		}
	}))
	if err != nil {
		return nil, err
	}
	d := &Demo{Fleet: fleet}
	if err := d.startAll(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Demo) startAll(ctx context.Context) error {
	for i, zone := range []string{"zone-a", "zone-b"} {
		if _, err := d.AddEntry(fmt.Sprintf("entry-%d", i+1), zone); err != nil {
			return err
		}
	}
	for i := range 4 {
		zone := []string{"zone-a", "zone-b"}[i%2]
		faults := responder.Faults{TokenDelay: demoTokenDelay}
		if _, err := d.AddAgent(fmt.Sprintf("agent-%d", i+1), zone, "assistant-llm", "assistant-group", faults); err != nil {
			return err
		}
	}
	for i, zone := range []string{"zone-a", "zone-b"} {
		if _, err := d.AddAgent(fmt.Sprintf("desk-%d", i+1), zone, "member-desk", "", responder.Faults{}); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.ApplyAndWait(ctx, "entry-1", DemoTicket(), 6); err != nil {
		return err
	}
	d.startSteps()
	return nil
}

// startSteps starts the passes of the model group, which run until d is closed.
func (d *Demo) startSteps() {
	const agents = 4
	members := make([]stepper.Member, 0, agents)
	for i := range agents {
		p := d.Processes[fmt.Sprintf("agent-%d", i+1)]
		members = append(members, stepper.Member{Engine: p.Backend.Responder, Agent: p.Settings.Listen.Admin})
	}
	d.Stepper = stepper.New(planner.Shape{Ranks: 8, SlotsPerRank: 5, Experts: 32}, 4, members)
	ctx, cancel := context.WithCancel(context.Background())
	d.stopSteps = cancel
	go d.Stepper.Run(ctx)
}

// Close stops the passes and the fleet.
func (d *Demo) Close() {
	if d.stopSteps != nil {
		d.stopSteps()
	}
	d.Fleet.Close()
}

// ApplyAndWait applies a ticket at the entry instance with a name and waits until
// every entry instance is ready and routes to at least the given number of agents.
func (f *Fleet) ApplyAndWait(ctx context.Context, name, ticket string, agents int) error {
	client := caller.NewClient(f.Processes[name].Settings.Listen.Admin, "")
	err := WaitFor(ctx, func() error {
		var result entry.TicketResult
		return client.Post(ctx, "/v1/tickets?wait=5s", []byte(ticket), &result)
	})
	if err != nil {
		return err
	}
	for _, p := range f.Processes {
		if p.Backend != nil {
			continue
		}
		if err := f.WaitRouted(ctx, p, agents); err != nil {
			return err
		}
	}
	return nil
}

// WaitRouted waits until an entry instance is ready and routes to at least the
// given number of agents.
func (f *Fleet) WaitRouted(ctx context.Context, p *Process, agents int) error {
	client := caller.NewClient(p.Settings.Listen.Admin, "")
	return WaitFor(ctx, func() error { return CheckRouted(ctx, client, p.Settings.Instance, agents) })
}

// CheckRouted returns an error unless the entry instance that client calls is
// ready and routes to at least the given number of agents. instance is its name.
func CheckRouted(ctx context.Context, client *caller.Client, instance string, agents int) error {
	var v entry.StatusView
	if err := client.Get(ctx, "/v1/status", &v); err != nil {
		return err
	}
	available := 0
	for _, a := range v.Agents {
		if a.Available {
			available++
		}
	}
	for _, e := range v.Entries {
		if e.Instance == instance && e.Ready && available >= agents {
			return nil
		}
	}
	return fmt.Errorf("%s routes to %d of %d agents", instance, available, agents)
}

// Instructions returns the text that the dev command prints: addresses, and commands to
// try.
func (d *Demo) Instructions() string {
	var b strings.Builder
	fmt.Fprintf(&b, "callers: http://%s   operators: http://%s   platform stand-in: http://%s\n\n", demoCallers, demoAdmin, d.PlatformAddr)
	fmt.Fprintf(&b, "A streamed answer:\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n"+
		"    -d '{\"model\":\"assistant-llm\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n\n", demoCallers, DemoKey)
	fmt.Fprintf(&b, "A kiln booking; run it twice, it is booked once:\n  curl -i http://%s/desk/kiln/bookings -H 'Authorization: Bearer %s' \\\n"+
		"    -H 'Idempotency-Key: booking-1' -d '{\"day\":\"2026-12-10\"}'\n\n", demoCallers, DemoKey)
	fmt.Fprintf(&b, "The fleet, and why the expert map changed:\n  bin/siskinfall status --admin %s\n"+
		"  bin/siskinfall explain map assistant-group --admin %s\n\nCtrl-C stops it.\n", demoAdmin, demoAdmin)
	return b.String()
}
