package subscriber

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/gateway/placer"
	"siskinfall/internal/gateway/quarantiner"
	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// redialInterval is the pause before the next attempt to connect to a sidecar, and
// between two checks for new engines.
const redialInterval = 400 * time.Millisecond

// Subscriber is the gateway's side of the streams to sidecars, with one goroutine for each.
// It is safe for concurrent use.
type Subscriber struct {
	own netip.AddrPort
	// zone is the own availability zone.
	zone    string
	port    uint16
	pool    *connector.Pool
	catalog *holder.Holder
	placer  *placer.Placer
	losses  *quarantiner.Set
	kept    *keptSnapshot
	// onGateways receives the addresses of gateways that a sidecar reports.
	onGateways func([]string)
	// isTeller reports whether this gateway tells a sidecar of its service's engines.
	isTeller func(sidecar netip.AddrPort) bool
	mu       sync.Mutex
	// servers is the latest list, which isListed says is known. followed holds the goroutines, by
	// the address of the engine.
	servers  []lister.Server
	isListed bool
	followed map[netip.AddrPort]*followed
	// answeredAt is when the first sidecar told which losses it keeps, zero before.
	answeredAt time.Time
	// changed has a value if the list or the catalog has changed since Run looked at them.
	changed chan struct{}
}

// followed is an engine whose sidecar has a stream.
type followed struct {
	cancel context.CancelFunc
	// isAsked is set once the sidecar has told which losses it keeps, or has failed to.
	isAsked bool
	// isNear is set if the sidecar keeps losses for this gateway.
	isNear bool
}

// New returns a Subscriber. own is the address of this gateway's listener for peers, zone its
// availability zone, and port the port on which every sidecar listens. onGateways receives the addresses of
// gateways that a sidecar reports. isTeller reports whether this gateway tells a sidecar of
// its service's engines, which some of the gateways do.
func New(own netip.AddrPort, zone string, port uint16, pool *connector.Pool, catalog *holder.Holder, p *placer.Placer, losses *quarantiner.Set, onGateways func([]string), isTeller func(netip.AddrPort) bool) *Subscriber {
	s := &Subscriber{
		own: own, zone: zone, port: port, pool: pool, catalog: catalog, placer: p, losses: losses, kept: &keptSnapshot{losses: losses}, onGateways: onGateways, isTeller: isTeller,
		followed: make(map[netip.AddrPort]*followed), changed: make(chan struct{}, 1),
	}
	catalog.OnChange(func(*holder.Catalog) { s.announceChange() })
	return s
}

// announceChange lets Run look at the list and the catalog now.
func (s *Subscriber) announceChange() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// SetServers replaces the list of backend servers in use.
func (s *Subscriber) SetServers(all []lister.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers, s.isListed = all, true
	s.announceChange()
}

func isEngine(c *holder.Catalog, srv lister.Server) bool {
	service := c.GetService(srv.Service)
	return service != nil && service.Engine != nil
}

// Run keeps a stream to the sidecar of each engine until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		s.update(ctx, &wg)
		sleeper.SleepOrWake(ctx, redialInterval, s.changed)
	}
}

// update starts a goroutine for each new engine and ends those of removed ones.
func (s *Subscriber) update(ctx context.Context, wg *sync.WaitGroup) {
	c := s.catalog.Get()
	if c == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[netip.AddrPort]bool)
	for _, srv := range s.servers {
		if !isEngine(c, srv) {
			continue
		}
		present[srv.Addr] = true
		if f := s.followed[srv.Addr]; f != nil {
			f.isNear = s.isNear(c, srv)
			continue
		}
		followCtx, cancel := context.WithCancel(ctx)
		s.followed[srv.Addr] = &followed{cancel: cancel, isNear: s.isNear(c, srv)}
		wg.Go(func() { s.follow(followCtx, srv.Addr, srv.Service) })
	}
	for addr, f := range s.followed {
		if !present[addr] {
			f.cancel()
			delete(s.followed, addr)
		}
	}
}

// follow keeps a stream to one sidecar, and reconnects, until ctx ends.
func (s *Subscriber) follow(ctx context.Context, engine netip.AddrPort, service string) {
	sidecar := netip.AddrPortFrom(engine.Addr(), s.port)
	s.learnKept(ctx, sidecar, engine)
	unreachable := false
	for ctx.Err() == nil {
		err := s.stream(ctx, sidecar, engine, service, &unreachable)
		if ctx.Err() != nil {
			return
		}
		if !unreachable {
			log.Info("connection to sidecar lost", "event", "peer_lost", "peer", sidecar, "error", err)
			unreachable = true
		}
		s.pool.Drop(sidecar)
		sleeper.Sleep(ctx, redialInterval)
	}
}

func (s *Subscriber) stream(ctx context.Context, sidecar, engine netip.AddrPort, service string, unreachable *bool) error {
	st, err := s.pool.Open(ctx, sidecar, &encoder.Open{Kind: &encoder.Open_EngineWatch{EngineWatch: &encoder.EngineWatch{}}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = st.Close() })
	go s.sendUpdates(ctx, st, sidecar, engine, service)
	for {
		if err := st.SetReadDeadline(time.Now().Add(receiveTimeout)); err != nil {
			return err
		}
		load := &encoder.EngineLoad{}
		if err := st.Receive(load); err != nil {
			return err
		}
		if *unreachable {
			log.Info("connected to sidecar", "event", "peer_regained", "peer", sidecar)
			*unreachable = false
		}
		s.applyLoad(load, engine, time.Now())
	}
}

func (s *Subscriber) applyLoad(load *encoder.EngineLoad, engine netip.AddrPort, now time.Time) {
	s.placer.SetEngineLoad(engine, time.UnixMilli(load.GetStartedMillis()), placer.Load{
		Running: int(load.GetRunning()), Waiting: int(load.GetWaiting()), Memory: int(load.GetMemory()), Broken: load.GetBroken(),
		Pass: time.Duration(load.GetPassMicros()) * time.Microsecond, At: now, Stalled: load.GetStalled(), Group: load.GetGroup(),
		Slowness: float64(load.GetSlownessMilli()) / slownessScale,
	})
	s.onGateways(load.GetGateways())
}

// sendUpdates sends updates to a sidecar until ctx ends or a send fails, at once if losses change
// that it keeps for this gateway.
func (s *Subscriber) sendUpdates(ctx context.Context, st *connector.Stream, sidecar, engine netip.AddrPort, service string) {
	engineFilter, kept := changeFilter{}, newKeptFilter(s.kept)
	for ctx.Err() == nil {
		var keptChanged <-chan struct{}
		isKeeper := s.isKeeper(engine)
		if isKeeper {
			keptChanged = s.losses.GetKeptChanged()
		}
		update, err := s.nextUpdate(sidecar, service, &engineFilter, time.Now())
		if err != nil {
			log.Error("failed to encode update for sidecar", "event", "bad_news", "error", err)
			return
		}
		if isKeeper {
			update.KeptLosses = kept.take(time.Now())
		}
		if st.SetWriteDeadline(time.Now().Add(sendTimeout)) != nil || st.Send(update) != nil {
			_ = st.Close()
			return
		}
		if sleeper.SleepOrWake(ctx, updateInterval, keptChanged) {
			sleeper.Sleep(ctx, keptBatchInterval)
		}
	}
}

// nextUpdate returns the next update of a sidecar, with the engines if this gateway tells
// them and they are due.
func (s *Subscriber) nextUpdate(sidecar netip.AddrPort, service string, engines *changeFilter, now time.Time) (*encoder.FleetNews, error) {
	if !s.isTeller(sidecar) {
		return &encoder.FleetNews{Address: s.own.String(), CatalogVersion: s.catalog.GetVersion()}, nil
	}
	update, err := s.newUpdate(service)
	if err != nil {
		return nil, err
	}
	if !engines.isDue(string(update.GetEngine())+strings.Join(update.GetEngines(), ","), now) {
		update.Engine, update.Engines = nil, nil
	}
	return update, nil
}

func (s *Subscriber) newUpdate(service string) (*encoder.FleetNews, error) {
	update := &encoder.FleetNews{Address: s.own.String(), CatalogVersion: s.catalog.GetVersion()}
	c := s.catalog.Get()
	if c == nil || c.GetService(service) == nil {
		return update, nil
	}
	engine, err := json.Marshal(c.GetService(service).Engine)
	if err != nil {
		return nil, err
	}
	update.Engine = engine
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.servers {
		if srv.Service == service {
			update.Engines = append(update.Engines, srv.Addr.String())
		}
	}
	return update, nil
}
