// Package withdrawer keeps the set of availability zones that the operator has taken out of
// use, through outages of the store that it is read from.
package withdrawer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/fleet/lister"
)

// restoredGrace is how long a zone stays out of use after a restored store has lost its row,
// so that the operator can write it again.
const restoredGrace = 10 * time.Second

// Change says that a zone is out of use, or no longer.
type Change struct {
	Zone string
	// Returned is set if the zone is in use again.
	Returned bool
}

// Zones holds the availability zones that are out of use. It is safe for concurrent use.
type Zones struct {
	mu sync.Mutex
	// known is false until the set was read for the first time.
	known bool
	// position is the point in the store's history whose state the set is; it never falls.
	position lister.Position
	closed   map[string]bool
	// lost holds zones whose rows a restored store lacks, with the time until which they stay
	// out of use. No zone is also in closed.
	lost     map[string]time.Time
	onChange []func(closed []string)
}

// New returns an empty set that is not known yet.
func New() *Zones {
	return &Zones{closed: make(map[string]bool), lost: make(map[string]time.Time)}
}

// OnChange adds a function that is called with all zones out of use after each change.
func (z *Zones) OnChange(f func(closed []string)) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.onChange = append(z.onChange, f)
}

// IsKnown reports whether the set was read from any source.
func (z *Zones) IsKnown() bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.known
}

// GetClosed returns the zones out of use, sorted.
func (z *Zones) GetClosed() []string {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.list()
}

// GetSnapshot returns the zones that the store had as out of use at a position, and whether
// the set is known at all.
func (z *Zones) GetSnapshot() (closed []string, at lister.Position, known bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return slices.Sorted(maps.Keys(z.closed)), z.position, z.known
}

// Replace replaces the set with that of a position, unless a later one is known.
func (z *Zones) Replace(closed []string, at lister.Position, source string, now time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.known && at.Before(z.position) {
		return
	}
	before := z.list()
	restored := z.known && at.Era > z.position.Era
	next := make(map[string]bool, len(closed))
	for _, zone := range closed {
		next[zone] = true
		delete(z.lost, zone)
	}
	for zone := range z.closed {
		if restored && !next[zone] {
			z.lost[zone] = now.Add(restoredGrace)
		}
	}
	z.closed, z.position, z.known = next, at, true
	z.notify(before, source)
}

// Merge replaces the set with that of another gateway, if it is of a later position.
func (z *Zones) Merge(closed []string, at lister.Position, peer string, now time.Time) {
	if _, own, known := z.GetSnapshot(); !known || own.Before(at) {
		z.Replace(closed, at, peer, now)
	}
}

// Apply applies changes up to a position, in order. It ignores those of another era, and
// those up to a position before that of the set.
func (z *Zones) Apply(changes []Change, at lister.Position, source string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.known || at.Era != z.position.Era || at.Before(z.position) {
		return
	}
	before := z.list()
	for _, ch := range changes {
		delete(z.lost, ch.Zone)
		delete(z.closed, ch.Zone)
		if !ch.Returned {
			z.closed[ch.Zone] = true
		}
	}
	z.position = at
	z.notify(before, source)
}

// Expire puts zones back in use whose rows a restored store has lost for too long.
func (z *Zones) Expire(now time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	before := z.list()
	maps.DeleteFunc(z.lost, func(_ string, until time.Time) bool { return !now.Before(until) })
	z.notify(before, "not written again after the store's restoration")
}

// list returns the zones out of use, sorted.
func (z *Zones) list() []string {
	all := slices.AppendSeq(slices.Collect(maps.Keys(z.closed)), maps.Keys(z.lost))
	slices.Sort(all)
	return all
}

// notify logs and reports the difference from the set before.
func (z *Zones) notify(before []string, source string) {
	after := z.list()
	if slices.Equal(before, after) {
		return
	}
	for _, zone := range after {
		if !slices.Contains(before, zone) {
			log.Info("availability zone taken out of use", "event", "zone_closed", "zone", zone,
				"era", z.position.Era, "revision", z.position.Revision, "source", source)
		}
	}
	for _, zone := range before {
		if !slices.Contains(after, zone) {
			log.Info("availability zone back in use", "event", "zone_opened", "zone", zone,
				"era", z.position.Era, "revision", z.position.Revision, "source", source)
		}
	}
	closedZones.Set(float64(len(after)))
	for _, f := range z.onChange {
		f(after)
	}
}
