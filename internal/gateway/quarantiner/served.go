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

// get returns when a request was last served.
func (l *servedLog) get(digest uint64) (time.Time, bool) {
	if at, ok := l.current[digest]; ok {
		return at, true
	}
	at, ok := l.previous[digest]
	return at, ok
}

// isServedSince reports whether a request was served after a time.
func (l *servedLog) isServedSince(digest uint64, since time.Time) bool {
	at, ok := l.get(digest)
	return ok && at.After(since)
}

// isInnocent reports whether a request was served after a server was lost under it, or at
// most servedWindow before.
func (l *servedLog) isInnocent(digest uint64, lostAt, now time.Time) bool {
	at, ok := l.get(digest)
	return ok && lostAt.Sub(at) <= servedWindow && !at.After(now)
}
