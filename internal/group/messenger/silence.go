package messenger

import (
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// Load pattern: one sidecar among hundreds does not answer. Its engine does, so it is called
// instead, without a wait for the sidecar each time.

// A sidecar that did not answer is not called for minAvoidance, then for twice as long each
// time up to maxAvoidance.
const (
	minAvoidance = 2 * time.Second
	maxAvoidance = 16 * time.Second
	// maxAvoided is the number of sidecars that are avoided at most. If more do not answer,
	// the own link is the cause, and calls to their engines would add to its load.
	maxAvoided = 12
)

// silentSidecars holds the sidecars that did not answer. It is safe for concurrent use.
type silentSidecars struct {
	mu       sync.Mutex
	byEngine map[netip.AddrPort]silence
}

// silence says until when a sidecar is not called, and for how long that was set.
type silence struct {
	until  time.Time
	length time.Duration
}

func newSilentSidecars() *silentSidecars {
	return &silentSidecars{byEngine: make(map[netip.AddrPort]silence)}
}

// isSilent reports whether the sidecar of an engine is not to be called.
func (s *silentSidecars) isSilent(engine netip.AddrPort, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.byEngine[engine].until) && s.count(now) <= maxAvoided
}

func (s *silentSidecars) count(now time.Time) int {
	n := 0
	for _, e := range s.byEngine {
		if now.Before(e.until) {
			n++
		}
	}
	return n
}

// add records that a sidecar did not answer.
func (s *silentSidecars) add(engine netip.AddrPort, now time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.byEngine[engine]
	if now.Before(old.until) {
		// Another call that began before the first failure.
		return
	}
	d := min(max(2*old.length, minAvoidance), maxAvoidance)
	s.byEngine[engine] = silence{until: now.Add(d), length: d}
	log.Info("sidecar does not answer, its engine is called instead", "event", "peer_lost", "engine", engine, "for", d, "error", err)
}

// remove records that a sidecar has answered.
func (s *silentSidecars) remove(engine netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byEngine, engine)
}
