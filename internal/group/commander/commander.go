// Package commander changes the expert map of a lock-step group so that no pass
// runs under two maps, whatever becomes of its orders and of itself.
//
// The engines check little: each refuses a map whose version is not above all it
// has had, an arm for a map it has not prepared or a pass that has begun, and an
// order of another epoch or with an old sequence. Orders may be lost, or be
// carried out seconds later. Safety rests on five rules:
//
//  1. A change begins with preparing the map at the first rank, under the
//     sequence read there: of two leaders one wins. Versions are never used for
//     two maps.
//  2. Nothing is armed before every rank has reported the map as prepared, with
//     the experts that were sent, and before the leader's own rank holds the pass.
//     Nobody arms the first rank under a hold of another leader, or of an earlier
//     life: its release may be under way.
//  3. The first rank is armed first. While it is not armed, no other rank is, and
//     preparing a newer map there makes the older one impossible; the other ranks
//     keep an older one until then. Once it is armed, the change can only go
//     forward, and whoever finds it may finish it.
//  4. A leader releases its own hold when every rank has confirmed that it is armed
//     with this version for this pass, or when the first rank can't be armed with
//     it any more. It releases the hold of another only when every rank is armed,
//     or when it has made every older map impossible at the first rank.
//  5. An order without an answer is sent again until its effect is seen. A copy
//     that is carried out later finds its version not prepared, its pass begun,
//     or the same state.
package commander

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/group/shifter"
	"siskinfall/internal/process/sleeper"
)

// Armed is a map that comes into force at a pass.
type Armed struct {
	Version uint64
	Step    uint64
}

// Status is the state of one engine of a group.
type Status struct {
	Addr    netip.AddrPort
	Started time.Time
	Group   string
	Epoch   uint64
	Rank    int
	Size    int
	// Broken says that the group runs nothing.
	Broken bool
	// Step is the latest pass that has begun.
	Step uint64
	// Version is that of the map in force.
	Version uint64
	// Busy says that an order is in progress.
	Busy bool
	// Sequence counts the orders that have begun something.
	Sequence uint64
	// Prepared is nil if no map is prepared.
	Prepared *uint64
	// PreparedDigest identifies the experts of this rank that are prepared.
	PreparedDigest uint64
	// Armed is nil if no map is armed.
	Armed *Armed
	// Held is the pass that the group may not begin, nil for none.
	Held             *uint64
	Running, Waiting int
	Memory           int
	// Slowness is how many times longer the rank takes than a sound one.
	Slowness float64
	// Counts and Experts are told only if they were asked for.
	Counts  []uint64
	Experts [][]int
}

// Order is an order to one engine.
type Order interface{ order() }

// Prepare copies what a map needs.
type Prepare struct {
	Version   uint64
	Placement shifter.Placement
}

// Arm brings a prepared map into force at a pass.
type Arm struct{ Armed }

// Disarm takes an arm back.
type Disarm struct{ Version uint64 }

// Hold keeps the group from beginning a pass.
type Hold struct{ Step uint64 }

// Release ends a hold.
type Release struct{ Step uint64 }

func (Prepare) order() {}
func (Arm) order()     {}
func (Disarm) order()  {}
func (Hold) order()    {}
func (Release) order() {}

// Directive is an order with its conditions.
type Directive struct {
	Order
	Epoch uint64
	// Sequence is the one that the engine must be at, nil if it does not matter.
	Sequence *uint64
}

// ErrConflict says that an order does not fit the engine's state; it was not
// carried out.
var ErrConflict = errors.New("order does not fit the engine's state")

// Query says what to read besides the status.
type Query struct {
	LeaderRank int
	WithCounts bool
	// KnownVersion is the map whose experts need not be told.
	KnownVersion uint64
}

// Transport reaches the engines of a group. An error other than ErrConflict
// leaves open whether an order was or will be carried out.
type Transport interface {
	Read(ctx context.Context, engine netip.AddrPort, q Query) (*Status, error)
	Send(ctx context.Context, engine netip.AddrPort, d Directive) error
}

// Times of a change.
const (
	// orderTimeout bounds one try of an order; an engine answers in about 2 ms.
	orderTimeout = 60 * time.Millisecond
	// readTimeout bounds one reading of an engine.
	readTimeout = 250 * time.Millisecond
	// prepareTimeout bounds the copies of one change: a dozen experts at 35 ms
	// each, several times over.
	prepareTimeout = 4 * time.Second
	// preparePoll is the pause between two looks at the copies.
	preparePoll = 60 * time.Millisecond
	// armTimeout bounds the arming of all ranks while a pass is held; then the
	// change is left to recovery.
	armTimeout = 6 * time.Second
	// retryPause is the pause before an order is sent again.
	retryPause = 10 * time.Millisecond
	// leastAhead is how many passes ahead a change comes into force; it covers
	// the orders of a change, some 10 ms, with one pass to spare.
	leastAhead = 2
	// lossAhead is used while orders get lost: four passes cover several tries, so
	// that the group need not wait for the last rank.
	lossAhead = 5
	// slowArming is an arming so slow that the group waited for it, and slowStep the
	// passes added then; a pass takes some 60 ms.
	slowArming = 150 * time.Millisecond
	slowStep   = 2
	// mostAhead bounds it: the old map costs more with each pass.
	mostAhead = 8
	// idleSpread spreads the passes held while a group begins none.
	idleSpread = 4
	// holdTries bounds the tries to hold a pass before it begins.
	holdTries = 4
)

var (
	errNotWhole   = errors.New("not all ranks of one epoch have answered")
	errOutrun     = errors.New("passes begin faster than they can be held")
	errPreparing  = errors.New("map was not prepared in time")
	errOtherMap   = errors.New("another map is prepared")
	errNotArmed   = errors.New("not all ranks could be armed")
	errOtherEpoch = errors.New("group has begun another epoch")
)

// Group is one reading of all ranks of a group, in the order of the ranks, all of
// one epoch.
type Group []*Status

// First is the rank at which changes are decided.
func (g Group) First() *Status { return g[0] }

// Epoch is that of all ranks.
func (g Group) Epoch() uint64 { return g[0].Epoch }

// Step is the latest pass that any rank has begun.
func (g Group) Step() uint64 {
	step := uint64(0)
	for _, s := range g {
		step = max(step, s.Step)
	}
	return step
}

// Held returns a rank that holds a pass, nil if none does.
func (g Group) Held() *Status {
	for _, s := range g {
		if s.Held != nil {
			return s
		}
	}
	return nil
}

// holders returns all ranks that hold a pass.
func (g Group) holders() []held {
	var out []held
	for _, s := range g {
		if s.Held != nil {
			out = append(out, held{Status: s, step: *s.Held})
		}
	}
	return out
}

// Armed returns what the first rank is armed with, nil for nothing. By rule 3 no
// other rank is armed while the first is not.
func (g Group) Armed() *Armed { return g.First().Armed }

// AllPrepared returns the version above the one in force that all ranks have
// prepared.
func (g Group) AllPrepared() (uint64, bool) {
	first := g.First()
	if first.Prepared == nil || *first.Prepared <= first.Version {
		return 0, false
	}
	for _, s := range g {
		if s.Prepared == nil || *s.Prepared != *first.Prepared {
			return 0, false
		}
	}
	return *first.Prepared, true
}

// NewGroup orders the statuses of one group by rank. It fails unless every rank
// is there once, in one epoch, in a group that is open.
func NewGroup(all []*Status) (Group, error) {
	if len(all) == 0 {
		return nil, errNotWhole
	}
	g := make(Group, all[0].Size)
	for _, s := range all {
		if s.Group != all[0].Group || s.Epoch != all[0].Epoch || s.Size != all[0].Size || s.Rank < 0 || s.Rank >= s.Size || s.Broken {
			return nil, errNotWhole
		}
		g[s.Rank] = s
	}
	for _, s := range g {
		if s == nil {
			return nil, errNotWhole
		}
	}
	return g, nil
}

// Commander makes changes. It is used by one goroutine.
type Commander struct {
	transport Transport
	// ahead is how many passes ahead the next change comes into force.
	ahead uint64
	// lost says that an order went unanswered since the latest change.
	lost atomic.Bool
	// lastStep is the highest pass that was held or seen; passes are not held twice.
	lastStep uint64
	// counter is that of the latest version made.
	counter uint64
	// random draws the low bits of versions.
	random func() uint64
}

// New returns a Commander; random draws any number.
func New(t Transport, random func() uint64) *Commander {
	return &Commander{transport: t, ahead: leastAhead, random: random}
}

// Version bits below the time of day in milliseconds: the leader's rank, then
// random ones, so that no two leaders, nor two lives of one, use a version twice.
// Versions stay exact in the numbers of JSON.
const (
	rankBits   = 7
	randomBits = 5
)

const (
	// refusedStep is added to the time when an engine refuses a version: it has
	// had a higher one, under a clock that was ahead by seconds.
	refusedStep = 1000
	// behindSpread spreads the versions of a leader whose clock is behind.
	behindSpread = 4096
)

// versionStart is when versions begin: later than none that this protocol made.
var versionStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// NewVersion returns a version above every version that the ranks are known to
// have had. A group that has begun anew tells none of its old versions, so
// versions follow the time of day.
func (c *Commander) NewVersion(g Group, leader int, now time.Time) uint64 {
	highest := uint64(0)
	for _, s := range g {
		highest = max(highest, s.Version)
		if s.Prepared != nil {
			highest = max(highest, *s.Prepared)
		}
	}
	counter := uint64(max(now.Sub(versionStart).Milliseconds(), 1))
	if behind := max(highest>>(rankBits+randomBits), c.counter); behind >= counter {
		counter = behind + 1 + c.random()%behindSpread
	}
	c.counter = counter
	return counter<<(rankBits+randomBits) | uint64(leader)<<randomBits | c.random()&(1<<randomBits-1)
}

// Change brings a placement into force. It returns when every rank is armed and
// the pass is released, or with an error when the change was not made or has to
// be finished by Recover.
func (c *Commander) Change(ctx context.Context, g Group, own *Status, version uint64, p shifter.Placement) error {
	if err := c.prepare(ctx, g, version, p); err != nil {
		return err
	}
	if c.lost.Swap(false) {
		c.ahead = max(c.ahead, lossAhead)
	} else {
		c.ahead = max(c.ahead-1, leastAhead)
	}
	step, err := c.hold(ctx, g, own)
	if err != nil {
		return err
	}
	return c.finish(ctx, g, []held{{Status: own, step: step}}, nil, Armed{Version: version, Step: step})
}

// held is a rank that holds a pass.
type held struct {
	*Status
	step uint64
}

// prepare copies a map to all ranks, the first rank deciding among leaders.
func (c *Commander) prepare(ctx context.Context, g Group, version uint64, p shifter.Placement) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	first := g.First()
	// Another leader's map may be prepared everywhere and about to be armed. Then
	// the other ranks keep it until the first rank has given it up.
	pending := first.Prepared != nil && *first.Prepared > first.Version
	order := Prepare{Version: version, Placement: p}
	if err := c.prepareFirst(ctx, g, order); err != nil {
		return err
	}
	sent := make([]bool, len(g))
	sent[0] = true
	for {
		all := c.readAll(ctx, g, Query{LeaderRank: first.Rank})
		ready, err := checkPrepared(g, all, sent, order)
		if err != nil || ready {
			return err
		}
		if !pending || all[0] != nil && all[0].Prepared != nil && *all[0].Prepared == version {
			c.sendAll(ctx, g, sent, Directive{Order: order, Epoch: g.Epoch()})
		}
		if sleeper.Sleep(ctx, preparePoll); ctx.Err() != nil {
			return wrapper.At("prepare", "", errPreparing)
		}
	}
}

// checkPrepared reports whether all ranks have prepared a map. A rank that has
// neither it nor a copy in progress is to be sent the order again.
func checkPrepared(g Group, all []*Status, sent []bool, order Prepare) (bool, error) {
	ready := true
	for i, s := range all {
		switch {
		case s == nil:
			ready = false
		case s.Epoch != g.Epoch() || s.Broken:
			return false, wrapper.At("prepare", s.Addr.String(), errOtherEpoch)
		case s.Prepared != nil && *s.Prepared > order.Version:
			return false, wrapper.At("prepare", s.Addr.String(), errOtherMap)
		case s.Prepared != nil && *s.Prepared == order.Version:
			// A rank read from afar does not tell its experts.
			if s.PreparedDigest != 0 && s.PreparedDigest != Digest(order.Placement, i) {
				return false, wrapper.At("check_prepared", s.Addr.String(), errOtherMap)
			}
		default:
			ready = false
			sent[i] = sent[i] && s.Busy
		}
	}
	return ready, nil
}

// prepareFirst begins to prepare a map at the first rank, unless another leader
// has begun something there since it was read.
func (c *Commander) prepareFirst(ctx context.Context, g Group, order Prepare) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	first := g.First()
	if first.Busy {
		return wrapper.At("prepare", first.Addr.String(), errOtherMap)
	}
	sequence := first.Sequence
	err := c.insist(ctx, first, Directive{Order: order, Epoch: g.Epoch(), Sequence: &sequence}, func(s *Status) verdict {
		switch {
		case s.Prepared != nil && *s.Prepared == order.Version:
			return done
		case s.Sequence == sequence+1 && s.Busy:
			// This order or another leader's.
			return open
		}
		return missing
	})
	if errors.Is(err, ErrConflict) {
		c.counter += refusedStep
	}
	return err
}

// sendAll sends an order to the ranks that have not taken it yet.
func (c *Commander) sendAll(ctx context.Context, g Group, sent []bool, d Directive) {
	var wg sync.WaitGroup
	for i, s := range g {
		if sent[i] {
			continue
		}
		wg.Go(func() { sent[i] = c.send(ctx, s, d) == nil })
	}
	wg.Wait()
}

// hold keeps the group from beginning a pass a little ahead, at the leader's own
// rank.
func (c *Commander) hold(ctx context.Context, g Group, own *Status) (uint64, error) {
	for range holdTries {
		s, err := c.read(ctx, own.Addr, Query{LeaderRank: own.Rank})
		if err != nil {
			return 0, err
		}
		if s.Epoch != g.Epoch() || s.Broken {
			return 0, wrapper.At("hold", own.Addr.String(), errOtherEpoch)
		}
		if s.Held != nil {
			return 0, wrapper.At("hold", own.Addr.String(), ErrConflict)
		}
		step := s.Step + c.ahead
		if step <= c.lastStep {
			// The group idles. A release of an earlier life may be under way for the
			// pass that it held, so another one is drawn.
			step = c.lastStep + 1 + c.random()%idleSpread
		}
		c.lastStep = step
		err = c.insist(ctx, own, Directive{Order: Hold{Step: step}, Epoch: g.Epoch()}, func(s *Status) verdict {
			return doneIf(s.Held != nil && *s.Held == step)
		})
		if err == nil {
			return step, nil
		}
		if !errors.Is(err, ErrConflict) {
			return 0, err
		}
		c.ahead = min(c.ahead+1, mostAhead)
	}
	return 0, wrapper.At("hold", own.Addr.String(), errOutrun)
}

// finish arms all ranks, the first one first, and releases own holds and those of
// others. An own hold must keep the pass from beginning.
func (c *Commander) finish(ctx context.Context, g Group, own, others []held, a Armed) error {
	start := time.Now()
	armCtx, cancel := context.WithTimeout(ctx, armTimeout)
	defer cancel()
	isArmed := func(s *Status) verdict {
		return doneIf(s.Armed != nil && *s.Armed == a || s.Version == a.Version)
	}
	d := Directive{Order: Arm{Armed: a}, Epoch: g.Epoch()}
	if err := c.insist(armCtx, g.First(), d, isArmed); err != nil {
		if errors.Is(err, ErrConflict) {
			// The first rank can't be armed with this version any more, so no rank
			// is or will be.
			return errors.Join(err, c.releaseAll(ctx, g, own))
		}
		return err
	}
	errs := make([]error, len(g))
	var wg sync.WaitGroup
	for i, s := range g[1:] {
		wg.Go(func() { errs[i] = c.insist(armCtx, s, d, isArmed) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("%w: %w", errNotArmed, err)
	}
	if err := c.releaseAll(ctx, g, append(own, others...)); err != nil {
		return err
	}
	if time.Since(start) > slowArming {
		c.ahead = min(c.ahead+slowStep, mostAhead)
	}
	log.Info("pass released", "event", "map_released", "version", a.Version, "pass", a.Step, "epoch", g.Epoch(),
		"armed_in", time.Since(start), "ahead", c.ahead)
	return nil
}

func (c *Commander) releaseAll(ctx context.Context, g Group, holders []held) error {
	errs := make([]error, 0, len(holders))
	for _, h := range holders {
		errs = append(errs, c.release(ctx, g, h.Status, h.step))
	}
	return errors.Join(errs...)
}

func (c *Commander) release(ctx context.Context, g Group, holder *Status, step uint64) error {
	ctx, cancel := context.WithTimeout(ctx, armTimeout)
	defer cancel()
	return c.insist(ctx, holder, Directive{Order: Release{Step: step}, Epoch: g.Epoch()}, func(s *Status) verdict {
		return doneIf(s.Held == nil || *s.Held != step)
	})
}

// Recover ends what another leader has left: it finishes a change that has been
// decided at the first rank, and makes any other impossible before it releases
// what is held. heldFor is how long a pass has been seen as held, present the
// placement in force, nil if it is not known.
func (c *Commander) Recover(ctx context.Context, g Group, leader int, heldFor time.Duration, present shifter.Placement) error {
	holders := g.holders()
	if len(holders) == 0 {
		return nil
	}
	armed := g.Armed()
	log.Warn("held pass found", "event", "map_recovery", "holder", holders[0].Addr, "holders", len(holders), "pass", holders[0].step,
		"epoch", g.Epoch(), "armed", armed != nil, "step", g.Step(), "held_for", heldFor)
	switch {
	case armed != nil:
		// Whoever armed the first rank keeps its hold until all ranks are armed.
		return c.finish(ctx, g, nil, holders, *armed)
	case present == nil:
		return nil
	}
	return c.neutralise(ctx, g, leader, holders, present)
}

// neutralise makes every older map impossible by preparing the present placement
// under a new version at the first rank, and releases all holds.
func (c *Commander) neutralise(ctx context.Context, g Group, leader int, holders []held, present shifter.Placement) error {
	version := c.NewVersion(g, leader, time.Now())
	if err := c.prepareFirst(ctx, g, Prepare{Version: version, Placement: present}); err != nil {
		return err
	}
	for {
		s, err := c.read(ctx, g.First().Addr, Query{LeaderRank: leader})
		switch {
		case err != nil:
		case s.Epoch != g.Epoch() || s.Armed != nil:
			return wrapper.At("neutralise", s.Addr.String(), ErrConflict)
		case s.Prepared != nil && *s.Prepared == version:
			return c.releaseAll(ctx, g, holders)
		}
		if sleeper.Sleep(ctx, retryPause); ctx.Err() != nil {
			return wrapper.At("neutralise", g.First().Addr.String(), errPreparing)
		}
	}
}

// verdict says what a status tells of an order's effect.
type verdict int

const (
	// missing: the order has had no effect.
	missing verdict = iota
	// open: it may have had one.
	open
	// done: the state is the one ordered.
	done
)

func doneIf(ok bool) verdict {
	if ok {
		return done
	}
	return missing
}

// insist sends an order until it is accepted, its effect is seen, it does not fit
// any more, or ctx ends.
func (c *Commander) insist(ctx context.Context, s *Status, d Directive, judge func(*Status) verdict) error {
	for {
		err := c.send(ctx, s, d)
		if err == nil {
			return nil
		}
		now, readErr := c.read(ctx, s.Addr, Query{LeaderRank: s.Rank})
		if readErr == nil {
			if now.Epoch != d.Epoch || now.Broken {
				return wrapper.At("order", s.Addr.String(), errOtherEpoch)
			}
			switch judge(now) {
			case done:
				return nil
			case missing:
				if errors.Is(err, ErrConflict) {
					return wrapper.At("order", s.Addr.String(), err)
				}
			case open:
			}
		}
		if sleeper.Sleep(ctx, retryPause); ctx.Err() != nil {
			return wrapper.At("order", s.Addr.String(), err)
		}
	}
}

func (c *Commander) send(ctx context.Context, s *Status, d Directive) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := c.transport.Send(ctx, s.Addr, d)
	if err != nil && !errors.Is(err, ErrConflict) {
		c.lost.Store(true)
	}
	if err != nil {
		log.Info("order not confirmed", "event", "order", "engine", s.Addr, "rank", s.Rank, "order", fmt.Sprintf("%T", d.Order),
			"epoch", d.Epoch, "error", err)
	}
	return err
}

func (c *Commander) read(ctx context.Context, addr netip.AddrPort, q Query) (*Status, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return c.transport.Read(ctx, addr, q)
}

// readAll reads all ranks at once; those that do not answer are nil.
func (c *Commander) readAll(ctx context.Context, g Group, q Query) []*Status {
	addrs := make([]netip.AddrPort, len(g))
	for i, s := range g {
		addrs[i] = s.Addr
	}
	return c.ReadAll(ctx, addrs, q)
}

// ReadAll reads engines at once; those that do not answer are nil.
func (c *Commander) ReadAll(ctx context.Context, addrs []netip.AddrPort, q Query) []*Status {
	out := make([]*Status, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() {
			s, err := c.read(ctx, addr, q)
			if err != nil {
				log.Debug("engine not read", "engine", addr, "error", err)
				return
			}
			out[i] = s
		})
	}
	wg.Wait()
	return out
}
