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

// Sizes of the ticket measurement. The fleet is as large as the one in operation
// today.
const (
	ticketEntries = 9
	ticketAgents  = 15
	ticketZones   = 3
	ticketCount   = 100
	// inForceTimeout bounds the wait until a ticket is in force at all entry instances.
	inForceTimeout = 10 * time.Second
)

// WriteTickets measures the time from the acceptance of a ticket until it is in
// force at every entry instance, with real processes, both with the platform up
// and with the platform down after the acceptance.
func WriteTickets(w io.Writer) error {
	tb, err := newTestbed()
	if err != nil {
		return err
	}
	defer tb.close()
	entries, stop, err := startFleet(tb)
	if err != nil {
		return err
	}
	defer stop()
	number := uint64(1)
	withPlatform, err := applyTickets(tb, entries, &number, nil)
	if err != nil {
		return err
	}
	withoutPlatform, err := applyTickets(tb, entries, &number, func(down bool) { tb.platform.SetFaults(keeper.Faults{Down: down}) })
	if err != nil {
		return err
	}
	for _, c := range []struct {
		name  string
		times []time.Duration
	}{{"with the platform", withPlatform}, {"platform down after acceptance", withoutPlatform}} {
		sort.Slice(c.times, func(i, j int) bool { return c.times[i] < c.times[j] })
		_, _ = fmt.Fprintf(w, "%d tickets, %d entries, %d agents, %s: in force everywhere p50 %s p99 %s most %s\n", len(c.times),
			ticketEntries, ticketAgents, c.name, c.times[len(c.times)/2], c.times[len(c.times)*99/100], c.times[len(c.times)-1])
	}
	return nil
}

// startFleet starts the fleet of the ticket measurement as real processes.
func startFleet(tb *testbed) (entries []*measuredProcess, stop func(), err error) {
	var all []*measuredProcess
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
		cfg, err := newMeasuredSettings(fmt.Sprint(role, "-", i), fmt.Sprint("zone-", i%ticketZones), tb.platformAddr)
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
		tb.platform.SetInstance(storer.Instance{Name: cfg.Instance, Role: role, Zone: cfg.Zone, Address: cfg.Listen.Peers})
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

// applyTickets applies tickets one after the other, at each entry instance in turn,
// and returns for each the time from its acceptance until all entry instances have
// it in force. setDown, if not nil, takes the platform down for that time.
func applyTickets(tb *testbed, entries []*measuredProcess, number *uint64, setDown func(bool)) ([]time.Duration, error) {
	times := make([]time.Duration, 0, ticketCount)
	for i := range ticketCount {
		*number++
		elapsed, err := applyTicket(tb, entries, entries[i%len(entries)], *number, setDown)
		if err != nil {
			return nil, err
		}
		times = append(times, elapsed)
	}
	return times, nil
}

// applyTicket applies one ticket at the entry instance acceptor and returns the time
// as applyTickets does.
func applyTicket(tb *testbed, entries []*measuredProcess, acceptor *measuredProcess, number uint64, setDown func(bool)) (time.Duration, error) {
	body := fmt.Sprintf(`{"number":%d,"author":"bench","rankings":[{"name":"default","classes":[{"name":"field","floor":0},{"name":"background","floor":0.1}]}]}`, number)
	client := caller.NewClient(acceptor.settings.Listen.Admin, "")
	err := starter.WaitFor(tb.ctx, func() error {
		var out entry.TicketResult
		return client.Post(tb.ctx, "/v1/tickets", []byte(body), &out)
	})
	if err != nil {
		return 0, err
	}
	accepted := time.Now()
	if setDown != nil {
		setDown(true)
		defer setDown(false)
	}
	ctx, cancel := context.WithTimeout(tb.ctx, inForceTimeout)
	defer cancel()
	for _, e := range entries {
		if err := waitInForce(ctx, e, number); err != nil {
			return 0, err
		}
	}
	return time.Since(accepted), nil
}

// waitInForce waits until an entry instance has the ticket number, or a later one, in
// force.
func waitInForce(ctx context.Context, m *measuredProcess, number uint64) error {
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
			return fmt.Errorf("%s does not have ticket %d in force: %w", m.settings.Instance, number, ctx.Err())
		}
		if err != nil {
			return err
		}
		sleeper.Sleep(ctx, time.Millisecond)
	}
}
