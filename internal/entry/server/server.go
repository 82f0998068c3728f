// Package server is the entry instance: it serves callers, operators, other
// entry instances and agents.
package server

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/admission/aggregator"
	"siskinfall/internal/admission/limiter"
	"siskinfall/internal/config/registrar"
	"siskinfall/internal/config/spreader"
	"siskinfall/internal/entry/dispatcher"
	"siskinfall/internal/execution/guard"
	"siskinfall/internal/process/drainer"
	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/report/burner"
	"siskinfall/internal/report/recorder"
	"siskinfall/internal/routing/picker"
	"siskinfall/internal/routing/tracker"
	"siskinfall/internal/settings/loader"
	"siskinfall/internal/store/storer"
	"siskinfall/internal/suspect/isolator"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// Server is one entry instance.
type Server struct {
	cfg         *loader.Settings
	incarnation uint64
	platform    storer.Platform
	book        *registrar.ActiveConfig
	registry    *registrar.Registry
	reader      *registrar.Reader
	spreader    *spreader.Syncer
	pool        *connector.Pool
	tracker     *tracker.Tracker
	dispatcher  *dispatcher.Dispatcher
	executions  *guard.Registry
	limiter     *limiter.Limiter
	aggregator  *aggregator.Aggregator
	// plan is never nil.
	plan     atomic.Pointer[aggregator.Plan]
	suspects *isolator.Set
	recorder *recorder.Recorder
	burn     *burner.Counter
	// background bounds pushes that outlive the call that caused them.
	background context.Context //nolint:containedctx // lifetime of the process

	// polls counts the reads of the configuration.
	polls atomic.Uint64
	// configured says that the configuration came from the platform or a peer.
	configured atomic.Bool
	drainer.Gate
}

// New returns a Server; ctx bounds its background work, opts configure its
// sessions.
func New(ctx context.Context, cfg *loader.Settings, incarnation uint64, p storer.Platform, opts ...connector.Option) *Server {
	s := &Server{
		cfg: cfg, incarnation: incarnation, platform: p, background: ctx,
		book:       registrar.NewActiveConfig(),
		registry:   registrar.NewRegistry(p),
		executions: guard.NewRegistry(p),
		limiter:    limiter.New(cfg.Instance, cfg.Zone),
		aggregator: aggregator.New(cfg.Zone),
		suspects:   isolator.NewSet(),
		recorder:   recorder.New(cfg.Instance, cfg.Entry.ExplainRecent),
		burn:       burner.NewCounter(),
	}
	s.plan.Store(aggregator.NewPlan([]storer.Instance{s.self()}))
	s.pool = connector.NewPool(s.hello(), opts...)
	s.reader = registrar.NewReader(s.registry, s.book)
	s.spreader = spreader.New(s.book, s.pool, cfg.Instance)
	s.tracker = tracker.New(cfg.Instance, cfg.Zone, s.pool, p,
		tracker.WithHeartbeat(cfg.Entry.Heartbeat),
		tracker.WithMaxRemoteAgents(cfg.Entry.RemoteAgents),
		tracker.WithConnected(s.agentConnected),
		tracker.WithStatus(s.agentReported),
	)
	newPicker := func() *picker.Picker {
		opts := append(make([]picker.Option, 0, 2+len(cfg.Entry.Hops)),
			picker.WithZone(cfg.Zone, cfg.Entry.ZoneHop),
			picker.WithStrategy(picker.ExpectedCompletion{Candidates: cfg.Entry.Candidates}),
		)
		for _, h := range cfg.Entry.Hops {
			opts = append(opts, picker.WithZoneLatency(h.Zone, h.OneWay))
		}
		return picker.New(opts...)
	}
	s.dispatcher = dispatcher.New(s.tracker, s.pool, newPicker, s.executions, s.suspects, s.book,
		dispatcher.WithSuspects(s.addSuspects),
		dispatcher.WithBehind(s.pushToAgent),
	)
	s.book.Watch(s.configChanged)
	return s
}

func (s *Server) hello() *encoder.Hello {
	return &encoder.Hello{
		Version: encoder.Version, Instance: s.cfg.Instance, Zone: s.cfg.Zone, Role: tracker.RoleEntry, Incarnation: s.incarnation,
	}
}

// self is this instance as the list shows it.
func (s *Server) self() storer.Instance {
	return storer.Instance{Name: s.cfg.Instance, Role: tracker.RoleEntry, Zone: s.cfg.Zone, Address: s.cfg.Listen.Peers}
}

// Hello returns how this instance introduces itself.
func (s *Server) Hello() *encoder.Hello { return s.hello() }

// Run keeps the instance's knowledge fresh until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { every(ctx, s.cfg.Entry.PollInterval, s.poll) })
	wg.Go(func() { every(ctx, s.cfg.Entry.SyncInterval, s.sync) })
	wg.Go(func() { every(ctx, ejectInterval, s.eject) })
	wg.Go(func() { every(ctx, historyInterval, s.saveHistory) })
	wg.Go(func() { s.runSweep(ctx) })
	wg.Wait()
	s.pool.Close()
	s.tracker.Wait()
}

// every calls f at once and then at about each interval until ctx ends. The
// intervals vary by a tenth, so that instances started together drift apart.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	const tenth = 10
	for ctx.Err() == nil {
		f(ctx)
		sleeper.Sleep(ctx, interval-interval/tenth+rand.N(2*interval/tenth+1))
	}
}

// poll reads the configuration and the instance list from the platform.
func (s *Server) poll(ctx context.Context) {
	if err := s.reader.Poll(ctx); err != nil {
		log.Warn("platform not read", "step", "poll_configuration", "error", err)
	} else {
		s.setConfigured("platform")
	}
	if s.polls.Add(1)%s.listEvery() != 0 {
		return
	}
	if err := s.tracker.Poll(ctx); err != nil {
		log.Warn("platform not read", "step", "poll_instances", "error", err)
		return
	}
	s.updatePeers()
}

// listPollers is the number of entry instances of a zone that together read the
// instance list once in each poll interval. The list is large, and an agent's
// own word and its silence tell sooner.
const listPollers = 2

// listEvery is the number of polls for each of which this instance reads the
// instance list once.
func (s *Server) listEvery() uint64 {
	zone := uint64(1)
	for _, in := range s.tracker.GetPeers() {
		if in.Zone == s.cfg.Zone {
			zone++
		}
	}
	return max(zone/listPollers, 1)
}

func (s *Server) updatePeers() {
	peers := s.tracker.GetPeers()
	s.limiter.SetPeerCount(len(peers))
	entries := append(peers, s.self())
	s.aggregator.RetainListed(entries)
	s.plan.Store(aggregator.NewPlan(entries))
}

func (s *Server) setConfigured(source string) {
	if s.configured.Swap(true) {
		return
	}
	log.Info("configuration loaded", "source", source)
	s.recorder.AddEvent("configured", "configuration loaded from %s", source)
}

// ejectInterval is how often failing backend servers are looked for.
const ejectInterval = 500 * time.Millisecond

// eject takes backend servers out of routing whose failures stand out.
func (s *Server) eject(context.Context) {
	for name := range s.book.Get().Services {
		for _, b := range picker.Eject(s.tracker.GetService(name).Backends, time.Now()) {
			log.Warn("backend server ejected", "service", name, "peer", b.Name)
			s.recorder.AddEvent("ejected", "backend server %s of %s failed too often", b.Name, name)
		}
	}
}

// Drain refuses new requests and waits for those in flight. It reports whether
// all of them have ended.
func (s *Server) Drain(ctx context.Context) bool {
	s.BeginDrain(time.Now())
	if !s.WaitDrained(ctx) {
		return false
	}
	s.saveHistory(ctx)
	return true
}

// IsReady reports whether the instance takes requests.
func (s *Server) IsReady() bool {
	return s.configured.Load() && !s.IsDraining()
}

// addSuspects takes in suspects and passes on what is news.
func (s *Server) addSuspects(list []*encoder.Suspect) {
	news := s.suspects.Add(list...)
	if len(news) == 0 {
		return
	}
	for _, e := range news {
		if e.GetCulprit() {
			s.recorder.AddEvent("culprit", "request %x crashed %s and is refused", e.GetDigest()[:4], e.GetInstance())
		}
	}
	open := &encoder.Open{Kind: &encoder.Open_Suspects{Suspects: &encoder.SuspectReport{Suspects: news}}}
	for _, in := range s.tracker.GetPeers() {
		go s.tell(s.background, in, open)
	}
}

// tell sends one message to a peer and waits for its acknowledgement.
func (s *Server) tell(ctx context.Context, in storer.Instance, open *encoder.Open) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	if err := s.pool.Call(ctx, in.Address, open, &encoder.StatusQuery{}); err != nil {
		log.Debug("peer not told", "peer", in.Name, "error", err)
	}
}

// tellTimeout bounds one message to a peer.
const tellTimeout = 2 * time.Second

// agentReported learns from an agent's report.
func (s *Server) agentReported(_ *tracker.Target, status *encoder.AgentStatus) {
	if len(status.GetCrashSuspects()) > 0 {
		s.addSuspects(status.GetCrashSuspects())
	}
}

// agentConnected brings an agent the configuration that concerns it.
func (s *Server) agentConnected(ctx context.Context, target *tracker.Target, status *encoder.AgentStatus) {
	s.recorder.AddEvent("agent_connected", "%s of %s", target.Name, status.GetService())
	go func() {
		entities := s.book.Get().ForAgent(status.GetService(), status.GetGroup())
		if err := s.spreader.Push(ctx, target.Addr, entities); err != nil {
			log.Debug("configuration not pushed", "peer", target.Name, "error", err)
		}
	}()
}

// pushToAgent brings an agent that is behind its configuration, and waits.
func (s *Server) pushToAgent(target *tracker.Target) {
	status, _ := target.GetStatus()
	entities := s.book.Get().ForAgent(status.GetService(), status.GetGroup())
	if err := s.spreader.Push(s.background, target.Addr, entities); err != nil {
		log.Warn("configuration not pushed", "peer", target.Name, "error", err)
	}
}

// configChanged passes changed states on to peers and to the agents concerned.
func (s *Server) configChanged(changed []*encoder.Entity) {
	for _, e := range changed {
		log.Info("configuration in force", "kind", e.GetKind(), "name", e.GetName(), "number", e.GetNumber())
	}
	for _, in := range pickPeers(s.tracker.GetPeers(), spreadFanout) {
		go func() { _ = s.spreader.Push(s.background, in.Address, changed) }()
	}
	for _, target := range s.tracker.GetTargets() {
		status, _ := target.GetStatus()
		mine := filterForAgent(changed, status)
		if len(mine) == 0 {
			continue
		}
		go func() { _ = s.spreader.Push(s.background, target.Addr, mine) }()
	}
}

// spreadFanout is the number of peers to which an instance passes news. Each
// passes it on in turn, so all have it after a few rounds; the comparison of
// digests finds those that were missed.
const spreadFanout = 10

// pickPeers returns up to n peers in random order.
func pickPeers(peers []storer.Instance, n int) []storer.Instance {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

func filterForAgent(changed []*encoder.Entity, status *encoder.AgentStatus) []*encoder.Entity {
	return slices.DeleteFunc(slices.Clone(changed), func(e *encoder.Entity) bool {
		switch registrar.Kind(e.GetKind()) {
		case registrar.KindRanking:
			return false
		case registrar.KindService:
			return e.GetName() != status.GetService()
		case registrar.KindGroup:
			return e.GetName() != status.GetGroup()
		case registrar.KindClientAccount:
		}
		return true
	})
}

// CallersHandler returns the HTTP interface for callers.
func (s *Server) CallersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.serveModel)
	mux.HandleFunc("/", s.servePlain)
	return mux
}
