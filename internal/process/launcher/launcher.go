// Package launcher runs an entry instance or an agent from start to graceful
// shutdown.
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
	entry "siskinfall/internal/entry/server"
	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/process/tuner"
	"siskinfall/internal/routing/tracker"
	"siskinfall/internal/settings/loader"
	"siskinfall/internal/store/storer"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// ErrCut says that shutdown ended before the work in flight did.
var ErrCut = errors.New("work in flight was cut off")

// Stop says when to end: Graceful ends first, Forced cuts the rest off.
type Stop struct {
	Graceful context.Context //nolint:containedctx // two lifetimes of a process
	Forced   context.Context //nolint:containedctx // two lifetimes of a process
}

// NewSignalStop ends gracefully at the first SIGTERM or SIGINT and by force at
// the second.
func NewSignalStop() Stop {
	graceful, stop := context.WithCancel(context.Background())
	forced, kill := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ch
		stop()
		<-ch
		kill()
	}()
	return Stop{Graceful: graceful, Forced: forced}
}

// SetLog configures the log of the process.
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

// newIncarnation tells this process from its predecessors.
func newIncarnation() uint64 { return uint64(time.Now().UnixNano()) }

// readHeaderTimeout bounds the wait for a request's head.
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

// serveMetrics serves counters and histograms on an address of their own until ctx
// ends; without an address it does nothing.
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

// process is what an entry instance and an agent have in common.
type process struct {
	hello *encoder.Hello
	// callers is nil for an agent.
	callers http.Handler
	admin   http.Handler
	handle  connector.Handler
	// run works in the background until its context ends.
	run func(context.Context)
	// drain refuses new work and reports whether the work in flight has ended.
	drain        func(context.Context) bool
	drainTimeout time.Duration
}

// RunEntry runs an entry instance until stop; opts configure its sessions.
func RunEntry(stop Stop, cfg *loader.Settings, opts ...connector.Option) error {
	return runProcess(stop, cfg, func(ctx context.Context, incarnation uint64, p storer.Platform) *process {
		s := entry.New(ctx, cfg, incarnation, p, opts...)
		return &process{
			hello: s.Hello(), callers: s.CallersHandler(), admin: s.AdminHandler(), handle: s.Handle,
			run: s.Run, drain: s.Drain, drainTimeout: cfg.Entry.DrainTimeout,
		}
	})
}

// RunAgent runs an agent until stop; opts configure its sessions.
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

// runProcess serves until stop, then ends the work in flight.
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
	for i, srv := range servers {
		wg.Go(func() { serveHTTP(srv, ls.list[i+1]) })
	}
	wg.Go(func() { _ = connector.NewAcceptor(p.hello, p.handle).Serve(ctx, peers) })
	wg.Go(func() { p.run(ctx) })
	wg.Go(func() { tuner.Run(ctx) })
	log.Info("started", "role", p.hello.GetRole(), "peers", peers.Addr(), "admin", cfg.Listen.Admin)
	<-stop.Graceful.Done()
	log.Info("stopping", "role", p.hello.GetRole())
	done := drain(stop, p.drainTimeout, p.drain)
	for _, srv := range servers {
		shutdown(stop, srv)
	}
	cancel()
	wg.Wait()
	return ended(done)
}

// newServers binds the HTTP listeners in order, behind the one for peers.
func newServers(ls *listeners, cfg *loader.Settings, p *process) ([]*http.Server, error) {
	var servers []*http.Server
	for _, l := range []struct {
		addr    netip.AddrPort
		handler http.Handler
	}{{cfg.Listen.Callers, p.callers}, {cfg.Listen.Admin, p.admin}} {
		if l.handler == nil {
			continue
		}
		if _, err := ls.bind(l.addr); err != nil {
			return nil, err
		}
		servers = append(servers, &http.Server{Handler: l.handler, ReadHeaderTimeout: readHeaderTimeout})
	}
	return servers, nil
}

// drain waits for work in flight, bounded by limit and by force.
func drain(stop Stop, limit time.Duration, f func(context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(stop.Forced, limit)
	defer cancel()
	return f(ctx)
}

// shutdownTimeout bounds the end of connections without work.
const shutdownTimeout = 2 * time.Second

func shutdown(stop Stop, srv *http.Server) {
	ctx, cancel := context.WithTimeout(stop.Forced, shutdownTimeout)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		_ = srv.Close()
	}
}

func ended(done bool) error {
	if !done {
		return wrapper.At("drain", "", ErrCut)
	}
	log.Info("stopped")
	return nil
}

func serveHTTP(srv *http.Server, ln net.Listener) {
	err := srv.Serve(ln)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Error("listener ended", "address", ln.Addr(), "error", err)
	}
}
