package isolator

import (
	"sync"
	"time"

	"siskinfall/internal/wire/encoder"
)

// Verdict says what is known of a request.
type Verdict int

// The verdicts.
const (
	Clear Verdict = iota
	Suspect
	Culprit
)

// maxKnown bounds the set; beyond it the earliest to expire is dropped.
const maxKnown = 10000

// Set is the knowledge of one entry instance. Additions commute and may come
// twice, so sets that got the same additions are equal.
type Set struct {
	mu sync.Mutex
	// known holds one element for each digest: the gravest, latest to expire.
	known map[string]*encoder.Suspect
}

// NewSet returns an empty Set.
func NewSet() *Set { return &Set{known: make(map[string]*encoder.Suspect)} }

// Add takes in elements and returns those that were news.
func (s *Set) Add(elements ...*encoder.Suspect) []*encoder.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now().UnixMicro()
	var news []*encoder.Suspect
	for _, e := range elements {
		if e.GetExpiresMicros() <= now || !isNews(s.known[string(e.GetDigest())], e) {
			continue
		}
		s.known[string(e.GetDigest())] = e
		news = append(news, e)
	}
	s.trim(now)
	return news
}

// isNews reports whether e is graver than cur, or as grave and lasts longer.
func isNews(cur, e *encoder.Suspect) bool {
	if cur == nil || e.GetCulprit() != cur.GetCulprit() {
		return cur == nil || e.GetCulprit()
	}
	return e.GetExpiresMicros() > cur.GetExpiresMicros()
}

func (s *Set) trim(now int64) {
	if len(s.known) <= maxKnown {
		return
	}
	first := ""
	for key, e := range s.known {
		if e.GetExpiresMicros() <= now {
			delete(s.known, key)
			continue
		}
		if first == "" || e.GetExpiresMicros() < s.known[first].GetExpiresMicros() {
			first = key
		}
	}
	if len(s.known) > maxKnown {
		delete(s.known, first)
	}
}

// GetVerdict returns what is known of a request.
func (s *Set) GetVerdict(digest []byte) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.known[string(digest)]
	switch {
	case e == nil || e.GetExpiresMicros() <= time.Now().UnixMicro():
		return Clear
	case e.GetCulprit():
		return Culprit
	}
	return Suspect
}

// List returns every element, for a peer that has just joined.
func (s *Set) List() []*encoder.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*encoder.Suspect, 0, len(s.known))
	for _, e := range s.known {
		list = append(list, e)
	}
	return list
}
