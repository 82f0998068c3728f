package bencher

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"siskinfall/internal/config/registrar"
	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/operator/caller"
	"siskinfall/internal/routing/tracker"
	"siskinfall/internal/settings/loader"
	"siskinfall/internal/standin/checker"
	"siskinfall/internal/standin/keeper"
	"siskinfall/internal/standin/responder"
	"siskinfall/internal/standin/starter"
	"siskinfall/internal/store/storer"
)

const (
	// settleDelay is the time between the start of a measurement and its first
	// reading, in which the process settles.
	settleDelay = 4 * time.Second
	// measureWindow is the time between the two readings of a measurement.
	measureWindow = 10 * time.Second
)

// Series holds the resource usage of one role at several sizes.
type Series struct {
	// Role is the role of the measured process.
	Role string
	// Unit names what Size counts, for instance "agent watched".
	Unit   string
	Points []Point
}

// Point is the resource usage at one size.
type Point struct {
	Size float64
	rates
}

// Fit is the least-squares line through the points of a series.
type Fit struct{ Base, Slope float64 }

// fit returns the least-squares line of one quantity over the size.
func (s *Series) fit(quantity func(rates) float64) Fit {
	var n, sx, sy, sxx, sxy float64
	for _, p := range s.Points {
		y := quantity(p.rates)
		n++
		sx += p.Size
		sy += y
		sxx += p.Size * p.Size
		sxy += p.Size * y
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return Fit{Base: (sy - slope*sx) / n, Slope: slope}
}

// testbed is a stand-in platform with fake instances, in which processes are
// measured.
type testbed struct {
	ctx          context.Context //nolint:containedctx // lifetime of the fake instances
	cancel       context.CancelFunc
	platform     *keeper.Platform
	platformAddr netip.AddrPort
	server       *http.Server
}

func newTestbed() (*testbed, error) {
	ln, err := net.Listen("tcp", starter.AnyPort.String())
	if err != nil {
		return nil, wrapper.At("listen", starter.AnyPort.String(), err)
	}
	p := keeper.New()
	tb := &testbed{platform: p, platformAddr: ln.Addr().(*net.TCPAddr).AddrPort(), server: &http.Server{Handler: p.Handler(), ReadHeaderTimeout: time.Minute}}
	tb.ctx, tb.cancel = context.WithCancel(context.Background())
	go func() { _ = tb.server.Serve(ln) }()
	return tb, nil
}

func (tb *testbed) close() {
	tb.cancel()
	_ = tb.server.Close()
}

// addFakes starts n fake instances of a role and adds them to the instance list.
func (tb *testbed) addFakes(role, zone string, n int) error {
	for i := range n {
		in, err := startFake(tb.ctx, fmt.Sprint(role, "-", zone, "-", i), role, zone)
		if err != nil {
			return err
		}
		tb.platform.SetInstance(in)
	}
	return nil
}

// startEntry adds a measured entry instance to the instance list and starts it with
// the default settings, as in production.
func (tb *testbed) startEntry() (*measuredProcess, error) {
	cfg, err := newMeasuredSettings("entry-measured", "zone-a", tb.platformAddr)
	if err != nil {
		return nil, err
	}
	tb.platform.SetInstance(storer.Instance{Name: cfg.Instance, Role: tracker.RoleEntry, Zone: cfg.Zone, Address: cfg.Listen.Peers})
	return startMeasured(tracker.RoleEntry, cfg)
}

// measureEntry measures an entry instance that watches fake agents, exchanges
// reports with fake entry peers, and has client accounts configured.
func measureEntry(agents, peers, accounts int) (rates, error) {
	tb, err := newTestbed()
	if err != nil {
		return rates{}, err
	}
	defer tb.close()
	if err := tb.addFakes(tracker.RoleAgent, "zone-a", agents); err != nil {
		return rates{}, err
	}
	if err := tb.addFakes(tracker.RoleEntry, "zone-b", peers); err != nil {
		return rates{}, err
	}
	m, err := tb.startEntry()
	if err != nil {
		return rates{}, err
	}
	defer m.stop()
	if err := applyAccounts(m, accounts); err != nil {
		return rates{}, err
	}
	return m.measure()
}

// applyAccounts configures n client accounts in one ticket.
func applyAccounts(m *measuredProcess, n int) error {
	ticket := registrar.Ticket{Number: 2, Author: "bench"}
	for i := range n {
		ticket.Accounts = append(ticket.Accounts, newAccount(i))
	}
	if n == 0 {
		return nil
	}
	body, err := json.Marshal(ticket)
	if err != nil {
		return wrapper.At("encode_ticket", "", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	client := caller.NewClient(m.settings.Listen.Admin, "")
	return starter.WaitFor(ctx, func() error {
		var out json.RawMessage
		return client.Post(ctx, "/v1/tickets", body, &out)
	})
}

func newAccount(i int) *registrar.ClientAccount {
	return &registrar.ClientAccount{
		Name: fmt.Sprintf("account-%04d", i), KeyHashes: []string{starter.HashKey(fmt.Sprint("key ", i))},
		Class: "field", Rate: 10, Burst: 20, Concurrency: 8, Weight: 1,
	}
}

// measureAgent measures an agent that a number of entry instances watch.
func measureAgent(entries int) (rates, error) {
	tb, err := newTestbed()
	if err != nil {
		return rates{}, err
	}
	defer tb.close()
	backend, err := responder.NewServer(starter.AnyPort)
	if err != nil {
		return rates{}, wrapper.At("start_backend", "", err)
	}
	defer func() { _ = backend.Close() }()
	cfg, err := newMeasuredSettings("agent-measured", "zone-a", tb.platformAddr)
	if err != nil {
		return rates{}, err
	}
	cfg.Agent.Service, cfg.Agent.Backend = "assistant-llm", backend.Addr()
	m, err := startMeasured(tracker.RoleAgent, cfg)
	if err != nil {
		return rates{}, err
	}
	defer m.stop()
	if err := watchAsEntries(tb.ctx, cfg.Listen.Peers, entries); err != nil {
		return rates{}, err
	}
	return m.measure()
}

// streamTokens is the length of a stream, in tokens, in the streaming measurement.
const streamTokens = 50

// measureStreaming measures an entry instance and an agent that forward streams of
// tokens. The rate is in tokens a second over all streams.
func measureStreaming(tokenRate int) (entry, agent rates, err error) {
	tb, err := newTestbed()
	if err != nil {
		return entry, agent, err
	}
	defer tb.close()
	backend, err := responder.NewServer(starter.AnyPort, responder.WithFaults(responder.Faults{TokenDelay: 20 * time.Millisecond}))
	if err != nil {
		return entry, agent, wrapper.At("start_backend", "", err)
	}
	defer func() { _ = backend.Close() }()
	cfg, err := newMeasuredSettings("agent-measured", "zone-a", tb.platformAddr)
	if err != nil {
		return entry, agent, err
	}
	cfg.Agent.Service, cfg.Agent.Backend, cfg.Agent.Concurrency = "assistant-llm", backend.Addr(), 1024
	a, err := startMeasured(tracker.RoleAgent, cfg)
	if err != nil {
		return entry, agent, err
	}
	defer a.stop()
	tb.platform.SetInstance(storer.Instance{Name: cfg.Instance, Role: tracker.RoleAgent, Zone: cfg.Zone, Address: cfg.Listen.Peers})
	e, err := tb.startEntry()
	if err != nil {
		return entry, agent, err
	}
	defer e.stop()
	return runStreaming(tb, e, a, tokenRate)
}

func runStreaming(tb *testbed, e, a *measuredProcess, tokenRate int) (entry, agent rates, err error) {
	if err := applyBenchTicket(tb.ctx, e); err != nil {
		return entry, agent, err
	}
	// The load lasts 20 s, longer than settleDelay and measureWindow together.
	go runOpenLoop("busy", e.settings.Listen.Callers, tokenRate/streamTokens, tokenRate/streamTokens*20, newStream)
	var wg sync.WaitGroup
	var errEntry, errAgent error
	wg.Go(func() { entry, errEntry = e.measure() })
	wg.Go(func() { agent, errAgent = a.measure() })
	wg.Wait()
	if errEntry != nil {
		return entry, agent, errEntry
	}
	return entry, agent, errAgent
}

func newStream(i int) checker.Call {
	return checker.Call{Kind: checker.KindStream, Service: "assistant-llm", Payload: fmt.Sprint("prompt ", i), Tokens: streamTokens}
}

// Sizes of the series. Token rates are in tokens a second over all streams.
var (
	agentCounts   = []int{20, 80, 160}
	peerCounts    = []int{0, 30, 90}
	accountCounts = []int{0, 800, 2400}
	entryCounts   = []int{10, 40, 120}
	tokenRates    = []int{1000, 4000, 10000}
)

// Measure measures every series and writes each point to progress.
func Measure(progress io.Writer) ([]Series, error) {
	series := []Series{
		{Role: "entry", Unit: "agent watched"},
		{Role: "entry", Unit: "entry peer"},
		{Role: "entry", Unit: "client account configured"},
		{Role: "agent", Unit: "entry watching"},
		{Role: "entry", Unit: "token a second"},
		{Role: "agent", Unit: "token a second"},
	}
	var errs []error
	record := func(i, size int, r rates, err error) {
		_, _ = fmt.Fprintf(progress, "%s, %d times %s: %.2f%% of a core, %.1f MB, %.0f B/s sent, %.0f B/s received\n",
			series[i].Role, size, series[i].Unit, 100*r.cpu, r.memory/1e6, r.sent, r.received)
		series[i].Points = append(series[i].Points, Point{Size: float64(size), rates: r})
		if err != nil {
			errs = append(errs, err)
		}
	}
	for i := range agentCounts {
		r, err := measureEntry(agentCounts[i], 8, 10)
		record(0, agentCounts[i], r, err)
		r, err = measureEntry(20, peerCounts[i], 10)
		record(1, peerCounts[i], r, err)
		r, err = measureEntry(20, 8, accountCounts[i])
		record(2, accountCounts[i], r, err)
		r, err = measureAgent(entryCounts[i])
		record(3, entryCounts[i], r, err)
		e, a, err := measureStreaming(tokenRates[i])
		record(4, tokenRates[i], e, err)
		record(5, tokenRates[i], a, nil)
	}
	if len(errs) > 0 {
		return nil, errs[0]
	}
	return series, nil
}

// Markers of the part of the capacity page that is replaced.
const (
	beginMarker = "<!-- measured: begin -->"
	endMarker   = "<!-- measured: end -->"
)

// WriteCapacity measures every series and replaces the measured part of the
// capacity page at path.
func WriteCapacity(progress io.Writer, path string) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return wrapper.At("read_page", "", err)
	}
	before, rest, hasBegin := strings.Cut(string(page), beginMarker)
	_, after, hasEnd := strings.Cut(rest, endMarker)
	if !hasBegin || !hasEnd {
		return wrapper.New("read_page", "", "the markers of the measured part are missing")
	}
	series, err := Measure(progress)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	writeTables(&b, series)
	text := before + beginMarker + "\n" + b.String() + endMarker + after
	return wrapper.At("write_page", "", os.WriteFile(path, []byte(text), 0o600))
}

// defaultSettings are the settings on which those of measured processes are based.
var defaultSettings = loader.NewSettings()
