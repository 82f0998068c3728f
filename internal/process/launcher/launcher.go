// Package launcher runs an entry instance, an agent, a gateway or a sidecar from
// start to graceful shutdown.
//
// Entry instances and agents are the processes of the project's own interface, gateways
// and sidecars those on the users' platform. Entry instances and gateways serve callers.
// An agent forwards requests to its backend server. A sidecar forwards none: it sends
// the load of its engine to the gateways and changes the expert map of its model group.
package launcher

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	agent "siskinfall/internal/agent/server"
	"siskinfall/internal/catalog/holder"
	entry "siskinfall/internal/entry/server"
	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/gateway/evictor"
	"siskinfall/internal/process/accountant"
	"siskinfall/internal/process/tuner"
	"siskinfall/internal/routing/tracker"
	"siskinfall/internal/settings/loader"
	"siskinfall/internal/store/storer"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
	"siskinfall/internal/wire/resetter"
)

// ErrDrainIncomplete is returned when the shutdown ended before the work in flight
// did.
var ErrDrainIncomplete = errors.New("work in flight was cut off")

// Stop holds the contexts that end a process: a graceful shutdown begins when
// Graceful ends, and the work still in flight is cut off when Forced ends.
type Stop struct {
	Graceful context.Context //nolint:containedctx // two lifetimes of a process
	Forced   context.Context //nolint:containedctx // two lifetimes of a process
}

// NewSignalStop returns a Stop whose Graceful ends at the first SIGTERM or SIGINT
// and whose Forced ends at the second.
func NewSignalStop() Stop {
	graceful, beginStop := context.WithCancel(context.Background())
	forced, forceStop := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	// logReloads listens only while the process runs. A SIGHUP before or after that must not
	// end it.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	go func() {
		<-signals
		beginStop()
		<-signals
		forceStop()
	}()
	return Stop{Graceful: graceful, Forced: forced}
}

// SetLog configures the log of the process: level, format and the fields of every
// line.
func SetLog(cfg *loader.Settings) error {
	level, err := log.ParseLevel(cfg.Log.Level)
	if err != nil {
		return wrapper.At("set_log", "", err)
	}
	log.SetLevel(level)
	log.SetReportTimestamp(true)
	log.SetTimeFormat(time.RFC3339Nano)
	if cfg.Log.Format == "json" {
		log.SetFormatter(log.JSONFormatter)
	}
	log.SetDefault(log.With("instance", cfg.Instance, "availability_zone", cfg.Zone))
	return nil
}

// newIncarnation returns an id that distinguishes this process from earlier ones
// of the same instance.
func newIncarnation() uint64 { return uint64(time.Now().UnixNano()) }

// readHeaderTimeout bounds the time to read the headers of a request.
const readHeaderTimeout = 10 * time.Second

// listeners binds several addresses and closes all of them on failure.
type listeners struct {
	list []net.Listener
}

func (l *listeners) bind(addr netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		for _, other := range l.list {
			_ = other.Close()
		}
		return nil, wrapper.At("listen", addr.String(), err)
	}
	l.list = append(l.list, ln)
	return ln, nil
}

// serveMetrics serves metrics on a separate address until ctx ends. Without an
// address it does nothing.
func (l *listeners) serveMetrics(ctx context.Context, wg *sync.WaitGroup, addr netip.AddrPort) error {
	if !addr.IsValid() {
		return nil
	}
	ln, err := l.bind(addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	s := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	wg.Go(func() { serveHTTP(s, ln) })
	return nil
}

// process holds the parts that an entry instance and an agent have in common.
type process struct {
	hello *encoder.Hello
	// callers is nil for an agent.
	callers http.Handler
	admin   http.Handler
	handle  connector.Handler
	// run does the background work until its context ends.
	run func(context.Context)
	// drain refuses new work and reports whether the work in flight has ended.
	drain        func(context.Context) bool
	drainTimeout time.Duration
}

// RunEntry runs an entry instance until stop; opts configure its sessions with
// peers. It returns ErrDrainIncomplete if work in flight was cut off.
func RunEntry(stop Stop, cfg *loader.Settings, opts ...connector.Option) error {
	setMemoryLimit(cfg.Entry.Memory)
	return runProcess(stop, cfg, func(ctx context.Context, incarnation uint64, p storer.Platform) *process {
		s := entry.New(ctx, cfg, incarnation, p, opts...)
		return &process{
			hello: s.Hello(), callers: s.CallersHandler(), admin: s.AdminHandler(), handle: s.Handle,
			run: s.Run, drain: s.Drain, drainTimeout: cfg.Entry.DrainTimeout,
		}
	})
}

// RunAgent runs an agent until stop; opts configure its sessions with peers. It
// returns ErrDrainIncomplete if work in flight was cut off.
func RunAgent(stop Stop, cfg *loader.Settings, opts ...connector.Option) error {
	return runProcess(stop, cfg, func(ctx context.Context, incarnation uint64, p storer.Platform) *process {
		hello := &encoder.Hello{
			Version: encoder.Version, Instance: cfg.Instance, Zone: cfg.Zone, Role: tracker.RoleAgent, Incarnation: incarnation,
		}
		pool := connector.NewPool(hello, opts...)
		context.AfterFunc(ctx, pool.Close)
		s := agent.New(ctx, cfg, incarnation, p, pool)
		return &process{
			hello: hello, admin: s.AdminHandler(), handle: s.Handle, run: s.Run, drain: s.Drain, drainTimeout: cfg.Agent.DrainTimeout,
		}
	})
}

// runProcess serves until stop, then waits for the work in flight.
func runProcess(stop Stop, cfg *loader.Settings, newProcess func(context.Context, uint64, storer.Platform) *process) error {
	ctx, cancel := context.WithCancel(stop.Forced)
	defer cancel()
	platform := storer.NewClient(cfg.Platform.Address, storer.WithTimeout(cfg.Platform.Timeout))
	p := newProcess(ctx, newIncarnation(), platform)
	var ls listeners
	peers, err := ls.bind(cfg.Listen.Peers)
	if err != nil {
		return err
	}
	servers, err := newServers(&ls, cfg, p)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	for _, s := range servers {
		wg.Go(func() { serveHTTP(s.Server, s.Listener) })
	}
	wg.Go(func() { _ = connector.NewAcceptor(p.hello, p.handle).Serve(ctx, peers) })
	wg.Go(func() { p.run(ctx) })
	wg.Go(func() { tuner.Run(ctx) })
	log.Info("started", "role", p.hello.GetRole(), "peers", peers.Addr(), "admin", cfg.Listen.Admin)
	<-stop.Graceful.Done()
	log.Info("stopping", "role", p.hello.GetRole())
	drained := drain(stop, p.drainTimeout, p.drain)
	for _, s := range servers {
		shutdown(stop, s.Server)
	}
	cancel()
	wg.Wait()
	return drainResult(drained)
}

// boundServer is a server with its listener.
type boundServer struct {
	*http.Server
	net.Listener
}

// newServers binds the HTTP listeners of a process. The connections of callers have the bounds
// of the settings.
func newServers(ls *listeners, cfg *loader.Settings, p *process) ([]boundServer, error) {
	var servers []boundServer
	if p.callers != nil {
		ln, err := ls.bind(cfg.Listen.Callers)
		if err != nil {
			return nil, err
		}
		s := &http.Server{Handler: p.callers, ReadHeaderTimeout: readHeaderTimeout, ConnContext: resetter.WithConn, MaxHeaderBytes: maxHeaderBytes}
		accounts := accountant.New(newCallerBounds(cfg.Entry.Memory, cfg.Entry.Descriptors))
		guard := evictor.New(holder.New(), evictor.WithAccounts(accounts), evictor.WithHeaderTimeout(readHeaderTimeout))
		servers = append(servers, boundServer{s, guard.Watch(s, ln)})
	}
	ln, err := ls.bind(cfg.Listen.Admin)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: p.admin, ReadHeaderTimeout: readHeaderTimeout, ConnContext: resetter.WithConn}
	return append(servers, boundServer{s, ln}), nil
}

// drain waits for work in flight by calling f, until timeout or stop.Forced.
func drain(stop Stop, timeout time.Duration, f func(context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(stop.Forced, timeout)
	defer cancel()
	return f(ctx)
}

// shutdownTimeout bounds the closing of connections after the drain.
const shutdownTimeout = 2 * time.Second

func shutdown(stop Stop, srv *http.Server) {
	ctx, cancel := context.WithTimeout(stop.Forced, shutdownTimeout)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		_ = srv.Close()
	}
}

// drainResult returns ErrDrainIncomplete unless the work in flight was drained.
func drainResult(drained bool) error {
	if !drained {
		return wrapper.At("drain", "", ErrDrainIncomplete)
	}
	log.Info("stopped")
	return nil
}

func serveHTTP(srv *http.Server, ln net.Listener) {
	err := srv.Serve(ln)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Error("HTTP server failed", "address", ln.Addr(), "error", err)
	}
}
