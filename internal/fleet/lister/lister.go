// Package lister keeps the list of registered backend servers, and keeps it through
// outages of the store that the list is read from.
package lister

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// Server is the entry of one incarnation of a backend server, as it registered itself.
type Server struct {
	// ID is unique among incarnations, but a restarted one may keep its ID.
	ID      string         `json:"id"`
	Service string         `json:"service"`
	Addr    netip.AddrPort `json:"addr"`
	Zone    string         `json:"zone"`
	// Slots is the number of requests that the server runs at once.
	Slots int `json:"slots"`
	// Leaving servers get no new work.
	Leaving bool `json:"leaving"`
	// Started differs between incarnations with the same ID.
	Started time.Time `json:"started"`
	// Revision grows with each change of the entry.
	Revision uint64 `json:"revision"`
}

// Change is a server's entry, or its removal.
type Change struct {
	Server
	Removed bool
}

// minLapseFraction is the fraction of the entries above which a joint removal counts as
// lapsed: the entries expired while the store was down. Servers that leave are removed
// a few at a time.
const minLapseFraction = 0.5

// lapseGrace is how long a lapsed entry is still used after its removal was read;
// running servers register again within about two seconds of the store's recovery.
const lapseGrace = 2500 * time.Millisecond

// Lister holds the servers in use. It is safe for concurrent use.
type Lister struct {
	mu sync.Mutex
	// servers holds the entries in use by ID, lapsed ones included.
	servers map[string]Server
	// lapsed holds, by ID, when a lapsed entry is dropped.
	lapsed map[string]time.Time
	// revision is the store revision up to which changes are applied, lastChange the
	// revision of the newest change.
	revision, lastChange uint64
	onChange             []func([]Server)
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

// GetRevision returns the store revision up to which changes are applied.
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

// GetChangeRevision returns the revision of the newest change of an entry.
func (l *Lister) GetChangeRevision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastChange
}

// GetSnapshot returns the servers in use and the revision of the newest change.
func (l *Lister) GetSnapshot() ([]Server, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list(), l.lastChange
}

// Merge replaces the list with that of another gateway, whose newest change has the
// revision lastChange, if that change is newer than all here.
func (l *Lister) Merge(all []Server, lastChange uint64, now time.Time) {
	l.mu.Lock()
	newer := lastChange > l.lastChange
	revision := max(l.revision, lastChange)
	l.mu.Unlock()
	if newer {
		l.Replace(all, revision, now)
	}
}

// Replace replaces the whole list with that of a revision. It ignores a list older than
// the changes already applied.
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
			l.lastChange = max(l.lastChange, revision)
		}
	}
	l.remove(missing, now)
	for _, s := range all {
		l.lastChange = max(l.lastChange, s.Revision)
	}
	l.revision = revision
	l.notify()
}

// Apply applies changes up to a revision, in order. It ignores changes older than those
// already applied.
func (l *Lister) Apply(changes []Change, revision uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision < l.revision {
		return
	}
	var removed []string
	for _, ch := range changes {
		l.lastChange = max(l.lastChange, ch.Revision)
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

// Expire drops lapsed entries whose grace period has ended.
func (l *Lister) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	dropped := false
	for id, deadline := range l.lapsed {
		if now.Before(deadline) {
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
	old, exists := l.servers[s.ID]
	delete(l.lapsed, s.ID)
	if exists && old == s {
		return
	}
	l.servers[s.ID] = s
	log.Info("backend server registered", "event", "server", "server", s.ID, "service", s.Service,
		"address", s.Addr, "availability_zone", s.Zone, "leaving", s.Leaving, "known", exists, "revision", s.Revision)
}

// remove drops servers whose entries were removed from the store. If two or more, and
// more than minLapseFraction of all, are removed at once, they expired together while
// the store was down, and the servers may still run: all but leaving ones are kept for
// lapseGrace.
func (l *Lister) remove(ids []string, now time.Time) {
	ids = slices.DeleteFunc(ids, func(id string) bool {
		_, exists := l.servers[id]
		return !exists
	})
	haveLapsed := float64(len(ids)) > minLapseFraction*float64(len(l.servers)) && len(ids) > 1
	for _, id := range ids {
		if !haveLapsed || l.servers[id].Leaving {
			l.drop(id, "entry removed")
			continue
		}
		if _, marked := l.lapsed[id]; !marked {
			l.lapsed[id] = now.Add(lapseGrace)
			log.Info("backend server entry lapsed", "event", "server_lapsed", "server", id, "together", len(ids), "kept_for", lapseGrace)
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
