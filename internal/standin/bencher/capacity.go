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

// Times of one measurement.
const (
	settleTime = 4 * time.Second
	windowTime = 10 * time.Second
)

// Series is the measurement of one cost at several sizes.
type Series struct {
	Role string
	// Unit is what the size counts.
	Unit   string
	Points []Point
}

// Point is one measurement.
type Point struct {
	Size float64
	rates
}

// Fit is a line through the points of a series.
type Fit struct{ Base, Slope float64 }

// fit returns the least-squares line of one quantity.
func (s *Series) fit(get func(rates) float64) Fit {
	var n, sx, sy, sxx, sxy float64
	for _, p := range s.Points {
		y := get(p.rates)
		n++
		sx += p.Size
		sy += y
		sxx += p.Size * p.Size
		sxy += p.Size * y
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return Fit{Base: (sy - slope*sx) / n, Slope: slope}
}

// stage is a platform with fakes around one measured process.
type stage struct {
	ctx      context.Context //nolint:containedctx // lifetime of the fakes
	cancel   context.CancelFunc
	keeper   *keeper.Keeper
	platform netip.AddrPort
	server   *http.Server
}

func newStage() (*stage, error) {
	ln, err := net.Listen("tcp", starter.AnyPort.String())
	if err != nil {
		return nil, wrapper.At("listen", starter.AnyPort.String(), err)
	}
	k := keeper.New()
	s := &stage{keeper: k, platform: ln.Addr().(*net.TCPAddr).AddrPort(), server: &http.Server{Handler: k.Handler(), ReadHeaderTimeout: time.Minute}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

func (s *stage) close() {
	s.cancel()
	_ = s.server.Close()
}

// addFakes lists n fakes of a role.
func (s *stage) addFakes(role, zone string, n int) error {
	for i := range n {
		in, err := startFake(s.ctx, fmt.Sprint(role, "-", zone, "-", i), role, zone)
		if err != nil {
			return err
		}
		s.keeper.SetInstance(in)
	}
	return nil
}

// startEntry starts a measured entry instance with settings as in production.
func (s *stage) startEntry() (*measured, error) {
	cfg, err := newMeasuredSettings("entry-measured", "zone-a", s.platform)
	if err != nil {
		return nil, err
	}
	s.keeper.SetInstance(storer.Instance{Name: cfg.Instance, Role: tracker.RoleEntry, Zone: cfg.Zone, Address: cfg.Listen.Peers})
	return startMeasured(tracker.RoleEntry, cfg)
}

// measureEntry measures an entry instance before fakes and with some accounts.
func measureEntry(agents, peers, accounts int) (rates, error) {
	s, err := newStage()
	if err != nil {
		return rates{}, err
	}
	defer s.close()
	if err := s.addFakes(tracker.RoleAgent, "zone-a", agents); err != nil {
		return rates{}, err
	}
	if err := s.addFakes(tracker.RoleEntry, "zone-b", peers); err != nil {
		return rates{}, err
	}
	m, err := s.startEntry()
	if err != nil {
		return rates{}, err
	}
	defer m.stop()
	if err := applyAccounts(m, accounts); err != nil {
		return rates{}, err
	}
	return m.measure()
}

// applyAccounts configures a number of client accounts in one ticket.
func applyAccounts(m *measured, n int) error {
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

// measureAgent measures an agent that n entry instances watch.
func measureAgent(entries int) (rates, error) {
	s, err := newStage()
	if err != nil {
		return rates{}, err
	}
	defer s.close()
	backend, err := responder.NewServer(starter.AnyPort)
	if err != nil {
		return rates{}, wrapper.At("start_backend", "", err)
	}
	defer func() { _ = backend.Close() }()
	cfg, err := newMeasuredSettings("agent-measured", "zone-a", s.platform)
	if err != nil {
		return rates{}, err
	}
	cfg.Agent.Service, cfg.Agent.Backend = "assistant-llm", backend.Addr()
	m, err := startMeasured(tracker.RoleAgent, cfg)
	if err != nil {
		return rates{}, err
	}
	defer m.stop()
	if err := watchAsEntries(s.ctx, cfg.Listen.Peers, entries); err != nil {
		return rates{}, err
	}
	return m.measure()
}

// busyTokens is the length of the streams in the busy measurement.
const busyTokens = 50

// measureBusy measures an entry instance and an agent that pass streams of
// tokens on. The rate is in tokens a second.
func measureBusy(tokenRate int) (entry, agent rates, err error) {
	s, err := newStage()
	if err != nil {
		return entry, agent, err
	}
	defer s.close()
	backend, err := responder.NewServer(starter.AnyPort, responder.WithFaults(responder.Faults{TokenDelay: 20 * time.Millisecond}))
	if err != nil {
		return entry, agent, wrapper.At("start_backend", "", err)
	}
	defer func() { _ = backend.Close() }()
	cfg, err := newMeasuredSettings("agent-measured", "zone-a", s.platform)
	if err != nil {
		return entry, agent, err
	}
	cfg.Agent.Service, cfg.Agent.Backend, cfg.Agent.Concurrency = "assistant-llm", backend.Addr(), 1024
	a, err := startMeasured(tracker.RoleAgent, cfg)
	if err != nil {
		return entry, agent, err
	}
	defer a.stop()
	s.keeper.SetInstance(storer.Instance{Name: cfg.Instance, Role: tracker.RoleAgent, Zone: cfg.Zone, Address: cfg.Listen.Peers})
	e, err := s.startEntry()
	if err != nil {
		return entry, agent, err
	}
	defer e.stop()
	return runBusy(s, e, a, tokenRate)
}

func runBusy(s *stage, e, a *measured, tokenRate int) (entry, agent rates, err error) {
	if err := applyBench(s.ctx, e); err != nil {
		return entry, agent, err
	}
	go pace("busy", e.settings.Listen.Callers, tokenRate/busyTokens, tokenRate/busyTokens*20, newStream)
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
	return checker.Call{Kind: checker.KindStream, Service: "assistant-llm", Payload: fmt.Sprint("prompt ", i), Tokens: busyTokens}
}

// Sizes measured.
var (
	agentSizes   = []int{20, 80, 160}
	peerSizes    = []int{0, 30, 90}
	accountSizes = []int{0, 800, 2400}
	entrySizes   = []int{10, 40, 120}
	tokenSizes   = []int{1000, 4000, 10000}
)

// Measure measures every series.
func Measure(progress io.Writer) ([]Series, error) {
	list := []Series{
		{Role: "entry", Unit: "agent watched"},
		{Role: "entry", Unit: "entry peer"},
		{Role: "entry", Unit: "client account configured"},
		{Role: "agent", Unit: "entry watching"},
		{Role: "entry", Unit: "token a second"},
		{Role: "agent", Unit: "token a second"},
	}
	var errs []error
	add := func(i, size int, r rates, err error) {
		_, _ = fmt.Fprintf(progress, "%s, %d times %s: %.2f%% of a core, %.1f MB, %.0f B/s sent, %.0f B/s received\n",
			list[i].Role, size, list[i].Unit, 100*r.cpu, r.memory/1e6, r.sent, r.received)
		list[i].Points = append(list[i].Points, Point{Size: float64(size), rates: r})
		if err != nil {
			errs = append(errs, err)
		}
	}
	for i := range agentSizes {
		r, err := measureEntry(agentSizes[i], 8, 10)
		add(0, agentSizes[i], r, err)
		r, err = measureEntry(20, peerSizes[i], 10)
		add(1, peerSizes[i], r, err)
		r, err = measureEntry(20, 8, accountSizes[i])
		add(2, accountSizes[i], r, err)
		r, err = measureAgent(entrySizes[i])
		add(3, entrySizes[i], r, err)
		e, a, err := measureBusy(tokenSizes[i])
		add(4, tokenSizes[i], e, err)
		add(5, tokenSizes[i], a, nil)
	}
	if len(errs) > 0 {
		return nil, errs[0]
	}
	return list, nil
}

// Markers of the measured part of the capacity page.
const (
	beginMark = "<!-- measured: begin -->"
	endMark   = "<!-- measured: end -->"
)

// WriteCapacity measures and replaces the measured part of the page at path.
func WriteCapacity(progress io.Writer, path string) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return wrapper.At("read_page", "", err)
	}
	before, rest, ok := strings.Cut(string(page), beginMark)
	_, after, ok2 := strings.Cut(rest, endMark)
	if !ok || !ok2 {
		return wrapper.New("read_page", "", "the marks of the measured part are missing")
	}
	series, err := Measure(progress)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	writeTables(&b, series)
	text := before + beginMark + "\n" + b.String() + endMark + after
	return wrapper.At("write_page", "", os.WriteFile(path, []byte(text), 0o600))
}

// loaderDefaults are the settings that the measured processes run with.
var loaderDefaults = loader.NewSettings()
