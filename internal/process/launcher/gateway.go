package launcher

import (
	"context"
	"errors"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"siskinfall/internal/backend/dialer"
	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/check/asserter"
	"siskinfall/internal/fleet/gossiper"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/fleet/subscriber"
	"siskinfall/internal/fleet/watcher"
	"siskinfall/internal/gateway/budgeter"
	"siskinfall/internal/gateway/evictor"
	"siskinfall/internal/gateway/forwarder"
	"siskinfall/internal/gateway/placer"
	"siskinfall/internal/gateway/quarantiner"
	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/process/tuner"
	"siskinfall/internal/report/logger"
	"siskinfall/internal/settings/loader"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

const (
	// memoryFraction of the memory allowed is the collector's limit; stacks, code
	// and socket buffers take the rest.
	memoryFraction = 0.6
	// cutMargin is the part of the grace left for the end of the process.
	cutMargin = 400 * time.Millisecond
	// adminHeader bounds the wait for the head of an operator's request.
	adminHeader = 5 * time.Second
	// mostHeaderBytes bounds a head whatever the catalog allows.
	mostHeaderBytes = 64 << 10
	// keepPeriod is how often idle connections and lapsed entries are looked at.
	keepPeriod = 500 * time.Millisecond
)

// Gateway joins the parts of a gateway.
type Gateway struct {
	cfg       *loader.Settings
	catalog   *holder.Holder
	servers   *lister.Lister
	placer    *placer.Placer
	pool      *dialer.Pool
	budget    *budgeter.Budget
	forward   *forwarder.Forwarder
	watch     *watcher.Watcher
	peers     *connector.Pool
	gossip    *gossiper.Gossiper
	crashes   *quarantiner.Set
	hello     *encoder.Hello
	subscribe *subscriber.Subscriber
	// leaving is set when the process is asked to stop.
	leaving atomic.Bool
	// inFlight counts callers' requests that have begun and not ended.
	inFlight atomic.Int64
}

// NewGateway returns a gateway on a platform's source and headers.
func NewGateway(cfg *loader.Settings, source watcher.Source, codec forwarder.Codec) *Gateway {
	g := &Gateway{cfg: cfg, catalog: holder.New(), servers: lister.New(), placer: placer.New(), pool: dialer.NewPool(), crashes: quarantiner.New()}
	g.budget = budgeter.New(budgeter.Bound{
		Ratio: cfg.Gateway.RepeatRatio, Slack: cfg.Gateway.RepeatSlack, Window: cfg.Gateway.RepeatWindow,
	}, time.Now())
	g.catalog.OnChange(g.placer.SetCatalog)
	g.servers.OnChange(g.placer.SetServers)
	g.forward = forwarder.New(g.catalog, g.placer, g.budget, g.pool, g.crashes, codec, cfg.Zone)
	g.watch = watcher.New(source, g.catalog, g.servers)
	g.hello = &encoder.Hello{
		Version: encoder.Version, Instance: cfg.Instance, Zone: cfg.Zone, Role: RoleGateway, Incarnation: newIncarnation(),
	}
	g.peers = connector.NewPool(g.hello)
	g.gossip = gossiper.New(cfg.Listen.Peers, cfg.Gateway.SeedPeers, g.peers, g.catalog, g.servers, g.crashes, func(n int) {
		g.budget.SetGateways(n)
		g.placer.SetGateways(n)
		g.watch.SetGateways(n)
	})
	g.subscribe = subscriber.New(cfg.Listen.Peers, cfg.Gateway.SidecarPort, g.peers, g.catalog, g.placer, g.gossip.AddGateways)
	g.servers.OnChange(g.subscribe.SetServers)
	return g
}

// SetJSONLog sends JSON lines to standard output without ever blocking.
func SetJSONLog(cfg *loader.Settings) error {
	log.SetOutput(logger.New(os.Stdout))
	cfg.Log.Format = "json"
	return SetLog(cfg)
}

// begin returns the context of a process that may use some megabytes; its sessions end
// with it.
func begin(stop Stop, peers *connector.Pool, megabytes int) (context.Context, context.CancelFunc) {
	debug.SetMemoryLimit(int64(float64(megabytes<<20) * memoryFraction))
	ctx, cancel := context.WithCancel(stop.Forced)
	context.AfterFunc(ctx, peers.Close)
	return ctx, cancel
}

// goAll runs work in the background until ctx ends.
func goAll(ctx context.Context, wg *sync.WaitGroup, work ...func(context.Context)) {
	for _, f := range work {
		wg.Go(func() { f(ctx) })
	}
}

// Run serves until stop.
func (g *Gateway) Run(stop Stop) error {
	ctx, cancel := begin(stop, g.peers, g.cfg.Gateway.Memory)
	defer cancel()
	var ls listeners
	callers, err := ls.bind(g.cfg.Listen.Callers)
	if err != nil {
		return err
	}
	admin, err := ls.bind(g.cfg.Listen.Admin)
	if err != nil {
		return err
	}
	peers, err := ls.bind(g.cfg.Listen.Peers)
	if err != nil {
		return err
	}
	front := &http.Server{Handler: http.HandlerFunc(g.serveCaller), MaxHeaderBytes: mostHeaderBytes} //nolint:gosec // the evictor bounds the head's time
	callers = evictor.New(g.catalog).Watch(front, callers)
	operate := &http.Server{Handler: g.adminHandler(), ReadHeaderTimeout: adminHeader}
	var wg sync.WaitGroup
	if err := ls.serveMetrics(ctx, &wg, g.cfg.Listen.Metrics); err != nil {
		return err
	}
	goAll(ctx, &wg, g.watch.RunCatalog, g.watch.RunServers, tuner.Run, g.keep, reload(RoleGateway), g.subscribe.Run, g.gossip.Run)
	wg.Go(func() { _ = connector.NewAcceptor(g.hello, g.handle).Serve(ctx, peers) })
	wg.Go(func() { serveHTTP(front, callers) })
	wg.Go(func() { serveHTTP(operate, admin) })
	log.Info("started", "event", "start", "role", "gateway", "callers", callers.Addr(), "admin", admin.Addr())
	<-stop.Graceful.Done()
	done := g.drain(stop, front)
	_ = operate.Close()
	cancel()
	wg.Wait()
	return ended(done)
}

// handle serves a stream of another gateway.
func (g *Gateway) handle(ctx context.Context, peer *encoder.Hello, open *encoder.Open, s *connector.Stream) {
	if open.GetGatewaySync() == nil {
		return
	}
	err := g.gossip.Serve(s)
	if ctx.Err() == nil {
		log.Info("stream ended", "event", "peer_lost", "peer", peer.GetInstance(), "role", peer.GetRole(), "error", err)
	}
}

// drain leaves the rotation first, then ends what is in flight.
func (g *Gateway) drain(stop Stop, front *http.Server) bool {
	start := time.Now()
	g.leaving.Store(true)
	log.Info("stopping", "event", "stop", "role", "gateway")
	sleeper.Sleep(stop.Forced, g.cfg.Gateway.RotationDelay)
	ctx, cancel := context.WithDeadline(stop.Forced, start.Add(g.cfg.Gateway.Grace-cutMargin))
	defer cancel()
	err := front.Shutdown(ctx)
	if stop.Forced.Err() == nil {
		n := g.inFlight.Load()
		err = errors.Join(err, asserter.Holds(n == 0, asserter.RuleDrained, "%d requests in flight after %v", n, time.Since(start)))
	}
	if err != nil {
		log.Warn("work is cut off", "event", "stop", "role", RoleGateway, "in_flight", g.inFlight.Load(), "error", err)
		_ = front.Close()
	}
	return err == nil
}

func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	g.forward.ServeHTTP(w, r)
}

// isReady reports whether new callers should come here.
func (g *Gateway) isReady() bool {
	return !g.leaving.Load() && g.catalog.Get() != nil && g.servers.GetRevision() > 0
}

func (g *Gateway) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !g.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return mux
}

// keep closes idle connections to servers that have gone and drops entries whose
// grace has ended.
func (g *Gateway) keep(ctx context.Context) {
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, keepPeriod)
		g.servers.Expire(time.Now())
		g.pool.Prune(func(k dialer.Key) bool { return g.placer.IsInUse(k.ID) }, time.Now())
	}
}
