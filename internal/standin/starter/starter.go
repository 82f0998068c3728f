// Package starter runs a whole small fleet in one process: platform, entry
// instances, agents and backend servers. The dev command and tests use it.
package starter

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/process/launcher"
	"siskinfall/internal/routing/tracker"
	"siskinfall/internal/settings/loader"
	"siskinfall/internal/standin/keeper"
	"siskinfall/internal/standin/responder"
	"siskinfall/internal/store/storer"
	"siskinfall/internal/wire/connector"
)

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// AnyPort is a loopback address whose port the system picks.
var AnyPort = netip.AddrPortFrom(loopback, 0)

// Ports that FreePort returns are below those that the system assigns to outgoing
// connections, so that none is taken between the check and its use.
const (
	firstPort = 10000
	lastPort  = 32000
	// portBlock is the distance between the first ports of processes with successive
	// ids, so that processes that run at the same time rarely try the same ports.
	portBlock = 100
)

// nextPort is the offset of the latest port tried.
var nextPort atomic.Uint32

// FreePort returns a loopback address with a port that is free now and that this
// process has not returned before.
func FreePort() (netip.AddrPort, error) {
	const span = lastPort - firstPort
	start := uint32(os.Getpid()*portBlock) % span
	for range span {
		addr := netip.AddrPortFrom(loopback, uint16(firstPort+(start+nextPort.Add(1))%span))
		ln, err := net.Listen("tcp", addr.String())
		if err != nil {
			continue
		}
		return addr, wrapper.At("listen", addr.String(), ln.Close())
	}
	return netip.AddrPort{}, wrapper.New("listen", loopback.String(), "no port is free")
}

// Process is one entry instance or agent of a fleet.
type Process struct {
	Settings *loader.Settings
	Role     string
	// Backend is the stand-in behind an agent, nil for an entry instance.
	Backend *responder.Server
	// stop starts a graceful shutdown, kill ends the process at once.
	stop context.CancelFunc
	kill context.CancelFunc
	// err is the result of the process, valid once done is closed.
	err  error
	done chan struct{}
}

// Stop ends the process gracefully and waits for it.
func (p *Process) Stop() error {
	p.stop()
	<-p.done
	return p.err
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.kill()
	p.stop()
	<-p.done
}

// Fleet is a running fleet. Its methods are not safe for concurrent use, except
// PartitionZones and HealZones.
type Fleet struct {
	Platform *keeper.Platform
	// PlatformAddr is the address of the stand-in platform.
	PlatformAddr netip.AddrPort
	// Processes holds the entry instances and agents by name.
	Processes map[string]*Process
	server    *http.Server
	adjust    func(*loader.Settings)
	advertise func(name string, addr netip.AddrPort) netip.AddrPort
	network   *network
	wg        sync.WaitGroup
}

// Option configures a Fleet.
type Option func(*Fleet)

// WithSettings sets a function that changes the settings of each process before
// each of its starts.
func WithSettings(f func(*loader.Settings)) Option {
	return func(fl *Fleet) { fl.adjust = f }
}

// WithAdvertise sets a function that returns the address under which a process is
// listed, for example that of a proxy.
func WithAdvertise(f func(name string, addr netip.AddrPort) netip.AddrPort) Option {
	return func(fl *Fleet) { fl.advertise = f }
}

// New starts a stand-in platform and returns a Fleet without instances.
func New(opts ...Option) (*Fleet, error) {
	ln, err := net.Listen("tcp", AnyPort.String())
	if err != nil {
		return nil, wrapper.At("listen", AnyPort.String(), err)
	}
	f := &Fleet{
		Platform: keeper.New(), PlatformAddr: ln.Addr().(*net.TCPAddr).AddrPort(), Processes: make(map[string]*Process),
		adjust:    func(*loader.Settings) {},
		network:   newNetwork(),
		advertise: func(_ string, addr netip.AddrPort) netip.AddrPort { return addr },
	}
	for _, opt := range opts {
		opt(f)
	}
	f.server = &http.Server{Handler: f.Platform.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(ln) }()
	return f, nil
}

// AddEntry starts an entry instance with short intervals.
func (f *Fleet) AddEntry(name, zone string) (*Process, error) {
	cfg, err := f.newSettings(name, zone)
	if err != nil {
		return nil, err
	}
	cfg.Entry.PollInterval = 200 * time.Millisecond
	cfg.Entry.SyncInterval = 200 * time.Millisecond
	cfg.Entry.Heartbeat = 200 * time.Millisecond
	return f.start(cfg, tracker.RoleEntry, nil), nil
}

// AddAgent starts an agent with a stand-in backend server behind it.
func (f *Fleet) AddAgent(name, zone, service, group string, faults responder.Faults) (*Process, error) {
	backend, err := responder.NewServer(AnyPort, responder.WithFaults(faults))
	if err != nil {
		return nil, wrapper.At("start_backend", name, err)
	}
	cfg, err := f.newSettings(name, zone)
	if err != nil {
		return nil, err
	}
	cfg.Agent.Service, cfg.Agent.Group, cfg.Agent.Backend = service, group, backend.Addr()
	cfg.Agent.HealthInterval = 100 * time.Millisecond
	return f.start(cfg, tracker.RoleAgent, backend), nil
}

func (f *Fleet) newSettings(name, zone string) (*loader.Settings, error) {
	cfg := loader.NewSettings()
	cfg.Instance, cfg.Zone = name, zone
	cfg.Platform.Address = f.PlatformAddr
	for _, addr := range []*netip.AddrPort{&cfg.Listen.Callers, &cfg.Listen.Admin, &cfg.Listen.Peers} {
		free, err := FreePort()
		if err != nil {
			return nil, err
		}
		*addr = free
	}
	return cfg, nil
}

// start runs a process in goroutines of its own and lists it.
func (f *Fleet) start(cfg *loader.Settings, role string, backend *responder.Server) *Process {
	f.adjust(cfg)
	graceful, stop := context.WithCancel(context.Background())
	forced, kill := context.WithCancel(context.Background())
	p := &Process{Settings: cfg, Role: role, Backend: backend, stop: stop, kill: kill, done: make(chan struct{})}
	run := launcher.RunEntry
	if role == tracker.RoleAgent {
		run = launcher.RunAgent
	}
	f.wg.Go(func() {
		defer close(p.done)
		p.err = run(launcher.Stop{Graceful: graceful, Forced: forced}, cfg, connector.WithDial(f.network.newDial(cfg.Zone)))
		if p.err != nil {
			log.Debug("process ended", "instance", cfg.Instance, "error", p.err)
		}
	})
	f.Processes[cfg.Instance] = p
	// Peers dial the advertised address.
	addr := f.advertise(cfg.Instance, cfg.Listen.Peers)
	f.network.setZone(addr, cfg.Zone)
	f.Platform.SetInstance(storer.Instance{Name: cfg.Instance, Role: role, Zone: cfg.Zone, Address: addr})
	return p
}

// Restart starts a stopped or killed process again with the same settings and
// backend server.
func (f *Fleet) Restart(p *Process) *Process {
	return f.start(p.Settings, p.Role, p.Backend)
}

// Close kills every process and closes the backend servers and the platform.
func (f *Fleet) Close() {
	for _, p := range f.Processes {
		p.Kill()
		if p.Backend != nil {
			_ = p.Backend.Close()
		}
	}
	f.wg.Wait()
	_ = f.server.Close()
}

// WaitFor calls f every 20 ms until it returns nil or ctx ends.
func WaitFor(ctx context.Context, f func() error) error {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w, last: %w", ctx.Err(), err)
		case <-ticker.C:
		}
	}
}
