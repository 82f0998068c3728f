// Package subscriber sends the load of engines from their sidecars to the gateways, and
// the configuration and addresses of engines from the gateways to the sidecars.
package subscriber

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/gateway/quarantiner"
	"siskinfall/internal/group/commander"
	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// Intervals, timeouts and scales of the exchange.
const (
	// loadInterval is the pause between two readings of the engine's load, which are sent
	// to the gateways: a little shorter than that between passes and between requests.
	loadInterval = 100 * time.Millisecond
	// unchangedLoadInterval is how often an unchanged load is sent.
	unchangedLoadInterval = 500 * time.Millisecond
	// updateInterval is the pause between two updates from a gateway.
	updateInterval = time.Second
	// receiveTimeout ends a stream on which several messages in a row are missing.
	receiveTimeout = 2500 * time.Millisecond
	// sendTimeout bounds a blocked send.
	sendTimeout = 2 * time.Second
	// readTimeout bounds one reading of the own engine.
	readTimeout = 300 * time.Millisecond
	// A group is stalled if requests run and no pass begins for minStallTimeout or for the
	// time of stallPasses passes, whichever is longer. A change of the expert map delays
	// a pass by less than half of minStallTimeout.
	minStallTimeout = 400 * time.Millisecond
	stallPasses     = 3
	// slownessScale is the slowness of a healthy rank on the wire.
	slownessScale = 1000
	// passTimeWeight is the weight of the newest pass time in its EWMA.
	passTimeWeight = 0.5
)

// Engine reads the engine on the same instance as the sidecar.
type Engine interface {
	Read(ctx context.Context, q commander.Query, own bool) (*commander.Status, error)
}

// Publisher is the sidecar's side of the streams. It is safe for concurrent use.
type Publisher struct {
	engine Engine
	addr   netip.AddrPort
	// losses are kept for gateways that start when all of them have ended.
	losses *quarantiner.Set
	mu     sync.Mutex
	// load is the latest reading; loadChanged is closed and replaced with each new one.
	load        *encoder.EngineLoad
	loadChanged chan struct{}
	// engineConfig and engines are from the newest update, of catalogVersion;
	// gateways holds the time of each gateway's newest update.
	catalogVersion uint64
	engineConfig   *holder.Engine
	engines        []netip.AddrPort
	gateways       map[string]time.Time
	// stepSeenAt is when step was first observed, and the latest reading while the group
	// is idle.
	step       uint64
	stepSeenAt time.Time
	passTime   time.Duration
	// stalled is set on a stall until the next pass or epoch. An idle group runs no
	// passes, so only further requests can show that it has recovered.
	stalled bool
	epoch   uint64
}

// NewPublisher returns a Publisher for the engine at addr.
func NewPublisher(engine Engine, addr netip.AddrPort) *Publisher {
	return &Publisher{
		engine: engine, addr: addr, losses: quarantiner.New(0), loadChanged: make(chan struct{}), gateways: make(map[string]time.Time),
	}
}

// GetEngineAddrs returns the addresses of all engines of the own service.
func (p *Publisher) GetEngineAddrs() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engines
}

// GetEngineConfig returns the configuration of the own service's engines, nil before the
// first update.
func (p *Publisher) GetEngineConfig() *holder.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engineConfig
}

// Run reads the engine's load every loadInterval until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	unreachable := false
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		// Without own, counts and experts are not read.
		s, err := p.engine.Read(readCtx, commander.Query{}, false)
		cancel()
		if err != nil != unreachable && ctx.Err() == nil {
			unreachable = err != nil
			log.Info("reachability of own engine changed", "event", "engine", "lost", unreachable, "error", err)
		}
		if err == nil {
			p.setLoad(s, time.Now())
		}
		sleeper.Sleep(ctx, loadInterval)
	}
}

func (p *Publisher) setLoad(s *commander.Status, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observePass(s, now)
	load := &encoder.EngineLoad{
		Address: p.addr.String(), StartedMillis: s.Started.UnixMilli(), Running: uint32(s.Running), Waiting: uint32(s.Waiting),
		Memory: uint64(s.Memory), Broken: s.Broken, Step: s.Step, PassMicros: uint64(p.passTime.Microseconds()),
		Gateways: p.liveGateways(now), SlownessMilli: uint32(s.Slowness * slownessScale),
		Stalled: p.stalled, Group: s.Group,
	}
	if old := p.load; old.GetBroken() != load.GetBroken() || old.GetSlownessMilli() != load.GetSlownessMilli() ||
		old.GetStalled() != load.GetStalled() {
		log.Info("engine state changed", "event", "engine_state", "broken", load.GetBroken(), "stalled", load.GetStalled(), "epoch", s.Epoch,
			"slowness", s.Slowness, "step", s.Step, "pass_time", p.passTime, "since_pass", now.Sub(p.stepSeenAt), "running", s.Running,
			"waiting", s.Waiting)
	}
	p.load = load
	close(p.loadChanged)
	p.loadChanged = make(chan struct{})
}

// observePass updates the smoothed pass time with the passes that have begun since the
// last reading, and whether the group is stalled.
func (p *Publisher) observePass(s *commander.Status, now time.Time) {
	switch {
	case s.Step < p.step || s.Epoch != p.epoch || p.stepSeenAt.IsZero():
		p.step, p.stepSeenAt, p.epoch, p.stalled = s.Step, now, s.Epoch, false
	case s.Step > p.step:
		latest := now.Sub(p.stepSeenAt) / time.Duration(s.Step-p.step)
		if p.passTime == 0 {
			p.passTime = latest
		}
		p.passTime += time.Duration(passTimeWeight * float64(latest-p.passTime))
		p.step, p.stepSeenAt, p.stalled = s.Step, now, false
	case s.Running == 0:
		// An idle group runs no passes, so the pass time is stale.
		p.stepSeenAt, p.passTime = now, 0
	case now.Sub(p.stepSeenAt) > max(minStallTimeout, stallPasses*p.passTime):
		p.stalled = true
	}
}

// gatewayTTL is how long a gateway is reported to others after its last update.
const gatewayTTL = 10 * time.Second

func (p *Publisher) liveGateways(now time.Time) []string {
	var addrs []string
	for addr, updatedAt := range p.gateways {
		if now.Sub(updatedAt) > gatewayTTL {
			delete(p.gateways, addr)
			continue
		}
		addrs = append(addrs, addr)
	}
	slices.Sort(addrs)
	return addrs
}

// Serve sends the load to one gateway and applies its updates until the stream ends. It
// returns the error of a failed send, and nil if the gateway ended the stream.
func (p *Publisher) Serve(ctx context.Context, gateway string, s *connector.Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		p.receive(gateway, s)
	}()
	var sent *encoder.EngineLoad
	var sentAt time.Time
	gateways := newMemberFilter()
	for {
		load, changed := p.getLoad()
		if load != nil && (!sameLoad(sent, load) || time.Since(sentAt) > unchangedLoadInterval) {
			if err := s.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
				return wrapper.At("tell_load", gateway, err)
			}
			if err := s.Send(withGateways(load, gateways.take(load.GetGateways(), time.Now()))); err != nil {
				return err
			}
			sent, sentAt = load, time.Now()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// withGateways returns a copy of load with other gateways.
func withGateways(load *encoder.EngineLoad, gateways []string) *encoder.EngineLoad {
	m := proto.CloneOf(load)
	m.Gateways = gateways
	return m
}

func (p *Publisher) getLoad() (*encoder.EngineLoad, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load, p.loadChanged
}

// sameLoad reports whether two loads agree in all fields whose change is sent at once.
func sameLoad(a, b *encoder.EngineLoad) bool {
	return a != nil && a.GetRunning() == b.GetRunning() && a.GetWaiting() == b.GetWaiting() && a.GetBroken() == b.GetBroken() &&
		a.GetStartedMillis() == b.GetStartedMillis() && a.GetSlownessMilli() == b.GetSlownessMilli() &&
		a.GetStalled() == b.GetStalled()
}

// receive applies the updates of one gateway until the stream ends.
func (p *Publisher) receive(gateway string, s *connector.Stream) {
	for {
		if err := s.SetReadDeadline(time.Now().Add(receiveTimeout)); err != nil {
			return
		}
		update := &encoder.FleetNews{}
		if err := s.Receive(update); err != nil {
			log.Info("connection to gateway lost", "event", "peer_lost", "peer", gateway, "error", err)
			return
		}
		mergeKept(p.losses, update.GetKeptLosses(), gateway, time.Now())
		p.applyUpdate(update, time.Now())
	}
}

func (p *Publisher) applyUpdate(update *encoder.FleetNews, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gateways[update.GetAddress()] = now
	if update.GetCatalogVersion() < p.catalogVersion || len(update.GetEngine()) == 0 {
		return
	}
	config := &holder.Engine{}
	if err := json.Unmarshal(update.GetEngine(), config); err != nil {
		log.Warn("failed to decode engine configuration from gateway", "event", "bad_news", "peer", update.GetAddress(), "error", err)
		return
	}
	p.catalogVersion, p.engineConfig = update.GetCatalogVersion(), config
	engines := make([]netip.AddrPort, 0, len(update.GetEngines()))
	for _, text := range update.GetEngines() {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			log.Warn("invalid engine address from gateway", "event", "bad_news", "peer", update.GetAddress(), "error", err)
			continue
		}
		engines = append(engines, addr)
	}
	if len(engines) > 0 {
		p.engines = engines
	}
}
