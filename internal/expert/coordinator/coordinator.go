// Package coordinator changes the expert map of a model group in two phases
// with a fence at a step, so that every step uses one map. It runs at the agent
// of the group's first member.
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

// Transport carries orders to the agents of a group's members. A call that
// fails leaves open whether the order was carried out.
type Transport interface {
	Call(ctx context.Context, member string, o *encoder.GroupOrder) (*encoder.GroupReply, error)
}

// ErrSuperseded says that a coordinator with a higher epoch has taken over.
var ErrSuperseded = errors.New("a newer coordinator has taken over")

// errIncomplete says that not every member answered as needed.
var errIncomplete = errors.New("not every member has answered")

// Times of the rounds.
const (
	callTimeout = time.Second
	// roundPause is the pause between two rounds.
	roundPause = 500 * time.Millisecond
	// stageTimeout bounds the copying for one map.
	stageTimeout = 10 * time.Minute
	// fenceDelay is how far ahead the fence is set; it must cover a round of
	// PREPARE.
	fenceDelay = 300 * time.Millisecond
	// minFence is the least distance of the fence, in steps.
	minFence = 8
	// versionBits is the number of bits of a version below the epoch.
	versionBits = 20
	// horizonIntervals is how many intervals a placement is expected to last.
	horizonIntervals = 30
	// maxHistory bounds the changes kept.
	maxHistory = 200
)

// Coordinator leads one group for one epoch. Run is for one goroutine.
type Coordinator struct {
	group     *registrar.Group
	epoch     uint64
	transport Transport
	planner   *planner.Planner
	shape     planner.Shape
	pause     time.Duration
	enterLane EnterLane
	// decisions are those of this epoch, true for commit. They are never changed:
	// a message that carries one may still be under way.
	decisions map[uint64]bool
	// initial is the only map of this epoch for a group that has none.
	initial *planner.Map
	// serial counts the versions of this epoch.
	serial uint64
	// fenceFactor grows when a fence was set too close.
	fenceFactor uint64
	nextPlan    time.Time
	mu          sync.Mutex
	// history holds the latest changes, oldest first.
	history []Change
}

// Change is one change of the map that was decided, made or not.
type Change struct {
	Time     time.Time         `json:"time"`
	Version  uint64            `json:"version"`
	Decision *planner.Decision `json:"decision"`
	// Outcome is in_force, staying or why the change was not made.
	Outcome string `json:"outcome"`
	Bytes   int64  `json:"bytes"`
	// SkewBefore and SkewAfter are measured by the engines.
	SkewBefore float64 `json:"measured_skew_before"`
	SkewAfter  float64 `json:"measured_skew_after"`
	// Hold is the time between PREPARE and COMMIT.
	Hold time.Duration `json:"hold_nanoseconds"`
}

// EnterLane waits for nothing: it returns an error if another group of the lane
// moves. The lane is held for at most the given time, or until leave is called.
type EnterLane func(ctx context.Context, limit time.Duration) (leave func(), err error)

// Option configures a Coordinator.
type Option func(*Coordinator)

// WithLane sets what asks for the group's lane before each move.
func WithLane(f EnterLane) Option { return func(c *Coordinator) { c.enterLane = f } }

// WithPause sets the pause between two rounds.
func WithPause(d time.Duration) Option { return func(c *Coordinator) { c.pause = d } }

// New returns a Coordinator for a group with an epoch of its own.
func New(group *registrar.Group, epoch uint64, transport Transport, opts ...Option) *Coordinator {
	shape := planner.Shape{
		Ranks: len(group.Members) * group.RanksPerMember, SlotsPerRank: group.SlotsPerRank, Experts: group.Experts,
	}
	prices := planner.Prices{
		StepSkewWeight: group.StepSkewWeight, RebalanceCostWeight: group.RebalanceCostWeight,
		ExpertBytes: group.ExpertBytes, CopyRate: group.CopyRate, Horizon: horizonIntervals * group.RebalanceInterval,
	}
	budget := float64(group.CopyRate) * group.RebalanceInterval.Seconds() / float64(group.ExpertBytes)
	c := &Coordinator{
		group: group, epoch: epoch, transport: transport, shape: shape, pause: roundPause, fenceFactor: 1,
		decisions: make(map[uint64]bool),
		enterLane: func(context.Context, time.Duration) (func(), error) { return func() {}, nil },
		planner:   planner.New(shape, group.Layers, prices, planner.WithMaxMoves(int(max(budget, 1))), planner.WithSeed(epoch)),
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
			log.Debug("round incomplete", "step", "lead_group", "group", c.group.Name, "error", err)
		}
		sleeper.Sleep(ctx, c.pause)
	}
	return nil
}

// round brings the members to one state, and plans when it is time.
func (c *Coordinator) round(ctx context.Context) error {
	replies, err := c.askAll(ctx, false)
	if err != nil {
		return err
	}
	if needsMaps(replies) {
		if replies, err = c.askAll(ctx, true); err != nil {
			return err
		}
		if err := c.settle(ctx, replies); err != nil {
			return err
		}
	}
	if time.Now().Before(c.nextPlan) {
		return nil
	}
	c.nextPlan = time.Now().Add(c.group.RebalanceInterval)
	return c.rebalance(ctx)
}

// askAll takes every member's promise for this epoch and learns its state.
// Maps are large, so they are asked for only when there is something to settle.
func (c *Coordinator) askAll(ctx context.Context, withMaps bool) ([]*encoder.GroupReply, error) {
	return c.callAll(ctx, func(string) *encoder.GroupOrder {
		return &encoder.GroupOrder{Kind: encoder.OrderKind_ORDER_ASK, WithMaps: withMaps}
	})
}

// needsMaps reports whether a member lacks memory or a decision.
func needsMaps(replies []*encoder.GroupReply) bool {
	for _, r := range replies {
		if !r.GetJoined() || r.GetPreparedVersion() != 0 && !r.GetCommitted() {
			return true
		}
	}
	return false
}

// callAll sends an order to every member at once. It fails unless every member
// has answered under this epoch; accepted or not is for the caller to look at.
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

// settle decides what an earlier coordinator left open, and lets members join
// that have no memory. Every member has promised this epoch, so no order of an
// earlier one can land any more.
func (c *Coordinator) settle(ctx context.Context, replies []*encoder.GroupReply) error {
	v := newView(replies)
	if v.waiting {
		return errIncomplete
	}
	if own, ok := c.decisions[v.pending.GetVersion()]; ok {
		v.committed = own
	}
	if v.open {
		if err := c.decide(ctx, v.pending.GetVersion(), v.committed); err != nil {
			return err
		}
	}
	if v.joining == 0 {
		return nil
	}
	return c.joinAll(ctx, v)
}

// view is what the replies of all members say together.
type view struct {
	// inForce and pending are the maps with the highest versions.
	inForce *encoder.ExpertMap
	pending *encoder.ExpertMap
	fence   uint64
	// open says that some member does not know the decision on pending.
	open bool
	// committed says that some member has acted on, or heard of, a commit.
	committed bool
	// joining counts the members without memory.
	joining int
	// incarnations are those of the members.
	incarnations map[string]uint64
	// waiting says that the engine of such a member has not spoken yet.
	waiting bool
}

func newView(replies []*encoder.GroupReply) *view {
	v := &view{incarnations: make(map[string]uint64, len(replies))}
	for _, r := range replies {
		v.incarnations[r.GetInstance()] = r.GetIncarnation()
		if r.GetVersion() > v.inForce.GetVersion() {
			v.inForce = r.GetMap()
		}
		if r.GetPreparedVersion() > v.pending.GetVersion() {
			v.pending, v.fence = r.GetPreparedMap(), r.GetFenceStep()
		}
		if !r.GetJoined() {
			v.joining++
			v.waiting = v.waiting || !r.GetEngineKnown()
		}
	}
	if v.pending == nil {
		return v
	}
	for _, r := range replies {
		same := r.GetPreparedVersion() == v.pending.GetVersion()
		v.open = v.open || same && !r.GetCommitted()
		v.committed = v.committed || same && r.GetCommitted() || r.GetVersion() == v.pending.GetVersion()
	}
	return v
}

// decide tells a decision to every member. Once told, it stands.
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

// joinAll tells members without memory what is in force, and what was decided
// for a fence ahead. Members that have joined ignore it.
func (c *Coordinator) joinAll(ctx context.Context, v *view) error {
	present := v.inForce
	if present == nil {
		present = follower.EncodeMap(c.getInitial())
	}
	replies, err := c.callAll(ctx, func(member string) *encoder.GroupOrder {
		o := &encoder.GroupOrder{Kind: encoder.OrderKind_ORDER_JOIN, Map: present, Incarnation: v.incarnations[member]}
		if v.committed && v.pending.GetVersion() > present.GetVersion() {
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

// getInitial is the map for a group of which no member and no engine knows one.
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

// newVersion is above every version of earlier epochs, and never given twice.
func (c *Coordinator) newVersion() uint64 {
	c.serial++
	return c.epoch<<versionBits | c.serial
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

// describe names the members that did not accept an order.
func describe(replies []*encoder.GroupReply) string {
	var b strings.Builder
	for _, r := range replies {
		if !r.GetAccepted() {
			fmt.Fprintf(&b, " %s at step %d", r.GetInstance(), r.GetStep())
		}
	}
	return b.String()
}
