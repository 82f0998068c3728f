package quarantiner

import "time"

// maxServed bounds the requests of one generation of a servedLog.
const maxServed = 8192

// servedLog remembers the requests that were served lately, in two generations. A new one
// begins after servedWindow, or earlier if the current one is full.
type servedLog struct {
	current, previous map[uint64]time.Time
	begun             time.Time
}

func newServedLog() servedLog { return servedLog{current: make(map[uint64]time.Time)} }

func (l *servedLog) add(digest uint64, now time.Time) {
	if now.Sub(l.begun) > servedWindow || len(l.current) >= maxServed {
		l.previous, l.current, l.begun = l.current, make(map[uint64]time.Time), now
	}
	l.current[digest] = now
}

// isInnocent reports whether a request was served after a server was lost under it, or at
// most servedWindow before.
func (l *servedLog) isInnocent(digest uint64, lostAt, now time.Time) bool {
	at, ok := l.current[digest]
	if !ok {
		at, ok = l.previous[digest]
	}
	return ok && lostAt.Sub(at) <= servedWindow && !at.After(now)
}
