package quarantiner

import (
	"maps"
	"time"
)

// Load pattern: a part is in every prompt that one gateway gets, and in none that another one
// gets, since callers stay at a gateway. Only all gateways together know how rare it is.

const (
	// arrivalsTTL is how long the counts of another gateway are used after they came.
	arrivalsTTL = 2 * servedWindow
	// undecidedTime is how long after a crash a gateway tells others its counts of the parts
	// that may be the cause. Those of blocked parts it tells for as long as they are blocked.
	undecidedTime = 10 * time.Second
	// maxCountedParts bounds the parts in the counts of one gateway.
	maxCountedParts = 32
)

// partLog holds how often the parts of prompts come, in two generations.
type partLog struct {
	current, previous partCounts
	begun             time.Time
}

type partCounts struct {
	requests int
	parts    map[uint64]int
}

// add counts a request with its parts.
func (l *partLog) add(parts []uint64, now time.Time) {
	if l.current.parts == nil || now.Sub(l.begun) > servedWindow || len(l.current.parts) >= maxServed {
		l.previous, l.current, l.begun = l.current, partCounts{parts: make(map[uint64]int)}, now
	}
	l.current.requests++
	for _, part := range parts {
		l.current.parts[part]++
	}
}

func (l *partLog) count(part uint64) int { return l.current.parts[part] + l.previous.parts[part] }

func (l *partLog) countRequests() int { return l.current.requests + l.previous.requests }

// getShare returns the share of requests that have a part. With few requests, it is high.
func (l *partLog) getShare(part uint64) float64 {
	return estimateShare(l.count(part), l.countRequests())
}

func estimateShare(count, requests int) float64 { return float64(count+1) / float64(requests+2) }

// Arrivals are the prompts that have come to one gateway in the last servedWindow, or up to
// twice that.
type Arrivals struct {
	// Observer is the process of the gateway.
	Observer uint64
	// Requests is the number of requests with a prompt.
	Requests int
	// Parts is the number of these that have a part, by its digest. It has no entry for a part
	// that the gateway does not suspect.
	Parts map[uint64]int
}

// peerArrivals are Arrivals of another gateway, which came at a time.
type peerArrivals struct {
	Arrivals
	at time.Time
}

// GetArrivals returns how often the parts that may be the cause of crashes have come to this
// gateway. It reports false if there are none.
func (s *Set) GetArrivals(now time.Time) (Arrivals, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.suspects) == 0 {
		return Arrivals{}, false
	}
	a := Arrivals{Observer: s.observer, Requests: s.arrivals.countRequests(), Parts: make(map[uint64]int)}
	for _, digest := range s.suspects {
		if e := s.entries[digest]; e != nil && len(a.Parts) < maxCountedParts && e.isInQuestion(now) {
			a.Parts[digest] = s.arrivals.count(digest)
		}
	}
	return a, len(a.Parts) > 0
}

// isInQuestion reports whether it may yet be decided that the part is, or is not, the cause.
func (e *entry) isInQuestion(now time.Time) bool {
	latest := e.getLatest(now)
	if latest.IsZero() {
		return false
	}
	return e.isRival || e.isConvicted(now) || now.Sub(latest) < undecidedTime
}

// MergeArrivals takes over what has come to another gateway, in place of what it said before,
// and decides again which parts are the cause.
func (s *Set) MergeArrivals(a Arrivals, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Observer == s.observer {
		return
	}
	maps.DeleteFunc(s.peerArrivals, func(_ uint64, p peerArrivals) bool { return now.Sub(p.at) > arrivalsTTL })
	s.peerArrivals[a.Observer] = peerArrivals{Arrivals: a, at: now}
	s.reviewIfDue(now)
}

// countArrivals returns the number of requests that have a part, and the number of all, at the
// gateways that are known to count the part.
func (s *Set) countArrivals(part uint64, now time.Time) (count, requests int) {
	count, requests = s.arrivals.count(part), s.arrivals.countRequests()
	for _, p := range s.peerArrivals {
		if n, ok := p.Parts[part]; ok && now.Sub(p.at) <= arrivalsTTL {
			count += n
			requests += p.Requests
		}
	}
	return count, requests
}
