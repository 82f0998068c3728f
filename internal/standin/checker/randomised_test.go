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
	entry "siskinfall/internal/entry/server"
	"siskinfall/internal/operator/caller"
	"siskinfall/internal/settings/loader"
	"siskinfall/internal/standin/keeper"
	"siskinfall/internal/standin/responder"
	"siskinfall/internal/standin/starter"
)

// Sizes of the randomised run.
const (
	callerCount  = 48
	runRequests  = 10500
	soakRequests = 500000
	runSeed      = 20261204
	// faultInjectors is the number of goroutines that inject faults.
	faultInjectors = 3
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	logrus.SetLevel(logrus.FatalLevel)
	os.Exit(m.Run())
}

// proxies holds the proxy in front of each process, by the name of the instance.
type proxies struct {
	mu     sync.Mutex
	byName map[string]*processProxy
}

// processProxy is the proxy in front of one process.
type processProxy struct {
	// mu serializes the cuts.
	mu    sync.Mutex
	proxy *toxiproxy.Proxy
	addr  netip.AddrPort
}

// advertise returns the address of the proxy in front of a process, and starts the
// proxy on the first call for its name.
func (p *proxies) advertise(name string, addr netip.AddrPort) netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing := p.byName[name]; existing != nil {
		return existing.addr
	}
	proxy := toxiproxy.NewProxy()
	proxy.Name, proxy.Listen, proxy.Upstream = name, "127.0.0.1:0", addr.String()
	if err := proxy.Start(); err != nil {
		return addr
	}
	p.byName[name] = &processProxy{proxy: proxy, addr: netip.MustParseAddrPort(proxy.Listen)}
	return p.byName[name].addr
}

// cut breaks every connection to a process and refuses new ones for d.
func (p *proxies) cut(name string, d time.Duration) {
	p.mu.Lock()
	pp := p.byName[name]
	p.mu.Unlock()
	pp.mu.Lock()
	defer pp.mu.Unlock()
	pp.proxy.Stop()
	pause(d)
	_ = pp.proxy.Start()
}

func (p *proxies) close() {
	for _, pp := range p.byName {
		pp.proxy.Stop()
	}
}

// pause waits for d, the time that a fault lasts or between two faults.
func pause(d time.Duration) { <-time.After(d) }

// slowBackend makes requests last long enough for faults to hit them.
var slowBackend = responder.Faults{TokenDelay: 4 * time.Millisecond, Latency: 8 * time.Millisecond}

// testFleet is a fleet under injected faults, with the client that calls it.
type testFleet struct {
	*starter.Fleet
	proxies *proxies
	checker *Checker
	client  *Client
	// restartMu serializes the restarts.
	restartMu sync.Mutex
	// mu guards Processes.
	mu       sync.Mutex
	backends []*responder.Responder
	// checked are the same backend servers, as the checker takes them.
	checked []Backend
}

// newTestFleet starts two entry instances and eight agents in two availability
// zones, each behind a proxy.
func newTestFleet(c *qt.C) *testFleet {
	tf := &testFleet{proxies: &proxies{byName: make(map[string]*processProxy)}, checker: &Checker{}, client: NewClient(starter.DemoKey)}
	fleet, err := starter.New(
		starter.WithAdvertise(tf.proxies.advertise),
		starter.WithSettings(func(cfg *loader.Settings) {
			cfg.Platform.Timeout = 300 * time.Millisecond
			cfg.Agent.DrainTimeout = 10 * time.Second
			cfg.Entry.DrainTimeout = 10 * time.Second
		}))
	c.Assert(err, qt.IsNil)
	tf.Fleet = fleet
	c.Cleanup(func() { fleet.Close(); tf.proxies.close() })
	for _, zone := range []string{"a", "b"} {
		_, err := fleet.AddEntry("entry-"+zone, "zone-"+zone)
		c.Assert(err, qt.IsNil)
		for i := range 2 {
			tf.addAgent(c, fmt.Sprintf("llm-%s%d", zone, i), zone, "assistant-llm")
			tf.addAgent(c, fmt.Sprintf("desk-%s%d", zone, i), zone, "member-desk")
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c.Assert(fleet.ApplyAndWait(ctx, "entry-a", ticket, 8), qt.IsNil)
	return tf
}

func (tf *testFleet) addAgent(c *qt.C, name, zone, service string) {
	p, err := tf.AddAgent(name, "zone-"+zone, service, "", slowBackend)
	c.Assert(err, qt.IsNil)
	tf.backends = append(tf.backends, p.Backend.Responder)
	tf.checked = append(tf.checked, p.Backend)
}

var ticket = starter.Services{
	ModelTimeout: 4 * time.Second, DeskTimeout: 3 * time.Second, Attempts: 5, RetryBudget: 0.5, RequireKey: true,
}.Ticket()

// call sends a call through a random entry instance and records its outcome.
func (tf *testFleet) call(ctx context.Context, rng *rand.Rand, call Call) *Outcome {
	tf.mu.Lock()
	addr := tf.Processes["entry-"+[]string{"a", "b"}[rng.IntN(2)]].Settings.Listen.Callers
	tf.mu.Unlock()
	outcome := tf.client.Do(ctx, addr, call)
	tf.checker.Add(outcome)
	return outcome
}

// runCaller sends requests of all kinds. Orders that were not answered are retried
// with the same key, as real clients do.
func (tf *testFleet) runCaller(ctx context.Context, id, requests int) {
	rng := rand.New(rand.NewPCG(runSeed, uint64(id)))
	for n := 0; n < requests; n++ {
		payload := fmt.Sprintf("caller %d request %d", id, n)
		switch rng.IntN(5) {
		case 0, 1:
			tf.call(ctx, rng, Call{Kind: KindStream, Service: "assistant-llm", Payload: payload, Tokens: 1 + rng.IntN(30)})
		case 2:
			tf.call(ctx, rng, Call{Kind: KindWhole, Service: "assistant-llm", Payload: payload, Tokens: 5})
		case 3:
			tf.call(ctx, rng, Call{Kind: KindLookup, Service: "/desk/", Payload: fmt.Sprintf("%d-%d", id, n)})
		case 4:
			n += tf.runOrder(ctx, rng, Call{Kind: KindOrder, Service: "/desk/", Payload: payload, Key: fmt.Sprintf("k-%d-%d", id, n)})
		}
	}
}

// runOrder sends an order, sometimes twice at once, and retries it until it is
// answered, its outcome is unknown, or four requests were sent in sequence. It
// returns how many requests were sent beyond the first, and one more if all four
// went unanswered.
func (tf *testFleet) runOrder(ctx context.Context, rng *rand.Rand, order Call) int {
	extra := 0
	if rng.IntN(4) == 0 {
		duplicateRNG := rand.New(rand.NewPCG(rng.Uint64(), 1))
		done := make(chan struct{})
		go func() {
			defer close(done)
			tf.call(ctx, duplicateRNG, order)
		}()
		defer func() { <-done }()
		extra++
	}
	for range 4 {
		outcome := tf.call(ctx, rng, order)
		if outcome.IsAnswered() || outcome.Execution == "unknown" {
			break
		}
		extra++
	}
	return extra
}

// injectFaults injects one random fault after the other until ctx ends.
func (tf *testFleet) injectFaults(ctx context.Context, injector uint64) {
	rng := rand.New(rand.NewPCG(runSeed, 1<<32+injector))
	for ctx.Err() == nil {
		d := time.Duration(50+rng.IntN(250)) * time.Millisecond
		backend := tf.backends[rng.IntN(len(tf.backends))]
		name := []string{"llm-a0", "llm-b1", "desk-a0", "desk-a1", "desk-b0", "entry-a", "entry-b"}[rng.IntN(7)]
		switch rng.IntN(10) {
		case 0:
			tf.setPlatformFaults(keeper.Faults{Down: true}, d)
		case 1:
			tf.setPlatformFaults(keeper.Faults{LoseEvery: 2}, 2*d)
		case 2:
			tf.setPlatformFaults(keeper.Faults{Delay: time.Duration(rng.IntN(500)) * time.Millisecond}, d)
		case 3:
			backend.SetFaults(responder.Faults{BreakAfter: 1 + rng.IntN(10), TokenDelay: slowBackend.TokenDelay})
			pause(d)
			backend.SetFaults(slowBackend)
		case 9:
			tf.PartitionZones("zone-a", "zone-b")
			pause(d)
			tf.HealZones()
		case 8:
			backend.SetFaults(responder.Faults{EndAfter: 1 + rng.IntN(5), TokenDelay: slowBackend.TokenDelay})
			pause(d)
			backend.SetFaults(slowBackend)
		case 4:
			backend.SetFaults(responder.Faults{Stall: true})
			pause(d)
			backend.SetFaults(slowBackend)
		case 5:
			tf.proxies.cut(name, d)
		case 6:
			tf.restart(name, true)
		case 7:
			tf.restart(name, false)
		}
		pause(d)
	}
}

// setPlatformFaults sets faults of the platform for d.
func (tf *testFleet) setPlatformFaults(f keeper.Faults, d time.Duration) {
	tf.Platform.SetFaults(f)
	pause(d)
	tf.Platform.SetFaults(keeper.Faults{})
}

// restart ends a process, by killing it or gracefully, and starts it again.
func (tf *testFleet) restart(name string, kill bool) {
	tf.restartMu.Lock()
	defer tf.restartMu.Unlock()
	tf.mu.Lock()
	p := tf.Processes[name]
	tf.mu.Unlock()
	if kill {
		p.Kill()
	} else {
		_ = p.Stop()
	}
	tf.mu.Lock()
	defer tf.mu.Unlock()
	tf.Restart(p)
}

// checkCutOff returns an error unless an entry instance has lost exactly the agents of
// the other zone.
func (tf *testFleet) checkCutOff(ctx context.Context, zone string) error {
	var v entry.StatusView
	if err := caller.NewClient(tf.Processes["entry-"+zone].Settings.Listen.Admin, "").Get(ctx, "/v1/status", &v); err != nil {
		return err
	}
	for _, a := range v.Agents {
		if isOwn := tf.Processes[a.Instance].Settings.Zone == "zone-"+zone; a.Available != isOwn {
			return fmt.Errorf("entry-%s: availability of %s is %t", zone, a.Instance, a.Available)
		}
	}
	return nil
}

// A partition did not reach processes that are listed under the address of a proxy.
func TestPartitionLeavesProxiedProcessesConnected(t *testing.T) {
	c := qt.New(t)
	tf := newTestFleet(c)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	tf.PartitionZones("zone-a", "zone-b")
	for _, zone := range []string{"a", "b"} {
		c.Assert(starter.WaitFor(ctx, func() error { return tf.checkCutOff(ctx, zone) }), qt.IsNil)
	}
	tf.HealZones()
	for _, zone := range []string{"a", "b"} {
		c.Assert(tf.WaitRouted(ctx, tf.Processes["entry-"+zone], 8), qt.IsNil)
	}
}

// Random faults of the platform, the backend servers, the network and the processes
// must not break a guarantee to callers: no order runs twice, no request refused as
// not_run reaches a backend server, and no answer that ends cleanly is incomplete
// or that of another request.
func TestRandomisedFaultsBreakNoGuarantee(t *testing.T) {
	c := qt.New(t)
	requests := runRequests
	if os.Getenv("SISKINFALL_SOAK") != "" {
		requests = soakRequests
	}
	t.Logf("seed %d", runSeed)
	before := asserter.Violations()
	tf := newTestFleet(c)
	ctx, cancel := context.WithCancel(context.Background())
	var faults, load sync.WaitGroup
	for injector := range uint64(faultInjectors) {
		faults.Go(func() { tf.injectFaults(ctx, injector) })
	}
	for id := range callerCount {
		load.Go(func() { tf.runCaller(context.Background(), id, requests/callerCount) })
	}
	load.Wait()
	cancel()
	faults.Wait()
	summary := tf.checker.GetSummary()
	t.Logf("%+v", summary)
	c.Assert(tf.checker.Check(tf.checked), qt.HasLen, 0)
	c.Assert(asserter.Violations(), qt.Equals, before)
	c.Assert(summary.Requests >= requests*9/10, qt.IsTrue)
	c.Assert(summary.Answered > summary.Requests/2, qt.IsTrue)
}
