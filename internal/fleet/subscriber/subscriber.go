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
	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// redialPause is the pause before a sidecar is dialled again.
const redialPause = 400 * time.Millisecond

// Subscriber is the gateway's side: one goroutine for each sidecar. It is safe
// for concurrent use.
type Subscriber struct {
	own     netip.AddrPort
	port    uint16
	pool    *connector.Pool
	catalog *holder.Holder
	placer  *placer.Placer
	// onGateways takes in the gateways that a sidecar knows.
	onGateways func([]string)
	mu         sync.Mutex
	// servers is the newest list; followed ends the goroutine of each engine.
	servers  []lister.Server
	followed map[netip.AddrPort]context.CancelFunc
}

// New returns a Subscriber; own is this gateway's listener for peers and port that
// of the sidecars.
func New(own netip.AddrPort, port uint16, pool *connector.Pool, catalog *holder.Holder, p *placer.Placer, onGateways func([]string)) *Subscriber {
	return &Subscriber{
		own: own, port: port, pool: pool, catalog: catalog, placer: p, onGateways: onGateways,
		followed: make(map[netip.AddrPort]context.CancelFunc),
	}
}

// SetServers takes in the backend servers in use.
func (s *Subscriber) SetServers(all []lister.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = all
}

// Run follows the sidecars of all engines until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		s.update(ctx, &wg)
		sleeper.Sleep(ctx, redialPause)
	}
}

// update starts and ends goroutines as engines come and go.
func (s *Subscriber) update(ctx context.Context, wg *sync.WaitGroup) {
	c := s.catalog.Get()
	if c == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[netip.AddrPort]bool)
	for _, srv := range s.servers {
		if service := c.GetService(srv.Service); service == nil || service.Engine == nil {
			continue
		}
		present[srv.Addr] = true
		if s.followed[srv.Addr] != nil {
			continue
		}
		followCtx, cancel := context.WithCancel(ctx)
		s.followed[srv.Addr] = cancel
		wg.Go(func() { s.follow(followCtx, srv.Addr, srv.Service) })
	}
	for addr, cancel := range s.followed {
		if !present[addr] {
			cancel()
			delete(s.followed, addr)
		}
	}
}

// follow keeps a stream to one sidecar.
func (s *Subscriber) follow(ctx context.Context, engine netip.AddrPort, service string) {
	sidecar := netip.AddrPortFrom(engine.Addr(), s.port)
	lost := false
	for ctx.Err() == nil {
		err := s.stream(ctx, sidecar, engine, service, &lost)
		if ctx.Err() != nil {
			return
		}
		if !lost {
			log.Info("sidecar lost", "event", "peer_lost", "peer", sidecar, "error", err)
			lost = true
		}
		s.pool.Drop(sidecar)
		sleeper.Sleep(ctx, redialPause)
	}
}

func (s *Subscriber) stream(ctx context.Context, sidecar, engine netip.AddrPort, service string, lost *bool) error {
	st, err := s.pool.Open(ctx, sidecar, &encoder.Open{Kind: &encoder.Open_EngineWatch{EngineWatch: &encoder.EngineWatch{}}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = st.Close() })
	go s.sendNews(ctx, st, service)
	for {
		if err := st.SetReadDeadline(time.Now().Add(silenceLimit)); err != nil {
			return err
		}
		load := &encoder.EngineLoad{}
		if err := st.Receive(load); err != nil {
			return err
		}
		if *lost {
			log.Info("sidecar regained", "event", "peer_regained", "peer", sidecar)
			*lost = false
		}
		s.takeLoad(load, engine, time.Now())
	}
}

func (s *Subscriber) takeLoad(load *encoder.EngineLoad, engine netip.AddrPort, now time.Time) {
	s.placer.SetEngineLoad(engine, time.UnixMilli(load.GetStartedMillis()), placer.Load{
		Running: int(load.GetRunning()), Waiting: int(load.GetWaiting()), Memory: int(load.GetMemory()), Broken: load.GetBroken(),
		Pass: time.Duration(load.GetPassMicros()) * time.Microsecond, At: now, Stalled: load.GetStalled(), Group: load.GetGroup(),
		Slowness: float64(load.GetSlownessMilli()) / slownessUnit,
	})
	s.onGateways(load.GetGateways())
}

// sendNews tells a sidecar what this gateway knows.
func (s *Subscriber) sendNews(ctx context.Context, st *connector.Stream, service string) {
	shape := repeater{}
	for ctx.Err() == nil {
		news, err := s.newNews(service)
		if err != nil {
			log.Error("news not encoded", "event", "bad_news", "error", err)
			return
		}
		if !shape.isDue(string(news.GetEngine())+strings.Join(news.GetEngines(), ","), time.Now()) {
			news.Engine, news.Engines = nil, nil
		}
		if st.SetWriteDeadline(time.Now().Add(sendLimit)) != nil || st.Send(news) != nil {
			_ = st.Close()
			return
		}
		sleeper.Sleep(ctx, newsPeriod)
	}
}

func (s *Subscriber) newNews(service string) (*encoder.FleetNews, error) {
	news := &encoder.FleetNews{Address: s.own.String(), CatalogVersion: s.catalog.GetVersion()}
	c := s.catalog.Get()
	if c == nil || c.GetService(service) == nil {
		return news, nil
	}
	engine, err := json.Marshal(c.GetService(service).Engine)
	if err != nil {
		return nil, err
	}
	news.Engine = engine
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.servers {
		if srv.Service == service {
			news.Engines = append(news.Engines, srv.Addr.String())
		}
	}
	return news, nil
}
