package checker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"siskinfall/internal/check/asserter"
	"siskinfall/internal/settings/loader"
	"siskinfall/internal/standin/keeper"
	"siskinfall/internal/standin/responder"
	"siskinfall/internal/standin/starter"
)

// Size of the randomised run.
const (
	callers      = 48
	runRequests  = 10500
	soakRequests = 500000
	runSeed      = 20261204
	// faultStreams is the number of faults at once.
	faultStreams = 3
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	logrus.SetLevel(logrus.FatalLevel)
	os.Exit(m.Run())
}

// proxies puts a fault-injecting proxy before each process.
type proxies struct {
	mu     sync.Mutex
	byName map[string]*proxied
}

// proxied is one process behind a proxy.
type proxied struct {
	// mu lets one cut go on at a time.
	mu    sync.Mutex
	proxy *toxiproxy.Proxy
	addr  netip.AddrPort
}

func (p *proxies) advertise(name string, addr netip.AddrPort) netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.byName[name]; known != nil {
		return known.addr
	}
	proxy := toxiproxy.NewProxy()
	proxy.Name, proxy.Listen, proxy.Upstream = name, "127.0.0.1:0", addr.String()
	if err := proxy.Start(); err != nil {
		return addr
	}
	p.byName[name] = &proxied{proxy: proxy, addr: netip.MustParseAddrPort(proxy.Listen)}
	return p.byName[name].addr
}

// cut breaks every connection of a process and refuses new ones for a while.
func (p *proxies) cut(name string, d time.Duration) {
	p.mu.Lock()
	known := p.byName[name]
	p.mu.Unlock()
	known.mu.Lock()
	defer known.mu.Unlock()
	known.proxy.Stop()
	pause(d)
	_ = known.proxy.Start()
}

func (p *proxies) close() {
	for _, known := range p.byName {
		known.proxy.Stop()
	}
}

// pause is how long a fault lasts.
func pause(d time.Duration) { <-time.After(d) }

// slow makes requests last long enough for faults to hit them.
var slow = responder.Faults{TokenDelay: 4 * time.Millisecond, Latency: 8 * time.Millisecond}

// world is a fleet under faults, with its callers.
type world struct {
	*starter.Fleet
	proxies *proxies
	checker *Checker
	client  *Client
	// restarts lets one process restart at a time.
	restarts sync.Mutex
	mu       sync.Mutex
	backends []*responder.Responder
	// checked are the same, as the checker takes them.
	checked []Backend
}

func newWorld(c *qt.C) *world {
	w := &world{proxies: &proxies{byName: make(map[string]*proxied)}, checker: &Checker{}, client: NewClient(starter.DemoKey)}
	fleet, err := starter.New(
		starter.WithAdvertise(w.proxies.advertise),
		starter.WithSettings(func(cfg *loader.Settings) {
			cfg.Platform.Timeout = 300 * time.Millisecond
			cfg.Agent.DrainTimeout = 10 * time.Second
			cfg.Entry.DrainTimeout = 10 * time.Second
		}))
	c.Assert(err, qt.IsNil)
	w.Fleet = fleet
	c.Cleanup(func() { fleet.Close(); w.proxies.close() })
	for _, zone := range []string{"a", "b"} {
		_, err := fleet.AddEntry("entry-"+zone, "zone-"+zone)
		c.Assert(err, qt.IsNil)
		for i := range 2 {
			w.addAgent(c, fmt.Sprintf("llm-%s%d", zone, i), zone, "assistant-llm")
			w.addAgent(c, fmt.Sprintf("desk-%s%d", zone, i), zone, "member-desk")
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c.Assert(fleet.ApplyAndWait(ctx, "entry-a", ticket, 8), qt.IsNil)
	return w
}

func (w *world) addAgent(c *qt.C, name, zone, service string) {
	p, err := w.AddAgent(name, "zone-"+zone, service, "", slow)
	c.Assert(err, qt.IsNil)
	w.backends = append(w.backends, p.Backend.Responder)
	w.checked = append(w.checked, p.Backend)
}

var ticket = starter.Services{
	ModelTimeout: 4 * time.Second, DeskTimeout: 3 * time.Second, Attempts: 5, RetryBudget: 0.5, RequireKey: true,
}.Ticket()

// call sends a call through any entry instance.
func (w *world) call(ctx context.Context, rng *rand.Rand, call Call) *Told {
	w.mu.Lock()
	addr := w.Processes["entry-"+[]string{"a", "b"}[rng.IntN(2)]].Settings.Listen.Callers
	w.mu.Unlock()
	t := w.client.Do(ctx, addr, call)
	w.checker.Add(t)
	return t
}

// runCaller sends requests of all kinds; orders that were not answered are sent
// again with the same key, as callers do.
func (w *world) runCaller(ctx context.Context, id, requests int) {
	rng := rand.New(rand.NewPCG(runSeed, uint64(id)))
	for n := 0; n < requests; n++ {
		payload := fmt.Sprintf("caller %d request %d", id, n)
		switch rng.IntN(5) {
		case 0, 1:
			w.call(ctx, rng, Call{Kind: KindStream, Service: "assistant-llm", Payload: payload, Tokens: 1 + rng.IntN(30)})
		case 2:
			w.call(ctx, rng, Call{Kind: KindWhole, Service: "assistant-llm", Payload: payload, Tokens: 5})
		case 3:
			w.call(ctx, rng, Call{Kind: KindLookup, Service: "/desk/", Payload: fmt.Sprintf("%d-%d", id, n)})
		case 4:
			n += w.runOrder(ctx, rng, Call{Kind: KindOrder, Service: "/desk/", Payload: payload, Key: fmt.Sprintf("k-%d-%d", id, n)})
		}
	}
}

// runOrder sends an order, sometimes twice at once, and again until it is
// answered. It returns how many requests that took beyond the first.
func (w *world) runOrder(ctx context.Context, rng *rand.Rand, order Call) int {
	sends := 0
	if rng.IntN(4) == 0 {
		twin := rand.New(rand.NewPCG(rng.Uint64(), 1))
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.call(ctx, twin, order)
		}()
		defer func() { <-done }()
		sends++
	}
	for range 4 {
		t := w.call(ctx, rng, order)
		if t.IsAnswered() || t.Execution == "unknown" {
			break
		}
		sends++
	}
	return sends
}

// breakThings injects one fault after the other until ctx ends.
func (w *world) breakThings(ctx context.Context, stream uint64) {
	rng := rand.New(rand.NewPCG(runSeed, 1<<32+stream))
	for ctx.Err() == nil {
		d := time.Duration(50+rng.IntN(250)) * time.Millisecond
		backend := w.backends[rng.IntN(len(w.backends))]
		name := []string{"llm-a0", "llm-b1", "desk-a0", "desk-a1", "desk-b0", "entry-a", "entry-b"}[rng.IntN(7)]
		switch rng.IntN(10) {
		case 0:
			w.setFor(keeper.Faults{Down: true}, d)
		case 1:
			w.setFor(keeper.Faults{LoseEvery: 2}, 2*d)
		case 2:
			w.setFor(keeper.Faults{Delay: time.Duration(rng.IntN(500)) * time.Millisecond}, d)
		case 3:
			backend.SetFaults(responder.Faults{BreakAfter: 1 + rng.IntN(10), TokenDelay: slow.TokenDelay})
			pause(d)
			backend.SetFaults(slow)
		case 9:
			w.CutZones("zone-a", "zone-b")
			pause(d)
			w.HealZones()
		case 8:
			backend.SetFaults(responder.Faults{EndAfter: 1 + rng.IntN(5), TokenDelay: slow.TokenDelay})
			pause(d)
			backend.SetFaults(slow)
		case 4:
			backend.SetFaults(responder.Faults{Stall: true})
			pause(d)
			backend.SetFaults(slow)
		case 5:
			w.proxies.cut(name, d)
		case 6:
			w.restart(name, true)
		case 7:
			w.restart(name, false)
		}
		pause(d)
	}
}

func (w *world) setFor(f keeper.Faults, d time.Duration) {
	w.Keeper.SetFaults(f)
	pause(d)
	w.Keeper.SetFaults(keeper.Faults{})
}

// restart ends a process, gracefully or not, and starts it again.
func (w *world) restart(name string, kill bool) {
	w.restarts.Lock()
	defer w.restarts.Unlock()
	w.mu.Lock()
	p := w.Processes[name]
	w.mu.Unlock()
	if kill {
		p.Kill()
	} else {
		_ = p.Stop()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Restart(p)
}

func TestRandomisedPromisesToCallers(t *testing.T) {
	c := qt.New(t)
	requests := runRequests
	if os.Getenv("SISKINFALL_SOAK") != "" {
		requests = soakRequests
	}
	t.Logf("seed %d", runSeed)
	before := asserter.Violations()
	w := newWorld(c)
	ctx, cancel := context.WithCancel(context.Background())
	var faults, load sync.WaitGroup
	for stream := range uint64(faultStreams) {
		faults.Go(func() { w.breakThings(ctx, stream) })
	}
	for id := range callers {
		load.Go(func() { w.runCaller(context.Background(), id, requests/callers) })
	}
	load.Wait()
	cancel()
	faults.Wait()
	summary := w.checker.GetSummary()
	t.Logf("%+v", summary)
	c.Assert(w.checker.Check(w.checked), qt.HasLen, 0)
	c.Assert(asserter.Violations(), qt.Equals, before)
	c.Assert(summary.Requests >= requests*9/10, qt.IsTrue)
	c.Assert(summary.Answered > summary.Requests/2, qt.IsTrue)
}
