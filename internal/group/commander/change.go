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

// Change brings a placement into force. It returns nil when every rank is armed and
// the pass is released. It returns an error when the change was not made, or when
// Recover has to complete it.
func (c *Commander) Change(ctx context.Context, g Group, own *Status, order Prepare) error {
	start := time.Now()
	c.Observe(own)
	if _, ok := c.passes.next(own.Epoch, own.Step, c.ahead(order.Urgent)); !ok {
		return wrapper.At("hold", own.Addr.String(), errNoFreePass)
	}
	if err := c.prepare(ctx, g, order); err != nil {
		return err
	}
	log.Info("all ranks have prepared the map", "event", "map_prepared", "version", order.Version, "epoch", g.Epoch(), "ranks", len(g), "took", time.Since(start))
	if c.orderLost.Swap(false) {
		c.passesAhead = max(c.passesAhead, lossPassesAhead)
	} else {
		c.passesAhead = max(c.passesAhead-1, minPassesAhead)
	}
	held, err := c.hold(ctx, g, own, order)
	if err != nil {
		return err
	}
	return c.finish(ctx, g, []holder{held}, nil, Armed{Version: order.Version, Step: held.step})
}

// prepare copies a map to all ranks; the first rank decides between competing leaders.
func (c *Commander) prepare(ctx context.Context, g Group, order Prepare) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	if err := c.prepareFirst(ctx, g, order); err != nil {
		return err
	}
	// Another leader's map may be prepared everywhere and about to be armed. In that
	// case the other ranks keep it until the first rank has dropped it.
	pending := c.canArmEarlier(ctx, g.First(), order.Version)
	p := newProgress(g)
	p[0].sent = true
	c.transport.Announce(ctx, g.addrs(), order, g.Epoch())
	if !pending {
		c.sendAll(ctx, g, p, Directive{Order: order, Epoch: g.Epoch()})
	}
	for {
		if sleeper.Sleep(ctx, preparePollInterval); ctx.Err() != nil {
			return wrapper.At("prepare", "", errPrepareTimeout)
		}
		if err := c.updateProgress(ctx, g, p, order); err != nil {
			return err
		}
		if p.allReady() {
			return nil
		}
		if !pending || p[0].ready {
			c.sendAll(ctx, g, p, Directive{Order: order, Epoch: g.Epoch()})
		}
	}
}

// canArmEarlier reports whether a rank that has begun to prepare a version may still be armed
// with an earlier map. Only a status read after that can tell; the engine does not say when
// it drops the earlier map.
func (c *Commander) canArmEarlier(ctx context.Context, rank *Status, version uint64) bool {
	s, err := c.read(ctx, rank.Addr, Query{LeaderRank: rank.Rank})
	if err != nil || s.Lagged || s.Armed != nil {
		return true
	}
	return s.Prepared != nil && *s.Prepared != version && *s.Prepared > s.Version
}

// progress records, for each rank, how far the preparation of a map is.
type progress []struct {
	// sent is true if the rank accepted the order and no later status shows otherwise.
	sent bool
	// ready is true once the rank reported the map as prepared. Only another leader's
	// newer map can change that, and then the first rank can't be armed (rule 3).
	ready bool
}

func newProgress(g Group) progress { return make(progress, len(g)) }

func (p progress) allReady() bool {
	for _, rank := range p {
		if !rank.ready {
			return false
		}
	}
	return true
}

// updateProgress reads the ranks that are not known to be ready.
func (c *Commander) updateProgress(ctx context.Context, g Group, p progress, order Prepare) error {
	var unready Group
	for i, s := range g {
		if !p[i].ready {
			unready = append(unready, s)
		}
	}
	for i, s := range c.readAll(ctx, unready, Query{LeaderRank: g.First().Rank, KnownVersion: g.First().Version}) {
		ready, resend, err := checkPrepared(g, unready[i].Rank, s, order)
		if err != nil {
			return err
		}
		r := &p[unready[i].Rank]
		r.ready, r.sent = ready, r.sent && !resend
	}
	return nil
}

// checkPrepared reports whether a rank has prepared a map, and whether the order has
// to be sent again: the rank neither has the map nor is busy with an order.
func checkPrepared(g Group, rank int, s *Status, order Prepare) (ready, resend bool, err error) {
	switch {
	case s == nil:
		return false, false, nil
	case s.Epoch != g.Epoch() || s.Broken:
		return false, false, wrapper.At("prepare", s.Addr.String(), errOtherEpoch)
	case s.Prepared != nil && *s.Prepared > order.Version:
		return false, false, wrapper.At("prepare", s.Addr.String(), errOtherMap)
	case s.Prepared != nil && *s.Prepared == order.Version:
		// A status read directly from another instance's engine has no digest.
		if s.PreparedDigest != 0 && s.PreparedDigest != Digest(order.Placement, rank) {
			return false, false, wrapper.At("check_prepared", s.Addr.String(), errOtherMap)
		}
		return true, false, nil
	}
	return false, !s.Busy, nil
}

// prepareFirst begins to prepare a map at the first rank. It fails with a conflict if
// another leader has begun an order there since the rank was read.
func (c *Commander) prepareFirst(ctx context.Context, g Group, order Prepare) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	first := g.First()
	if first.Busy {
		return wrapper.At("prepare", first.Addr.String(), errOtherMap)
	}
	sequence := first.Sequence
	err := c.sendUntilSeen(ctx, first, Directive{Order: order, Epoch: g.Epoch(), Sequence: &sequence}, func(status *Status) effect {
		switch {
		case status.Prepared != nil && *status.Prepared == order.Version:
			return effectSeen
		case status.Sequence == sequence+1 && status.Busy:
			// The order in progress is this one or another leader's.
			return effectUnknown
		}
		return effectAbsent
	})
	if errors.Is(err, ErrConflict) {
		c.counter += conflictAdvance
	}
	return err
}

// sendAll sends an order to the ranks that have not accepted it yet.
func (c *Commander) sendAll(ctx context.Context, g Group, p progress, d Directive) {
	var wg sync.WaitGroup
	for i, s := range g {
		if p[i].sent || p[i].ready {
			continue
		}
		wg.Go(func() { p[i].sent = c.send(ctx, s, d) == nil })
	}
	wg.Wait()
}

// ahead returns how many passes ahead a change comes into force.
func (c *Commander) ahead(urgent bool) uint64 {
	if urgent && c.passesAhead == minPassesAhead {
		return urgentPassesAhead
	}
	return c.passesAhead
}

// hold keeps the leader's own rank, and with it the group, from beginning a pass a few
// passes ahead: the pass at which the version comes into force. It returns that hold.
func (c *Commander) hold(ctx context.Context, g Group, own *Status, order Prepare) (holder, error) {
	urgent := order.Urgent
	for range maxHoldAttempts {
		s, err := c.read(ctx, own.Addr, Query{LeaderRank: own.Rank})
		if err != nil {
			return holder{}, err
		}
		if s.Epoch != g.Epoch() || s.Broken {
			return holder{}, wrapper.At("hold", own.Addr.String(), errOtherEpoch)
		}
		if s.Held != nil || s.latestVersion() > order.Version {
			return holder{}, wrapper.At("hold", own.Addr.String(), ErrConflict)
		}
		c.Observe(s)
		pass, ok := c.passes.next(s.Epoch, s.Step, c.ahead(urgent))
		if !ok {
			return holder{}, wrapper.At("hold", own.Addr.String(), errNoFreePass)
		}
		c.passes.hold(pass)
		err = c.sendUntilSeen(ctx, own, Directive{Order: Hold{Step: pass}, Epoch: g.Epoch()}, func(s *Status) effect {
			return effectSeenIf(s.Held != nil && *s.Held == pass)
		})
		if err == nil {
			return holder{Status: s, step: pass}, nil
		}
		if !errors.Is(err, ErrConflict) {
			return holder{}, err
		}
		if urgent {
			urgent = false
			continue
		}
		c.passesAhead = min(c.passesAhead+1, maxPassesAhead)
	}
	return holder{}, wrapper.At("hold", own.Addr.String(), errHoldTooLate)
}

// finish arms all ranks, the first one first, then releases the leader's own holds and
// those of others. Own holds, if there are any, must keep the armed pass from beginning.
func (c *Commander) finish(ctx context.Context, g Group, ownHolds, otherHolds []holder, armed Armed) error {
	start := time.Now()
	armCtx, cancel := context.WithTimeout(ctx, armTimeout)
	defer cancel()
	isArmed := func(s *Status) effect {
		return effectSeenIf(s.Armed != nil && *s.Armed == armed || s.Version == armed.Version)
	}
	d := Directive{Order: Arm{Armed: armed}, Epoch: g.Epoch()}
	if err := c.sendUntilSeen(armCtx, g.First(), d, isArmed); err != nil {
		if errors.Is(err, ErrConflict) {
			// The first rank can't be armed with this version any more, so no rank is or
			// will be armed with it.
			return errors.Join(err, c.releaseAll(ctx, g, ownHolds, armed.Version))
		}
		return err
	}
	errs := make([]error, len(g))
	var confirmed atomic.Int64
	confirmed.Add(1)
	var wg sync.WaitGroup
	for i, s := range g[1:] {
		wg.Go(func() {
			if errs[i] = c.sendUntilSeen(armCtx, s, d, isArmed); errs[i] == nil {
				confirmed.Add(1)
			}
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("%w: %w", errNotArmed, err)
	}
	allConfirmed := confirmed.Load() == int64(len(g))
	if err := asserter.Holds(allConfirmed, asserter.RuleOneMap, "%d of %d ranks armed with %d", confirmed.Load(), len(g), armed.Version); err != nil {
		return err
	}
	if err := c.releaseAll(ctx, g, append(ownHolds, otherHolds...), armed.Version); err != nil {
		return err
	}
	if time.Since(start) > slowArmingThreshold {
		c.passesAhead = min(c.passesAhead+slowArmingPasses, maxPassesAhead)
	}
	log.Info("all ranks armed, pass released", "event", "map_released", "version", armed.Version, "pass", armed.Step, "epoch", g.Epoch(),
		"armed_in", time.Since(start), "ahead", c.passesAhead)
	return nil
}

// releaseAll ends the holds of changes up to the version settled. By rule 4, every rank is armed
// with that version, or none can be armed with it or an earlier one any more.
func (c *Commander) releaseAll(ctx context.Context, g Group, holders []holder, settled uint64) error {
	errs := make([]error, 0, len(holders))
	for _, h := range holders {
		errs = append(errs, c.release(ctx, g, h, settled))
	}
	return errors.Join(errs...)
}

// release ends a hold, unless its rank has prepared the map of a change after the version
// settled: then the hold may be that of the later change.
func (c *Commander) release(ctx context.Context, g Group, h holder, settled uint64) error {
	if h.latestVersion() > settled {
		return wrapper.At("release", h.Addr.String(), errLaterHold)
	}
	ctx, cancel := context.WithTimeout(ctx, armTimeout)
	defer cancel()
	return c.sendUntilSeen(ctx, h.Status, Directive{Order: Release{Step: h.step}, Epoch: g.Epoch()}, func(s *Status) effect {
		return effectSeenIf(s.Held == nil || *s.Held != h.step)
	})
}
