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

// effect says what a status shows about the effect of an order.
type effect int

func effectSeenIf(seen bool) effect {
	if seen {
		return effectSeen
	}
	return effectAbsent
}

// sendUntilSeen sends an order until it is accepted or its effect is seen. It fails when
// the order no longer fits the engine's state or ctx ends.
func (c *Commander) sendUntilSeen(ctx context.Context, s *Status, d Directive, checkEffect func(*Status) effect) error {
	for {
		err := c.send(ctx, s, d)
		if err == nil {
			return nil
		}
		current, readErr := c.read(ctx, s.Addr, Query{LeaderRank: s.Rank})
		if readErr == nil {
			if current.Epoch != d.Epoch || current.Broken {
				return wrapper.At("order", s.Addr.String(), errOtherEpoch)
			}
			switch checkEffect(current) {
			case effectSeen:
				return nil
			case effectAbsent:
				if errors.Is(err, ErrConflict) {
					return wrapper.At("order", s.Addr.String(), err)
				}
			case effectUnknown:
			}
		}
		if sleeper.Sleep(ctx, orderRetryBackoff); ctx.Err() != nil {
			return wrapper.At("order", s.Addr.String(), err)
		}
	}
}

func (c *Commander) send(ctx context.Context, s *Status, d Directive) error {
	timeout := max(orderTimeout, time.Duration(s.Size)*orderTimeoutPerRank)
	if p, ok := d.Order.(Prepare); ok && len(p.Placement) > 0 {
		timeout += time.Duration(len(p.Placement[0])) * prepareTimeoutPerRank
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	err := c.transport.Send(ctx, s.Addr, d)
	countOrder(err, time.Since(start))
	if err != nil && !errors.Is(err, ErrConflict) {
		c.orderLost.Store(true)
	}
	if err != nil {
		log.Info("order failed or was not confirmed", "event", "order", "engine", s.Addr, "rank", s.Rank, "order", fmt.Sprintf("%T", d.Order),
			"epoch", d.Epoch, "error", err)
	}
	return err
}

func (c *Commander) read(ctx context.Context, addr netip.AddrPort, q Query) (*Status, error) {
	return c.readWithTimeout(ctx, addr, q, readTimeout)
}

func (c *Commander) readWithTimeout(ctx context.Context, addr netip.AddrPort, q Query, timeout time.Duration) (*Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.transport.Read(ctx, addr, q)
}

// readAll reads all ranks concurrently; the entries of those that do not answer are nil.
func (c *Commander) readAll(ctx context.Context, g Group, q Query) []*Status {
	return c.ReadAll(ctx, g.addrs(), q)
}

// ReadAll reads engines concurrently. The result is in the order of addrs; the entries of
// engines that do not answer are nil.
func (c *Commander) ReadAll(ctx context.Context, addrs []netip.AddrPort, q Query) []*Status {
	out := make([]*Status, len(addrs))
	timeout := readTimeout
	if q.WithCounts {
		timeout += time.Duration(len(addrs)) * readTimeoutPerRank
	}
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() {
			s, err := c.readWithTimeout(ctx, addr, q, timeout)
			if err != nil {
				log.Debug("failed to read engine", "engine", addr, "error", err)
				return
			}
			out[i] = s
		})
	}
	wg.Wait()
	return out
}
