package messenger

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/group/commander"
	"siskinfall/internal/wire/encoder"
)

// Load pattern: a map is sent to hundreds of sidecars, each with a link of a few megabits a
// second. The leader sends it to some, which pass it on, so that its link carries in
// proportion to the square root of the ranks.

const (
	// minRelayedRanks is the number of ranks from which on maps are relayed; the leader's
	// link carries those of fewer ranks in a tenth of a second.
	minRelayedRanks = 24
	// announceTimeoutPerRank bounds one hop, for each sidecar that one sends to.
	announceTimeoutPerRank = 15 * time.Millisecond
)

// Announce implements commander.Transport. A sidecar that does not get the map asks for it
// when it gets the order.
func (m *Messenger) Announce(ctx context.Context, engines []netip.AddrPort, p commander.Prepare, epoch uint64) {
	now := time.Now()
	engines = slices.DeleteFunc(engines, func(e netip.AddrPort) bool { return m.silent.isSilent(e, now) })
	if len(engines) < minRelayedRanks {
		return
	}
	order, err := encodeOrder(commander.Directive{Order: p, Epoch: epoch})
	if err != nil || len(order.GetPlacement()) > 0 {
		// Without a base the map is too large to be sent ahead.
		return
	}
	order.Operation = operationKeep
	n := int(math.Sqrt(float64(len(engines))))
	m.sendAhead(ctx, order, groupByRelay(engines, n), announceTimeoutPerRank*time.Duration(2*n))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.announced = &encoder.EngineOrder{Operation: operationPrepare, Version: p.Version, Epoch: epoch, BaseVersion: p.Version, Digest: order.GetDigest()}
}

// getAnnounced returns the order to prepare a map that has been announced, nil for others.
func (m *Messenger) getAnnounced(d commander.Directive) *encoder.EngineOrder {
	p, ok := d.Order.(commander.Prepare)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !ok || d.Sequence != nil || m.announced.GetVersion() != p.Version || m.announced.GetEpoch() != d.Epoch {
		return nil
	}
	return m.announced
}

// relay is a sidecar that is sent a map, with those that it passes it on to.
type relay struct {
	engine netip.AddrPort
	to     []string
}

// groupByRelay divides engines among n relays.
func groupByRelay(engines []netip.AddrPort, n int) []relay {
	relays := make([]relay, n)
	for i, engine := range engines {
		if i < n {
			relays[i].engine = engine
			continue
		}
		relays[i%n].to = append(relays[i%n].to, engine.String())
	}
	return relays
}

// sendAhead sends a map to relays concurrently and waits for them.
func (m *Messenger) sendAhead(ctx context.Context, order *encoder.EngineOrder, relays []relay, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, r := range relays {
		wg.Go(func() {
			if r.engine == m.own {
				m.passOn(ctx, order, r.to)
				return
			}
			hop := copyOrder(order)
			hop.RelayTo = r.to
			open := &encoder.Open{Kind: &encoder.Open_EngineOrder{EngineOrder: hop}}
			if err := m.sidecars.Call(ctx, m.sidecar(r.engine), open, &encoder.EngineResult{}); err != nil {
				m.dropOnTimeout(r.engine, err)
				log.Info("failed to send a map ahead", "event", "map_announced", "engine", r.engine, "version", order.GetVersion(), "passed_on_to", len(r.to), "error", err)
			}
		})
	}
	wg.Wait()
}

// copyOrder returns a copy that shares the encoded changes.
func copyOrder(m *encoder.EngineOrder) *encoder.EngineOrder {
	return &encoder.EngineOrder{
		Operation: m.GetOperation(), Epoch: m.GetEpoch(), Version: m.GetVersion(), BaseVersion: m.GetBaseVersion(), Changes: m.GetChanges(),
		Digest: m.GetDigest(), LayerSets: m.GetLayerSets(), Ranks: m.GetRanks(), Experts: m.GetExperts(),
	}
}

// passOn sends a map to the sidecars of engines, which pass it on to none.
func (m *Messenger) passOn(ctx context.Context, order *encoder.EngineOrder, engines []string) {
	relays := make([]relay, 0, len(engines))
	for _, text := range engines {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			log.Warn("invalid engine address in a map", "event", "bad_news", "address", text, "error", err)
			continue
		}
		relays = append(relays, relay{engine: addr})
	}
	if len(relays) > 0 {
		m.sendAhead(ctx, order, relays, announceTimeoutPerRank*time.Duration(len(relays)))
	}
}

// keep stores a map that was sent ahead and passes it on.
func (m *Messenger) keep(ctx context.Context, order *encoder.EngineOrder) error {
	p, err := decodePlacement(order, m.received)
	if err != nil {
		return err
	}
	m.received.add(order.GetVersion(), p)
	m.passOn(ctx, order, order.GetRelayTo())
	return nil
}
