package commander

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/check/asserter"
	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/process/sleeper"
)

// Change brings a placement into force. It returns when every rank is armed and
// the pass is released, or with an error when the change was not made or has to
// be finished by Recover.
func (c *Commander) Change(ctx context.Context, g Group, own *Status, order Prepare) error {
	start := time.Now()
	if err := c.prepare(ctx, g, order); err != nil {
		return err
	}
	log.Info("map prepared", "event", "map_prepared", "version", order.Version, "epoch", g.Epoch(), "ranks", len(g), "took", time.Since(start))
	if c.lost.Swap(false) {
		c.ahead = max(c.ahead, lossAhead)
	} else {
		c.ahead = max(c.ahead-1, leastAhead)
	}
	step, err := c.hold(ctx, g, own)
	if err != nil {
		return err
	}
	return c.finish(ctx, g, []held{{Status: own, step: step}}, nil, Armed{Version: order.Version, Step: step})
}

// prepare copies a map to all ranks, the first rank deciding among leaders.
func (c *Commander) prepare(ctx context.Context, g Group, order Prepare) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	first := g.First()
	// Another leader's map may be prepared everywhere and about to be armed. Then
	// the other ranks keep it until the first rank has given it up.
	pending := first.Prepared != nil && *first.Prepared > first.Version
	if err := c.prepareFirst(ctx, g, order); err != nil {
		return err
	}
	ranks := newCopies(g)
	ranks[0].sent = true
	if !pending {
		c.sendAll(ctx, g, ranks, Directive{Order: order, Epoch: g.Epoch()})
	}
	for {
		if sleeper.Sleep(ctx, preparePoll); ctx.Err() != nil {
			return wrapper.At("prepare", "", errPreparing)
		}
		if err := c.confirm(ctx, g, ranks, order); err != nil {
			return err
		}
		if ranks.areReady() {
			return nil
		}
		if !pending || ranks[0].ready {
			c.sendAll(ctx, g, ranks, Directive{Order: order, Epoch: g.Epoch()})
		}
	}
}

// copies says how far each rank is with a map.
type copies []struct {
	// sent says that the rank has taken the order and has not been seen to lack it.
	sent bool
	// ready says that the rank was seen to have prepared the map. Only another leader's
	// newer map can change that, and then the first rank can't be armed (rule 3).
	ready bool
}

func newCopies(g Group) copies { return make(copies, len(g)) }

func (x copies) areReady() bool {
	for _, r := range x {
		if !r.ready {
			return false
		}
	}
	return true
}

// confirm looks at the ranks that are not known to be ready.
func (c *Commander) confirm(ctx context.Context, g Group, ranks copies, order Prepare) error {
	var left Group
	for i, s := range g {
		if !ranks[i].ready {
			left = append(left, s)
		}
	}
	for i, s := range c.readAll(ctx, left, Query{LeaderRank: g.First().Rank}) {
		ready, lacks, err := checkPrepared(g, left[i].Rank, s, order)
		if err != nil {
			return err
		}
		r := &ranks[left[i].Rank]
		r.ready, r.sent = ready, r.sent && !lacks
	}
	return nil
}

// checkPrepared reports whether a rank has prepared a map, and whether it lacks it:
// a rank that has neither it nor a copy in progress is to be sent the order again.
func checkPrepared(g Group, rank int, s *Status, order Prepare) (ready, lacks bool, err error) {
	switch {
	case s == nil:
		return false, false, nil
	case s.Epoch != g.Epoch() || s.Broken:
		return false, false, wrapper.At("prepare", s.Addr.String(), errOtherEpoch)
	case s.Prepared != nil && *s.Prepared > order.Version:
		return false, false, wrapper.At("prepare", s.Addr.String(), errOtherMap)
	case s.Prepared != nil && *s.Prepared == order.Version:
		// A rank read from afar does not tell its experts.
		if s.PreparedDigest != 0 && s.PreparedDigest != Digest(order.Placement, rank) {
			return false, false, wrapper.At("check_prepared", s.Addr.String(), errOtherMap)
		}
		return true, false, nil
	}
	return false, !s.Busy, nil
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
func (c *Commander) sendAll(ctx context.Context, g Group, ranks copies, d Directive) {
	var wg sync.WaitGroup
	for i, s := range g {
		if ranks[i].sent || ranks[i].ready {
			continue
		}
		wg.Go(func() { ranks[i].sent = c.send(ctx, s, d) == nil })
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
	var confirmed atomic.Int64
	confirmed.Add(1)
	var wg sync.WaitGroup
	for i, s := range g[1:] {
		wg.Go(func() {
			if errs[i] = c.insist(armCtx, s, d, isArmed); errs[i] == nil {
				confirmed.Add(1)
			}
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("%w: %w", errNotArmed, err)
	}
	all := confirmed.Load() == int64(len(g))
	if err := asserter.Holds(all, asserter.RuleOneMap, "%d of %d ranks armed with %d", confirmed.Load(), len(g), a.Version); err != nil {
		return err
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
