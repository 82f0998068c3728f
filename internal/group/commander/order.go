package commander

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/process/sleeper"
)

// verdict says what a status tells of an order's effect.
type verdict int

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
	limit := orderTimeout
	if p, ok := d.Order.(Prepare); ok && len(p.Placement) > 0 {
		limit += time.Duration(len(p.Placement[0])) * prepareRank
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	start := time.Now()
	err := c.transport.Send(ctx, s.Addr, d)
	countOrder(err, time.Since(start))
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
	return c.readWithin(ctx, addr, q, readTimeout)
}

func (c *Commander) readWithin(ctx context.Context, addr netip.AddrPort, q Query, limit time.Duration) (*Status, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
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
	limit := readTimeout
	if q.WithCounts {
		limit += time.Duration(len(addrs)) * readRank
	}
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() {
			s, err := c.readWithin(ctx, addr, q, limit)
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
