package launcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
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
	"siskinfall/internal/fleet/archiver"
	"siskinfall/internal/fleet/gossiper"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/fleet/subscriber"
	"siskinfall/internal/fleet/watcher"
	"siskinfall/internal/fleet/withdrawer"
	"siskinfall/internal/gateway/apportioner"
	"siskinfall/internal/gateway/budgeter"
	"siskinfall/internal/gateway/evictor"
	"siskinfall/internal/gateway/forwarder"
	"siskinfall/internal/gateway/placer"
	"siskinfall/internal/gateway/quarantiner"
	"siskinfall/internal/process/accountant"
	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/process/tuner"
	"siskinfall/internal/report/logger"
	"siskinfall/internal/settings/loader"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
	"siskinfall/internal/wire/resetter"
)

const (
	// memoryLimitFraction is the part of the configured memory that is set as the
	// Go runtime's memory limit. The rest is for memory that the limit does not
	// count, such as code and socket buffers.
	memoryLimitFraction = 0.6
	// exitMargin is the part of the grace period that is reserved for the exit of the
	// process after the drain.
	exitMargin = 400 * time.Millisecond
	// finalAnswerTime is the part of exitMargin in which requests that are still in flight get
	// their final answer.
	finalAnswerTime = 150 * time.Millisecond
	// adminHeaderTimeout bounds the time to read the headers of an operator's request.
	adminHeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds the headers of a caller's request, regardless of the catalog's limit.
	maxHeaderBytes = 64 << 10
	// tellersPerSidecar is the number of gateways that tell a sidecar of its service's engines.
	// With several, one that is cut off or has an older list does no harm.
	tellersPerSidecar = 3
	// storeWatchers is the number of gateways that watch the store. The store turns away a third
	// of the instances at times.
	storeWatchers = 12
	// maxUnconfirmed is the age of the catalog from which on a gateway watches the store in any
	// case: those that should seem not to reach it. It is below the age at which requests are
	// no longer denied by the catalog, and above the wait of a watch.
	maxUnconfirmed = 4800 * time.Millisecond
	// secondAttemptsShare is the share of the retries of all gateways that second attempts may
	// take.
	secondAttemptsShare = 0.5
	// recoveryTimeout bounds the wait for losses that are kept outside the gateways, from when the
	// servers are known. It exceeds the dial of a sidecar that answers. recoveryInterval is the
	// pause between two looks for them.
	recoveryTimeout  = 1500 * time.Millisecond
	recoveryInterval = 10 * time.Millisecond
	// cleanupInterval is the time between two removals of lapsed servers and idle
	// connections.
	cleanupInterval = 500 * time.Millisecond
)

// Gateway connects the components of a gateway process.
type Gateway struct {
	cfg         *loader.Settings
	catalog     *holder.Holder
	servers     *lister.Lister
	zones       *withdrawer.Zones
	placer      *placer.Placer
	pool        *dialer.Pool
	retryBudget *budgeter.Budget
	forwarder   *forwarder.Forwarder
	watcher     *watcher.Watcher
	peers       *connector.Pool
	gossiper    *gossiper.Gossiper
	quarantine  *quarantiner.Set
	hello       *encoder.Hello
	subscriber  *subscriber.Subscriber
	archiver    *archiver.Archiver
	// stopping is set when the process is asked to stop.
	stopping atomic.Bool
	// inFlight counts the requests of callers that are in progress.
	inFlight atomic.Int64
}

// NewGateway returns a Gateway that reads the catalog and the servers from source, archives
// losses in archive, and uses codec for the platform's headers.
func NewGateway(cfg *loader.Settings, source watcher.Source, archive archiver.Table, codec forwarder.Codec) *Gateway {
	peersAddr := cfg.Listen.Peers
	if cfg.Gateway.AdvertisePeers.IsValid() {
		peersAddr = cfg.Gateway.AdvertisePeers
	}
	shares := apportioner.New(peersAddr, time.Now())
	placerOpts := []placer.Option{placer.WithShares(shares.GetShare), placer.WithScarceSlots(cfg.Gateway.ScarceSlots)}
	forwarderOpts := []forwarder.Option{
		forwarder.WithSecondAttempts(min(cfg.Gateway.SecondAttempts, secondAttemptsShare*cfg.Gateway.RepeatRatio)),
	}
	if cfg.Gateway.Admission {
		placerOpts = append(placerOpts, placer.WithReportLag(forwarder.GetReportLag()))
		forwarderOpts = append(forwarderOpts, forwarder.WithAdmission())
	}
	g := &Gateway{
		cfg: cfg, catalog: holder.New(), servers: lister.New(), zones: withdrawer.New(), placer: placer.New(placerOpts...),
		pool: dialer.NewPool(), quarantine: quarantiner.New(rand.Uint64(), quarantiner.WithPeers()),
	}
	g.retryBudget = budgeter.New(budgeter.Bound{
		Ratio: cfg.Gateway.RepeatRatio, Slack: cfg.Gateway.RepeatSlack, Window: cfg.Gateway.RepeatWindow,
	}, time.Now())
	g.catalog.OnChange(g.placer.SetCatalog)
	g.servers.OnChange(g.placer.SetServers)
	g.zones.OnChange(func(closed []string) { g.placer.SetClosedZones(closed, time.Now()) })
	g.forwarder = forwarder.New(g.catalog, g.placer, g.retryBudget, g.pool, g.quarantine, codec, cfg.Zone, forwarderOpts...)
	g.watcher = watcher.New(source, g.catalog, g.servers, watcher.WithRole(g.watchesStore), watcher.WithZones(g.zones))
	g.hello = &encoder.Hello{
		Version: encoder.Version, Instance: cfg.Instance, Zone: cfg.Zone, Role: RoleGateway, Incarnation: newIncarnation(),
	}
	g.peers = connector.NewPool(g.hello)
	g.gossiper = gossiper.New(peersAddr, cfg.Gateway.SeedPeers, g.peers, g.catalog, g.servers, g.quarantine, func(members, sharers int) {
		g.retryBudget.SetGateways(sharers)
		g.placer.SetGateways(members)
		g.watcher.SetGateways(members)
	}, gossiper.WithStoreState(g.watcher.IsUpToDate), gossiper.WithZones(g.zones), gossiper.WithSharers(func(others []netip.AddrPort, isHeard bool) {
		shares.SetGateways(others, isHeard, time.Now())
	}))
	g.subscriber = subscriber.New(peersAddr, cfg.Zone, cfg.Gateway.SidecarPort, g.peers, g.catalog, g.placer, g.quarantine, g.gossiper.AddGateways, func(sidecar netip.AddrPort) bool {
		return g.gossiper.IsAmongFirst(tellersPerSidecar, sidecar.String(), time.Now())
	})
	g.servers.OnChange(g.subscriber.SetServers)
	g.archiver = archiver.New(archive, g.quarantine, g.watchesStore)
	g.servers.OnEra(g.archiver.SetEra)
	return g
}

// watchesStore reports whether this gateway watches the store.
func (g *Gateway) watchesStore() bool {
	now := time.Now()
	return g.gossiper.IsAmongFirst(storeWatchers, "store", now) || g.catalog.GetAge(now) > maxUnconfirmed
}

// SetJSONLog configures the process's log as JSON lines on standard output. Lines
// are dropped rather than block the caller.
func SetJSONLog(cfg *loader.Settings) error {
	log.SetOutput(logger.New(os.Stdout))
	cfg.Log.Format = "json"
	return SetLog(cfg)
}

// newProcessContext sets the memory limit of a process that may use the given
// number of megabytes, and returns its context, which ends with stop.Forced. When
// the context ends, the sessions with peers are closed.
func newProcessContext(stop Stop, peers *connector.Pool, megabytes int) (context.Context, context.CancelFunc) {
	setMemoryLimit(megabytes)
	ctx, cancel := context.WithCancel(stop.Forced)
	context.AfterFunc(ctx, peers.Close)
	return ctx, cancel
}

// setMemoryLimit makes the runtime collect before the process reaches its memory.
func setMemoryLimit(megabytes int) {
	debug.SetMemoryLimit(int64(float64(megabytes<<20) * memoryLimitFraction))
}

// runAll starts tasks in the background, each with ctx, which ends them.
func runAll(ctx context.Context, wg *sync.WaitGroup, tasks ...func(context.Context)) {
	for _, task := range tasks {
		wg.Go(func() { task(ctx) })
	}
}

// Run serves until stop, then drains the requests in flight. It returns
// ErrDrainIncomplete if some were cut off.
func (g *Gateway) Run(stop Stop) error {
	ctx, cancel := newProcessContext(stop, g.peers, g.cfg.Gateway.Memory)
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
	callerServer := &http.Server{ //nolint:gosec // the evictor bounds the time to read the headers
		Handler: http.HandlerFunc(g.serveCaller), MaxHeaderBytes: maxHeaderBytes, ConnContext: resetter.WithConn,
		// OPTIONS * has no route; net/http would answer it with a success.
		DisableGeneralOptionsHandler: true,
	}
	accounts := accountant.New(newCallerBounds(g.cfg.Gateway.Memory, g.cfg.Gateway.Descriptors))
	callers = evictor.New(g.catalog, evictor.WithAccounts(accounts), evictor.WithRefusal(g.forwarder.Refuse)).Watch(callerServer, callers)
	adminServer, admin := newAdminServer(g.adminHandler(), admin, g.cfg.Gateway.Memory, g.cfg.Gateway.Descriptors)
	exportHeld(accounts)
	var wg sync.WaitGroup
	if err := ls.serveMetrics(ctx, &wg, g.cfg.Listen.Metrics); err != nil {
		return err
	}
	runAll(ctx, &wg, g.watcher.RunCatalog, g.watcher.RunServers, tuner.Run, g.cleanUp, logReloads(RoleGateway), g.subscriber.Run, g.gossiper.Run, g.archiver.Run, g.recoverLosses)
	wg.Go(func() {
		_ = connector.NewAcceptor(g.hello, g.handle, newSessionBounds(g.cfg.Gateway.Descriptors)).Serve(ctx, peers)
	})
	wg.Go(func() { serveHTTP(callerServer, callers) })
	wg.Go(func() { serveHTTP(adminServer, admin) })
	log.Info("started", "event", "start", "role", "gateway", "callers", callers.Addr(), "admin", admin.Addr())
	<-stop.Graceful.Done()
	drained := g.drain(stop, callerServer)
	_ = adminServer.Close()
	cancel()
	wg.Wait()
	return drainResult(drained)
}

// handle serves a stream of another gateway.
func (g *Gateway) handle(ctx context.Context, peer *encoder.Hello, open *encoder.Open, s *connector.Stream) {
	if open.GetGatewaySync() == nil {
		return
	}
	err := g.gossiper.Serve(s)
	if ctx.Err() == nil {
		log.Info("stream ended", "event", "peer_lost", "peer", peer.GetInstance(), "role", peer.GetRole(), "error", err)
	}
}

// drain fails the readiness check for the rotation delay, so that callers move to
// other gateways, and then waits for the requests in flight. It reports whether
// all of them ended before the grace period, less exitMargin, was over. Those that
// did not are answered that there was no answer in time.
func (g *Gateway) drain(stop Stop, callerServer *http.Server) bool {
	start := time.Now()
	end := start.Add(g.cfg.Gateway.Grace - exitMargin)
	g.stopping.Store(true)
	g.forwarder.BeginDrain(start.Add(g.cfg.Gateway.RotationDelay), end)
	log.Info("stopping", "event", "stop", "role", "gateway")
	sleeper.Sleep(stop.Forced, g.cfg.Gateway.RotationDelay)
	ctx, cancel := context.WithDeadline(stop.Forced, end)
	defer cancel()
	err := callerServer.Shutdown(ctx)
	n := g.inFlight.Load()
	switch {
	case stop.Forced.Err() != nil:
	case n > 0:
		err = errors.Join(err, asserter.Holds(false, asserter.RuleDrained, "%d requests in flight after %v", n, time.Since(start)))
		g.answerRemaining(stop, callerServer)
	default:
		// What keeps Shutdown waiting are connections without a request.
		err = nil
	}
	if err != nil {
		log.Warn("shutdown cut off requests in flight", "event", "stop", "role", RoleGateway, "in_flight", n, "unanswered", g.inFlight.Load(), "error", err)
	}
	_ = callerServer.Close()
	return err == nil
}

// answerRemaining ends the requests in flight with an answer.
func (g *Gateway) answerRemaining(stop Stop, callerServer *http.Server) {
	ctx, cancel := context.WithTimeout(stop.Forced, finalAnswerTime)
	defer cancel()
	g.forwarder.EndRequests()
	if err := callerServer.Shutdown(ctx); err != nil {
		log.Warn("requests were cut off without an answer", "event", "stop", "role", RoleGateway, "in_flight", g.inFlight.Load(), "error", err)
	}
}

func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	g.forwarder.ServeHTTP(w, r)
}

// isReady reports whether the gateway can take new callers.
func (g *Gateway) isReady() bool {
	return !g.stopping.Load() && g.catalog.Get() != nil && g.servers.GetPosition() != (lister.Position{}) && g.zones.IsKnown() && g.quarantine.IsComplete()
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

// recoverLosses waits for the losses that were known before this gateway started: from another
// gateway that knows them, or else from the archive and the sidecars.
func (g *Gateway) recoverLosses(ctx context.Context) {
	var known time.Time
	for ; ctx.Err() == nil && !g.quarantine.IsRecovered(); sleeper.Sleep(ctx, recoveryInterval) {
		if g.catalog.Get() == nil || g.servers.GetPosition() == (lister.Position{}) {
			continue
		}
		now := time.Now()
		if known.IsZero() {
			known = now
		}
		isRead, isAsked := g.archiver.IsRead(), g.subscriber.IsAsked(now)
		if isRead && isAsked || now.Sub(known) > recoveryTimeout {
			log.Info("kept losses recovered", "event", "kept", "archive_read", isRead, "sidecars_asked", isAsked)
			g.quarantine.SetRecovered()
		}
	}
}

// cleanUp removes lapsed servers whose grace period in lister has ended. It closes
// connections that have been idle for too long or whose server is no longer in use.
func (g *Gateway) cleanUp(ctx context.Context) {
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, cleanupInterval)
		g.servers.Expire(time.Now())
		g.zones.Expire(time.Now())
		g.pool.Prune(func(k dialer.Key) bool { return g.placer.IsInUse(k.ID) }, time.Now())
	}
}
