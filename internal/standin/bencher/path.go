// Package bencher measures the running program on one machine: the latency and
// throughput of the request path against plain HTTP proxies, the time until
// tickets are in force, and the resource usage shown on the capacity page.
package bencher

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/operator/caller"
	"siskinfall/internal/routing/tracker"
	"siskinfall/internal/standin/checker"
	"siskinfall/internal/standin/starter"
	"siskinfall/internal/store/storer"
)

// Load of the measurement of the request path.
const (
	// pathClients is the number of concurrent clients of the closed loop.
	pathClients  = 64
	pathRequests = 20000
	pathRounds   = 3
	// pathRate is the load of the open loop, in requests a second.
	pathRate = 3000
	// engineLatency is the latency of the slower of the two engines measured.
	engineLatency = 5 * time.Millisecond
)

// Result is the measurement of one request path.
type Result struct {
	Name string
	// P50 and P99 are quantiles of the latency.
	P50 time.Duration
	P99 time.Duration
	// Rate is in requests a second.
	Rate float64
	// Failed counts requests without a complete answer.
	Failed int
}

// RunHop serves a hop: a plain HTTP proxy that forwards each request on addr to
// next and makes no decisions.
func RunHop(addr, next netip.AddrPort) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}}
	srv := &http.Server{Addr: addr.String(), ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		forward(client, next, w, r)
	})}
	return srv.ListenAndServe()
}

func forward(client *http.Client, next netip.AddrPort, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+next.String()+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header = r.Header.Clone()
	resp, err := client.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

// paths is a testbed with two request paths to the same engine process: an entry
// instance and an agent (the product), and two hops (the baseline).
type paths struct {
	*testbed
	product, baseline netip.AddrPort
	// commands are the engine and the hops.
	commands []*exec.Cmd
	// processes are the entry instance and the agent.
	processes []*measuredProcess
}

func (p *paths) stop() {
	for _, cmd := range p.commands {
		_ = cmd.Process.Kill()
		_, _ = cmd.Process.Wait()
	}
	for _, m := range p.processes {
		m.stop()
	}
	p.close()
}

// startSubcommand starts a subcommand of this program that listens on a free port,
// and returns its address.
func (p *paths) startSubcommand(args ...string) (netip.AddrPort, error) {
	addr, err := starter.FreePort()
	if err != nil {
		return addr, err
	}
	self, err := os.Executable()
	if err != nil {
		return addr, wrapper.At("find_program", "", err)
	}
	cmd := exec.Command(self, append(args, "--listen", addr.String())...)
	if err := cmd.Start(); err != nil {
		return addr, wrapper.At("start", args[0], err)
	}
	p.commands = append(p.commands, cmd)
	return addr, nil
}

// startPaths starts both request paths in front of an engine with a latency.
func startPaths(latency time.Duration) (*paths, error) {
	tb, err := newTestbed()
	if err != nil {
		return nil, err
	}
	p := &paths{testbed: tb}
	if err := p.start(latency); err != nil {
		p.stop()
		return nil, err
	}
	return p, nil
}

func (p *paths) start(latency time.Duration) error {
	backend, err := p.startSubcommand("backend", "--token-delay", "0s", "--latency", latency.String())
	if err != nil {
		return err
	}
	secondHop, err := p.startSubcommand("hop", "--next", backend.String())
	if err != nil {
		return err
	}
	if p.baseline, err = p.startSubcommand("hop", "--next", secondHop.String()); err != nil {
		return err
	}
	cfg, err := newMeasuredSettings("agent-1", "zone-a", p.platformAddr)
	if err != nil {
		return err
	}
	cfg.Agent.Service, cfg.Agent.Backend, cfg.Agent.Concurrency = "assistant-llm", backend, 4*pathClients
	a, err := startMeasured(tracker.RoleAgent, cfg)
	if err != nil {
		return err
	}
	p.processes = append(p.processes, a)
	p.platform.SetInstance(storer.Instance{Name: cfg.Instance, Role: tracker.RoleAgent, Zone: cfg.Zone, Address: cfg.Listen.Peers})
	e, err := p.startEntry()
	if err != nil {
		return err
	}
	p.processes = append(p.processes, e)
	p.product = e.settings.Listen.Callers
	return applyBenchTicket(p.ctx, e)
}

// applyBenchTicket applies benchTicket at an entry instance and waits until that
// instance routes to its agent.
func applyBenchTicket(ctx context.Context, e *measuredProcess) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	client := caller.NewClient(e.settings.Listen.Admin, "")
	err := starter.WaitFor(ctx, func() error {
		var out json.RawMessage
		return client.Post(ctx, "/v1/tickets", []byte(benchTicket), &out)
	})
	if err != nil {
		return err
	}
	return starter.WaitFor(ctx, func() error { return starter.CheckRouted(ctx, client, e.settings.Instance, 1) })
}

var benchTicket = starter.Services{ModelTimeout: 30 * time.Second, DeskTimeout: 10 * time.Second, Attempts: 3, RetryBudget: 0.2}.Ticket()

// meter records the latencies of concurrent requests.
type meter struct {
	mu sync.Mutex
	// hist is in microseconds.
	hist   *hdrhistogram.Histogram
	failed int
	start  time.Time
}

func newMeter() *meter {
	return &meter{hist: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), start: time.Now()}
}

func (m *meter) add(elapsed time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.hist.RecordValue(elapsed.Microseconds())
	if !ok {
		m.failed++
	}
}

func (m *meter) result(name string) Result {
	return Result{
		Name: name, P50: time.Duration(m.hist.ValueAtQuantile(50)) * time.Microsecond,
		P99:  time.Duration(m.hist.ValueAtQuantile(99)) * time.Microsecond,
		Rate: float64(m.hist.TotalCount()) / time.Since(m.start).Seconds(), Failed: m.failed,
	}
}

// runClosedLoop sends requests from pathClients clients, each of which sends its
// next one when the previous one has ended.
func runClosedLoop(name string, addr netip.AddrPort, requests int, newCall func(i int) checker.Call) Result {
	client := checker.NewClient(starter.DemoKey)
	m := newMeter()
	var wg sync.WaitGroup
	for c := range pathClients {
		wg.Go(func() {
			for i := c; i < requests; i += pathClients {
				outcome := client.Do(context.Background(), addr, newCall(i))
				m.add(outcome.Elapsed, outcome.IsAnswered())
			}
		})
	}
	wg.Wait()
	return m.result(name)
}

// runOpenLoop sends requests at a fixed rate, whether or not earlier ones have
// ended. The latency of a request counts from its scheduled
// time, so that time spent waiting to be sent is included.
func runOpenLoop(name string, addr netip.AddrPort, rate, requests int, newCall func(i int) checker.Call) Result {
	client := checker.NewClient(starter.DemoKey)
	m := newMeter()
	var wg sync.WaitGroup
	for i := range requests {
		due := m.start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		wg.Go(func() {
			outcome := client.Do(context.Background(), addr, newCall(i))
			m.add(time.Since(due), outcome.IsAnswered())
		})
	}
	wg.Wait()
	return m.result(name)
}

// WritePath measures both request paths in turn, over several rounds, and writes
// the results and their ratios.
func WritePath(w io.Writer) error {
	for _, c := range []struct {
		name    string
		latency time.Duration
	}{{"engine 5 ms", engineLatency}, {"engine 0 ms", 0}} {
		if err := writePath(w, c.name, c.latency); err != nil {
			return err
		}
	}
	return nil
}

func writePath(w io.Writer, name string, latency time.Duration) error {
	p, err := startPaths(latency)
	if err != nil {
		return err
	}
	defer p.stop()
	product, baseline := p.product, p.baseline
	newCall := func(i int) checker.Call {
		return checker.Call{Kind: checker.KindWhole, Service: "assistant-llm", Payload: fmt.Sprint("prompt ", i), Tokens: 20}
	}
	runClosedLoop("warm", product, pathRequests/10, newCall)
	runClosedLoop("warm", baseline, pathRequests/10, newCall)
	for round := range pathRounds {
		name := fmt.Sprintf("%s, round %d", name, round+1)
		writeComparison(w, name+", 64 clients",
			runClosedLoop("two plain hops", baseline, pathRequests, newCall),
			runClosedLoop("entry and agent", product, pathRequests, newCall))
		writeComparison(w, name+", equal load",
			runOpenLoop("two plain hops", baseline, pathRate, pathRequests/2, newCall),
			runOpenLoop("entry and agent", product, pathRate, pathRequests/2, newCall))
	}
	return nil
}

func writeComparison(w io.Writer, name string, baseline, product Result) {
	for _, r := range []Result{baseline, product} {
		_, _ = fmt.Fprintf(w, "%s: %-16s p50 %8s p99 %8s %7.0f requests/s, %d failed\n", name, r.Name, r.P50, r.P99, r.Rate, r.Failed)
	}
	_, _ = fmt.Fprintf(w, "%s: ratios p50 %.2f p99 %.2f rate %.2f\n", name,
		float64(product.P50)/float64(baseline.P50), float64(product.P99)/float64(baseline.P99), product.Rate/baseline.Rate)
}
