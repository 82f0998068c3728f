package lister

import (
	"time"

	"github.com/charmbracelet/log"
)

// incarnation identifies one start of a backend server, in Unix milliseconds.
type incarnation struct {
	id      string
	started int64
}

func (s Server) incarnation() incarnation { return incarnation{s.ID, s.Started.UnixMilli()} }

// ending says that an incarnation is leaving or gone.
type ending struct {
	// era is the one in which that was read, revision that of the latest entry.
	era, revision uint64
	// gone is set if the entry was removed; otherwise the server is leaving.
	gone bool
	at   time.Time
}

// getEnding returns the ending of a server whose entry may be older than it: the entry is
// from the copy that the store was restored from, unless it was written again since.
func (l *Lister) getEnding(s Server) (ending, bool) {
	e, ok := l.endings[s.incarnation()]
	return e, ok && e.era < l.position.Era && s.Revision <= min(e.revision, l.eraStart)
}

// enterEra begins a new era of the store, which has just been restored from an older copy.
func (l *Lister) enterEra(all []Server, position Position, now time.Time) {
	old := l.position
	added, changed, missing := l.compare(all)
	l.position, l.lastChange, l.eraStart = position, position, position.Revision
	if old != (Position{}) {
		l.restoredAt = now
		restores.Inc()
		log.Warn("store was restored from an older copy", "event", "store_restored", "old_era", old.Era, "era", position.Era,
			"old_revision", old.Revision, "revision", position.Revision, "added", added, "changed", changed, "missing", missing)
	}
	for _, f := range l.onEra {
		f(position.Era)
	}
}

// isReplaced reports whether an entry of a restored store is of an earlier incarnation than
// the server in use with that ID.
func (l *Lister) isReplaced(s Server) bool {
	current, exists := l.entries[s.ID]
	e, ended := l.getEnding(s)
	return exists && current.incarnation() != s.incarnation() && ended && e.gone
}

// compare returns how a list differs from the entries.
func (l *Lister) compare(all []Server) (added, changed, missing int) {
	missing = len(l.entries)
	for _, s := range all {
		old, exists := l.entries[s.ID]
		if !exists {
			added++
			continue
		}
		missing--
		if !old.equal(s) {
			changed++
		}
	}
	return added, changed, missing
}
