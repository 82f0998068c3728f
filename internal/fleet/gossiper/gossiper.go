// Package gossiper exchanges the catalog, the list of backend servers, the servers lost
// under each request and peer addresses between gateways, so that all of them stay up to date while the
// store rejects the calls of some.
package gossiper

import (
	"context"
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/fleet/withdrawer"
	"siskinfall/internal/gateway/quarantiner"
	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// Intervals and timeouts of the exchange.
const (
	// syncInterval is the pause between two exchanges with one gateway. A change must be
	// in force within two seconds; an exchange takes a few milliseconds.
	syncInterval = 400 * time.Millisecond
	// Above scaleGateways members, the pause grows in proportion to their number, up to
	// maxSyncInterval: with more gateways to ask, an update arrives from one of them just
	// as soon.
	scaleGateways   = 12
	maxSyncInterval = 1200 * time.Millisecond
	// answerTimeout bounds a send and the wait for an answer.
	answerTimeout = 1200 * time.Millisecond
	// redialInterval is the pause before the next attempt to connect to a gateway.
	redialInterval = 600 * time.Millisecond
	// memberTTL is how long a gateway that does not answer stays a member, unless a seed
	// has its address. It also bounds the wait for the next request on a served stream.
	memberTTL = 20 * time.Second
	// shareTTL is how long a gateway that is no longer a member keeps its share of the
	// fleet's totals. It exceeds the usual length of a network partition between regions.
	shareTTL = 15 * time.Minute
	// livenessTimeout is how long a gateway counts as live after its last answer.
	livenessTimeout = 3 * time.Second
	// firstAnswersTimeout bounds the wait for the first answers of all gateways that are known
	// at the start. It exceeds the dial of one that answers.
	firstAnswersTimeout = 1500 * time.Millisecond
	// updateInterval is the pause between two updates of the members.
	updateInterval = 200 * time.Millisecond
)

// member is the state of another gateway.
type member struct {
	// lastAnswer is when it last answered. Before the first answer, it is the time of
	// adding, and from the start of polling on a time that does not count as live.
	// lastReported is when any source last reported it.
	lastAnswer, lastReported time.Time
	// tried is set once it has answered, or an attempt to reach it has failed.
	tried bool
	// cancel ends the goroutine that polls the member; nil before that is started.
	cancel context.CancelFunc
}

// isLive reports whether the member has answered lately.
func (m *member) isLive(now time.Time) bool { return now.Sub(m.lastAnswer) < livenessTimeout }

// Gossiper exchanges state with all other gateways. It is safe for concurrent use.
type Gossiper struct {
	own     netip.AddrPort
	pool    *connector.Pool
	catalog *holder.Holder
	servers *lister.Lister
	losses  *quarantiner.Set
	// zones is nil if the gateways do not exchange the availability zones out of use.
	zones *withdrawer.Zones
	seeds []netip.AddrPort
	// onGatewayCount receives the number of gateways, this one included, and the number among
	// which the fleet's totals are divided.
	onGatewayCount func(members, sharers int)
	// onSharers receives the other gateways among which totals are divided, and whether any has
	// answered since the start.
	onSharers func(others []netip.AddrPort, isHeard bool)
	isHeard   bool
	// started is when Run began.
	started time.Time
	mu      sync.Mutex
	members map[netip.AddrPort]*member
	// gone holds when members expired that keep their share of the fleet's totals.
	gone    map[netip.AddrPort]time.Time
	fetches fetches
	// isStoreAvailable reports whether this gateway reads the store itself.
	isStoreAvailable func() bool
	// lossesComparedAt is when this gateway last began to compare losses.
	lossesComparedAt time.Time
	// encoded is the catalog of encodedVersion, compressed.
	encoded        []byte
	encodedVersion uint64
}

// Option configures a Gossiper.
type Option func(*Gossiper)

// WithStoreState sets a function that reports whether this gateway reads the store itself, so
// that what has just changed need not be fetched from others.
func WithStoreState(isAvailable func() bool) Option {
	return func(g *Gossiper) { g.isStoreAvailable = isAvailable }
}

// WithZones sets the set of availability zones out of use, which is exchanged with the others.
func WithZones(zones *withdrawer.Zones) Option { return func(g *Gossiper) { g.zones = zones } }

// WithSharers sets a function that receives, on every update of the members, the other gateways
// that may use a share of the fleet's totals, and whether any has answered since the start.
func WithSharers(f func(others []netip.AddrPort, isHeard bool)) Option {
	return func(g *Gossiper) { g.onSharers = f }
}

// New returns a Gossiper. own is the address of this gateway's listener for peers;
// seeds may be stale. onGatewayCount receives the number of gateways, this one
// included, on every update of the members, and the number that may use a share of the
// fleet's totals.
func New(own netip.AddrPort, seeds []netip.AddrPort, pool *connector.Pool, catalog *holder.Holder, servers *lister.Lister, losses *quarantiner.Set, onGatewayCount func(members, sharers int), opts ...Option) *Gossiper {
	g := &Gossiper{
		own: own, seeds: seeds, pool: pool, catalog: catalog, servers: servers, losses: losses, onGatewayCount: onGatewayCount,
		members: make(map[netip.AddrPort]*member), gone: make(map[netip.AddrPort]time.Time),
		isStoreAvailable: func() bool { return false }, onSharers: func([]netip.AddrPort, bool) {},
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// AddGateways adds gateways by address; it logs and skips an invalid address.
func (g *Gossiper) AddGateways(addrs []string) {
	now := time.Now()
	for _, text := range addrs {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			log.Warn("invalid gateway address", "event", "bad_news", "address", text, "error", err)
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
		m = &member{lastAnswer: now}
		g.members[addr] = m
		delete(g.gone, addr)
	}
	m.lastReported = now
}

// Run exchanges state with all gateways until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	g.started = time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		for _, seed := range g.seeds {
			// Seed addresses carry the port of another listener; the port for peers is the
			// same on all gateways.
			g.add(netip.AddrPortFrom(seed.Addr(), g.own.Port()), now)
		}
		members, sharers := g.update(ctx, &wg, now)
		g.onGatewayCount(members, sharers)
		g.onSharers(g.getSharers())
		if members == 1 {
			g.losses.SetComplete()
		}
		g.updateFleet(now)
		sleeper.Sleep(ctx, updateInterval)
	}
}

// update removes expired members, starts a goroutine for each new one, and returns the
// number of gateways, and the number that may use a share of the fleet's totals: during a
// network partition, those that do not answer keep running.
func (g *Gossiper) update(ctx context.Context, wg *sync.WaitGroup, now time.Time) (members, sharers int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for addr, m := range g.members {
		if now.Sub(m.lastAnswer) > memberTTL && !g.hasSeedAddr(addr) {
			if m.cancel != nil {
				m.cancel()
			}
			delete(g.members, addr)
			g.gone[addr] = now
			continue
		}
		if m.cancel == nil {
			memberCtx, cancel := context.WithCancel(ctx)
			m.cancel = cancel
			// A gateway is not live before its first answer.
			m.lastAnswer = now.Add(-livenessTimeout)
			wg.Go(func() { g.pollMember(memberCtx, addr) })
		}
	}
	for addr, at := range g.gone {
		if now.Sub(at) > shareTTL {
			delete(g.gone, addr)
		}
	}
	return len(g.members) + 1, len(g.members) + len(g.gone) + 1
}

// getSharers returns the other gateways that may use a share of the fleet's totals, and whether
// any has answered since the start.
func (g *Gossiper) getSharers() (others []netip.AddrPort, isHeard bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	others = slices.AppendSeq(slices.Collect(maps.Keys(g.members)), maps.Keys(g.gone))
	return others, g.isHeard
}

func (g *Gossiper) hasSeedAddr(addr netip.AddrPort) bool {
	return slices.ContainsFunc(g.seeds, func(s netip.AddrPort) bool { return s.Addr() == addr.Addr() })
}

// Serve answers another gateway's sync requests until the stream ends, and returns the
// error that ended it.
func (g *Gossiper) Serve(s *connector.Stream) error {
	for {
		if err := s.SetReadDeadline(time.Now().Add(memberTTL)); err != nil {
			return err
		}
		request := &encoder.GatewaySync{}
		if err := s.Receive(request); err != nil {
			return err
		}
		now := time.Now()
		g.applyRequest(request, now)
		answer, err := g.answer(request, now)
		if err != nil {
			return err
		}
		if err := s.SetWriteDeadline(now.Add(answerTimeout)); err != nil {
			return err
		}
		if err := s.Send(answer); err != nil {
			return err
		}
	}
}

// applyRequest merges the state in another gateway's request.
func (g *Gossiper) applyRequest(request *encoder.GatewaySync, now time.Time) {
	g.mergeArrivals(request.GetArrivals(), now)
	g.mergeLosses(request, request.GetAddress(), now)
	g.mergeZones(request, request.GetAddress(), now)
	g.AddGateways([]string{request.GetAddress()})
}

// newSync returns a message with the versions of this gateway's state, without the state
// itself.
func (g *Gossiper) newSync(now time.Time) *encoder.GatewaySync {
	lastChange := g.servers.GetLastChange()
	return &encoder.GatewaySync{
		Address: g.own.String(), GatewaysDigest: g.digest(g.liveGateways(now)), CatalogVersion: g.catalog.GetVersion(),
		ServersEra: lastChange.Era, ServersRevision: lastChange.Revision,
		CatalogAgeMillis:  uint64(min(g.catalog.GetAge(now), memberTTL).Milliseconds()),
		LossesFingerprint: g.losses.Fingerprint(now), LossesComplete: g.losses.IsComplete(),
	}
}

// newRequest returns a request to a peer, with the losses that it lacked by its last answer.
func (g *Gossiper) newRequest(last *encoder.GatewaySync, now time.Time) *encoder.GatewaySync {
	m := g.newSync(now)
	g.addLosses(m, last, now)
	m.Arrivals = g.encodeArrivals(now)
	m.ClosedZones = g.encodeZones(false)
	return m
}

// answer returns the reply to a request, with the state that is newer than the
// requester's.
func (g *Gossiper) answer(request *encoder.GatewaySync, now time.Time) (*encoder.GatewaySync, error) {
	m := g.newSync(now)
	if request.GetGatewaysDigest() != m.GetGatewaysDigest() {
		m.Gateways = g.liveGateways(now)
	}
	g.answerLosses(m, request, now)
	m.ClosedZones = g.encodeZones(request.GetClosedZones() != nil)
	if c := g.catalog.Get(); c != nil && c.Version > request.GetCatalogVersion() && (!request.GetPulls() || request.GetWantsCatalog()) {
		data, err := g.encodeCatalog(c, request.GetPulls())
		if err != nil {
			return nil, err
		}
		m.Catalog, m.Pulls = data, request.GetPulls()
		catalogsSent.Inc()
	}
	if serversPosition(request).Before(g.servers.GetLastChange()) && (!request.GetPulls() || request.GetWantsServers()) {
		servers, lastChange := g.servers.GetSnapshot()
		data, err := encodeState(servers, request.GetPulls())
		if err != nil {
			return nil, err
		}
		m.Pulls = request.GetPulls()
		m.Servers, m.ServersEra, m.ServersRevision = data, lastChange.Era, lastChange.Revision
		serverListsSent.Inc()
	}
	return m, nil
}

// serversPosition returns the position of the newest change of the sender's servers.
func serversPosition(m *encoder.GatewaySync) lister.Position {
	return lister.Position{Era: m.GetServersEra(), Revision: m.GetServersRevision()}
}

// encodeCatalog returns the encoded catalog, encoded once for each version if it is compressed.
func (g *Gossiper) encodeCatalog(c *holder.Catalog, compress bool) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if compress && g.encodedVersion == c.Version {
		return g.encoded, nil
	}
	data, err := encodeState(c, compress)
	if err == nil && compress {
		g.encoded, g.encodedVersion = data, c.Version
	}
	return data, err
}

func (g *Gossiper) liveGateways(now time.Time) []string {
	live := g.getLive(now)
	addrs := make([]string, 0, len(live))
	for _, addr := range live {
		addrs = append(addrs, addr.String())
	}
	return addrs
}

// getLive returns the other gateways that have answered lately.
func (g *Gossiper) getLive(now time.Time) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addrs []netip.AddrPort
	for addr, m := range g.members {
		if m.isLive(now) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// IsAmongFirst reports whether this gateway is one of the first n in an order of the live
// gateways that depends on key, so that n of them do what is to be done for key.
func (g *Gossiper) IsAmongFirst(n int, key string, now time.Time) bool {
	keyHash := xxhash.Sum64String(key)
	own, before := order(g.own, keyHash), 0
	g.mu.Lock()
	defer g.mu.Unlock()
	for addr, m := range g.members {
		if m.isLive(now) && order(addr, keyHash) < own {
			before++
		}
	}
	return before < n
}

// order returns the place of a gateway in the order of a key.
func order(addr netip.AddrPort, keyHash uint64) uint64 {
	ip := addr.Addr().As16()
	var b [26]byte
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[16:], addr.Port())
	binary.BigEndian.PutUint64(b[18:], keyHash)
	return xxhash.Sum64(b[:])
}

// digest returns a hash of a set of gateways, this one included, that does not depend
// on their order.
func (g *Gossiper) digest(others []string) uint64 {
	sum := xxhash.Sum64String(g.own.String())
	for _, addr := range others {
		sum += xxhash.Sum64String(addr)
	}
	return sum
}
