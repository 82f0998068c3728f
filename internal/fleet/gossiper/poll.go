package gossiper

import (
	"context"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// pollMember exchanges state with one gateway, and reconnects, until ctx ends.
func (g *Gossiper) pollMember(ctx context.Context, addr netip.AddrPort) {
	unreachable := true
	for ctx.Err() == nil {
		err := g.exchange(ctx, addr, &unreachable)
		if ctx.Err() != nil {
			return
		}
		g.setTried(addr)
		if !unreachable {
			log.Info("connection to gateway lost", "event", "peer_lost", "peer", addr, "error", err)
			unreachable = true
		}
		g.pool.Drop(addr)
		sleeper.Sleep(ctx, redialInterval)
	}
}

// exchange polls one gateway over one stream until the stream fails.
func (g *Gossiper) exchange(ctx context.Context, addr netip.AddrPort, unreachable *bool) error {
	s, err := g.pool.Open(ctx, addr, &encoder.Open{Kind: &encoder.Open_GatewaySync{GatewaySync: &encoder.GatewaySync{}}})
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	return g.poll(ctx, addr, func(request *encoder.GatewaySync) (*encoder.GatewaySync, error) {
		answer, err := callPeer(s, request)
		if err == nil && *unreachable {
			log.Info("connected to gateway", "event", "peer_regained", "peer", addr)
			*unreachable = false
		}
		return answer, err
	})
}

// callPeer sends a request and receives the answer.
func callPeer(s *connector.Stream, request *encoder.GatewaySync) (*encoder.GatewaySync, error) {
	if err := s.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		return nil, err
	}
	if err := s.Send(request); err != nil {
		return nil, err
	}
	if err := s.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return nil, err
	}
	answer := &encoder.GatewaySync{}
	return answer, s.Receive(answer)
}

// poll exchanges state with one gateway until a call fails. State that is due is fetched
// without a pause.
func (g *Gossiper) poll(ctx context.Context, addr netip.AddrPort, call func(*encoder.GatewaySync) (*encoder.GatewaySync, error)) error {
	// last is the peer's last answer, nil before the first one.
	var last *encoder.GatewaySync
	// repeated is set if this exchange follows another one without a pause, for losses.
	repeated := false
	for ctx.Err() == nil {
		request := g.newRequest(last, time.Now())
		fetched := g.fetches.begin(g.getLag(last, time.Now()), time.Now())
		request.Pulls, request.WantsCatalog, request.WantsServers = true, fetched[partCatalog], fetched[partServers]
		answer, err := call(request)
		g.fetches.end(fetched)
		if err != nil {
			return err
		}
		g.applyAnswer(answer, addr, time.Now())
		last = answer
		if fetched == (parts{}) && g.fetches.getDue(g.getLag(last, time.Now()), time.Now()) != (parts{}) {
			continue
		}
		if repeated = !repeated && g.isAhead(last, time.Now()); repeated {
			continue
		}
		// Fingerprints are compared at once or not at all.
		last.LossesBuckets = nil
		if last.GetLossesComplete() && !g.losses.IsRecovered() {
			g.losses.SetRecovered()
		}
		g.setTried(addr)
		sleeper.Sleep(ctx, g.currentSyncInterval())
	}
	return nil
}

// getLag returns which state of a peer is newer than that here, by its last answer. After the
// start nothing is left to the store, which may have older state than the peers.
func (g *Gossiper) getLag(m *encoder.GatewaySync, now time.Time) lag {
	version, servers := g.catalog.GetVersion(), g.servers.GetLastChange()
	l := lag{
		newer: parts{partCatalog: m.GetCatalogVersion() > version, partServers: servers.Before(serversPosition(m))},
		own:   [partCount]lister.Position{partCatalog: {Revision: version}, partServers: servers},
	}
	if g.isStoreAvailable() && now.Sub(g.started) > firstAnswersTimeout {
		l.storeDelay = fetchDelay
		if g.countMembers() > scaleGateways {
			l.storeDelay = maxFetchDelay
		}
	}
	return l
}

func (g *Gossiper) countMembers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members)
}

// currentSyncInterval returns the pause between two exchanges with one gateway.
func (g *Gossiper) currentSyncInterval() time.Duration {
	return min(max(syncInterval*time.Duration(g.countMembers())/scaleGateways, syncInterval), maxSyncInterval)
}

// applyAnswer merges the state in an answer from addr.
func (g *Gossiper) applyAnswer(m *encoder.GatewaySync, addr netip.AddrPort, now time.Time) {
	g.mu.Lock()
	g.isHeard = true
	if peer := g.members[addr]; peer != nil {
		peer.lastAnswer, peer.lastReported = now, now
	}
	g.mu.Unlock()
	g.AddGateways(m.GetGateways())
	g.mergeLosses(m, addr.String(), now)
	// Before the catalog, so that no request is placed without the zones.
	g.mergeZones(m, addr.String(), now)
	if len(m.GetCatalog()) > 0 {
		c := &holder.Catalog{}
		if err := decodeState(m.GetCatalog(), m.GetPulls(), c); err != nil {
			log.Error("failed to decode catalog from peer", "event", "bad_news", "peer", addr, "error", err)
		} else {
			g.catalog.ApplyIfNewer(c, addr.String())
		}
	}
	age := time.Duration(m.GetCatalogAgeMillis()) * time.Millisecond
	if m.GetCatalogVersion() == g.catalog.GetVersion() && age < g.catalog.GetAge(now) {
		g.catalog.Confirm(now.Add(-age))
	}
	if len(m.GetServers()) > 0 {
		var servers []lister.Server
		if err := decodeState(m.GetServers(), m.GetPulls(), &servers); err != nil {
			log.Error("failed to decode server list from peer", "event", "bad_news", "peer", addr, "error", err)
		} else {
			g.servers.Merge(servers, serversPosition(m), now)
		}
	}
}
