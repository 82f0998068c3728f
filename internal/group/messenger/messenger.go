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
	"siskinfall/internal/group/keeper"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

// Engine is a client of one engine of a group.
type Engine interface {
	// Read reads the engine's state; own is true if the engine is on this instance.
	Read(ctx context.Context, q commander.Query, own bool) (*commander.Status, error)
	Send(ctx context.Context, d commander.Directive) error
}

// Caller calls other sidecars; *connector.Pool is one.
type Caller interface {
	// Call sends the first frame of a stream and reads one message into m.
	Call(ctx context.Context, addr netip.AddrPort, open *encoder.Open, m connector.Message) error
	// Drop closes the session to a sidecar.
	Drop(addr netip.AddrPort)
}

// sidecarTimeShare is the share of a call's time for the sidecar; the rest is for the
// engine itself, should its sidecar not answer.
const sidecarTimeShare = 0.6

// Messenger implements commander.Transport. It is safe for concurrent use.
type Messenger struct {
	// Keeper keeps the latest demand that this sidecar or another one has observed.
	keeper.Keeper
	own         netip.AddrPort
	sidecarPort uint16
	sidecars    Caller
	engine      Engine
	// newEngine returns a client of another instance's engine.
	newEngine func(netip.AddrPort) Engine
	mu        sync.Mutex
	// remoteEngines holds the clients of other instances' engines by address.
	remoteEngines map[netip.AddrPort]Engine
	// lastPrepare is the latest encoded order to prepare a map whose base is known, and
	// announced the one to prepare the map that was announced last.
	lastPrepare, announced *encoder.EngineOrder
	// received holds the maps that this sidecar has received.
	received *placementCache
	// sentCounts and receivedCounts are those of the own engine and of others.
	sentCounts     sentCounts
	receivedCounts *receivedCounts
	// silent holds the sidecars whose engines are called instead.
	silent *silentSidecars
}

// New returns a Messenger of the sidecar beside the engine at own; port is the port of the
// other sidecars.
func New(own netip.AddrPort, port uint16, sidecars Caller, newEngine func(netip.AddrPort) Engine) *Messenger {
	return &Messenger{
		own: own, sidecarPort: port, sidecars: sidecars, engine: newEngine(own), newEngine: newEngine, remoteEngines: make(map[netip.AddrPort]Engine),
		received: newPlacementCache(), receivedCounts: newReceivedCounts(),
		silent: newSilentSidecars(),
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
	if !q.SidecarOnly && m.silent.isSilent(engine, time.Now()) {
		return m.getRemoteEngine(engine).Read(ctx, q, false)
	}
	sidecarCtx, cancel := withSidecarTimeout(ctx)
	defer cancel()
	state := &encoder.EngineState{}
	query := &encoder.EngineQuery{
		LeaderRank: uint32(q.LeaderRank), Group: q.Group, WithCounts: q.WithCounts, KnownVersion: q.KnownVersion, WantsDemand: q.WantsDemand,
	}
	if q.WithCounts {
		query.KnownCounts = m.receivedCounts.getID(engine)
	}
	err := m.sidecars.Call(sidecarCtx, m.sidecar(engine), &encoder.Open{Kind: &encoder.Open_EngineQuery{EngineQuery: query}}, state)
	if err == nil && state.GetAddress() != "" {
		m.silent.remove(engine)
		m.receivedCounts.decode(engine, state)
		m.keepDemand(state.GetDemand())
		return decodeStatus(state)
	}
	m.dropOnTimeout(engine, err)
	if q.SidecarOnly {
		return nil, wrapper.At("read_sidecar", engine.String(), err)
	}
	return m.getRemoteEngine(engine).Read(ctx, q, false)
}

// dropOnTimeout closes the session of a sidecar that did not answer in time, so that the next
// call dials again. Until then its engine is called instead.
func (m *Messenger) dropOnTimeout(engine netip.AddrPort, err error) {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		m.sidecars.Drop(m.sidecar(engine))
		m.silent.add(engine, time.Now(), err)
	}
}

// Send implements commander.Transport.
func (m *Messenger) Send(ctx context.Context, engine netip.AddrPort, d commander.Directive) error {
	if engine == m.own {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		return m.engine.Send(ctx, d)
	}
	if m.silent.isSilent(engine, time.Now()) {
		return m.getRemoteEngine(engine).Send(ctx, d)
	}
	sidecarCtx, cancel := withSidecarTimeout(ctx)
	defer cancel()
	result, err := &encoder.EngineResult{NeedsWhole: true}, error(nil)
	if announced := m.getAnnounced(d); announced != nil {
		result, err = m.callOrder(sidecarCtx, engine, announced)
	}
	if err == nil && result.GetNeedsWhole() {
		result, err = m.sendOrder(sidecarCtx, engine, d)
	}
	if p, ok := d.Order.(commander.Prepare); ok && err == nil && result.GetNeedsWhole() {
		p.Base = nil
		result, err = m.sendOrder(sidecarCtx, engine, commander.Directive{Order: p, Epoch: d.Epoch, Sequence: d.Sequence})
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
	return m.callOrder(ctx, engine, body)
}

func (m *Messenger) callOrder(ctx context.Context, engine netip.AddrPort, body *encoder.EngineOrder) (*encoder.EngineResult, error) {
	result := &encoder.EngineResult{}
	open := &encoder.Open{Kind: &encoder.Open_EngineOrder{EngineOrder: body}}
	return result, m.sidecars.Call(ctx, m.sidecar(engine), open, result)
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
	answer, err := m.Answer(ctx, open)
	if err != nil {
		return err
	}
	return s.Send(answer)
}

// Answer returns the answer to a query or an order of another sidecar.
func (m *Messenger) Answer(ctx context.Context, open *encoder.Open) (connector.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	switch kind := open.GetKind().(type) {
	case *encoder.Open_EngineQuery:
		status, err := m.engine.Read(ctx, commander.Query{
			LeaderRank: int(kind.EngineQuery.GetLeaderRank()), WithCounts: kind.EngineQuery.GetWithCounts(),
			KnownVersion: kind.EngineQuery.GetKnownVersion(),
		}, true)
		if err != nil {
			return nil, err
		}
		state := encodeStatus(status)
		m.sentCounts.encode(state, kind.EngineQuery.GetKnownCounts())
		if kind.EngineQuery.GetWantsDemand() {
			state.Demand = m.encodeDemand(status.Group)
		}
		return state, nil
	case *encoder.Open_EngineOrder:
		switch kind.EngineOrder.GetOperation() {
		case operationKeep:
			return newResult(m.keep(ctx, kind.EngineOrder)), nil
		case operationKeepDemand:
			m.keepDemand(kind.EngineOrder.GetDemand())
			return newResult(nil), nil
		}
		d, err := decodeOrder(kind.EngineOrder, m.received)
		if errors.Is(err, errNeedsFullMap) {
			return &encoder.EngineResult{NeedsWhole: true}, nil
		}
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		return newResult(m.engine.Send(ctx, d)), nil
	}
	return nil, errUnknownFrame
}

// errUnknownFrame says that the first frame of a stream is neither a query nor an order.
var errUnknownFrame = errors.New("neither a query nor an order")

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
