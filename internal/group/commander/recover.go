package commander

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/group/shifter"
	"siskinfall/internal/process/sleeper"
)

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
	return c.supersede(ctx, g, leader, holders, present)
}

// supersede makes every older map impossible by preparing the present placement
// under a new version at the first rank, and releases all holds.
func (c *Commander) supersede(ctx context.Context, g Group, leader int, holders []held, present shifter.Placement) error {
	version := c.NewVersion(g, leader, time.Now())
	if err := c.prepareFirst(ctx, g, Prepare{Version: version, Placement: present}); err != nil {
		return err
	}
	for {
		s, err := c.read(ctx, g.First().Addr, Query{LeaderRank: leader})
		switch {
		case err != nil:
		case s.Epoch != g.Epoch() || s.Armed != nil:
			return wrapper.At("supersede", s.Addr.String(), ErrConflict)
		case s.Prepared != nil && *s.Prepared == version:
			return c.releaseAll(ctx, g, holders)
		}
		if sleeper.Sleep(ctx, retryPause); ctx.Err() != nil {
			return wrapper.At("supersede", g.First().Addr.String(), errPreparing)
		}
	}
}
