// Package server implements the agent: the only process that sends requests and
// group orders to its backend server. On the users' platform, gateways send requests to
// backend servers directly, and sidecars send only group orders.
package server

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/admission/queuer"
	"siskinfall/internal/agent/driver"
	"siskinfall/internal/agent/leader"
	"siskinfall/internal/check/asserter"
	"siskinfall/internal/config/registrar"
	"siskinfall/internal/config/spreader"
	"siskinfall/internal/execution/guard"
	"siskinfall/internal/expert/follower"
	"siskinfall/internal/process/drainer"
	"siskinfall/internal/settings/loader"
	"siskinfall/internal/store/storer"
	"siskinfall/internal/suspect/isolator"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// leavingGracePeriod is how long after the start of a drain the backend server may
// still get requests that were accepted before.
const leavingGracePeriod = 3 * time.Second

// GroupHandler executes the orders of a group's coordinator.
type GroupHandler interface {
	// Handle executes one order.
	Handle(order *encoder.GroupOrder) *encoder.GroupReply
	// IsStalled reports whether the group makes no steps.
	IsStalled() bool
	// Explain returns the coordinator's latest decisions as JSON, nil if this agent
	// does not lead.
	Explain() []byte
	// Run leads the group, until ctx ends, whenever this agent is its leader.
	Run(ctx context.Context)
}

// Server is one agent.
type Server struct {
	// backgroundCtx bounds the work that outlives the session that asked for it.
	backgroundCtx context.Context //nolint:containedctx // lifetime of the process

	cfg          *loader.Settings
	incarnation  uint64
	driver       *driver.Driver
	queue        *queuer.Queue
	guard        *guard.Guard
	monitor      *isolator.Monitor
	activeConfig *registrar.ActiveConfig
	spreader     *spreader.Syncer
	group        GroupHandler

	drainer.Gate
	mu sync.Mutex
	// changed is closed and replaced when watchers must get the status immediately.
	changed chan struct{}
	healthy atomic.Bool
	// sequence numbers the status reports.
	sequence atomic.Uint64
}

// New returns a Server; ctx bounds its background work.
func New(ctx context.Context, cfg *loader.Settings, incarnation uint64, p storer.Platform, pool *connector.Pool) *Server {
	activeConfig := registrar.NewActiveConfig()
	s := &Server{
		backgroundCtx: ctx,

		cfg:          cfg,
		incarnation:  incarnation,
		driver:       driver.NewDriver(cfg.Agent.Backend),
		queue:        newQueue(cfg.Agent),
		guard:        guard.New(ctx, p, guard.Owner{Instance: cfg.Instance, Incarnation: incarnation}),
		activeConfig: activeConfig,
		spreader:     spreader.New(activeConfig, nil, cfg.Instance),
		changed:      make(chan struct{}),
	}
	if group := cfg.Agent.Group; group != "" {
		f := follower.New(ctx, group, cfg.Instance, incarnation, driver.NewGroupDriver(cfg.Agent.Backend), follower.WithBacklogCheck(s.queue.IsBacklogged))
		s.group = leader.New(cfg.Instance, group, f, activeConfig, p, pool)
	}
	s.monitor = isolator.NewMonitor(cfg.Instance+"/"+strconv.FormatUint(incarnation, 36), s.probe)
	activeConfig.Watch(func([]*encoder.Entity) { s.applyRanking() })
	return s
}

func newQueue(cfg loader.Agent) *queuer.Queue {
	return queuer.NewQueue(cfg.Concurrency,
		queuer.WithLimits(cfg.QueueRequests, cfg.QueueBytes), queuer.WithAdaptiveSlots(cfg.MinConcurrency))
}

// GetActiveConfig returns the configuration that concerns this agent.
func (s *Server) GetActiveConfig() *registrar.ActiveConfig { return s.activeConfig }

// applyRanking sets the floors of the queue's classes from the configured ranking.
func (s *Server) applyRanking() {
	classes := s.activeConfig.Get().Ranking.Classes
	floors := make([]float64, 0, len(classes))
	for _, c := range classes {
		floors = append(floors, c.Floor)
	}
	s.queue.SetFloors(floors...)
}

func (s *Server) probe(ctx context.Context) (string, error) {
	h, err := s.driver.GetHealth(ctx)
	return h.Boot, err
}

// Run checks the health of the backend server, and leads its group whenever that
// falls to this agent, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	if s.group != nil {
		go s.group.Run(ctx)
	}
	ticker := time.NewTicker(s.cfg.Agent.HealthInterval)
	defer ticker.Stop()
	for {
		s.checkHealth(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) checkHealth(ctx context.Context) {
	h, err := s.driver.GetHealth(ctx)
	if err == nil {
		s.monitor.SetBoot(h.Boot)
	}
	if s.healthy.Swap(err == nil) == (err == nil) {
		return
	}
	log.Info("backend server health changed", "healthy", err == nil, "error", err)
	s.notifyWatchers()
}

// Handle serves one stream.
func (s *Server) Handle(ctx context.Context, peer *encoder.Hello, open *encoder.Open, st *connector.Stream) {
	var err error
	switch k := open.GetKind().(type) {
	case *encoder.Open_Run:
		s.run(ctx, k.Run, st)
	case *encoder.Open_Watch:
		err = s.serveWatch(ctx, k.Watch, st)
	case *encoder.Open_Config:
		err = s.spreader.Handle(st, k.Config)
	case *encoder.Open_Group:
		err = s.serveGroup(k.Group, st)
	default:
		log.Warn("stream of unknown kind", "step", "open_stream", "peer", peer.GetInstance())
	}
	if err != nil {
		log.Debug("stream ended", "peer", peer.GetInstance(), "error", err)
	}
}

func (s *Server) serveGroup(order *encoder.GroupOrder, st *connector.Stream) error {
	if s.group == nil {
		return st.Send(&encoder.GroupReply{Instance: s.cfg.Instance})
	}
	if order.GetKind() == encoder.OrderKind_ORDER_EXPLAIN {
		return st.Send(&encoder.GroupReply{Instance: s.cfg.Instance, Report: s.group.Explain()})
	}
	return st.Send(s.group.Handle(order))
}

// checkLeaving asserts that a backend server gets no work once it has been leaving
// for leavingGracePeriod.
func (s *Server) checkLeaving() error {
	since := s.GetDrainStart()
	ok := since.IsZero() || time.Since(since) < leavingGracePeriod
	return asserter.Holds(ok, asserter.RuleNoNewWork, "hand-over %v after leaving began", time.Since(since))
}

// notifyWatchers makes every watcher send the status immediately.
func (s *Server) notifyWatchers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// Drain refuses new requests, sends the status to every watching entry instance, and
// waits, until ctx ends, for the requests in flight and then for the writes of their
// outcomes. It reports whether all requests in flight have ended.
func (s *Server) Drain(ctx context.Context) bool {
	s.BeginDrain(time.Now())
	s.queue.Close()
	s.notifyWatchers()
	if !s.WaitDrained(ctx) {
		return false
	}
	s.guard.Wait(ctx)
	return true
}

// IsReady reports whether the agent accepts requests.
func (s *Server) IsReady() bool {
	return !s.IsDraining() && s.healthy.Load()
}
