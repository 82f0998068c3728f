// Package coordinator changes the expert map of a model group by two-phase
// commit. A committed map takes effect at a fence, a step number ahead of all
// members, so that all members use the same map in every step. A step is one
// forward pass of the whole group, identified by its number; package
// group/commander calls it a pass. The coordinator runs at the agent of the
// group's first member.
//
// Packages group/balancer and group/commander do the same at engines that begin
// passes without asking an agent: they prepare and arm a map at the engines
// themselves and hold the pass meanwhile, and they use no stored epoch.
package coordinator

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/config/registrar"
	"siskinfall/internal/expert/follower"
	"siskinfall/internal/expert/planner"
	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/wire/encoder"
)

// Transport sends orders to the agents of a group's members. When Call returns
// an error, the order may or may not have been executed.
type Transport interface {
	Call(ctx context.Context, member string, o *encoder.GroupOrder) (*encoder.GroupReply, error)
}

// ErrSuperseded is returned when a member reports an epoch above the
// coordinator's own.
var ErrSuperseded = errors.New("a newer coordinator has taken over")

// errIncomplete is returned when a member replies under an older epoch, or has
// not joined and does not have its engine's state yet.
var errIncomplete = errors.New("not every member has answered")

// Timeouts, intervals and limits of the coordination rounds.
const (
	callTimeout = time.Second
	// defaultRoundInterval is the time from the end of one round to the start of
	// the next.
	defaultRoundInterval = 500 * time.Millisecond
	// stageTimeout bounds copying the weights for one map.
	stageTimeout = 10 * time.Minute
	// minFenceDelay is the minimum time from the latest reported step to the
	// fence; it must cover a PREPARE round.
	minFenceDelay = 300 * time.Millisecond
	// minFenceDistance is the minimum distance of the fence, in steps.
	minFenceDistance = 8
	// serialBits is the number of low bits of a map version that hold its serial
	// number; the bits above hold the epoch.
	serialBits = 20
	// horizonIntervals is how many rebalance intervals a placement is expected to
	// last.
	horizonIntervals = 30
	// maxHistory is the maximum number of changes kept in the history.
	maxHistory = 200
)

// Coordinator leads one group for one epoch. Run must not be called
// concurrently; GetHistory may be.
type Coordinator struct {
	group         *registrar.Group
	epoch         uint64
	transport     Transport
	planner       *planner.Planner
	shape         planner.Shape
	roundInterval time.Duration
	acquireLane   AcquireLane
	// decisions holds the decisions of this epoch by map version, true for commit.
	// A decision is never changed, because a message with it may still be in
	// flight.
	decisions map[uint64]bool
	// initial is the map given to a group that has none. It is created at most
	// once in an epoch.
	initial *planner.Map
	// serial is the serial number of the latest version of this epoch.
	serial uint64
	// fenceFactor multiplies the fence distance. It is doubled when a member
	// refuses a PREPARE, usually because it has passed the fence.
	fenceFactor   uint64
	nextRebalance time.Time
	mu            sync.Mutex
	// history holds the latest changes, oldest first.
	history []Change
}

// Change is the history entry of one rebalance, whether or not it changed the
// map.
type Change struct {
	Time     time.Time         `json:"time"`
	Version  uint64            `json:"version"`
	Decision *planner.Decision `json:"decision"`
	// Outcome is in_force, staying, or the reason why the map was not changed.
	Outcome string `json:"outcome"`
	Bytes   int64  `json:"bytes"`
	// SkewBefore and SkewAfter are measured by the engines. SkewAfter is 0 until
	// the next rebalance.
	SkewBefore float64 `json:"measured_skew_before"`
	SkewAfter  float64 `json:"measured_skew_after"`
	// Hold is the time from sending PREPARE until delivery of the decision ended.
	Hold time.Duration `json:"hold_nanoseconds"`
}

// AcquireLane acquires the copy lane of a group, which lets one of the groups that
// share it copy weights at a time. It does not wait: it returns an error if
// another group holds the lane. The lane is held until release is called, and
// for at most limit.
type AcquireLane func(ctx context.Context, limit time.Duration) (release func(), err error)

// Option configures a Coordinator.
type Option func(*Coordinator)

// WithLane sets the function that acquires the group's copy lane before weights
// are copied.
func WithLane(f AcquireLane) Option { return func(c *Coordinator) { c.acquireLane = f } }

// WithRoundInterval sets the time from the end of one round to the start of the next.
func WithRoundInterval(d time.Duration) Option { return func(c *Coordinator) { c.roundInterval = d } }

// New returns a Coordinator for a group. No other Coordinator may use the epoch.
func New(group *registrar.Group, epoch uint64, transport Transport, opts ...Option) *Coordinator {
	shape := planner.Shape{
		Ranks: len(group.Members) * group.RanksPerMember, SlotsPerRank: group.SlotsPerRank, Experts: group.Experts,
	}
	costs := planner.CostModel{
		StepSkewWeight: group.StepSkewWeight, RebalanceCostWeight: group.RebalanceCostWeight,
		ExpertBytes: group.ExpertBytes, CopyRate: group.CopyRate, Horizon: horizonIntervals * group.RebalanceInterval,
	}
	movesPerInterval := float64(group.CopyRate) * group.RebalanceInterval.Seconds() / float64(group.ExpertBytes)
	c := &Coordinator{
		group: group, epoch: epoch, transport: transport, shape: shape, roundInterval: defaultRoundInterval, fenceFactor: 1,
		decisions:   make(map[uint64]bool),
		acquireLane: func(context.Context, time.Duration) (func(), error) { return func() {}, nil },
		planner:     planner.New(shape, group.Layers, costs, planner.WithMaxMoves(int(max(movesPerInterval, 1))), planner.WithSeed(epoch)),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Run leads the group until ctx ends or a newer coordinator takes over.
func (c *Coordinator) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := c.round(ctx)
		if errors.Is(err, ErrSuperseded) {
			return wrapper.At("lead_group", c.group.Name, err)
		}
		if err != nil {
			log.Debug("coordination round failed", "step", "lead_group", "group", c.group.Name, "error", err)
		}
		sleeper.Sleep(ctx, c.roundInterval)
	}
	return nil
}

// round collects the state of all members, resolves what an earlier coordinator
// left undecided, and rebalances when the rebalance interval has passed.
func (c *Coordinator) round(ctx context.Context) error {
	replies, err := c.queryAll(ctx, false)
	if err != nil {
		return err
	}
	if needsMaps(replies) {
		if replies, err = c.queryAll(ctx, true); err != nil {
			return err
		}
		if err := c.resolve(ctx, replies); err != nil {
			return err
		}
	}
	if time.Now().Before(c.nextRebalance) {
		return nil
	}
	c.nextRebalance = time.Now().Add(c.group.RebalanceInterval)
	return c.rebalance(ctx)
}

// queryAll makes every member adopt this epoch and returns their states. Maps are
// large, so withMaps is set only when there is something to resolve.
func (c *Coordinator) queryAll(ctx context.Context, withMaps bool) ([]*encoder.GroupReply, error) {
	return c.callAll(ctx, func(string) *encoder.GroupOrder {
		return &encoder.GroupOrder{Kind: encoder.OrderKind_ORDER_ASK, WithMaps: withMaps}
	})
}

// needsMaps reports whether a member has not joined, or has prepared a map whose
// commit it has not received.
func needsMaps(replies []*encoder.GroupReply) bool {
	for _, r := range replies {
		if !r.GetJoined() || r.GetPreparedVersion() != 0 && !r.GetCommitted() {
			return true
		}
	}
	return false
}

// callAll sends an order to all members concurrently. It returns an error unless
// every member has replied under this epoch. Whether the members accepted the
// order is left to the caller to check.
func (c *Coordinator) callAll(ctx context.Context, order func(member string) *encoder.GroupOrder) ([]*encoder.GroupReply, error) {
	replies := make([]*encoder.GroupReply, len(c.group.Members))
	errs := make([]error, len(c.group.Members))
	var wg sync.WaitGroup
	for i, member := range c.group.Members {
		o := order(member)
		o.Group, o.Epoch = c.group.Name, c.epoch
		wg.Go(func() { replies[i], errs[i] = c.call(ctx, member, o) })
	}
	wg.Wait()
	return replies, errors.Join(errs...)
}

func (c *Coordinator) call(ctx context.Context, member string, o *encoder.GroupOrder) (*encoder.GroupReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	step := wrapper.Step(strings.ToLower(o.GetKind().String()))
	r, err := c.transport.Call(ctx, member, o)
	switch {
	case err != nil:
		return nil, wrapper.At(step, member, err)
	case r.GetEpoch() > c.epoch:
		return nil, wrapper.At(step, member, ErrSuperseded)
	case r.GetEpoch() < c.epoch:
		return nil, wrapper.At(step, member, errIncomplete)
	}
	return r, nil
}

// resolve decides a change that an earlier coordinator left undecided, and lets
// members join that have lost their state. Every member has adopted this epoch,
// so members refuse any order of an earlier one that still arrives.
func (c *Coordinator) resolve(ctx context.Context, replies []*encoder.GroupReply) error {
	v := newView(replies)
	if v.engineMissing {
		return errIncomplete
	}
	if commit, ok := c.decisions[v.pending.GetVersion()]; ok {
		v.committed = commit
	}
	if v.undecided {
		if err := c.decide(ctx, v.pending.GetVersion(), v.committed); err != nil {
			return err
		}
	}
	if v.joining == 0 {
		return nil
	}
	return c.joinAll(ctx, v)
}

// view is the state of the group, combined from the replies of all members.
type view struct {
	// active and pending are the active and the prepared map with the highest
	// version.
	active  *encoder.ExpertMap
	pending *encoder.ExpertMap
	fence   uint64
	// undecided is true if some member that has prepared pending has not received
	// its commit.
	undecided bool
	// committed is true if some member has received the commit of pending or has
	// activated it.
	committed bool
	// joining is the number of members that have not joined.
	joining int
	// incarnations holds the incarnation of each member.
	incarnations map[string]uint64
	// engineMissing is true if a member that has not joined does not have its
	// engine's state yet.
	engineMissing bool
}

func newView(replies []*encoder.GroupReply) *view {
	v := &view{incarnations: make(map[string]uint64, len(replies))}
	for _, r := range replies {
		v.incarnations[r.GetInstance()] = r.GetIncarnation()
		if r.GetVersion() > v.active.GetVersion() {
			v.active = r.GetMap()
		}
		if r.GetPreparedVersion() > v.pending.GetVersion() {
			v.pending, v.fence = r.GetPreparedMap(), r.GetFenceStep()
		}
		if !r.GetJoined() {
			v.joining++
			v.engineMissing = v.engineMissing || !r.GetEngineKnown()
		}
	}
	if v.pending == nil {
		return v
	}
	for _, r := range replies {
		hasPending := r.GetPreparedVersion() == v.pending.GetVersion()
		v.undecided = v.undecided || hasPending && !r.GetCommitted()
		v.committed = v.committed || hasPending && r.GetCommitted() || r.GetVersion() == v.pending.GetVersion()
	}
	return v
}

// decide records a decision and sends it to every member. The decision is final
// from the first message on, since a message may be delivered although its call
// returned an error.
func (c *Coordinator) decide(ctx context.Context, version uint64, commit bool) error {
	c.decisions[version] = commit
	kind := encoder.OrderKind_ORDER_ABORT
	if commit {
		kind = encoder.OrderKind_ORDER_COMMIT
	}
	_, err := c.callAll(ctx, func(string) *encoder.GroupOrder {
		return &encoder.GroupOrder{Kind: kind, Version: version}
	})
	return err
}

// joinAll sends the active map, and a committed map whose fence may still be
// ahead, to members that have not joined. Members that have joined ignore it.
func (c *Coordinator) joinAll(ctx context.Context, v *view) error {
	active := v.active
	if active == nil {
		active = follower.EncodeMap(c.getInitial())
	}
	replies, err := c.callAll(ctx, func(member string) *encoder.GroupOrder {
		o := &encoder.GroupOrder{Kind: encoder.OrderKind_ORDER_JOIN, Map: active, Incarnation: v.incarnations[member]}
		if v.committed && v.pending.GetVersion() > active.GetVersion() {
			o.NextMap, o.FenceStep = v.pending, v.fence
		}
		return o
	})
	if err != nil {
		return err
	}
	log.Info("members joined", "group", c.group.Name, "epoch", c.epoch, "members", v.joining, "version", replies[0].GetVersion())
	return nil
}

// getInitial returns the map for a group in which no member and no engine has
// one.
func (c *Coordinator) getInitial() *planner.Map {
	if c.initial != nil {
		return c.initial
	}
	c.initial = &planner.Map{Version: c.newVersion()}
	for range c.group.Layers {
		c.initial.Layers = append(c.initial.Layers, planner.Contiguous(c.shape))
	}
	return c.initial
}

// newVersion returns a version above every version of earlier epochs. It never
// returns the same version twice.
func (c *Coordinator) newVersion() uint64 {
	c.serial++
	return c.epoch<<serialBits | c.serial
}

func (c *Coordinator) addHistory(ch Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.history) == maxHistory {
		c.history = c.history[1:]
	}
	c.history = append(c.history, ch)
}

// GetHistory returns the latest changes, oldest first.
func (c *Coordinator) GetHistory() []Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Change(nil), c.history...)
}

// formatNotAccepted lists the members that did not accept an order, each with its
// step.
func formatNotAccepted(replies []*encoder.GroupReply) string {
	var b strings.Builder
	for _, r := range replies {
		if !r.GetAccepted() {
			fmt.Fprintf(&b, " %s at step %d", r.GetInstance(), r.GetStep())
		}
	}
	return b.String()
}
