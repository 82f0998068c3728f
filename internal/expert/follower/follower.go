// Package follower is a member's side of a model group: it promises, holds
// steps at a fence, and asserts that every step uses the group's one expert map.
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

// Engine is the group side of a model engine.
type Engine interface {
	// Stage copies the weights that a map needs, and returns when they are there.
	Stage(ctx context.Context, m *planner.Map) error
	// GetMemory returns what the engine remembers of its latest step. From then
	// on the engine begins no step that an agent of an older incarnation granted.
	GetMemory(ctx context.Context, incarnation uint64) (Memory, error)
}

// Assignment is the map that a member uses in a step.
type Assignment struct {
	Step    uint64 `json:"step"`
	Version uint64 `json:"version"`
	Digest  uint64 `json:"digest"`
}

// Memory is what an engine remembers of its latest step. It outlives the agent.
type Memory struct {
	// Step is 0 for an engine that has made no step.
	Step uint64
	// Map is nil for an engine that has made no step.
	Map *planner.Map
}

// ErrHeld says that a step may not begin yet.
var ErrHeld = errors.New("step is held until the map is decided")

// IsErrHeld reports whether err says that a step may not begin yet.
func IsErrHeld(err error) bool { return errors.Is(err, ErrHeld) }

// staged is a map whose weights are being copied or are there.
type staged struct {
	m    *planner.Map
	done bool
}

// prepared is a promise: fence may not begin before the decision is heard.
type prepared struct {
	m         *planner.Map
	fence     uint64
	committed bool
}

// Follower is one member; it is safe for concurrent use.
type Follower struct {
	group, instance string
	incarnation     uint64
	engine          Engine
	background      context.Context //nolint:containedctx // bounds staging

	mu sync.Mutex
	// epoch is the highest one promised; it never falls.
	epoch uint64
	// joined is false until a coordinator has told what the group decided: a
	// member that was restarted has lost its promises and begins no step.
	joined bool
	// engineKnown says that the engine has told its memory since the start.
	engineKnown bool
	// inForce is nil until the engine or a coordinator has told a map.
	inForce *planner.Map
	digest  uint64
	// prepared is nil without a promise. Its version is above inForce's.
	prepared *prepared
	// closed is the highest version that was decided; a late PREPARE of it or of
	// an older one is refused.
	closed uint64
	staged staged
	// isLate, if set, reports whether field work waits at this member.
	isLate func() bool
	// step is the latest one begun; it never falls.
	step    uint64
	begun   time.Time
	changed chan struct{}
	Meter
}

// Option configures a Follower.
type Option func(*Follower)

// WithLate sets what reports whether field work waits at this member.
func WithLate(f func() bool) Option { return func(fo *Follower) { fo.isLate = f } }

// New returns a Follower that has not joined. ctx bounds staging.
func New(ctx context.Context, group, instance string, incarnation uint64, engine Engine, opts ...Option) *Follower {
	f := &Follower{
		group: group, instance: instance, incarnation: incarnation, engine: engine, background: ctx,
		changed: make(chan struct{}), begun: time.Now(),
	}
	for _, opt := range opts {
		opt(f)
	}
	go f.recall()
	return f
}

// BeginStep waits until a step may begin and returns the map to use in it.
func (f *Follower) BeginStep(ctx context.Context, step uint64) (Assignment, *planner.Map, error) {
	for {
		f.mu.Lock()
		a, err := f.begin(step)
		m, changed := f.inForce, f.changed
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

// recallPause is the pause between two questions to the engine.
const recallPause = 100 * time.Millisecond

// recall asks the engine for its memory until it answers.
func (f *Follower) recall() {
	for f.background.Err() == nil {
		memory, err := f.engine.GetMemory(f.background, f.incarnation)
		if err == nil {
			f.setMemory(memory)
			return
		}
		log.Debug("engine memory missing", "step", "recall", "group", f.group, "error", err)
		select {
		case <-f.background.Done():
		case <-time.After(recallPause):
		}
	}
}

// setMemory takes in the engine's memory, which this member lacks at its start.
func (f *Follower) setMemory(memory Memory) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engineKnown = true
	if memory.Map == nil {
		return
	}
	f.inForce, f.digest = memory.Map, memory.Map.Digest()
	f.step = max(f.step, memory.Step)
	f.closed = max(f.closed, memory.Map.Version)
}

// begin decides under mu whether a step may begin.
func (f *Follower) begin(step uint64) (Assignment, error) {
	if !f.joined {
		return Assignment{}, ErrHeld
	}
	if p := f.prepared; p != nil && step >= p.fence {
		if !p.committed {
			return Assignment{}, ErrHeld
		}
		if err := f.install(p.m); err != nil {
			return Assignment{}, err
		}
	}
	if step > f.step {
		f.step = step
		f.begun = time.Now()
	}
	return Assignment{Step: step, Version: f.inForce.Version, Digest: f.digest}, nil
}

// install puts a map in force; versions never fall.
func (f *Follower) install(m *planner.Map) error {
	ok := f.inForce == nil || m.Version > f.inForce.Version
	if err := asserter.Holds(ok, asserter.RuleOneMap, "%s: version %d after %d", f.instance, m.Version, f.inForce.GetVersion()); err != nil {
		return err
	}
	f.inForce, f.digest = m, m.Digest()
	f.closed = max(f.closed, m.Version)
	f.prepared = nil
	return nil
}

// ConfirmStep asserts that all members use one map in a step. The step must not
// run when it returns an error.
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

// Handle carries out one order of a coordinator.
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

// prepare promises to hold at the fence, unless the fence has passed or the
// version was decided already.
func (f *Follower) prepare(o *encoder.GroupOrder) bool {
	if f.isInForce(o.GetVersion()) {
		return true
	}
	if !f.joined || o.GetVersion() <= f.closed || o.GetFenceStep() <= f.step {
		return false
	}
	if p := f.prepared; p != nil {
		return p.m.Version == o.GetVersion() && p.fence == o.GetFenceStep()
	}
	f.prepared = &prepared{m: DecodeMap(o.GetMap()), fence: o.GetFenceStep()}
	return true
}

// join takes the group's decisions in, all at once, for a member without memory.
func (f *Follower) join(o *encoder.GroupOrder) bool {
	if f.joined {
		return true
	}
	if !f.engineKnown || o.GetIncarnation() != f.incarnation {
		return false
	}
	m := DecodeMap(o.GetMap())
	if f.inForce.GetVersion() > m.Version {
		return false
	}
	f.inForce, f.digest = m, m.Digest()
	f.closed = max(f.closed, m.Version)
	if next := o.GetNextMap(); next != nil {
		f.prepared = &prepared{m: DecodeMap(next), fence: o.GetFenceStep(), committed: true}
		f.closed = max(f.closed, next.GetVersion())
	}
	f.joined = true
	f.notify()
	return true
}

// commit decides the prepared version. It takes effect at the fence.
func (f *Follower) commit(o *encoder.GroupOrder) bool {
	if f.isInForce(o.GetVersion()) {
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
	f.closed = max(f.closed, p.m.Version)
	f.notify()
	return true
}

// abort drops the promise. A decision for commit is never taken back.
func (f *Follower) abort(o *encoder.GroupOrder) bool {
	p := f.prepared
	if p != nil && p.m.Version == o.GetVersion() {
		if p.committed {
			return false
		}
		f.prepared = nil
		f.notify()
	}
	f.closed = max(f.closed, o.GetVersion())
	return true
}

func (f *Follower) isInForce(version uint64) bool {
	return f.inForce != nil && f.inForce.Version == version
}

// stage copies weights in the background, once for each version.
func (f *Follower) stage(m *planner.Map) {
	if f.staged.m != nil && f.staged.m.Version == m.Version {
		return
	}
	f.staged = staged{m: m}
	go func() {
		if err := f.engine.Stage(f.background, m); err != nil {
			log.Warn("weights not staged", "step", "stage", "group", f.group, "version", m.Version, "error", err)
			f.endStage(m, false)
			return
		}
		f.endStage(m, true)
	}()
}

func (f *Follower) endStage(m *planner.Map, done bool) {
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

// notify wakes those who wait at a fence.
func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// reply reports the state under mu.
func (f *Follower) reply(o *encoder.GroupOrder) *encoder.GroupReply {
	r := &encoder.GroupReply{
		Epoch: f.epoch, Step: f.step, Instance: f.instance, Incarnation: f.incarnation, Version: f.inForce.GetVersion(),
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
		r.Map = EncodeMap(f.inForce)
		if f.prepared != nil {
			r.PreparedMap = EncodeMap(f.prepared.m)
		}
	}
	if f.isLate != nil {
		r.FieldLate = f.isLate()
	}
	if o.GetWithCounts() {
		f.report(r)
	}
	return r
}

// stallAfter is how long a step may last before the group counts as stalled.
const stallAfter = 3 * time.Second

// IsStalled reports whether the group makes no steps.
func (f *Follower) IsStalled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.step > 0 && time.Since(f.begun) > stallAfter
}
