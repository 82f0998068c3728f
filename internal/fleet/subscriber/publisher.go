// Package subscriber brings the load of engines from their sidecars to the
// gateways, and what gateways know of the fleet to the sidecars.
package subscriber

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/group/commander"
	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// Times of the exchange.
const (
	// loadPeriod is how often a sidecar reads its engine and tells the gateways: a
	// little more often than a pass begins and a request comes.
	loadPeriod = 100 * time.Millisecond
	// quietPeriod is how often a load is told that has not changed.
	quietPeriod = 500 * time.Millisecond
	// newsPeriod is how often a gateway repeats its news.
	newsPeriod = time.Second
	// silenceLimit ends a stream on which nothing has come for several periods.
	silenceLimit = 2500 * time.Millisecond
	// sendLimit bounds a blocked send.
	sendLimit = 2 * time.Second
	// readLimit bounds a reading of the own engine.
	readLimit = 300 * time.Millisecond
	// stallLimit and stallPasses are how long no pass may begin while requests run,
	// whichever is longer. A change of the map holds a pass for less than half of
	// the first.
	stallLimit  = 400 * time.Millisecond
	stallPasses = 3
	// slownessUnit is the slowness of a sound rank on the wire.
	slownessUnit = 1000
	// passWeight is the weight of the newest pass time in the smoothed one.
	passWeight = 0.5
)

// Engine is the engine beside a sidecar.
type Engine interface {
	Read(ctx context.Context, q commander.Query, own bool) (*commander.Status, error)
}

// Publisher is the sidecar's side. It is safe for concurrent use.
type Publisher struct {
	engine Engine
	addr   netip.AddrPort
	mu     sync.Mutex
	// load is the latest, told by changed to all streams.
	load    *encoder.EngineLoad
	changed chan struct{}
	// shape and engines are the newest news, of catalog version.
	version  uint64
	shape    *holder.Engine
	engines  []netip.AddrPort
	gateways map[string]time.Time
	// stepAt is when step was first seen, for the time of a pass.
	step   uint64
	stepAt time.Time
	pass   time.Duration
	// stalled holds from a stall until the next pass or epoch; an idle group makes
	// no passes, so that requests have to try it.
	stalled bool
	epoch   uint64
}

// NewPublisher returns a Publisher for the engine at addr.
func NewPublisher(engine Engine, addr netip.AddrPort) *Publisher {
	return &Publisher{engine: engine, addr: addr, changed: make(chan struct{}), gateways: make(map[string]time.Time)}
}

// GetEngines returns the engines of the own service.
func (p *Publisher) GetEngines() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engines
}

// GetEngine returns the shape of the own service's engines, nil before the first
// news.
func (p *Publisher) GetEngine() *holder.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shape
}

// Run reads the engine's load until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, readLimit)
		// The version is never asked for here, so the experts are not read.
		s, err := p.engine.Read(readCtx, commander.Query{}, false)
		cancel()
		if err != nil != lost && ctx.Err() == nil {
			lost = err != nil
			log.Info("own engine", "event", "engine", "lost", lost, "error", err)
		}
		if err == nil {
			p.setLoad(s, time.Now())
		}
		sleeper.Sleep(ctx, loadPeriod)
	}
}

func (p *Publisher) setLoad(s *commander.Status, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notePass(s, now)
	load := &encoder.EngineLoad{
		Address: p.addr.String(), StartedMillis: s.Started.UnixMilli(), Running: uint32(s.Running), Waiting: uint32(s.Waiting),
		Memory: uint64(s.Memory), Broken: s.Broken, Step: s.Step, PassMicros: uint64(p.pass.Microseconds()),
		Gateways: p.liveGateways(now), SlownessMilli: uint32(s.Slowness * slownessUnit),
		Stalled: p.stalled, Group: s.Group,
	}
	if old := p.load; old.GetBroken() != load.GetBroken() || old.GetSlownessMilli() != load.GetSlownessMilli() ||
		old.GetStalled() != load.GetStalled() {
		log.Info("engine changed", "event", "engine_state", "broken", load.GetBroken(), "stalled", load.GetStalled(), "epoch", s.Epoch,
			"slowness", s.Slowness, "step", s.Step, "pass_time", p.pass, "since_pass", now.Sub(p.stepAt), "running", s.Running,
			"waiting", s.Waiting)
	}
	p.load = load
	close(p.changed)
	p.changed = make(chan struct{})
}

// notePass smooths the time of a pass over those that have begun since.
func (p *Publisher) notePass(s *commander.Status, now time.Time) {
	switch {
	case s.Step < p.step || s.Epoch != p.epoch || p.stepAt.IsZero():
		p.step, p.stepAt, p.epoch, p.stalled = s.Step, now, s.Epoch, false
	case s.Step > p.step:
		each := now.Sub(p.stepAt) / time.Duration(s.Step-p.step)
		if p.pass == 0 {
			p.pass = each
		}
		p.pass += time.Duration(passWeight * float64(each-p.pass))
		p.step, p.stepAt, p.stalled = s.Step, now, false
	case s.Running == 0:
		// An idle group makes no passes: what was measured holds no more.
		p.stepAt, p.pass = now, 0
	case now.Sub(p.stepAt) > max(stallLimit, stallPasses*p.pass):
		p.stalled = true
	}
}

// gatewayLife is how long a gateway is told to others after its last news.
const gatewayLife = 10 * time.Second

func (p *Publisher) liveGateways(now time.Time) []string {
	var out []string
	for addr, at := range p.gateways {
		if now.Sub(at) > gatewayLife {
			delete(p.gateways, addr)
			continue
		}
		out = append(out, addr)
	}
	slices.Sort(out)
	return out
}

// Serve tells one gateway the load, and takes in its news, until the stream ends.
func (p *Publisher) Serve(ctx context.Context, gateway string, s *connector.Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		p.receive(gateway, s)
	}()
	var told *encoder.EngineLoad
	var toldAt time.Time
	gateways := repeater{}
	for {
		load, changed := p.get()
		if load != nil && (!sameLoad(told, load) || time.Since(toldAt) > quietPeriod) {
			if err := s.SetWriteDeadline(time.Now().Add(sendLimit)); err != nil {
				return wrapper.At("tell_load", gateway, err)
			}
			m := load
			if !gateways.isDue(strings.Join(load.GetGateways(), ","), time.Now()) {
				m = withoutGateways(load)
			}
			if err := s.Send(m); err != nil {
				return err
			}
			told, toldAt = load, time.Now()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// withoutGateways is what changes often.
func withoutGateways(load *encoder.EngineLoad) *encoder.EngineLoad {
	m, ok := proto.Clone(load).(*encoder.EngineLoad)
	if !ok {
		return load
	}
	m.Gateways = nil
	return m
}

func (p *Publisher) get() (*encoder.EngineLoad, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load, p.changed
}

// sameLoad reports whether nothing has changed that places requests.
func sameLoad(a, b *encoder.EngineLoad) bool {
	return a != nil && a.GetRunning() == b.GetRunning() && a.GetWaiting() == b.GetWaiting() && a.GetBroken() == b.GetBroken() &&
		a.GetStartedMillis() == b.GetStartedMillis() && a.GetSlownessMilli() == b.GetSlownessMilli() &&
		a.GetStalled() == b.GetStalled()
}

// receive takes in the news of one gateway.
func (p *Publisher) receive(gateway string, s *connector.Stream) {
	for {
		if err := s.SetReadDeadline(time.Now().Add(silenceLimit)); err != nil {
			return
		}
		news := &encoder.FleetNews{}
		if err := s.Receive(news); err != nil {
			log.Info("gateway lost", "event", "peer_lost", "peer", gateway, "error", err)
			return
		}
		p.takeNews(news, time.Now())
	}
}

func (p *Publisher) takeNews(news *encoder.FleetNews, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gateways[news.GetAddress()] = now
	if news.GetCatalogVersion() < p.version || len(news.GetEngine()) == 0 {
		return
	}
	shape := &holder.Engine{}
	if err := json.Unmarshal(news.GetEngine(), shape); err != nil {
		log.Warn("news not read", "event", "bad_news", "peer", news.GetAddress(), "error", err)
		return
	}
	p.version, p.shape = news.GetCatalogVersion(), shape
	engines := make([]netip.AddrPort, 0, len(news.GetEngines()))
	for _, text := range news.GetEngines() {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			log.Warn("news not read", "event", "bad_news", "peer", news.GetAddress(), "error", err)
			continue
		}
		engines = append(engines, addr)
	}
	if len(engines) > 0 {
		p.engines = engines
	}
}
