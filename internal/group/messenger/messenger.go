// Package messenger carries the commander's reads and orders between the sidecars of a
// group. If a sidecar does not answer, it calls the engine itself.
package messenger

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/group/commander"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// Engine is a client of one engine of a group.
type Engine interface {
	// Read reads the engine's state; own is true if the engine is on this instance.
	Read(ctx context.Context, q commander.Query, own bool) (*commander.Status, error)
	Send(ctx context.Context, d commander.Directive) error
}

// sidecarTimeShare is the share of a call's time for the sidecar; the rest is for the
// engine itself, should its sidecar not answer.
const sidecarTimeShare = 0.6

// Messenger implements commander.Transport. It is safe for concurrent use.
type Messenger struct {
	own         netip.AddrPort
	sidecarPort uint16
	pool        *connector.Pool
	engine      Engine
	// newEngine returns a client of another instance's engine.
	newEngine func(netip.AddrPort) Engine
	mu        sync.Mutex
	// remoteEngines holds the clients of other instances' engines by address.
	remoteEngines map[netip.AddrPort]Engine
	// lastPrepare is the latest encoded order to prepare a map whose base is known.
	lastPrepare *encoder.EngineOrder
	// received holds the maps that this sidecar has received.
	received *placementCache
}

// New returns a Messenger of the sidecar beside the engine at own; port is the port of the
// other sidecars.
func New(own netip.AddrPort, port uint16, pool *connector.Pool, newEngine func(netip.AddrPort) Engine) *Messenger {
	return &Messenger{
		own: own, sidecarPort: port, pool: pool, engine: newEngine(own), newEngine: newEngine, remoteEngines: make(map[netip.AddrPort]Engine),
		received: newPlacementCache(),
	}
}

// OwnEngine returns the client of this instance's engine.
func (m *Messenger) OwnEngine() Engine { return m.engine }

func (m *Messenger) getRemoteEngine(addr netip.AddrPort) Engine {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.remoteEngines[addr] == nil {
		m.remoteEngines[addr] = m.newEngine(addr)
	}
	return m.remoteEngines[addr]
}

func (m *Messenger) sidecar(engine netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(engine.Addr(), m.sidecarPort)
}

// withSidecarTimeout bounds a call to a sidecar so that time is left to call its engine.
func withSidecarTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(float64(time.Until(deadline))*sidecarTimeShare))
}

// Read implements commander.Transport.
func (m *Messenger) Read(ctx context.Context, engine netip.AddrPort, q commander.Query) (*commander.Status, error) {
	if engine == m.own {
		return m.engine.Read(ctx, q, true)
	}
	sidecarCtx, cancel := withSidecarTimeout(ctx)
	defer cancel()
	state := &encoder.EngineState{}
	err := m.pool.Call(sidecarCtx, m.sidecar(engine), &encoder.Open{Kind: &encoder.Open_EngineQuery{EngineQuery: &encoder.EngineQuery{
		LeaderRank: uint32(q.LeaderRank), WithCounts: q.WithCounts, KnownVersion: q.KnownVersion,
	}}}, state)
	if err == nil && state.GetAddress() != "" {
		return decodeStatus(state)
	}
	m.dropOnTimeout(engine, err)
	return m.getRemoteEngine(engine).Read(ctx, q, false)
}

// dropOnTimeout closes the session of a sidecar that did not answer in time, so that the next
// call dials again.
func (m *Messenger) dropOnTimeout(engine netip.AddrPort, err error) {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		m.pool.Drop(m.sidecar(engine))
	}
}

// Send implements commander.Transport.
func (m *Messenger) Send(ctx context.Context, engine netip.AddrPort, d commander.Directive) error {
	if engine == m.own {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		return m.engine.Send(ctx, d)
	}
	sidecarCtx, cancel := withSidecarTimeout(ctx)
	defer cancel()
	result, err := m.sendOrder(sidecarCtx, engine, d)
	if p, ok := d.Order.(commander.Prepare); ok && err == nil && result.GetNeedsWhole() {
		p.Base = nil
		d.Order = p
		result, err = m.sendOrder(sidecarCtx, engine, d)
	}
	if err != nil {
		m.dropOnTimeout(engine, err)
		return m.getRemoteEngine(engine).Send(ctx, d)
	}
	switch {
	case result.GetAccepted():
		return nil
	case result.GetUnknown():
		return wrapper.New("order", engine.String(), "engine did not answer")
	}
	return wrapper.At("order", engine.String(), commander.ErrConflict)
}

// sendOrder sends an order to the sidecar of an engine.
func (m *Messenger) sendOrder(ctx context.Context, engine netip.AddrPort, d commander.Directive) (*encoder.EngineResult, error) {
	body, err := m.encode(d)
	if err != nil {
		return nil, err
	}
	result := &encoder.EngineResult{}
	open := &encoder.Open{Kind: &encoder.Open_EngineOrder{EngineOrder: body}}
	return result, m.pool.Call(ctx, m.sidecar(engine), open, result)
}

// encode encodes an order. All ranks are sent the same map, so the encoding of a map whose
// base is known is cached in lastPrepare.
func (m *Messenger) encode(d commander.Directive) (*encoder.EngineOrder, error) {
	prepare, ok := d.Order.(commander.Prepare)
	if !ok || prepare.Base == nil || d.Sequence != nil {
		return encodeOrder(d)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastPrepare.GetVersion() == prepare.Version && m.lastPrepare.GetEpoch() == d.Epoch {
		return m.lastPrepare, nil
	}
	body, err := encodeOrder(d)
	if err == nil {
		m.lastPrepare = body
	}
	return body, err
}

// Serve answers a query or an order of another sidecar for this instance's engine.
func (m *Messenger) Serve(ctx context.Context, open *encoder.Open, s *connector.Stream) error {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	switch kind := open.GetKind().(type) {
	case *encoder.Open_EngineQuery:
		status, err := m.engine.Read(ctx, commander.Query{
			LeaderRank: int(kind.EngineQuery.GetLeaderRank()), WithCounts: kind.EngineQuery.GetWithCounts(),
			KnownVersion: kind.EngineQuery.GetKnownVersion(),
		}, true)
		if err != nil {
			return err
		}
		return s.Send(encodeStatus(status))
	case *encoder.Open_EngineOrder:
		d, err := decodeOrder(kind.EngineOrder, m.received)
		if errors.Is(err, errNeedsFullMap) {
			return s.Send(&encoder.EngineResult{NeedsWhole: true})
		}
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		return s.Send(newResult(m.engine.Send(ctx, d)))
	}
	return nil
}

// serveTimeout bounds the work on a query, whose caller usually times out earlier, or on an
// order, which orderTimeout bounds as well.
const serveTimeout = time.Second

// orderTimeout bounds an order to this instance's engine. It is shorter than a caller waits
// for the sidecar, so that an unknown outcome is reported before the caller sends the order
// to the engine itself.
const orderTimeout = 25 * time.Millisecond

func newResult(err error) *encoder.EngineResult {
	switch {
	case err == nil:
		return &encoder.EngineResult{Accepted: true}
	case isConflict(err):
		return &encoder.EngineResult{}
	}
	return &encoder.EngineResult{Unknown: true}
}
