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

	"github.com/charmbracelet/log"

	agent "siskinfall/internal/agent/server"
	entry "siskinfall/internal/entry/server"
	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/platform/storer"
	"siskinfall/internal/routing/tracker"
	"siskinfall/internal/settings/loader"
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

// listener binds several addresses and closes all of them on failure.
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

// RunEntry runs an entry instance until stop.
func RunEntry(stop Stop, cfg *loader.Settings) error {
	var ls listeners
	callers, err := ls.bind(cfg.Listen.Callers)
	if err != nil {
		return err
	}
	admin, err := ls.bind(cfg.Listen.Admin)
	if err != nil {
		return err
	}
	peers, err := ls.bind(cfg.Listen.Peers)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(stop.Forced)
	defer cancel()
	platform := storer.NewClient(cfg.Platform.Address, storer.WithTimeout(cfg.Platform.Timeout))
	s := entry.New(ctx, cfg, newIncarnation(), platform)
	callerServer := &http.Server{Handler: s.CallersHandler(), ReadHeaderTimeout: readHeaderTimeout}
	adminServer := &http.Server{Handler: s.AdminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	acceptor := connector.NewAcceptor(s.Hello(), s.Handle)
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	wg.Go(func() { serveHTTP(callerServer, callers) })
	wg.Go(func() { serveHTTP(adminServer, admin) })
	wg.Go(func() { _ = acceptor.Serve(ctx, peers) })
	log.Info("entry started", "callers", callers.Addr(), "admin", admin.Addr(), "peers", peers.Addr())
	<-stop.Graceful.Done()
	log.Info("entry stopping")
	done := drain(stop, cfg.Entry.DrainTimeout, s.Drain)
	shutdown(stop, callerServer)
	cancel()
	_ = adminServer.Close()
	wg.Wait()
	return ended(done)
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

// RunAgent runs an agent until stop.
func RunAgent(stop Stop, cfg *loader.Settings) error {
	var ls listeners
	admin, err := ls.bind(cfg.Listen.Admin)
	if err != nil {
		return err
	}
	peers, err := ls.bind(cfg.Listen.Peers)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(stop.Forced)
	defer cancel()
	platform := storer.NewClient(cfg.Platform.Address, storer.WithTimeout(cfg.Platform.Timeout))
	incarnation := newIncarnation()
	hello := &encoder.Hello{
		Version: encoder.Version, Instance: cfg.Instance, Zone: cfg.Zone, Role: tracker.RoleAgent, Incarnation: incarnation,
	}
	pool := connector.NewPool(hello)
	defer pool.Close()
	s := agent.New(ctx, cfg, incarnation, platform, pool)
	adminServer := &http.Server{Handler: s.AdminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	acceptor := connector.NewAcceptor(hello, s.Handle)
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	wg.Go(func() { serveHTTP(adminServer, admin) })
	wg.Go(func() { _ = acceptor.Serve(ctx, peers) })
	log.Info("agent started", "admin", admin.Addr(), "peers", peers.Addr(), "backend", cfg.Agent.Backend)
	<-stop.Graceful.Done()
	log.Info("agent stopping")
	done := drain(stop, cfg.Agent.DrainTimeout, s.Drain)
	cancel()
	_ = adminServer.Close()
	wg.Wait()
	return ended(done)
}
