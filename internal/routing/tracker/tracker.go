// Package tracker tracks which instances are reachable. It combines three sources,
// in order of precedence: the reports of an instance itself, missing heartbeats,
// and the platform's list of instances, which lags.
package tracker

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/routing/picker"
	"siskinfall/internal/store/storer"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// Roles in the instance list.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// DefaultHeartbeat is the default interval between two reports of an agent.
const DefaultHeartbeat = time.Second

// maxMissedHeartbeats is the number of intervals without a report after which an
// agent is lost. At the default interval this is 2.5 s, below the 3 s within which
// a failed backend server must stop receiving work.
const maxMissedHeartbeats = 2.5

// Target is the state of an agent as observed by this entry instance.
type Target struct {
	*picker.Backend
	// mu guards the fields below.
	mu         sync.Mutex
	status     *encoder.AgentStatus
	reportedAt time.Time
	// lost is closed when the connection is lost, heartbeats are missing or the
	// model group has stalled, and replaced when the agent recovers.
	lost chan struct{}
	// isLost is true while lost is closed.
	isLost bool
	// listedLeaving is true if the instance list marks the agent as leaving.
	listedLeaving bool
	cancel        context.CancelFunc
}

// Lost returns a channel that closes when no answer can be expected: the agent's
// connection is lost, its heartbeats are missing, or its model group has stalled.
func (t *Target) Lost() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// GetStatus returns the latest report, nil if there is none, and the time at which
// it was received.
func (t *Target) GetStatus() (*encoder.AgentStatus, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.status, t.reportedAt
}

// Tracker maintains the instance list and a stream of reports from each selected
// agent; it is safe for concurrent use.
type Tracker struct {
	name      string
	zone      string
	pool      *connector.Pool
	instances storer.Instances
	heartbeat time.Duration
	// maxRemoteAgents bounds the agents watched in each other availability zone; 0
	// means no bound.
	maxRemoteAgents int
	onStatus        func(*Target, *encoder.AgentStatus)
	onConnected     func(context.Context, *Target, *encoder.AgentStatus)

	mu sync.Mutex
	// listed is the latest instance list, from the platform or a peer.
	listed  []storer.Instance
	targets map[string]*Target
	// byService maps a service to its targets. The map is immutable and replaced as
	// a whole.
	byService atomic.Pointer[map[string]*ServiceSet]
	wg        sync.WaitGroup
}

// ServiceSet holds the targets of a service; it is immutable. Backends[i] belongs
// to Targets[i].
type ServiceSet struct {
	Backends []*picker.Backend
	Targets  []*Target
}

// GetTarget returns the target of a backend server, nil if it is not in the set.
func (s *ServiceSet) GetTarget(b *picker.Backend) *Target {
	i := slices.Index(s.Backends, b)
	if i < 0 {
		return nil
	}
	return s.Targets[i]
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithHeartbeat sets the interval at which agents are asked to report.
func WithHeartbeat(d time.Duration) Option { return func(t *Tracker) { t.heartbeat = d } }

// WithMaxRemoteAgents bounds the agents watched in each other availability zone; 0
// means no bound.
func WithMaxRemoteAgents(n int) Option { return func(t *Tracker) { t.maxRemoteAgents = n } }

// WithStatus calls f for each report.
func WithStatus(f func(*Target, *encoder.AgentStatus)) Option {
	return func(t *Tracker) { t.onStatus = f }
}

// WithConnected calls f at the first report of each connection.
func WithConnected(f func(context.Context, *Target, *encoder.AgentStatus)) Option {
	return func(t *Tracker) { t.onConnected = f }
}

// New returns a Tracker for the entry instance name in zone.
func New(name, zone string, pool *connector.Pool, instances storer.Instances, opts ...Option) *Tracker {
	t := &Tracker{
		name: name, zone: zone, pool: pool, instances: instances, heartbeat: DefaultHeartbeat,
		targets:     make(map[string]*Target),
		onStatus:    func(*Target, *encoder.AgentStatus) {},
		onConnected: func(context.Context, *Target, *encoder.AgentStatus) {},
	}
	t.byService.Store(&map[string]*ServiceSet{})
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Poll reads the instance list and applies it.
func (t *Tracker) Poll(ctx context.Context) error {
	list, err := t.instances.ListInstances(ctx)
	if err != nil {
		return err
	}
	t.SetInstances(ctx, list)
	return nil
}

// SetInstances applies an instance list. Watches of newly listed agents end with
// ctx.
func (t *Tracker) SetInstances(ctx context.Context, list []storer.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = list
	selected := make(map[string]bool)
	for _, in := range t.selectAgents(list) {
		selected[in.Name] = true
		t.ensureWatched(ctx, in)
	}
	for name, target := range t.targets {
		if !selected[name] && target.isUnreachable() {
			target.cancel()
			delete(t.targets, name)
		}
	}
	t.publishServices()
}

// isUnreachable reports whether the agent is lost or has not reported yet. Because
// the list lags, an agent that is no longer listed is kept until this is true.
func (t *Target) isUnreachable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isLost || t.status == nil
}

// selectAgents returns the agents to watch: all in the own availability zone, and
// in each other zone all or a subset that differs between entry instances.
func (t *Tracker) selectAgents(list []storer.Instance) []storer.Instance {
	zones := make(map[string][]storer.Instance)
	for _, in := range list {
		if in.Role == RoleAgent {
			zones[in.Zone] = append(zones[in.Zone], in)
		}
	}
	var selected []storer.Instance
	for zone, agents := range zones {
		if zone != t.zone && t.maxRemoteAgents > 0 && len(agents) > t.maxRemoteAgents {
			agents = rankByHash(t.name, agents)[:t.maxRemoteAgents]
		}
		selected = append(selected, agents...)
	}
	return selected
}

// ensureWatched starts the watch of an agent, or updates an existing one. The
// caller holds mu.
func (t *Tracker) ensureWatched(ctx context.Context, in storer.Instance) {
	target := t.targets[in.Name]
	if target != nil && target.Addr == in.Address {
		target.setListedLeaving(in.Leaving)
		return
	}
	if target != nil {
		target.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	target = &Target{
		Backend: picker.NewBackend(in.Name, in.Address, in.Zone, time.Now()),
		lost:    make(chan struct{}), cancel: cancel, listedLeaving: in.Leaving,
	}
	t.targets[in.Name] = target
	t.wg.Go(func() { t.watch(ctx, target) })
}

func (t *Target) setListedLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedLeaving = leaving
	if leaving {
		t.SetAvailable(false)
	}
}

// publishServices replaces byService. The caller holds mu.
func (t *Tracker) publishServices() {
	services := make(map[string]*ServiceSet)
	names := make([]string, 0, len(t.targets))
	for name := range t.targets {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		target := t.targets[name]
		status, _ := target.GetStatus()
		if status == nil {
			continue
		}
		set := services[status.GetService()]
		if set == nil {
			set = &ServiceSet{}
			services[status.GetService()] = set
		}
		set.Backends = append(set.Backends, target.Backend)
		set.Targets = append(set.Targets, target)
	}
	t.byService.Store(&services)
}

// GetService returns the targets of a service, an empty set for none.
func (t *Tracker) GetService(name string) *ServiceSet {
	if set := (*t.byService.Load())[name]; set != nil {
		return set
	}
	return &ServiceSet{}
}

// GetTargets returns all watched agents, sorted by name.
func (t *Tracker) GetTargets() []*Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*Target, 0, len(t.targets))
	for _, target := range t.targets {
		list = append(list, target)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// GetInstances returns a copy of the latest instance list.
func (t *Tracker) GetInstances() []storer.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.listed)
}

// GetPeers returns the other listed entry instances.
func (t *Tracker) GetPeers() []storer.Instance {
	var peers []storer.Instance
	for _, in := range t.GetInstances() {
		if in.Role == RoleEntry && in.Name != t.name {
			peers = append(peers, in)
		}
	}
	return peers
}

// Wait waits until all watches have ended.
func (t *Tracker) Wait() { t.wg.Wait() }

// Bounds of the backoff between two connections to an agent, before jitter of up
// to 50 % either way.
const (
	minReconnectInterval = 100 * time.Millisecond
	maxReconnectInterval = 2 * time.Second
)

// watch receives reports from an agent, reconnecting with backoff, until ctx ends.
func (t *Tracker) watch(ctx context.Context, target *Target) {
	interval := minReconnectInterval
	for ctx.Err() == nil {
		start := time.Now()
		err := t.watchOnce(ctx, target)
		target.markLost()
		if ctx.Err() != nil {
			return
		}
		log.Debug("connection to agent lost", "step", "watch", "peer", target.Name, "error", err)
		interval = min(interval*2, maxReconnectInterval)
		if time.Since(start) > maxReconnectInterval {
			interval = minReconnectInterval
		}
		sleeper.Sleep(ctx, interval/2+rand.N(interval))
	}
}

func (t *Tracker) watchOnce(ctx context.Context, target *Target) error {
	request := &encoder.Open{Kind: &encoder.Open_Watch{Watch: &encoder.WatchRequest{IntervalMicros: t.heartbeat.Microseconds()}}}
	stream, err := t.pool.Open(ctx, target.Addr, request)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	cancelClose := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer cancelClose()
	isFirst := true
	for {
		_ = stream.SetReadDeadline(time.Now().Add(time.Duration(maxMissedHeartbeats * float64(t.heartbeat))))
		status := &encoder.AgentStatus{}
		if err := stream.Receive(status); err != nil {
			return err
		}
		if status.GetInstance() != target.Name {
			return errWrongInstance
		}
		t.handleStatus(ctx, target, status, isFirst)
		isFirst = false
	}
}

func (t *Tracker) handleStatus(ctx context.Context, target *Target, status *encoder.AgentStatus, isFirst bool) {
	sameService := target.setStatus(status)
	if !sameService {
		t.mu.Lock()
		t.publishServices()
		t.mu.Unlock()
	}
	if isFirst {
		t.onConnected(ctx, target, status)
	}
	t.onStatus(target, status)
}

// setStatus applies a report. It returns whether the previous report had the same
// service.
func (t *Target) setStatus(status *encoder.AgentStatus) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sameService := t.status.GetService() == status.GetService() && t.status != nil
	t.status = status
	t.reportedAt = time.Now()
	t.setLost(status.GetGroupStalled())
	t.SetReport(picker.Report{
		Running: int(status.GetRunning()), Queued: int(status.GetQueued()), Concurrency: int(status.GetConcurrency()),
		ServiceTime: time.Duration(status.GetServiceTimeMicros()) * time.Microsecond,
		Ready:       status.GetReady(), Leaving: status.GetLeaving() || t.listedLeaving, Stalled: status.GetGroupStalled(),
		At: t.reportedAt,
	})
	return sameService
}

// markLost marks the agent as lost and unavailable.
func (t *Target) markLost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.SetAvailable(false)
	t.setLost(true)
}

// setLost closes or replaces the channel that Lost returns. A stalled model group
// counts as lost, because it answers no requests either. The caller holds mu.
func (t *Target) setLost(lost bool) {
	switch {
	case lost && !t.isLost:
		close(t.lost)
	case !lost && t.isLost:
		t.lost = make(chan struct{})
	}
	t.isLost = lost
}

// GetAddresses returns the addresses of the instances, in the same order.
func GetAddresses(list []storer.Instance) []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, len(list))
	for _, in := range list {
		addrs = append(addrs, in.Address)
	}
	return addrs
}
