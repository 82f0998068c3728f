// Package server implements the entry instance, which serves callers, operators,
// other entry instances and agents. On the users' platform, gateways serve callers.
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

// Server is an entry instance.
type Server struct {
	cfg          *loader.Settings
	incarnation  uint64
	platform     storer.Platform
	activeConfig *registrar.ActiveConfig
	registry     *registrar.Registry
	reader       *registrar.Reader
	syncer       *spreader.Syncer
	pool         *connector.Pool
	tracker      *tracker.Tracker
	dispatcher   *dispatcher.Dispatcher
	executions   *guard.Registry
	limiter      *limiter.Limiter
	aggregator   *aggregator.Aggregator
	// plan is never nil.
	plan        atomic.Pointer[aggregator.Plan]
	suspects    *isolator.Set
	recorder    *recorder.Recorder
	burnCounter *burner.Counter
	// backgroundCtx bounds pushes that outlive the call that caused them.
	backgroundCtx context.Context //nolint:containedctx // lifetime of the process

	// pollCount counts the reads of the configuration.
	pollCount atomic.Uint64
	// configured says that a configuration was read from the platform or a peer.
	configured atomic.Bool
	// suspectsKnown says that the entry instances that could be reached at the start were
	// asked for the suspects that they know.
	suspectsKnown atomic.Bool
	drainer.Gate
}

// New returns a Server. ctx bounds its background work; opts configure its
// sessions to peers and agents.
func New(ctx context.Context, cfg *loader.Settings, incarnation uint64, p storer.Platform, opts ...connector.Option) *Server {
	s := &Server{
		cfg: cfg, incarnation: incarnation, platform: p, backgroundCtx: ctx,
		activeConfig: registrar.NewActiveConfig(),
		registry:     registrar.NewRegistry(p),
		executions:   guard.NewRegistry(p),
		limiter:      limiter.New(cfg.Instance, cfg.Zone),
		aggregator:   aggregator.New(cfg.Zone),
		suspects:     isolator.NewSet(),
		recorder:     recorder.New(cfg.Instance, cfg.Entry.ExplainRecent),
		burnCounter:  burner.NewCounter(),
	}
	s.plan.Store(aggregator.NewPlan([]storer.Instance{s.ownInstance()}))
	s.pool = connector.NewPool(s.hello(), opts...)
	s.reader = registrar.NewReader(s.registry, s.activeConfig)
	s.syncer = spreader.New(s.activeConfig, s.pool, cfg.Instance)
	s.tracker = tracker.New(cfg.Instance, cfg.Zone, s.pool, p,
		tracker.WithHeartbeat(cfg.Entry.Heartbeat),
		tracker.WithMaxRemoteAgents(cfg.Entry.RemoteAgents),
		tracker.WithConnected(s.handleAgentConnected),
		tracker.WithStatus(s.handleAgentStatus),
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
	s.dispatcher = dispatcher.New(s.tracker, s.pool, newPicker, s.executions, s.suspects, s.activeConfig,
		dispatcher.WithSuspects(s.publishSuspects),
		dispatcher.WithAgentBehind(s.pushToAgent),
	)
	s.activeConfig.Watch(s.handleConfigChange)
	return s
}

func (s *Server) hello() *encoder.Hello {
	return &encoder.Hello{
		Version: encoder.Version, Instance: s.cfg.Instance, Zone: s.cfg.Zone, Role: tracker.RoleEntry, Incarnation: s.incarnation,
	}
}

// ownInstance returns this instance as an entry of the instance list.
func (s *Server) ownInstance() storer.Instance {
	return storer.Instance{Name: s.cfg.Instance, Role: tracker.RoleEntry, Zone: s.cfg.Zone, Address: s.cfg.Listen.Peers}
}

// Hello returns the handshake message of this instance.
func (s *Server) Hello() *encoder.Hello { return s.hello() }

// Run runs the periodic background tasks until ctx ends, and then closes the
// sessions.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { runPeriodically(ctx, s.cfg.Entry.PollInterval, s.poll) })
	wg.Go(func() { runPeriodically(ctx, s.cfg.Entry.SyncInterval, s.syncPeers) })
	wg.Go(func() { runPeriodically(ctx, ejectInterval, s.eject) })
	wg.Go(func() { runPeriodically(ctx, historyInterval, s.saveHistory) })
	wg.Go(func() { s.runSweep(ctx) })
	wg.Wait()
	s.pool.Close()
	s.tracker.Wait()
}

// runPeriodically calls f at once and then about every interval until ctx ends.
// The interval has a random jitter of a tenth, so that instances that started
// together do not stay synchronised.
func runPeriodically(ctx context.Context, interval time.Duration, f func(context.Context)) {
	const jitterDivisor = 10
	for ctx.Err() == nil {
		f(ctx)
		sleeper.Sleep(ctx, interval-interval/jitterDivisor+rand.N(2*interval/jitterDivisor+1))
	}
}

// poll reads the configuration and the instance list from the platform.
func (s *Server) poll(ctx context.Context) {
	if err := s.reader.Poll(ctx); err != nil {
		log.Warn("failed to read configuration from the platform", "step", "poll_configuration", "error", err)
	} else {
		s.setConfigured("platform")
	}
	if s.pollCount.Add(1)%s.pollsPerInstanceList() != 0 {
		return
	}
	if err := s.tracker.Poll(ctx); err != nil {
		log.Warn("failed to read instance list from the platform", "step", "poll_instances", "error", err)
		return
	}
	s.updatePeers()
	s.learnSuspects(ctx)
}

// instanceListReaders is the approximate number of entry instances per
// availability zone that read the instance list in one poll interval. The list is
// large, and an agent's own reports and missing heartbeats show changes sooner.
const instanceListReaders = 2

// pollsPerInstanceList returns the number of configuration polls for each read of
// the instance list.
func (s *Server) pollsPerInstanceList() uint64 {
	zoneSize := uint64(1)
	for _, in := range s.tracker.GetPeers() {
		if in.Zone == s.cfg.Zone {
			zoneSize++
		}
	}
	return max(zoneSize/instanceListReaders, 1)
}

func (s *Server) updatePeers() {
	peers := s.tracker.GetPeers()
	s.limiter.SetPeerCount(len(peers))
	entries := append(peers, s.ownInstance())
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

// ejectInterval is the interval between two checks for failing backend servers.
const ejectInterval = 500 * time.Millisecond

// eject removes backend servers with outlying failure rates from routing.
func (s *Server) eject(context.Context) {
	for name := range s.activeConfig.Get().Services {
		for _, b := range picker.Eject(s.tracker.GetService(name).Backends, time.Now()) {
			log.Warn("backend server ejected", "service", name, "peer", b.Name)
			s.recorder.AddEvent("ejected", "backend server %s of %s failed too often", b.Name, name)
		}
	}
}

// Drain refuses new requests and waits for those in flight. It reports whether
// all of them ended before ctx did; then the history is saved too.
func (s *Server) Drain(ctx context.Context) bool {
	s.BeginDrain(time.Now())
	if !s.WaitDrained(ctx) {
		return false
	}
	s.saveHistory(ctx)
	return true
}

// IsReady reports whether the instance accepts requests.
func (s *Server) IsReady() bool {
	return s.configured.Load() && s.suspectsKnown.Load() && !s.IsDraining()
}

// sendToPeer sends one message to a peer and waits for the acknowledgement.
func (s *Server) sendToPeer(ctx context.Context, in storer.Instance, open *encoder.Open) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	if err := s.pool.Call(ctx, in.Address, open, &encoder.StatusQuery{}); err != nil {
		log.Debug("failed to send message to peer", "peer", in.Name, "error", err)
	}
}

// peerCallTimeout bounds one call to a peer.
const peerCallTimeout = 2 * time.Second

// handleAgentStatus adds the crash suspects of an agent's report.
func (s *Server) handleAgentStatus(_ *tracker.Target, status *encoder.AgentStatus) {
	if len(status.GetCrashSuspects()) > 0 {
		s.addSuspects(status.GetCrashSuspects())
	}
}

// handleAgentConnected sends a newly connected agent the configuration of its
// service and group, in the background.
func (s *Server) handleAgentConnected(ctx context.Context, target *tracker.Target, status *encoder.AgentStatus) {
	s.recorder.AddEvent("agent_connected", "%s of %s", target.Name, status.GetService())
	go func() {
		entities := s.activeConfig.Get().ForAgent(status.GetService(), status.GetGroup())
		if err := s.syncer.Push(ctx, target.Addr, entities); err != nil {
			log.Debug("failed to push configuration to agent", "peer", target.Name, "error", err)
		}
	}()
}

// pushToAgent sends an agent the configuration of its service and group, and
// waits for the reply.
func (s *Server) pushToAgent(target *tracker.Target) {
	status, _ := target.GetStatus()
	entities := s.activeConfig.Get().ForAgent(status.GetService(), status.GetGroup())
	if err := s.syncer.Push(s.backgroundCtx, target.Addr, entities); err != nil {
		log.Warn("failed to push configuration to agent", "peer", target.Name, "error", err)
	}
}

// handleConfigChange sends changed entities to some peers and to the agents that
// use them.
func (s *Server) handleConfigChange(changed []*encoder.Entity) {
	for _, e := range changed {
		log.Info("configuration applied", "kind", e.GetKind(), "name", e.GetName(), "number", e.GetNumber())
	}
	for _, in := range pickPeers(s.tracker.GetPeers(), configFanout) {
		go func() { _ = s.syncer.Push(s.backgroundCtx, in.Address, changed) }()
	}
	for _, target := range s.tracker.GetTargets() {
		status, _ := target.GetStatus()
		relevant := filterForAgent(changed, status)
		if len(relevant) == 0 {
			continue
		}
		go func() { _ = s.syncer.Push(s.backgroundCtx, target.Addr, relevant) }()
	}
}

// configFanout is the number of peers to which an instance sends a configuration
// change. Each of them forwards it in turn, so all have it after a few rounds; the
// exchange of digests repairs those that were missed.
const configFanout = 10

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
	return s.boundBodies(mux)
}
