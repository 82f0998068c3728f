// Package bencher measures the running program on one machine: the cost of the
// path beside plain hops, and the slopes behind the capacity page.
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

// Conditions of the path's measurement.
const (
	pathClients  = 64
	pathRequests = 20000
	pathRounds   = 3
	// pathRate is the equal load, in requests a second.
	pathRate = 3000
	// engineTime is how long the engine takes in the measurement of latency.
	engineTime = 5 * time.Millisecond
)

// Result is the measurement of one path.
type Result struct {
	Name string
	P50  time.Duration
	P99  time.Duration
	// Rate is in requests a second.
	Rate float64
	// Failed counts requests without a whole answer.
	Failed int
}

// RunHop serves a plain HTTP hop that decides nothing.
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

// paths is the product's path and the baseline, each of two processes, before
// one engine process.
type paths struct {
	*stage
	product, baseline netip.AddrPort
	procs             []*exec.Cmd
	measured          []*measured
}

func (p *paths) stop() {
	for _, cmd := range p.procs {
		_ = cmd.Process.Kill()
		_, _ = cmd.Process.Wait()
	}
	for _, m := range p.measured {
		m.stop()
	}
	p.close()
}

// startSelf starts this program with a subcommand that listens on an address of
// its own.
func (p *paths) startSelf(args ...string) (netip.AddrPort, error) {
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
	p.procs = append(p.procs, cmd)
	return addr, nil
}

// startPaths starts both paths.
func startPaths(latency time.Duration) (*paths, error) {
	s, err := newStage()
	if err != nil {
		return nil, err
	}
	p := &paths{stage: s}
	if err := p.start(latency); err != nil {
		p.stop()
		return nil, err
	}
	return p, nil
}

func (p *paths) start(latency time.Duration) error {
	backend, err := p.startSelf("backend", "--token-delay", "0s", "--latency", latency.String())
	if err != nil {
		return err
	}
	second, err := p.startSelf("hop", "--next", backend.String())
	if err != nil {
		return err
	}
	if p.baseline, err = p.startSelf("hop", "--next", second.String()); err != nil {
		return err
	}
	cfg, err := newMeasuredSettings("agent-1", "zone-a", p.platform)
	if err != nil {
		return err
	}
	cfg.Agent.Service, cfg.Agent.Backend, cfg.Agent.Concurrency = "assistant-llm", backend, 4*pathClients
	a, err := startMeasured(tracker.RoleAgent, cfg)
	if err != nil {
		return err
	}
	p.measured = append(p.measured, a)
	p.keeper.SetInstance(storer.Instance{Name: cfg.Instance, Role: tracker.RoleAgent, Zone: cfg.Zone, Address: cfg.Listen.Peers})
	e, err := p.startEntry()
	if err != nil {
		return err
	}
	p.measured = append(p.measured, e)
	p.product = e.settings.Listen.Callers
	return applyBench(p.ctx, e)
}

// applyBench configures an entry for measurement and waits for its agent.
func applyBench(ctx context.Context, e *measured) error {
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

// meter collects results of concurrent requests.
type meter struct {
	mu     sync.Mutex
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

// load sends requests from pathClients clients, each waiting for its answer.
func load(name string, addr netip.AddrPort, requests int, newCall func(i int) checker.Call) Result {
	client := checker.NewClient(starter.DemoKey)
	m := newMeter()
	var wg sync.WaitGroup
	for c := range pathClients {
		wg.Go(func() {
			for i := c; i < requests; i += pathClients {
				t := client.Do(context.Background(), addr, newCall(i))
				m.add(t.Elapsed, t.IsAnswered())
			}
		})
	}
	wg.Wait()
	return m.result(name)
}

// pace sends requests at a rate, whether or not earlier ones are answered. The
// time of a request counts from when it was due.
func pace(name string, addr netip.AddrPort, rate, requests int, newCall func(i int) checker.Call) Result {
	client := checker.NewClient(starter.DemoKey)
	m := newMeter()
	var wg sync.WaitGroup
	for i := range requests {
		due := m.start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		wg.Go(func() {
			t := client.Do(context.Background(), addr, newCall(i))
			m.add(time.Since(due), t.IsAnswered())
		})
	}
	wg.Wait()
	return m.result(name)
}

// WritePath measures both paths in turn, several rounds, and prints ratios.
func WritePath(w io.Writer) error {
	for _, c := range []struct {
		name    string
		latency time.Duration
	}{{"engine 5 ms", engineTime}, {"engine 0 ms", 0}} {
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
	call := func(i int) checker.Call {
		return checker.Call{Kind: checker.KindWhole, Service: "assistant-llm", Payload: fmt.Sprint("prompt ", i), Tokens: 20}
	}
	load("warm", product, pathRequests/10, call)
	load("warm", baseline, pathRequests/10, call)
	for round := range pathRounds {
		name := fmt.Sprintf("%s, round %d", name, round+1)
		compare(w, name+", 64 clients",
			load("two plain hops", baseline, pathRequests, call),
			load("entry and agent", product, pathRequests, call))
		compare(w, name+", equal load",
			pace("two plain hops", baseline, pathRate, pathRequests/2, call),
			pace("entry and agent", product, pathRate, pathRequests/2, call))
	}
	return nil
}

func compare(w io.Writer, name string, plain, ours Result) {
	for _, r := range []Result{plain, ours} {
		_, _ = fmt.Fprintf(w, "%s: %-16s p50 %8s p99 %8s %7.0f requests/s, %d failed\n", name, r.Name, r.P50, r.P99, r.Rate, r.Failed)
	}
	_, _ = fmt.Fprintf(w, "%s: ratios p50 %.2f p99 %.2f rate %.2f\n", name,
		float64(ours.P50)/float64(plain.P50), float64(ours.P99)/float64(plain.P99), ours.Rate/plain.Rate)
}
