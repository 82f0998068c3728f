// Package quarantiner blocks poison requests, which crash the backend servers that run
// them, on all gateways, even while the store is unavailable.
//
// Load pattern: a request crashes each backend server that begins to run it, and its
// caller sends it repeatedly, to any gateway.
package quarantiner

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCrashes is the number of crashes after which a request is blocked. Fewer
	// lost servers could be due to network failures.
	maxCrashes = 3
	// crashTTL is how long the crashes of a request are kept after the last update.
	crashTTL = 2 * time.Minute
	// maxEntries bounds the number of requests kept; the oldest are evicted first.
	maxEntries = 4096
)

// Digest identifies a request by the parts that are the same in a client retry.
func Digest(method, path, account string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(strings.Join([]string{method, path, account}, "\x00"))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// entry holds the crashes of one request.
type entry struct {
	// own counts the crashes observed by this gateway. peer is the highest count
	// that any other gateway has reported.
	own  int
	peer int
	// updatedAt is the time of the latest crash or report of another gateway.
	updatedAt time.Time
}

// Set counts crashes by request. It is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	entries map[uint64]*entry
	// version increases with each change of an own count.
	version uint64
}

// New returns an empty Set.
func New() *Set { return &Set{entries: make(map[uint64]*entry)} }

// AddCrash counts a server that was lost while it ran a request. It returns the number of
// crashes of this request that this gateway has observed, and the highest count that
// another gateway has reported.
func (s *Set) AddCrash(digest uint64, now time.Time) (own, reported int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.getOrAdd(digest, now)
	e.own++
	s.version++
	return e.own, e.peer
}

// SetPeerCrashes updates the crashes from the count of another gateway. The own and the
// reported count are added up, because two gateways count the same crash only if the
// request was sent through both.
func (s *Set) SetPeerCrashes(digest uint64, crashes int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.getOrAdd(digest, now)
	e.peer = max(e.peer, crashes)
}

// IsBlocked reports whether a request is blocked and must not be sent to any server.
func (s *Set) IsBlocked(digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[digest]
	return e != nil && e.own+e.peer >= maxCrashes
}

// GetOwnCrashes returns the number of crashes observed by this gateway for each request,
// by digest, and removes expired entries.
func (s *Set) GetOwnCrashes(now time.Time) map[uint64]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[uint64]int)
	for digest, e := range s.entries {
		if now.Sub(e.updatedAt) > crashTTL {
			delete(s.entries, digest)
			continue
		}
		if e.own > 0 {
			out[digest] = e.own
		}
	}
	return out
}

func (s *Set) getOrAdd(digest uint64, now time.Time) *entry {
	e := s.entries[digest]
	if e == nil {
		if len(s.entries) >= maxEntries {
			s.evictOldest()
		}
		e = &entry{}
		s.entries[digest] = e
	}
	e.updatedAt = now
	return e
}

func (s *Set) evictOldest() {
	var oldest uint64
	var oldestAt time.Time
	for digest, e := range s.entries {
		if oldestAt.IsZero() || e.updatedAt.Before(oldestAt) {
			oldest, oldestAt = digest, e.updatedAt
		}
	}
	delete(s.entries, oldest)
}
