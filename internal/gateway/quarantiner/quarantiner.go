// Package quarantiner stops requests that crash the backend servers that run
// them, on all gateways, also while the store is away.
//
// Load pattern: one request ends each backend server that begins to run it, and
// its caller sends it again and again, to any gateway.
package quarantiner

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCrashes is the number of crashes after which a request is not handed
	// over any more. Fewer could be the work of a failing network.
	maxCrashes = 3
	// memory is how long a request's crashes are remembered.
	memory = 2 * time.Minute
	// maxEntries bounds the requests remembered; the oldest go first.
	maxEntries = 4096
)

// Digest identifies a request by what stays the same when it is sent again.
func Digest(method, path, account string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(strings.Join([]string{method, path, account}, "\x00"))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// entry is what is known of one request.
type entry struct {
	// own counts the crashes seen here, others the most that another gateway told.
	own    int
	others int
	at     time.Time
}

// Set remembers crashes. It is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	entries map[uint64]*entry
	// version grows with each change of own counts.
	version uint64
}

// New returns an empty Set.
func New() *Set { return &Set{entries: make(map[uint64]*entry)} }

// AddCrash counts a server that was lost while it ran a request, and returns the
// crashes known.
func (s *Set) AddCrash(digest uint64, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.get(digest, now)
	e.own++
	s.version++
	return e.own + e.others
}

// SetOthers takes in how many crashes another gateway has seen. The counts of
// several gateways may hold the same crash only if the request was sent twice.
func (s *Set) SetOthers(digest uint64, crashes int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.get(digest, now)
	e.others = max(e.others, crashes)
}

// IsStopped reports whether a request must not be handed over any more.
func (s *Set) IsStopped(digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[digest]
	return e != nil && e.own+e.others >= maxCrashes
}

// GetOwn returns the crashes seen here, by request.
func (s *Set) GetOwn(now time.Time) map[uint64]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[uint64]int)
	for digest, e := range s.entries {
		if now.Sub(e.at) > memory {
			delete(s.entries, digest)
			continue
		}
		if e.own > 0 {
			out[digest] = e.own
		}
	}
	return out
}

func (s *Set) get(digest uint64, now time.Time) *entry {
	e := s.entries[digest]
	if e == nil {
		if len(s.entries) >= maxEntries {
			s.evict()
		}
		e = &entry{}
		s.entries[digest] = e
	}
	e.at = now
	return e
}

func (s *Set) evict() {
	var oldest uint64
	var at time.Time
	for digest, e := range s.entries {
		if at.IsZero() || e.at.Before(at) {
			oldest, at = digest, e.at
		}
	}
	delete(s.entries, oldest)
}
