package starter

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"

	"siskinfall/internal/wire/connector"
)

var errCut = errors.New("zones are cut off from each other")

// pair is two availability zones, the source first.
type pair struct{ from, to string }

// network cuts the connections between availability zones of a fleet.
type network struct {
	mu sync.Mutex
	// zones holds the zone of each address.
	zones map[netip.AddrPort]string
	cut   map[pair]bool
	// conns holds what is open between two zones.
	conns map[pair][]net.Conn
}

func newNetwork() *network {
	return &network{zones: make(map[netip.AddrPort]string), cut: make(map[pair]bool), conns: make(map[pair][]net.Conn)}
}

func (n *network) setZone(addr netip.AddrPort, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[addr] = zone
}

// newDial returns what opens connections for a process in a zone.
func (n *network) newDial(from string) connector.DialFunc {
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		n.mu.Lock()
		p := pair{from: from, to: n.zones[addr]}
		cut := n.cut[p]
		n.mu.Unlock()
		if cut {
			return nil, errCut
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", addr.String())
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.cut[p] {
			_ = conn.Close()
			return nil, errCut
		}
		n.conns[p] = append(n.conns[p], conn)
		return conn, nil
	}
}

// CutZones breaks every connection between two availability zones and lets none
// be opened, until HealZones.
func (f *Fleet) CutZones(a, b string) {
	n := f.network
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range []pair{{a, b}, {b, a}} {
		n.cut[p] = true
		for _, conn := range n.conns[p] {
			_ = conn.Close()
		}
		delete(n.conns, p)
	}
}

// HealZones ends all cuts.
func (f *Fleet) HealZones() {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	clear(f.network.cut)
}
