package starter

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"

	"siskinfall/internal/wire/connector"
)

var errPartitioned = errors.New("zones are cut off from each other")

// zonePair is the availability zones that a connection goes from and to.
type zonePair struct{ from, to string }

// network tracks the connections between the availability zones of a fleet and can
// cut them.
type network struct {
	mu sync.Mutex
	// zones holds the availability zone of each address.
	zones map[netip.AddrPort]string
	// cut holds the pairs between which no connection can be opened.
	cut map[zonePair]bool
	// conns holds the connections opened between two zones since their last cut.
	conns map[zonePair][]net.Conn
}

func newNetwork() *network {
	return &network{zones: make(map[netip.AddrPort]string), cut: make(map[zonePair]bool), conns: make(map[zonePair][]net.Conn)}
}

func (n *network) setZone(addr netip.AddrPort, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[addr] = zone
}

// newDial returns the dial function of a process in an availability zone.
func (n *network) newDial(from string) connector.DialFunc {
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		n.mu.Lock()
		p := zonePair{from: from, to: n.zones[addr]}
		cut := n.cut[p]
		n.mu.Unlock()
		if cut {
			return nil, errPartitioned
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
			return nil, errPartitioned
		}
		n.conns[p] = append(n.conns[p], conn)
		return conn, nil
	}
}

// PartitionZones simulates a network partition: it closes every connection between
// two availability zones and lets none be opened until HealZones is called.
func (f *Fleet) PartitionZones(a, b string) {
	n := f.network
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range []zonePair{{a, b}, {b, a}} {
		n.cut[p] = true
		for _, conn := range n.conns[p] {
			_ = conn.Close()
		}
		delete(n.conns, p)
	}
}

// HealZones ends all partitions between availability zones.
func (f *Fleet) HealZones() {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	clear(f.network.cut)
}
