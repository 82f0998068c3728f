package commander

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/group/shifter"
	"siskinfall/internal/process/sleeper"
)

// Recover ends the holds that another leader has left. It completes a change that was
// decided at the first rank, and makes any other impossible before it releases the
// holds. heldFor is how long the pass has been seen as held, current the placement in
// force, nil if it is not known.
func (c *Commander) Recover(ctx context.Context, g Group, leaderRank int, heldFor time.Duration, current shifter.Placement) error {
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
	case current == nil:
		return nil
	}
	return c.supersede(ctx, g, leaderRank, holders, current)
}

// supersede makes every older map impossible by preparing the current placement under
// a new version at the first rank, then releases all holds.
func (c *Commander) supersede(ctx context.Context, g Group, leaderRank int, holders []holder, current shifter.Placement) error {
	version := c.NewVersion(g, leaderRank, time.Now())
	if err := c.prepareFirst(ctx, g, Prepare{Version: version, Placement: current}); err != nil {
		return err
	}
	for {
		s, err := c.read(ctx, g.First().Addr, Query{LeaderRank: leaderRank})
		switch {
		case err != nil:
		case s.Epoch != g.Epoch() || s.Armed != nil:
			return wrapper.At("supersede", s.Addr.String(), ErrConflict)
		case s.Prepared != nil && *s.Prepared == version:
			return c.releaseAll(ctx, g, holders, version)
		}
		if sleeper.Sleep(ctx, orderRetryBackoff); ctx.Err() != nil {
			return wrapper.At("supersede", g.First().Addr.String(), errPrepareTimeout)
		}
	}
}
