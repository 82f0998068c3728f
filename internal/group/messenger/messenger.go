// Package messenger carries the commander's readings and orders between the
// sidecars of a group, and to an engine itself where its sidecar does not answer.
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

// Engine is one engine of a group.
type Engine interface {
	// Read reads the engine's state; own says that the engine is on this instance.
	Read(ctx context.Context, q commander.Query, own bool) (*commander.Status, error)
	Send(ctx context.Context, d commander.Directive) error
}

// fallbackAfter is the part of a call's time after which the engine itself is
// asked, should its sidecar not answer.
const fallbackAfter = 0.6

// Messenger implements commander.Transport. It is safe for concurrent use.
type Messenger struct {
	own    netip.AddrPort
	port   uint16
	pool   *connector.Pool
	engine Engine
	// newEngine returns a client of another instance's engine.
	newEngine func(netip.AddrPort) Engine
	mu        sync.Mutex
	// far holds such clients by address.
	far map[netip.AddrPort]Engine
	// latest is the latest map told by its changes.
	latest *encoder.EngineOrder
	// known holds the maps that this sidecar was sent.
	known *placements
}

// New returns a Messenger of the sidecar beside the engine at own; port is that
// of the other sidecars.
func New(own netip.AddrPort, port uint16, pool *connector.Pool, newEngine func(netip.AddrPort) Engine) *Messenger {
	return &Messenger{
		own: own, port: port, pool: pool, engine: newEngine(own), newEngine: newEngine, far: make(map[netip.AddrPort]Engine),
		known: newPlacements(),
	}
}

// Own returns this instance's engine.
func (m *Messenger) Own() Engine { return m.engine }

func (m *Messenger) getFar(addr netip.AddrPort) Engine {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.far[addr] == nil {
		m.far[addr] = m.newEngine(addr)
	}
	return m.far[addr]
}

func (m *Messenger) sidecar(engine netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(engine.Addr(), m.port)
}

// shorten bounds a call to a sidecar so that time is left to ask its engine.
func shorten(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(float64(time.Until(deadline))*fallbackAfter))
}

// Read implements commander.Transport.
func (m *Messenger) Read(ctx context.Context, engine netip.AddrPort, q commander.Query) (*commander.Status, error) {
	if engine == m.own {
		return m.engine.Read(ctx, q, true)
	}
	near, cancel := shorten(ctx)
	defer cancel()
	state := &encoder.EngineState{}
	err := m.pool.Call(near, m.sidecar(engine), &encoder.Open{Kind: &encoder.Open_EngineQuery{EngineQuery: &encoder.EngineQuery{
		LeaderRank: uint32(q.LeaderRank), WithCounts: q.WithCounts, KnownVersion: q.KnownVersion,
	}}}, state)
	if err == nil && state.GetAddress() != "" {
		return decodeStatus(state)
	}
	m.drop(engine, err)
	return m.getFar(engine).Read(ctx, q, false)
}

// drop ends a session that does not answer, so that the next call dials anew.
func (m *Messenger) drop(engine netip.AddrPort, err error) {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
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
	near, cancel := shorten(ctx)
	defer cancel()
	result, err := m.order(near, engine, d)
	if p, ok := d.Order.(commander.Prepare); ok && err == nil && result.GetNeedsWhole() {
		p.Base = nil
		d.Order = p
		result, err = m.order(near, engine, d)
	}
	if err != nil {
		m.drop(engine, err)
		return m.getFar(engine).Send(ctx, d)
	}
	switch {
	case result.GetAccepted():
		return nil
	case result.GetUnknown():
		return wrapper.New("order", engine.String(), "engine did not answer")
	}
	return wrapper.At("order", engine.String(), commander.ErrConflict)
}

// order gives an order to the sidecar of an engine.
func (m *Messenger) order(ctx context.Context, engine netip.AddrPort, d commander.Directive) (*encoder.EngineResult, error) {
	body, err := m.encode(d)
	if err != nil {
		return nil, err
	}
	result := &encoder.EngineResult{}
	open := &encoder.Open{Kind: &encoder.Open_EngineOrder{EngineOrder: body}}
	return result, m.pool.Call(ctx, m.sidecar(engine), open, result)
}

// encode encodes an order; all ranks are sent the same map, which is encoded once.
func (m *Messenger) encode(d commander.Directive) (*encoder.EngineOrder, error) {
	p, ok := d.Order.(commander.Prepare)
	if !ok || p.Base == nil || d.Sequence != nil {
		return encodeOrder(d)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.latest.GetVersion() == p.Version && m.latest.GetEpoch() == d.Epoch {
		return m.latest, nil
	}
	body, err := encodeOrder(d)
	if err == nil {
		m.latest = body
	}
	return body, err
}

// Serve answers a query or an order of another sidecar on this instance's engine.
func (m *Messenger) Serve(ctx context.Context, open *encoder.Open, s *connector.Stream) error {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	switch k := open.GetKind().(type) {
	case *encoder.Open_EngineQuery:
		st, err := m.engine.Read(ctx, commander.Query{
			LeaderRank: int(k.EngineQuery.GetLeaderRank()), WithCounts: k.EngineQuery.GetWithCounts(),
			KnownVersion: k.EngineQuery.GetKnownVersion(),
		}, true)
		if err != nil {
			return err
		}
		return s.Send(encodeStatus(st))
	case *encoder.Open_EngineOrder:
		d, err := decodeOrder(k.EngineOrder, m.known)
		if errors.Is(err, errNeedsWhole) {
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

// serveTimeout bounds the work on a query or an order; whoever asked has given up
// before.
const serveTimeout = time.Second

// orderTimeout bounds an order to this instance's engine. It is told as open
// before whoever gave it turns to the engine itself.
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
