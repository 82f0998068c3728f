package messenger

import (
	"context"
	"net/netip"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"siskinfall/internal/group/commander"
	"siskinfall/internal/group/shifter"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

var rankAddr = netip.MustParseAddrPort("127.0.6.1:80")

// acceptingEngine accepts every order.
type acceptingEngine struct {
	mu        sync.Mutex
	placement shifter.Placement
}

func (*acceptingEngine) Read(context.Context, commander.Query, bool) (*commander.Status, error) {
	return &commander.Status{}, nil
}

func (e *acceptingEngine) Send(_ context.Context, d commander.Directive) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p, ok := d.Order.(commander.Prepare); ok {
		e.placement = p.Placement
	}
	return nil
}

// network carries calls between messengers and counts the bytes that each sends.
type network struct {
	messengers map[netip.AddrPort]*Messenger
	engines    map[netip.AddrPort]*acceptingEngine
	mu         sync.Mutex
	sent       map[netip.AddrPort]int
	silent     map[netip.AddrPort]bool
}

type networkCaller struct {
	*network
	own netip.AddrPort
}

func (c *networkCaller) Call(ctx context.Context, addr netip.AddrPort, open *encoder.Open, m connector.Message) error {
	c.mu.Lock()
	c.sent[c.own] += proto.Size(open)
	silent := c.silent[addr]
	c.mu.Unlock()
	if silent {
		return os.ErrDeadlineExceeded
	}
	answer, err := c.messengers[addr].Answer(ctx, open)
	if err != nil {
		return err
	}
	proto.Merge(m, answer)
	return nil
}

func (*networkCaller) Drop(netip.AddrPort) {}

// newNetwork returns a network of n sidecars, and the addresses of their engines.
func newNetwork(n int) (*network, []netip.AddrPort) {
	net := &network{
		messengers: make(map[netip.AddrPort]*Messenger), engines: make(map[netip.AddrPort]*acceptingEngine),
		sent: make(map[netip.AddrPort]int), silent: make(map[netip.AddrPort]bool),
	}
	addrs := make([]netip.AddrPort, 0, n)
	for rank := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 6, byte(rank + 1)}), 80)
		addrs = append(addrs, addr)
		net.engines[addr] = &acceptingEngine{}
		net.messengers[addr] = New(addr, addr.Port(), &networkCaller{network: net, own: addr}, func(a netip.AddrPort) Engine { return net.engines[a] })
	}
	return net, addrs
}

// change sends a map that differs from the initial one to all ranks.
func (n *network) change(c *qt.C, addrs []netip.AddrPort, announced bool) shifter.Placement {
	c.Helper()
	base := shifter.Initial(16, 2*len(addrs), len(addrs))
	p := base.Clone()
	for s := range p {
		for rank := range p[s] {
			if e := (2*rank + 1 + s) % (2 * len(addrs)); !slices.Contains(p[s][rank], e) {
				p[s][rank] = append(p[s][rank], e)
				slices.Sort(p[s][rank])
			}
		}
	}
	order := commander.Prepare{Version: 5, Placement: p, Base: base}
	leader := n.messengers[addrs[0]]
	if announced {
		leader.Announce(c.Context(), addrs, order, 1)
	}
	for _, addr := range addrs {
		ctx, cancel := context.WithTimeout(c.Context(), time.Minute)
		c.Assert(leader.Send(ctx, addr, commander.Directive{Order: order, Epoch: 1}), qt.IsNil)
		cancel()
	}
	return p
}

// TestLeaderSendsMapToFewSidecars guards against a leader whose link carries a map once for
// each of hundreds of ranks.
func TestLeaderSendsMapToFewSidecars(t *testing.T) {
	c := qt.New(t)
	n, addrs := newNetwork(129)
	want := n.change(c, addrs, true)
	for _, addr := range addrs {
		c.Assert(n.engines[addr].placement, qt.DeepEquals, want)
	}
	direct, _ := newNetwork(129)
	direct.change(c, addrs, false)
	c.Logf("%d bytes with relays, %d without", n.sent[addrs[0]], direct.sent[addrs[0]])
	c.Assert(4*n.sent[addrs[0]] < direct.sent[addrs[0]], qt.IsTrue)
}

// TestMapArrivesDespiteSilentRelays guards against ranks that never get a map because the
// sidecar that should pass it on does not answer.
func TestMapArrivesDespiteSilentRelays(t *testing.T) {
	c := qt.New(t)
	n, addrs := newNetwork(129)
	for _, i := range []int{1, 5, 40} {
		n.silent[addrs[i]] = true
	}
	want := n.change(c, addrs, true)
	for _, addr := range addrs {
		c.Assert(n.engines[addr].placement, qt.DeepEquals, want)
	}
}

// TestMapSentAheadIsNotPrepared guards against an engine that prepares a map before the first
// rank has decided between two leaders, also beside a sidecar of an older build.
func TestMapSentAheadIsNotPrepared(t *testing.T) {
	c := qt.New(t)
	n, addrs := newNetwork(30)
	base := shifter.Initial(1, 60, 30)
	order := commander.Prepare{Version: 5, Placement: base, Base: base}
	n.messengers[addrs[0]].Announce(c.Context(), addrs, order, 1)
	for _, addr := range addrs {
		c.Assert(n.engines[addr].placement, qt.IsNil)
		c.Assert(addr == addrs[0] || n.messengers[addr].received.get(5) != nil, qt.IsTrue)
	}
	// What an older build does with the message: it knows no such operation.
	_, err := decodeOrder(&encoder.EngineOrder{Operation: operationKeep, Version: 5}, newPlacementCache())
	c.Assert(err, qt.IsNotNil)
}

// TestInitialMapNeedsNoTransfer guards against a whole map for each rank at the first change
// of a group, since no rank has been sent the map that it begins with.
func TestInitialMapNeedsNoTransfer(t *testing.T) {
	c := qt.New(t)
	base := shifter.Initial(2, 6, 3)
	p := base.Clone()
	p[1][2] = append(p[1][2], 0)
	m := encode(c, prepare(5, p, 0, base))
	c.Assert(m.GetPlacement(), qt.HasLen, 0)
	d, err := decodeOrder(m, newPlacementCache())
	c.Assert(err, qt.IsNil)
	got, ok := d.Order.(commander.Prepare)
	c.Assert(ok, qt.IsTrue)
	c.Assert(got.Placement[1][2], qt.DeepEquals, []int{0, 2, 5})
	// A shape beyond all bounds is not built.
	m.Ranks = 1 << 30
	_, err = decodeOrder(m, newPlacementCache())
	c.Assert(err, qt.Equals, errNeedsFullMap)
}
