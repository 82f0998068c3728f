// Package tracker knows which instances live. It joins three sources: the word
// of an instance itself goes first, then missing heartbeats, then the
// platform's lagging list.
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

// DefaultHeartbeat is the interval between two reports of an agent.
const DefaultHeartbeat = time.Second

// missedHeartbeats is the number of intervals after which an agent is lost;
// together with the interval it stays under the 3 s in which a backend server
// must stop getting work.
const missedHeartbeats = 2.5

// Target is an agent as this entry instance sees it.
type Target struct {
	*picker.Backend
	// mu guards what follows.
	mu     sync.Mutex
	status *encoder.AgentStatus
	heard  time.Time
	// lost is closed when heartbeats are missing or the group has stalled, and
	// replaced when that is over.
	lost chan struct{}
	// isLost says that lost is closed.
	isLost bool
	// listedLeaving is what the list says.
	listedLeaving bool
	cancel        context.CancelFunc
}

// Lost returns a channel that closes when no answer can be expected: the agent's
// heartbeats are missing, or its group makes no steps.
func (t *Target) Lost() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// GetStatus returns the latest report, which may be nil, and when it came.
func (t *Target) GetStatus() (*encoder.AgentStatus, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.status, t.heard
}

// Tracker follows the instances; it is safe for concurrent use.
type Tracker struct {
	name      string
	zone      string
	pool      *connector.Pool
	instances storer.Instances
	heartbeat time.Duration
	// remote is the number of agents watched in each other zone; 0 means all.
	remote      int
	onStatus    func(*Target, *encoder.AgentStatus)
	onConnected func(context.Context, *Target, *encoder.AgentStatus)

	mu sync.Mutex
	// listed is the latest list, from the platform or a peer.
	listed  []storer.Instance
	targets map[string]*Target
	// byService holds the targets of each service; it is replaced as a whole.
	byService atomic.Pointer[map[string]*ServiceSet]
	wg        sync.WaitGroup
}

// ServiceSet is the targets of one service; it is never changed. Both slices
// are in the same order.
type ServiceSet struct {
	Backends []*picker.Backend
	Targets  []*Target
}

// GetTarget returns the target of a backend server.
func (s *ServiceSet) GetTarget(b *picker.Backend) *Target {
	i := slices.Index(s.Backends, b)
	if i < 0 {
		return nil
	}
	return s.Targets[i]
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithHeartbeat sets the interval between two reports of an agent.
func WithHeartbeat(d time.Duration) Option { return func(t *Tracker) { t.heartbeat = d } }

// WithRemote bounds the agents watched in each other availability zone.
func WithRemote(n int) Option { return func(t *Tracker) { t.remote = n } }

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

// Poll reads the list and follows its agents.
func (t *Tracker) Poll(ctx context.Context) error {
	list, err := t.instances.ListInstances(ctx)
	if err != nil {
		return err
	}
	t.SetInstances(ctx, list)
	return nil
}

// SetInstances takes in a list. ctx bounds the watching of new agents.
func (t *Tracker) SetInstances(ctx context.Context, list []storer.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = list
	wanted := make(map[string]bool)
	for _, in := range t.selectAgents(list) {
		wanted[in.Name] = true
		t.follow(ctx, in)
	}
	for name, target := range t.targets {
		if !wanted[name] && target.gone() {
			target.cancel()
			delete(t.targets, name)
		}
	}
	t.rebuild()
}

// gone reports whether an agent that is no longer listed is silent too: the
// list lags, so an agent that still speaks is kept.
func (t *Target) gone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isLost || t.status == nil
}

// selectAgents returns the agents to watch: all of the own zone, and of each
// other zone all or a subset that differs from entry to entry.
func (t *Tracker) selectAgents(list []storer.Instance) []storer.Instance {
	zones := make(map[string][]storer.Instance)
	for _, in := range list {
		if in.Role == RoleAgent {
			zones[in.Zone] = append(zones[in.Zone], in)
		}
	}
	var selected []storer.Instance
	for zone, agents := range zones {
		if zone != t.zone && t.remote > 0 && len(agents) > t.remote {
			agents = rankByHash(t.name, agents)[:t.remote]
		}
		selected = append(selected, agents...)
	}
	return selected
}

// follow starts or updates the watching of an agent; mu is held.
func (t *Tracker) follow(ctx context.Context, in storer.Instance) {
	target := t.targets[in.Name]
	if target != nil && target.Addr == in.Address {
		target.setListed(in.Leaving)
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

func (t *Target) setListed(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedLeaving = leaving
	if leaving {
		t.SetAvailable(false)
	}
}

// rebuild publishes the targets by service; mu is held.
func (t *Tracker) rebuild() {
	next := make(map[string]*ServiceSet)
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
		set := next[status.GetService()]
		if set == nil {
			set = &ServiceSet{}
			next[status.GetService()] = set
		}
		set.Backends = append(set.Backends, target.Backend)
		set.Targets = append(set.Targets, target)
	}
	t.byService.Store(&next)
}

// GetService returns the targets of a service, an empty set for none.
func (t *Tracker) GetService(name string) *ServiceSet {
	if set := (*t.byService.Load())[name]; set != nil {
		return set
	}
	return &ServiceSet{}
}

// GetTargets returns all watched agents.
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

// GetInstances returns the latest list.
func (t *Tracker) GetInstances() []storer.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.listed)
}

// GetPeers returns the other entry instances that are listed.
func (t *Tracker) GetPeers() []storer.Instance {
	var peers []storer.Instance
	for _, in := range t.GetInstances() {
		if in.Role == RoleEntry && in.Name != t.name {
			peers = append(peers, in)
		}
	}
	return peers
}

// Wait waits until no agent is watched any more.
func (t *Tracker) Wait() { t.wg.Wait() }

// Bounds of the wait between two connections to an agent.
const (
	minReconnect = 100 * time.Millisecond
	maxReconnect = 2 * time.Second
)

// watch keeps a stream of reports from an agent until ctx ends.
func (t *Tracker) watch(ctx context.Context, target *Target) {
	wait := minReconnect
	for ctx.Err() == nil {
		start := time.Now()
		err := t.watchOnce(ctx, target)
		target.lose()
		if ctx.Err() != nil {
			return
		}
		log.Debug("agent lost", "step", "watch", "peer", target.Name, "error", err)
		wait = min(wait*2, maxReconnect)
		if time.Since(start) > maxReconnect {
			wait = minReconnect
		}
		sleeper.Sleep(ctx, wait/2+rand.N(wait))
	}
}

func (t *Tracker) watchOnce(ctx context.Context, target *Target) error {
	open := &encoder.Open{Kind: &encoder.Open_Watch{Watch: &encoder.WatchRequest{IntervalMicros: t.heartbeat.Microseconds()}}}
	st, err := t.pool.Open(ctx, target.Addr, open)
	if err != nil {
		return err
	}
	defer func() { _ = st.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = st.Close() })
	defer stop()
	first := true
	for {
		_ = st.SetReadDeadline(time.Now().Add(time.Duration(missedHeartbeats * float64(t.heartbeat))))
		status := &encoder.AgentStatus{}
		if err := st.Receive(status); err != nil {
			return err
		}
		if status.GetInstance() != target.Name {
			return errWrongInstance
		}
		t.takeIn(ctx, target, status, first)
		first = false
	}
}

func (t *Tracker) takeIn(ctx context.Context, target *Target, status *encoder.AgentStatus, first bool) {
	known := target.setStatus(status)
	if !known {
		t.mu.Lock()
		t.rebuild()
		t.mu.Unlock()
	}
	if first {
		t.onConnected(ctx, target, status)
	}
	t.onStatus(target, status)
}

// setStatus takes in a report and tells whether the service was known before.
func (t *Target) setStatus(status *encoder.AgentStatus) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.status.GetService() == status.GetService() && t.status != nil
	t.status = status
	t.heard = time.Now()
	t.setLost(status.GetGroupStalled())
	t.SetReport(picker.Report{
		Running: int(status.GetRunning()), Queued: int(status.GetQueued()), Concurrency: int(status.GetConcurrency()),
		Service: time.Duration(status.GetServiceTimeMicros()) * time.Microsecond,
		Ready:   status.GetReady(), Leaving: status.GetLeaving() || t.listedLeaving, Stalled: status.GetGroupStalled(),
		At: t.heard,
	})
	return known
}

// lose marks the agent as lost.
func (t *Target) lose() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.SetAvailable(false)
	t.setLost(true)
}

// setLost tells those who wait for an answer whether one can be expected; mu is
// held. A group that makes no steps answers as little as an agent that is gone.
func (t *Target) setLost(lost bool) {
	switch {
	case lost && !t.isLost:
		close(t.lost)
	case !lost && t.isLost:
		t.lost = make(chan struct{})
	}
	t.isLost = lost
}

// GetAddresses returns the addresses of instances.
func GetAddresses(list []storer.Instance) []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, len(list))
	for _, in := range list {
		addrs = append(addrs, in.Address)
	}
	return addrs
}
