// Package lister keeps the list of backend servers that have registered, across
// outages of the store that it comes from.
package lister

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// Server is one incarnation of a backend server as it registered itself.
type Server struct {
	// ID is unique among incarnations, but a restarted one may keep its ID.
	ID      string         `json:"id"`
	Service string         `json:"service"`
	Addr    netip.AddrPort `json:"addr"`
	Zone    string         `json:"zone"`
	// Slots is the number of requests that it runs at once.
	Slots int `json:"slots"`
	// Leaving servers get no new work.
	Leaving bool `json:"leaving"`
	// Started tells a restart under the same ID.
	Started time.Time `json:"started"`
	// Revision grows with each change of the entry.
	Revision uint64 `json:"revision"`
}

// Change is a server's entry, or its removal.
type Change struct {
	Server
	Removed bool
}

// lapseFraction is the part of the entries that must go at once to be taken for
// lapsed. Servers that leave go a few at a time.
const lapseFraction = 0.5

// returnGrace is how long an entry that lapsed while the store was away is still
// used after the store's return; living servers are back within about two seconds.
const returnGrace = 2500 * time.Millisecond

// Lister keeps the servers. It is safe for concurrent use.
type Lister struct {
	mu sync.Mutex
	// servers holds those in use, by ID.
	servers map[string]Server
	// lapsed holds when servers that are missing are to be dropped.
	lapsed map[string]time.Time
	// revision is that up to which changes were taken in, changed that of the
	// newest one.
	revision, changed uint64
	onChange          []func([]Server)
}

// New returns an empty Lister.
func New() *Lister {
	return &Lister{servers: make(map[string]Server), lapsed: make(map[string]time.Time)}
}

// OnChange adds a function that is called with all servers after each change.
func (l *Lister) OnChange(f func([]Server)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onChange = append(l.onChange, f)
}

// GetAll returns the servers in use.
func (l *Lister) GetAll() []Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list()
}

// GetRevision returns the revision up to which changes were taken in.
func (l *Lister) GetRevision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

func (l *Lister) list() []Server {
	all := make([]Server, 0, len(l.servers))
	for _, s := range l.servers {
		all = append(all, s)
	}
	return all
}

// GetChanged returns the revision of the newest change of an entry.
func (l *Lister) GetChanged() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// GetSnapshot returns the servers in use with the revision of the newest change.
func (l *Lister) GetSnapshot() ([]Server, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list(), l.changed
}

// Merge takes in the list of another gateway if it holds a newer change.
func (l *Lister) Merge(all []Server, changed uint64, now time.Time) {
	l.mu.Lock()
	newer := changed > l.changed
	revision := max(l.revision, changed)
	l.mu.Unlock()
	if newer {
		l.Replace(all, revision, now)
	}
}

// Replace takes in the whole list as of a revision.
func (l *Lister) Replace(all []Server, revision uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision < l.revision {
		return
	}
	present := make(map[string]bool, len(all))
	for _, s := range all {
		present[s.ID] = true
		l.put(s)
	}
	var missing []string
	for id := range l.servers {
		if !present[id] {
			missing = append(missing, id)
			l.changed = max(l.changed, revision)
		}
	}
	l.remove(missing, now)
	for _, s := range all {
		l.changed = max(l.changed, s.Revision)
	}
	l.revision = revision
	l.notify()
}

// Apply takes in changes up to a revision, in order.
func (l *Lister) Apply(changes []Change, revision uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision < l.revision {
		return
	}
	var removed []string
	for _, ch := range changes {
		l.changed = max(l.changed, ch.Revision)
		if ch.Removed {
			removed = append(removed, ch.ID)
			continue
		}
		removed = slices.DeleteFunc(removed, func(id string) bool { return id == ch.ID })
		l.put(ch.Server)
	}
	l.remove(removed, now)
	l.revision = revision
	if len(changes) > 0 {
		l.notify()
	}
}

// Expire drops servers whose grace has ended.
func (l *Lister) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	dropped := false
	for id, at := range l.lapsed {
		if now.Before(at) {
			continue
		}
		l.drop(id, "not back after the store's return")
		dropped = true
	}
	if dropped {
		l.notify()
	}
}

func (l *Lister) put(s Server) {
	old, known := l.servers[s.ID]
	delete(l.lapsed, s.ID)
	if known && old == s {
		return
	}
	l.servers[s.ID] = s
	log.Info("backend server registered", "event", "server", "server", s.ID, "service", s.Service,
		"address", s.Addr, "availability_zone", s.Zone, "leaving", s.Leaving, "known", known, "revision", s.Revision)
}

// remove drops servers whose entries are gone. If most entries go at once, they
// have lapsed together while the store was away, and the servers may live on.
func (l *Lister) remove(ids []string, now time.Time) {
	ids = slices.DeleteFunc(ids, func(id string) bool {
		_, known := l.servers[id]
		return !known
	})
	lapsed := float64(len(ids)) > lapseFraction*float64(len(l.servers)) && len(ids) > 1
	for _, id := range ids {
		if !lapsed || l.servers[id].Leaving {
			l.drop(id, "entry removed")
			continue
		}
		if _, waits := l.lapsed[id]; !waits {
			l.lapsed[id] = now.Add(returnGrace)
			log.Info("entry lapsed", "event", "server_lapsed", "server", id, "together", len(ids), "kept_for", returnGrace)
		}
	}
}

func (l *Lister) drop(id, reason string) {
	s := l.servers[id]
	delete(l.servers, id)
	delete(l.lapsed, id)
	log.Info("backend server gone", "event", "server_gone", "server", id, "service", s.Service, "address", s.Addr,
		"reason", reason, "revision", l.revision)
}

func (l *Lister) notify() {
	all := l.list()
	for _, f := range l.onChange {
		f(all)
	}
}
