// Package follower implements a member of a model group: the participant in the
// two-phase commit of an expert map. It holds steps at the fence of an undecided
// map, and asserts that all members use the same expert map in a step. A step is
// one forward pass of the whole group. In package group/commander, the engine itself
// takes this part.
package follower

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/check/asserter"
	"siskinfall/internal/expert/planner"
	"siskinfall/internal/wire/encoder"
)

// Engine is the part of a model engine that a Follower calls.
type Engine interface {
	// Stage copies the weights that a map needs, and returns when all are loaded.
	Stage(ctx context.Context, m *planner.Map) error
	// GetMemory returns the engine's latest step and its map. From then on the
	// engine refuses steps granted by an agent of an older incarnation.
	GetMemory(ctx context.Context, incarnation uint64) (Memory, error)
}

// Assignment is the map that a member uses in a step.
type Assignment struct {
	Step    uint64 `json:"step"`
	Version uint64 `json:"version"`
	Digest  uint64 `json:"digest"`
}

// Memory is the state that an engine keeps of its latest step. It survives a
// restart of the agent.
type Memory struct {
	// Step is 0 for an engine that has begun no step.
	Step uint64
	// Map is nil for an engine that has begun no step.
	Map *planner.Map
}

// ErrHeld is returned for a step that may not begin yet.
var ErrHeld = errors.New("step is held until the map is decided")

// IsErrHeld reports whether err is or wraps ErrHeld.
func IsErrHeld(err error) bool { return errors.Is(err, ErrHeld) }

// staged is a map whose weights are being copied, or have been if done is set.
type staged struct {
	m    *planner.Map
	done bool
}

// prepared is a map in the prepared phase of the two-phase commit: no step from
// fence on may begin before the decision is received.
type prepared struct {
	m         *planner.Map
	fence     uint64
	committed bool
}

// Follower is one member of a group. It is safe for concurrent use.
type Follower struct {
	group, instance string
	incarnation     uint64
	engine          Engine
	engineCtx       context.Context //nolint:containedctx // bounds the calls to the engine

	mu sync.Mutex
	// epoch is the highest epoch received. It never decreases.
	epoch uint64
	// joined is false until a coordinator has sent the group's decisions. A member
	// that was restarted has lost its prepared map, so it begins no step before.
	joined bool
	// engineKnown is true once the engine's state was read after the start.
	engineKnown bool
	// active is nil until a map is received from the engine or a coordinator.
	active *planner.Map
	digest uint64
	// prepared is nil if no map is prepared. Its version is above that of active.
	prepared *prepared
	// decidedVersion is the highest version that was decided. A late PREPARE of
	// this or an older version is refused.
	decidedVersion uint64
	staged         staged
	// hasBacklog, if set, reports whether this member has a backlog of work of the
	// highest priority class.
	hasBacklog func() bool
	// step is the highest step begun. It never decreases.
	step uint64
	// stepBegun is when that step began.
	stepBegun time.Time
	// changed is closed and replaced whenever a held step may have become free to
	// begin.
	changed chan struct{}
	Meter
}

// Option configures a Follower.
type Option func(*Follower)

// WithBacklogCheck sets the function that reports whether this member has a
// backlog of work of the highest priority class.
func WithBacklogCheck(hasBacklog func() bool) Option {
	return func(f *Follower) { f.hasBacklog = hasBacklog }
}

// New returns a Follower that has not joined. ctx bounds its calls to the engine.
func New(ctx context.Context, group, instance string, incarnation uint64, engine Engine, opts ...Option) *Follower {
	f := &Follower{
		group: group, instance: instance, incarnation: incarnation, engine: engine, engineCtx: ctx,
		changed: make(chan struct{}), stepBegun: time.Now(),
	}
	for _, opt := range opts {
		opt(f)
	}
	go f.readEngine()
	return f
}

// BeginStep waits until a step may begin and returns the map to use in it.
func (f *Follower) BeginStep(ctx context.Context, step uint64) (Assignment, *planner.Map, error) {
	for {
		f.mu.Lock()
		a, err := f.begin(step)
		m, changed := f.active, f.changed
		f.mu.Unlock()
		if !IsErrHeld(err) {
			return a, m, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Assignment{}, nil, errors.Join(err, ctx.Err())
		}
	}
}

// engineRetryInterval is the time from a failed read of the engine's state to the
// next attempt.
const engineRetryInterval = 100 * time.Millisecond

// readEngine reads the engine's state, with retries until it succeeds.
func (f *Follower) readEngine() {
	for f.engineCtx.Err() == nil {
		memory, err := f.engine.GetMemory(f.engineCtx, f.incarnation)
		if err == nil {
			f.setMemory(memory)
			return
		}
		log.Debug("failed to read engine state", "step", "recall", "group", f.group, "error", err)
		select {
		case <-f.engineCtx.Done():
		case <-time.After(engineRetryInterval):
		}
	}
}

// setMemory sets the active map and the step from the engine's state, since a
// member starts without either.
func (f *Follower) setMemory(memory Memory) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engineKnown = true
	if memory.Map == nil {
		return
	}
	f.active, f.digest = memory.Map, memory.Map.Digest()
	f.step = max(f.step, memory.Step)
	f.decidedVersion = max(f.decidedVersion, memory.Map.Version)
}

// begin grants a step, or returns ErrHeld if it may not begin yet. It activates a
// committed map at its fence. The caller holds mu.
func (f *Follower) begin(step uint64) (Assignment, error) {
	if !f.joined {
		return Assignment{}, ErrHeld
	}
	if p := f.prepared; p != nil && step >= p.fence {
		if !p.committed {
			return Assignment{}, ErrHeld
		}
		if err := f.activate(p.m); err != nil {
			return Assignment{}, err
		}
	}
	if step > f.step {
		f.step = step
		f.stepBegun = time.Now()
	}
	return Assignment{Step: step, Version: f.active.Version, Digest: f.digest}, nil
}

// activate makes a map the active one. The version of the active map never
// decreases.
func (f *Follower) activate(m *planner.Map) error {
	ok := f.active == nil || m.Version > f.active.Version
	if err := asserter.Holds(ok, asserter.RuleOneMap, "%s: version %d after %d", f.instance, m.Version, f.active.GetVersion()); err != nil {
		return err
	}
	f.active, f.digest = m, m.Digest()
	f.decidedVersion = max(f.decidedVersion, m.Version)
	f.prepared = nil
	return nil
}

// ConfirmStep asserts that all members have the same assignment for a step. If it
// returns an error, the step must not run.
func (f *Follower) ConfirmStep(all []Assignment) error {
	if len(all) == 0 {
		return nil
	}
	for _, a := range all[1:] {
		err := asserter.Holds(a == all[0], asserter.RuleOneMap, "%s step %d: map %d (%x) beside %d (%x)",
			f.group, a.Step, a.Version, a.Digest, all[0].Version, all[0].Digest)
		if err != nil {
			return err
		}
	}
	return nil
}

// Handle executes one order of a coordinator. An order of an older epoch is
// refused.
func (f *Follower) Handle(o *encoder.GroupOrder) *encoder.GroupReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.GetGroup() != f.group {
		return &encoder.GroupReply{Instance: f.instance, Error: "another group"}
	}
	if o.GetEpoch() < f.epoch {
		r := f.reply(o)
		r.Error = "older epoch"
		return r
	}
	f.epoch = o.GetEpoch()
	accepted := true
	switch o.GetKind() {
	case encoder.OrderKind_ORDER_ASK:
	case encoder.OrderKind_ORDER_STAGE:
		f.stage(DecodeMap(o.GetMap()))
	case encoder.OrderKind_ORDER_PREPARE:
		accepted = f.prepare(o)
	case encoder.OrderKind_ORDER_JOIN:
		accepted = f.join(o)
	case encoder.OrderKind_ORDER_COMMIT:
		accepted = f.commit(o)
	case encoder.OrderKind_ORDER_ABORT:
		accepted = f.abort(o)
	default:
		accepted = false
	}
	r := f.reply(o)
	r.Accepted = accepted
	return r
}

// prepare prepares a map, so that steps are held from its fence on. It is refused
// if this member has not joined, has begun the fence step, or has another map
// prepared, or if the version was already decided. A repeated order, also one for
// the active map, is accepted.
func (f *Follower) prepare(o *encoder.GroupOrder) bool {
	if f.isActive(o.GetVersion()) {
		return true
	}
	if !f.joined || o.GetVersion() <= f.decidedVersion || o.GetFenceStep() <= f.step {
		return false
	}
	if p := f.prepared; p != nil {
		return p.m.Version == o.GetVersion() && p.fence == o.GetFenceStep()
	}
	f.prepared = &prepared{m: DecodeMap(o.GetMap()), fence: o.GetFenceStep()}
	return true
}

// join sets the group's decisions, all at once, at a member that has not joined.
func (f *Follower) join(o *encoder.GroupOrder) bool {
	if f.joined {
		return true
	}
	if !f.engineKnown || o.GetIncarnation() != f.incarnation {
		return false
	}
	m := DecodeMap(o.GetMap())
	if f.active.GetVersion() > m.Version {
		return false
	}
	f.active, f.digest = m, m.Digest()
	f.decidedVersion = max(f.decidedVersion, m.Version)
	if next := o.GetNextMap(); next != nil {
		f.prepared = &prepared{m: DecodeMap(next), fence: o.GetFenceStep(), committed: true}
		f.decidedVersion = max(f.decidedVersion, next.GetVersion())
	}
	f.joined = true
	f.notify()
	return true
}

// commit commits the prepared map, which becomes active at its fence.
func (f *Follower) commit(o *encoder.GroupOrder) bool {
	if f.isActive(o.GetVersion()) {
		return true
	}
	p := f.prepared
	if p == nil || p.m.Version != o.GetVersion() {
		return false
	}
	if err := asserter.Holds(o.GetEpoch() == f.epoch, asserter.RuleEpoch, "commit of epoch %d under %d", o.GetEpoch(), f.epoch); err != nil {
		return false
	}
	p.committed = true
	f.decidedVersion = max(f.decidedVersion, p.m.Version)
	f.notify()
	return true
}

// abort discards the prepared map. A committed map is never aborted.
func (f *Follower) abort(o *encoder.GroupOrder) bool {
	p := f.prepared
	if p != nil && p.m.Version == o.GetVersion() {
		if p.committed {
			return false
		}
		f.prepared = nil
		f.notify()
	}
	f.decidedVersion = max(f.decidedVersion, o.GetVersion())
	return true
}

func (f *Follower) isActive(version uint64) bool {
	return f.active != nil && f.active.Version == version
}

// stage copies the weights for a map in the background. It does nothing if the
// latest staged map has the same version and has not failed.
func (f *Follower) stage(m *planner.Map) {
	if f.staged.m != nil && f.staged.m.Version == m.Version {
		return
	}
	f.staged = staged{m: m}
	go func() {
		if err := f.engine.Stage(f.engineCtx, m); err != nil {
			log.Warn("failed to stage weights", "step", "stage", "group", f.group, "version", m.Version, "error", err)
			f.finishStage(m, false)
			return
		}
		f.finishStage(m, true)
	}()
}

func (f *Follower) finishStage(m *planner.Map, done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.staged.m != m {
		return
	}
	f.staged.done = done
	if !done {
		f.staged.m = nil
	}
}

// notify wakes all held steps.
func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// reply returns the state, with maps and measurements if the order wants them. The
// caller holds mu.
func (f *Follower) reply(o *encoder.GroupOrder) *encoder.GroupReply {
	r := &encoder.GroupReply{
		Epoch: f.epoch, Step: f.step, Instance: f.instance, Incarnation: f.incarnation, Version: f.active.GetVersion(),
		Joined: f.joined, EngineKnown: f.engineKnown,
	}
	if p := f.prepared; p != nil {
		r.PreparedVersion, r.FenceStep, r.Committed = p.m.Version, p.fence, p.committed
	}
	r.StagingVersion = f.staged.m.GetVersion()
	if f.staged.done {
		r.StagedVersion = f.staged.m.Version
	}
	if o.GetWithMaps() {
		r.Map = EncodeMap(f.active)
		if f.prepared != nil {
			r.PreparedMap = EncodeMap(f.prepared.m)
		}
	}
	if f.hasBacklog != nil {
		r.FieldLate = f.hasBacklog()
	}
	if o.GetWithCounts() {
		f.report(r)
	}
	return r
}

// stallTimeout is how long after a step began without a further one the group
// counts as stalled.
const stallTimeout = 3 * time.Second

// IsStalled reports whether the group has begun a step but no further one within
// stallTimeout.
func (f *Follower) IsStalled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.step > 0 && time.Since(f.stepBegun) > stallTimeout
}
