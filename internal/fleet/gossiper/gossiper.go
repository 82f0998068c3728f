// Package gossiper keeps the gateways at one catalog and one list of backend
// servers while the store turns some of them away, and tells them of each other.
package gossiper

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/gateway/quarantiner"
	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// Times of the exchange.
const (
	// period is how often a gateway asks each other one. A change must be in force
	// within two seconds; asking takes a few milliseconds.
	period = 400 * time.Millisecond
	// periodGateways is the number of gateways from which each is asked less often, and
	// mostPeriod bounds that: with more to ask, news comes as soon from one of them.
	periodGateways = 12
	mostPeriod     = 1200 * time.Millisecond
	// answerLimit bounds the wait for an answer.
	answerLimit = 1200 * time.Millisecond
	// redialPause is the pause before a gateway is dialled again.
	redialPause = 600 * time.Millisecond
	// memberLife is how long a gateway that is silent is tried again.
	memberLife = 20 * time.Second
	// liveFor is how long a gateway counts as live after its last word.
	liveFor = 3 * time.Second
	// updatePause is how often new members are looked for.
	updatePause = 200 * time.Millisecond
)

// member is another gateway.
type member struct {
	// heard is when it last spoke; seen when it was last heard of.
	heard, seen time.Time
	// cancel ends its goroutine.
	cancel context.CancelFunc
}

// Gossiper exchanges state with all other gateways. It is safe for concurrent use.
type Gossiper struct {
	own     netip.AddrPort
	pool    *connector.Pool
	catalog *holder.Holder
	servers *lister.Lister
	crashes *quarantiner.Set
	seeds   []netip.AddrPort
	// onCount is told the number of gateways heard of lately, this one included.
	onCount func(int)
	mu      sync.Mutex
	members map[netip.AddrPort]*member
	// encoded is the catalog of encodedVersion as JSON.
	encoded        []byte
	encodedVersion uint64
}

// New returns a Gossiper; own is this gateway's listener for peers, and seeds may
// be stale.
func New(own netip.AddrPort, seeds []netip.AddrPort, pool *connector.Pool, catalog *holder.Holder, servers *lister.Lister, crashes *quarantiner.Set, onCount func(int)) *Gossiper {
	return &Gossiper{
		own: own, seeds: seeds, pool: pool, catalog: catalog, servers: servers, crashes: crashes, onCount: onCount,
		members: make(map[netip.AddrPort]*member),
	}
}

// AddGateways takes in addresses of gateways that somebody knows.
func (g *Gossiper) AddGateways(addrs []string) {
	now := time.Now()
	for _, text := range addrs {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			log.Warn("bad address of a gateway", "event", "bad_news", "address", text, "error", err)
			continue
		}
		g.add(addr, now)
	}
}

func (g *Gossiper) add(addr netip.AddrPort, now time.Time) {
	if addr == g.own {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[addr]
	if m == nil {
		m = &member{heard: now}
		g.members[addr] = m
	}
	m.seen = now
}

// Run exchanges state with all gateways until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		now := time.Now()
		for _, seed := range g.seeds {
			// Seeds are told with another port; peers listen on the same one everywhere.
			g.add(netip.AddrPortFrom(seed.Addr(), g.own.Port()), now)
		}
		g.onCount(g.update(ctx, &wg, now))
		sleeper.Sleep(ctx, updatePause)
	}
}

// update starts and ends goroutines as gateways come and go, and returns the
// number of all that were heard of lately: behind a cut others go on, with their
// share of what all have together.
func (g *Gossiper) update(ctx context.Context, wg *sync.WaitGroup, now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for addr, m := range g.members {
		if now.Sub(m.heard) > memberLife && !g.isSeed(addr) {
			if m.cancel != nil {
				m.cancel()
			}
			delete(g.members, addr)
			continue
		}
		if m.cancel == nil {
			memberCtx, cancel := context.WithCancel(ctx)
			m.cancel = cancel
			// A gateway that was never heard is not live.
			m.heard = now.Add(-liveFor)
			wg.Go(func() { g.follow(memberCtx, addr) })
		}
	}
	return len(g.members) + 1
}

func (g *Gossiper) isSeed(addr netip.AddrPort) bool {
	return slices.ContainsFunc(g.seeds, func(s netip.AddrPort) bool { return s.Addr() == addr.Addr() })
}

// follow asks one gateway again and again.
func (g *Gossiper) follow(ctx context.Context, addr netip.AddrPort) {
	lost := true
	for ctx.Err() == nil {
		err := g.exchange(ctx, addr, &lost)
		if ctx.Err() != nil {
			return
		}
		if !lost {
			log.Info("gateway lost", "event", "peer_lost", "peer", addr, "error", err)
			lost = true
		}
		g.pool.Drop(addr)
		sleeper.Sleep(ctx, redialPause)
	}
}

// exchange asks one gateway over one stream until that breaks.
func (g *Gossiper) exchange(ctx context.Context, addr netip.AddrPort, lost *bool) error {
	s, err := g.pool.Open(ctx, addr, &encoder.Open{Kind: &encoder.Open_GatewaySync{GatewaySync: &encoder.GatewaySync{}}})
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	for ctx.Err() == nil {
		if err := s.SetWriteDeadline(time.Now().Add(answerLimit)); err != nil {
			return err
		}
		if err := s.Send(g.newSync(time.Now())); err != nil {
			return err
		}
		if err := s.SetReadDeadline(time.Now().Add(answerLimit)); err != nil {
			return err
		}
		answer := &encoder.GatewaySync{}
		if err := s.Receive(answer); err != nil {
			return err
		}
		if *lost {
			log.Info("gateway found", "event", "peer_regained", "peer", addr)
			*lost = false
		}
		g.take(answer, addr, time.Now())
		sleeper.Sleep(ctx, g.period())
	}
	return nil
}

// Serve answers another gateway's questions until the stream ends.
func (g *Gossiper) Serve(s *connector.Stream) error {
	for {
		if err := s.SetReadDeadline(time.Now().Add(memberLife)); err != nil {
			return err
		}
		asked := &encoder.GatewaySync{}
		if err := s.Receive(asked); err != nil {
			return err
		}
		now := time.Now()
		g.takeCrashes(asked, now)
		g.AddGateways([]string{asked.GetAddress()})
		answer, err := g.answer(asked, now)
		if err != nil {
			return err
		}
		if err := s.SetWriteDeadline(now.Add(answerLimit)); err != nil {
			return err
		}
		if err := s.Send(answer); err != nil {
			return err
		}
	}
}

// period is how often one gateway is asked.
func (g *Gossiper) period() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return min(max(period*time.Duration(len(g.members))/periodGateways, period), mostPeriod)
}

// newSync tells what this gateway has, without the state itself.
func (g *Gossiper) newSync(now time.Time) *encoder.GatewaySync {
	m := &encoder.GatewaySync{
		Address: g.own.String(), GatewaysDigest: g.digest(g.liveMembers(now)), CatalogVersion: g.catalog.GetVersion(), ServersRevision: g.servers.GetChanged(),
		CatalogAgeMillis: uint64(min(g.catalog.GetAge(now), memberLife).Milliseconds()),
	}
	for digest, n := range g.crashes.GetOwnCrashes(now) {
		m.Crashes = append(m.Crashes, &encoder.CrashCount{Digest: digest, Crashes: uint32(n)})
	}
	return m
}

// answer adds what the asker's versions lack.
func (g *Gossiper) answer(asked *encoder.GatewaySync, now time.Time) (*encoder.GatewaySync, error) {
	m := g.newSync(now)
	if asked.GetGatewaysDigest() != m.GetGatewaysDigest() {
		m.Gateways = g.liveMembers(now)
	}
	if c := g.catalog.Get(); c != nil && c.Version > asked.GetCatalogVersion() {
		data, err := g.encodeCatalog(c)
		if err != nil {
			return nil, err
		}
		m.Catalog = data
	}
	all, changed := g.servers.GetSnapshot()
	if changed > asked.GetServersRevision() {
		data, err := json.Marshal(all)
		if err != nil {
			return nil, err
		}
		m.Servers, m.ServersRevision = data, changed
	}
	return m, nil
}

// encodeCatalog encodes each catalog once.
func (g *Gossiper) encodeCatalog(c *holder.Catalog) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.encodedVersion == c.Version {
		return g.encoded, nil
	}
	data, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	g.encoded, g.encodedVersion = data, c.Version
	return data, nil
}

func (g *Gossiper) liveMembers(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for addr, m := range g.members {
		if now.Sub(m.heard) < liveFor {
			out = append(out, addr.String())
		}
	}
	return out
}

// digest identifies a set of gateways, this one included; their order does not
// matter.
func (g *Gossiper) digest(others []string) uint64 {
	sum := xxhash.Sum64String(g.own.String())
	for _, addr := range others {
		sum += xxhash.Sum64String(addr)
	}
	return sum
}

// take takes in an answer.
func (g *Gossiper) take(m *encoder.GatewaySync, addr netip.AddrPort, now time.Time) {
	g.mu.Lock()
	if known := g.members[addr]; known != nil {
		known.heard, known.seen = now, now
	}
	g.mu.Unlock()
	g.AddGateways(m.GetGateways())
	g.takeCrashes(m, now)
	if len(m.GetCatalog()) > 0 {
		c := &holder.Catalog{}
		if err := json.Unmarshal(m.GetCatalog(), c); err != nil {
			log.Error("catalog of a peer not read", "event", "bad_news", "peer", addr, "error", err)
		} else {
			g.catalog.Offer(c, addr.String())
		}
	}
	age := time.Duration(m.GetCatalogAgeMillis()) * time.Millisecond
	if m.GetCatalogVersion() == g.catalog.GetVersion() && age < g.catalog.GetAge(now) {
		g.catalog.Confirm(now.Add(-age))
	}
	if len(m.GetServers()) > 0 {
		var all []lister.Server
		if err := json.Unmarshal(m.GetServers(), &all); err != nil {
			log.Error("servers of a peer not read", "event", "bad_news", "peer", addr, "error", err)
		} else {
			g.servers.Merge(all, m.GetServersRevision(), now)
		}
	}
}

func (g *Gossiper) takeCrashes(m *encoder.GatewaySync, now time.Time) {
	for _, c := range m.GetCrashes() {
		g.crashes.SetPeerCrashes(c.GetDigest(), int(c.GetCrashes()), now)
	}
}
