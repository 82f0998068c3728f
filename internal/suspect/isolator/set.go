package isolator

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinfall/internal/wire/encoder"
)

// Verdict classifies a request by whether it is a poison request, one that crashes
// the backend servers which run it.
type Verdict int

// Verdicts.
const (
	// Clear means that the set has no unexpired element for the request.
	Clear Verdict = iota
	// Suspect means that the request was in flight during a crash and may be a
	// poison request.
	Suspect
	// Culprit means that the request was identified as a poison request.
	Culprit
)

// maxElements is the size above which an addition evicts the expired elements or, if
// the set is still too large, the one that expires first.
const maxElements = 10000

// Set holds the suspects and culprits known to one entry instance; it is safe for
// concurrent use. Additions are commutative and idempotent, so that sets with the
// same additions converge.
type Set struct {
	mu sync.Mutex
	// elements holds one element per digest: a culprit rather than a suspect, and
	// among equals the one that expires last.
	elements map[string]*encoder.Suspect
}

// NewSet returns an empty Set.
func NewSet() *Set { return &Set{elements: make(map[string]*encoder.Suspect)} }

// Add adds elements and returns those that changed the set.
func (s *Set) Add(candidates ...*encoder.Suspect) []*encoder.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now().UnixMicro()
	var added []*encoder.Suspect
	for _, e := range candidates {
		if e.GetExpiresMicros() <= now || !supersedes(s.elements[string(e.GetDigest())], e) {
			continue
		}
		s.elements[string(e.GetDigest())] = e
		added = append(added, e)
	}
	s.evict(now)
	return added
}

// supersedes reports whether e replaces current: a culprit replaces a suspect, and
// among equals the later expiry wins.
func supersedes(current, e *encoder.Suspect) bool {
	if current == nil || e.GetCulprit() != current.GetCulprit() {
		return current == nil || e.GetCulprit()
	}
	return e.GetExpiresMicros() > current.GetExpiresMicros()
}

func (s *Set) evict(now int64) {
	if len(s.elements) <= maxElements {
		return
	}
	earliest := ""
	for key, e := range s.elements {
		if e.GetExpiresMicros() <= now {
			delete(s.elements, key)
			continue
		}
		if earliest == "" || e.GetExpiresMicros() < s.elements[earliest].GetExpiresMicros() {
			earliest = key
		}
	}
	if len(s.elements) > maxElements {
		delete(s.elements, earliest)
	}
}

// GetVerdict returns the verdict on the request with the given digest.
func (s *Set) GetVerdict(digest []byte) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.elements[string(digest)]
	switch {
	case e == nil || e.GetExpiresMicros() <= time.Now().UnixMicro():
		return Clear
	case e.GetCulprit():
		return Culprit
	}
	return Suspect
}

// List returns all unexpired elements, for a peer that lacks some.
func (s *Set) List() []*encoder.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now().UnixMicro()
	list := make([]*encoder.Suspect, 0, len(s.elements))
	for _, e := range s.elements {
		if e.GetExpiresMicros() > now {
			list = append(list, e)
		}
	}
	return list
}

// Fingerprint returns a hash of the digests and verdicts of all unexpired elements, 0 if
// there are none.
func (s *Set) Fingerprint() uint64 {
	sum := uint64(0)
	for _, e := range s.List() {
		d := xxhash.NewWithSeed(uint64(len(e.GetDigest())))
		_, _ = d.Write(e.GetDigest())
		if e.GetCulprit() {
			_, _ = d.Write([]byte{1})
		}
		sum += d.Sum64()
	}
	return sum
}
