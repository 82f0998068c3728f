package launcher

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/fleet/subscriber"
	"siskinfall/internal/group/balancer"
	"siskinfall/internal/group/messenger"
	"siskinfall/internal/process/tuner"
	"siskinfall/internal/settings/loader"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// RoleGateway and RoleSidecar are the roles that a process reports to its peers.
const (
	RoleGateway = "gateway"
	RoleSidecar = "sidecar"
)

// Sidecar connects the components of a sidecar process.
type Sidecar struct {
	cfg       *loader.Settings
	pool      *connector.Pool
	messenger *messenger.Messenger
	balancer  *balancer.Balancer
	publisher *subscriber.Publisher
	hello     *encoder.Hello
}

// NewSidecar returns a Sidecar; newEngine returns the platform's client for the
// engine at an address.
func NewSidecar(cfg *loader.Settings, newEngine func(netip.AddrPort) messenger.Engine) *Sidecar {
	hello := &encoder.Hello{
		Version: encoder.Version, Instance: cfg.Instance, Zone: cfg.Zone, Role: RoleSidecar, Incarnation: newIncarnation(),
	}
	s := &Sidecar{cfg: cfg, hello: hello, pool: connector.NewPool(hello)}
	s.messenger = messenger.New(cfg.Sidecar.Backend, cfg.Listen.Peers.Port(), s.pool, newEngine)
	s.publisher = subscriber.NewPublisher(s.messenger.OwnEngine(), cfg.Sidecar.Backend)
	s.balancer = balancer.New(s.messenger, cfg.Sidecar.Backend, s.publisher.GetEngineAddrs, s.publisher.GetEngineConfig,
		balancer.WithMemory(s.messenger))
	return s
}

// Run serves until stop.Graceful ends, which also ends open streams.
func (s *Sidecar) Run(stop Stop) error {
	ctx, cancel := newProcessContext(stop, s.pool, s.cfg.Sidecar.Memory)
	defer cancel()
	var ls listeners
	peers, err := ls.bind(s.cfg.Listen.Peers)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	if err := ls.serveMetrics(ctx, &wg, s.cfg.Listen.Metrics); err != nil {
		return err
	}
	runAll(ctx, &wg, s.publisher.Run, s.balancer.Run, tuner.Run, logReloads(RoleSidecar))
	wg.Go(func() { _ = connector.NewAcceptor(s.hello, s.handle).Serve(ctx, peers) })
	log.Info("started", "event", "start", "role", RoleSidecar, "peers", peers.Addr(), "engine", s.cfg.Sidecar.Backend)
	<-stop.Graceful.Done()
	log.Info("stopping", "event", "stop", "role", RoleSidecar)
	cancel()
	wg.Wait()
	return drainResult(true)
}

// handle serves a stream of a gateway or of another sidecar.
func (s *Sidecar) handle(ctx context.Context, peer *encoder.Hello, open *encoder.Open, st *connector.Stream) {
	var err error
	switch k := open.GetKind().(type) {
	case *encoder.Open_EngineWatch:
		err = s.publisher.Serve(ctx, peer.GetInstance(), st)
	case *encoder.Open_KeptQuery:
		err = s.publisher.ServeKept(st)
	case *encoder.Open_EngineQuery:
		s.balancer.RecordLeaderRead(int(k.EngineQuery.GetLeaderRank()), k.EngineQuery.GetGroup(), time.Now())
		err = s.messenger.Serve(ctx, open, st)
	case *encoder.Open_EngineOrder:
		err = s.messenger.Serve(ctx, open, st)
	}
	if err != nil && ctx.Err() == nil {
		log.Info("stream ended", "event", "peer_lost", "peer", peer.GetInstance(), "role", peer.GetRole(), "error", err)
	}
}

// logReloads returns a task that logs each SIGHUP, which announces changed
// settings. Addresses and limits stay those of the start until the process is
// replaced.
func logReloads(role string) func(context.Context) {
	return func(ctx context.Context) {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGHUP)
		defer signal.Stop(signals)
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				log.Info("settings changed", "event", "reload", "role", role)
			}
		}
	}
}
