// Package apportioner divides what a backend server bears among the gateways, without a
// message for each request. It does no I/O.
//
// Load pattern: a server bears fewer requests a second than there are gateways, each of which
// would send it one at the same time, and some of them can't hear each other.
package apportioner

import (
	"encoding/binary"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// settleTime is how long a gateway takes no share after its start. It exceeds the time in which
// the others learn of it, and until then divide without it.
const settleTime = 4 * time.Second

// Apportioner computes the shares of one gateway. All gateways with the same view of the fleet
// divide alike, and one gateway more or less in a view moves one unit. It is safe for
// concurrent use.
type Apportioner struct {
	own     netip.AddrPort
	started time.Time
	mu      sync.Mutex
	// others holds the other gateways that may have a share, also those that do not answer.
	others map[netip.AddrPort]bool
	// settled is false while the gateway takes no share.
	settled bool
	// shares holds what was computed since the last change.
	shares map[shareKey]int
}

type shareKey struct {
	units  int
	server string
}

// New returns the Apportioner of a gateway that starts now.
func New(own netip.AddrPort, now time.Time) *Apportioner {
	return &Apportioner{own: own, started: now, shares: make(map[shareKey]int)}
}

// SetGateways sets the other gateways. isHeard reports whether any of them has answered since
// the start: a gateway that knows others and has heard none knows too few of them.
func (a *Apportioner) SetGateways(others []netip.AddrPort, isHeard bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	settled := now.Sub(a.started) >= settleTime && (isHeard || len(others) == 0)
	if settled == a.settled && a.isKnown(others) {
		return
	}
	a.settled = settled
	a.others = make(map[netip.AddrPort]bool, len(others))
	for _, addr := range others {
		a.others[addr] = true
	}
	clear(a.shares)
}

func (a *Apportioner) isKnown(others []netip.AddrPort) bool {
	if len(others) != len(a.others) {
		return false
	}
	for _, addr := range others {
		if !a.others[addr] {
			return false
		}
	}
	return true
}

// GetShare returns how many of the units of a server this gateway may use.
func (a *Apportioner) GetShare(units int, server string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.settled {
		return 0
	}
	key := shareKey{units, server}
	share, ok := a.shares[key]
	if !ok {
		share = a.compute(units, server)
		a.shares[key] = share
	}
	return share
}

// compute gives each gateway the same number of units, and one of the rest to those that are
// first in an order that differs between servers.
func (a *Apportioner) compute(units int, server string) int {
	serverHash := xxhash.Sum64String(server)
	own, before := order(a.own, serverHash), 0
	for addr := range a.others {
		if order(addr, serverHash) < own {
			before++
		}
	}
	n := len(a.others) + 1
	if before < units%n {
		return units/n + 1
	}
	return units / n
}

// order returns the place of a gateway in the order of a server.
func order(addr netip.AddrPort, serverHash uint64) uint64 {
	ip := addr.Addr().As16()
	var b [26]byte
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[16:], addr.Port())
	binary.BigEndian.PutUint64(b[18:], serverHash)
	return xxhash.Sum64(b[:])
}
