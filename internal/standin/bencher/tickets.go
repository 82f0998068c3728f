package bencher

import (
	"context"
	"fmt"
	"io"
	"sort"
	"time"

	entry "siskinfall/internal/entry/server"
	"siskinfall/internal/operator/caller"
	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/routing/tracker"
	"siskinfall/internal/standin/keeper"
	"siskinfall/internal/standin/responder"
	"siskinfall/internal/standin/starter"
	"siskinfall/internal/store/storer"
)

// Sizes of the measurement of tickets: those of today.
const (
	ticketEntries = 9
	ticketAgents  = 15
	ticketZones   = 3
	tickets       = 100
	// inForceLimit is the longest wait for one ticket.
	inForceLimit = 10 * time.Second
)

// WriteTickets measures how long tickets take until they are in force at every
// entry instance, with real processes, with and without the platform.
func WriteTickets(w io.Writer) error {
	s, err := newStage()
	if err != nil {
		return err
	}
	defer s.close()
	entries, stop, err := startToday(s)
	if err != nil {
		return err
	}
	defer stop()
	number := uint64(1)
	with, err := applyMany(s, entries, &number, nil)
	if err != nil {
		return err
	}
	without, err := applyMany(s, entries, &number, func(down bool) { s.keeper.SetFaults(keeper.Faults{Down: down}) })
	if err != nil {
		return err
	}
	for _, c := range []struct {
		name  string
		times []time.Duration
	}{{"with the platform", with}, {"platform down after acceptance", without}} {
		sort.Slice(c.times, func(i, j int) bool { return c.times[i] < c.times[j] })
		_, _ = fmt.Fprintf(w, "%d tickets, %d entries, %d agents, %s: in force everywhere p50 %s p99 %s most %s\n", len(c.times),
			ticketEntries, ticketAgents, c.name, c.times[len(c.times)/2], c.times[len(c.times)*99/100], c.times[len(c.times)-1])
	}
	return nil
}

// startToday starts the fleet of today as real processes.
func startToday(s *stage) (entries []*measured, stop func(), err error) {
	var all []*measured
	var backends []*responder.Server
	stop = func() {
		for _, m := range all {
			m.stop()
		}
		for _, b := range backends {
			_ = b.Close()
		}
	}
	for i := range ticketEntries + ticketAgents {
		role := tracker.RoleEntry
		if i >= ticketEntries {
			role = tracker.RoleAgent
		}
		cfg, err := newMeasuredSettings(fmt.Sprint(role, "-", i), fmt.Sprint("zone-", i%ticketZones), s.platform)
		if err != nil {
			return nil, stop, err
		}
		if role == tracker.RoleAgent {
			b, err := responder.NewServer(starter.AnyPort)
			if err != nil {
				return nil, stop, err
			}
			backends = append(backends, b)
			cfg.Agent.Service, cfg.Agent.Backend = "assistant-llm", b.Addr()
		}
		s.keeper.SetInstance(storer.Instance{Name: cfg.Instance, Role: role, Zone: cfg.Zone, Address: cfg.Listen.Peers})
		m, err := startMeasured(role, cfg)
		if err != nil {
			return nil, stop, err
		}
		all = append(all, m)
		if role == tracker.RoleEntry {
			entries = append(entries, m)
		}
	}
	return entries, stop, nil
}

// applyMany applies tickets one after the other, each at another entry, and
// returns the times from acceptance until all entries have them.
func applyMany(s *stage, entries []*measured, number *uint64, setDown func(bool)) ([]time.Duration, error) {
	times := make([]time.Duration, 0, tickets)
	for i := range tickets {
		*number++
		elapsed, err := applyOne(s, entries, entries[i%len(entries)], *number, setDown)
		if err != nil {
			return nil, err
		}
		times = append(times, elapsed)
	}
	return times, nil
}

func applyOne(s *stage, entries []*measured, at *measured, number uint64, setDown func(bool)) (time.Duration, error) {
	body := fmt.Sprintf(`{"number":%d,"author":"bench","rankings":[{"name":"default","classes":[{"name":"field","floor":0},{"name":"background","floor":0.1}]}]}`, number)
	client := caller.NewClient(at.settings.Listen.Admin, "")
	err := starter.WaitFor(s.ctx, func() error {
		var out entry.TicketResult
		return client.Post(s.ctx, "/v1/tickets", []byte(body), &out)
	})
	if err != nil {
		return 0, err
	}
	accepted := time.Now()
	if setDown != nil {
		setDown(true)
		defer setDown(false)
	}
	ctx, cancel := context.WithTimeout(s.ctx, inForceLimit)
	defer cancel()
	for _, e := range entries {
		if err := waitNumber(ctx, e, number); err != nil {
			return 0, err
		}
	}
	return time.Since(accepted), nil
}

// waitNumber waits until an entry has a ticket's number in force.
func waitNumber(ctx context.Context, m *measured, number uint64) error {
	client := caller.NewClient(m.settings.Listen.Admin, "")
	for {
		var v entry.ConfigView
		err := client.Get(ctx, "/v1/config", &v)
		for _, e := range v.Entities {
			if e.Number >= number {
				return nil
			}
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%s has not ticket %d: %w", m.settings.Instance, number, ctx.Err())
		}
		if err != nil {
			return err
		}
		sleeper.Sleep(ctx, time.Millisecond)
	}
}
