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
	// Revision grows with each change of the entry within one era of the store.
	Revision uint64 `json:"revision"`
	// Cold is for how much longer the server is cold, as of this revision. ColdUntil is when
	// it is warm by the clock of this process; it never falls for an incarnation.
	Cold      time.Duration `json:"cold,omitempty"`
	ColdUntil time.Time     `json:"-"`
	// Lapsed is set, in a snapshot only, for a server that is still in use although its
	// entry is missing. Gone and WasLeaving are set there for a server that was gone or
	// leaving before the store was restored, and whose entry is from the copy.
	Lapsed     bool `json:"lapsed,omitempty"`
	Gone       bool `json:"gone,omitempty"`
	WasLeaving bool `json:"was_leaving,omitempty"`
}

// equal reports whether two entries have the same content, but for the time that a server is
// still cold.
func (s Server) equal(o Server) bool {
	started := s.Started.Equal(o.Started)
	s.Started, o.Started = time.Time{}, time.Time{}
	s.Cold, o.Cold, s.ColdUntil, o.ColdUntil = 0, 0, time.Time{}, time.Time{}
	return started && s == o
}

// setColdUntil dates the entry's cold time from now, unless it was read before.
func (s *Server) setColdUntil(old Server, now time.Time) {
	isSame := old.ID == s.ID && old.Started.Equal(s.Started)
	if isSame {
		s.ColdUntil = old.ColdUntil
	}
	if until := now.Add(s.Cold); s.Cold > 0 && (!isSame || old.Revision != s.Revision) && until.After(s.ColdUntil) {
		s.ColdUntil = until
	}
}

// Position is a point in the history of the store.
type Position struct {
	// Era counts how often the store was restored from an older copy; 0 if it does not
	// report that. Revisions are comparable only within one era.
	Era uint64
	// Revision is the store's transaction counter.
	Revision uint64
}

// Before reports whether p is earlier than q.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Revision < q.Revision
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

const (
	// endingTTL is how long a server that is leaving or gone is remembered. It exceeds the
	// age of the copies that the store is restored from.
	endingTTL = 2 * time.Minute
	// restoredGrace is how long a restored entry of a server that was gone is ignored. The
	// store removes the entry of a server that no longer runs after a few seconds.
	restoredGrace = 10 * time.Second
)

// lapsedEntry is a server that is in use without an entry, until deadline.
type lapsedEntry struct {
	Server
	deadline time.Time
}

// Lister holds the servers in use. It is safe for concurrent use.
type Lister struct {
	mu sync.Mutex
	// entries holds the entries in the store at position, by ID.
	entries map[string]Server
	// lapsed holds servers in use whose entry is missing, by ID; no ID is also in entries.
	lapsed map[string]lapsedEntry
	// endings outlive the entries: a restored store lists servers that have left since.
	endings map[incarnation]ending
	// position is the point in the store's history up to which changes are applied,
	// lastChange that of the newest change.
	position, lastChange Position
	// restoredAt is when the era rose last, zero if it never has. Entries with a revision
	// above eraStart were written since.
	restoredAt time.Time
	eraStart   uint64
	onChange   []func([]Server)
	onEra      []func(uint64)
}

// New returns an empty Lister.
func New() *Lister {
	return &Lister{entries: make(map[string]Server), lapsed: make(map[string]lapsedEntry), endings: make(map[incarnation]ending)}
}

// OnChange adds a function that is called with all servers after each change.
func (l *Lister) OnChange(f func([]Server)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onChange = append(l.onChange, f)
}

// OnEra adds a function that is called with the store's era when it rises. It must not
// call the Lister.
func (l *Lister) OnEra(f func(era uint64)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onEra = append(l.onEra, f)
}

// GetAll returns the servers in use.
func (l *Lister) GetAll() []Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list()
}

// GetPosition returns the point in the store's history up to which changes are applied.
func (l *Lister) GetPosition() Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.position
}

// list returns the servers in use.
func (l *Lister) list() []Server {
	all := make([]Server, 0, len(l.entries)+len(l.lapsed))
	for _, s := range l.entries {
		if e, ok := l.getEnding(s); ok {
			if e.gone {
				continue
			}
			s.Leaving = true
		}
		all = append(all, s)
	}
	for _, s := range l.lapsed {
		all = append(all, s.Server)
	}
	return all
}

// GetLastChange returns the position of the newest change of an entry.
func (l *Lister) GetLastChange() Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastChange
}

// GetSnapshot returns the entries, the servers that are in use without one, and the
// position of the newest change.
func (l *Lister) GetSnapshot() ([]Server, Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]Server, 0, len(l.entries)+len(l.lapsed))
	for _, s := range l.entries {
		if e, ok := l.getEnding(s); ok {
			s.Gone, s.WasLeaving = e.gone, !e.gone
		}
		all = append(all, s)
	}
	for _, s := range l.lapsed {
		s.Lapsed = true
		all = append(all, s.Server)
	}
	return all, l.lastChange
}

// Merge replaces the list with the snapshot of another gateway, whose newest change has the
// position lastChange, if that change is newer than all here.
func (l *Lister) Merge(snapshot []Server, lastChange Position, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lastChange.Before(lastChange) {
		return
	}
	var all []Server
	for _, s := range snapshot {
		isLapsed, hasEnded, isGone := s.Lapsed, s.Gone || s.WasLeaving, s.Gone
		s.Lapsed, s.Gone, s.WasLeaving = false, false, false
		if hasEnded {
			l.endings[s.incarnation()] = ending{era: lastChange.Era - 1, revision: s.Revision, gone: isGone, at: now}
		}
		if !isLapsed {
			all = append(all, s)
		} else if !l.isInUse(s.ID) {
			l.lapsed[s.ID] = lapsedEntry{Server: s, deadline: now.Add(lapseGrace)}
		}
	}
	if l.position.Before(lastChange) {
		l.replace(all, lastChange, now)
	} else {
		l.replace(all, l.position, now)
	}
	l.setLastChange(lastChange.Revision)
}

// Replace replaces the whole list with that of a position. It ignores a list older than
// the changes already applied.
func (l *Lister) Replace(all []Server, position Position, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !position.Before(l.position) {
		l.replace(all, position, now)
	}
}

func (l *Lister) replace(all []Server, position Position, now time.Time) {
	restored := position.Era > l.position.Era
	if restored {
		l.enterEra(all, position, now)
	}
	present := make(map[string]bool, len(all))
	for _, s := range all {
		if l.isReplaced(s) {
			continue
		}
		present[s.ID] = true
		l.put(s, now)
		l.setLastChange(s.Revision)
	}
	var missing []string
	for id := range l.entries {
		if !present[id] {
			missing = append(missing, id)
			l.setLastChange(position.Revision)
		}
	}
	// The copy lacks the servers that registered after it was made, and those register again.
	l.remove(missing, restored, now)
	l.position = position
	l.notify()
}

// Apply applies changes up to a position, in order. It ignores changes older than those
// already applied, and those of another era than the list.
func (l *Lister) Apply(changes []Change, position Position, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if position.Era != l.position.Era || position.Before(l.position) {
		return
	}
	var removed []string
	for _, ch := range changes {
		l.setLastChange(ch.Revision)
		if ch.Removed {
			removed = append(removed, ch.ID)
			continue
		}
		removed = slices.DeleteFunc(removed, func(id string) bool { return id == ch.ID })
		l.put(ch.Server, now)
	}
	l.remove(removed, false, now)
	l.position = position
	if len(changes) > 0 {
		l.notify()
	}
}

// setLastChange records a change in the current era.
func (l *Lister) setLastChange(revision uint64) {
	l.lastChange = Position{Era: l.position.Era, Revision: max(l.lastChange.Revision, revision)}
}

// Expire drops lapsed entries whose grace period has ended, and forgets endings that no
// longer matter.
func (l *Lister) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for id, e := range l.lapsed {
		if now.Before(e.deadline) {
			continue
		}
		l.drop(id, "not back after the store's return", now)
		changed = true
	}
	for i, e := range l.endings {
		restoredEntryIsKept := e.gone && e.era < l.position.Era && now.Sub(l.restoredAt) >= restoredGrace
		if restoredEntryIsKept || now.Sub(e.at) >= endingTTL {
			delete(l.endings, i)
			changed = changed || e.era < l.position.Era
		}
	}
	if changed {
		l.notify()
	}
}

func (l *Lister) isInUse(id string) bool {
	_, hasEntry := l.entries[id]
	_, hasLapsed := l.lapsed[id]
	return hasEntry || hasLapsed
}

func (l *Lister) put(s Server, now time.Time) {
	old, exists := l.entries[s.ID]
	delete(l.lapsed, s.ID)
	if _, ended := l.getEnding(s); !ended {
		delete(l.endings, s.incarnation())
	}
	if s.Leaving {
		l.endings[s.incarnation()] = ending{era: l.position.Era, revision: s.Revision, at: now}
	}
	if exists && old.incarnation() != s.incarnation() {
		l.endings[old.incarnation()] = ending{era: l.position.Era, revision: old.Revision, gone: true, at: now}
	}
	s.setColdUntil(old, now)
	l.entries[s.ID] = s
	if exists && old.equal(s) {
		return
	}
	log.Info("backend server registered", "event", "server", "server", s.ID, "service", s.Service,
		"address", s.Addr, "availability_zone", s.Zone, "leaving", s.Leaving, "known", exists, "revision", s.Revision)
}

// remove drops servers whose entries were removed from the store. If two or more, and
// more than minLapseFraction of all, are removed at once, they expired together while
// the store was down, and the servers may still run: all but leaving ones are kept for
// lapseGrace. So are those that are missing in a restored store.
func (l *Lister) remove(ids []string, restored bool, now time.Time) {
	ids = slices.DeleteFunc(ids, func(id string) bool { return !l.isInUse(id) })
	inUse := len(l.entries) + len(l.lapsed)
	haveLapsed := restored || float64(len(ids)) > minLapseFraction*float64(inUse) && len(ids) > 1
	for _, id := range ids {
		if _, marked := l.lapsed[id]; marked && haveLapsed {
			continue
		}
		s := l.entries[id]
		if !haveLapsed || s.Leaving {
			l.drop(id, "entry removed", now)
			continue
		}
		delete(l.entries, id)
		l.lapsed[id] = lapsedEntry{Server: s, deadline: now.Add(lapseGrace)}
		log.Info("backend server entry lapsed", "event", "server_lapsed", "server", id, "together", len(ids), "kept_for", lapseGrace)
	}
}

func (l *Lister) drop(id, reason string, now time.Time) {
	s, exists := l.entries[id]
	if !exists {
		s = l.lapsed[id].Server
	}
	delete(l.entries, id)
	delete(l.lapsed, id)
	l.endings[s.incarnation()] = ending{era: l.position.Era, revision: s.Revision, gone: true, at: now}
	log.Info("backend server gone", "event", "server_gone", "server", id, "service", s.Service, "address", s.Addr,
		"reason", reason, "revision", l.position.Revision)
}

func (l *Lister) notify() {
	all := l.list()
	for _, f := range l.onChange {
		f(all)
	}
}
