package messenger

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"

	"siskinfall/internal/wire/encoder"
)

// The counts of a large group are thousands of numbers a rank, read several times a second.
// A sidecar sends what was added since the counts that the reader has, which takes about a
// byte a number.

// maxSentCounts bounds the counts that a sidecar keeps: of the leader, of one that it
// replaces, and one reading each whose answer was lost.
const maxSentCounts = 4

// identifiedCounts are counts with the ID that their sidecar gave them.
type identifiedCounts struct {
	id     uint64
	counts []uint64
}

// sentCounts holds the latest counts that a sidecar has sent. It is safe for concurrent use.
type sentCounts struct {
	mu sync.Mutex
	// list is in the order of sending, the oldest first.
	list []identifiedCounts
}

// encode replaces the counts in an answer by the difference from those that the reader
// has, if they are still known.
func (s *sentCounts) encode(m *encoder.EngineState, known uint64) {
	if len(m.GetCounts()) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := identifiedCounts{id: rand.Uint64() | 1, counts: m.GetCounts()}
	m.CountsId = current.id
	if i := slices.IndexFunc(s.list, func(c identifiedCounts) bool { return c.id == known }); i >= 0 {
		if diff := subtract(current.counts, s.list[i].counts); diff != nil {
			m.Counts, m.BaseCounts = diff, known
		}
	}
	s.list = append(s.list, current)
	if len(s.list) > maxSentCounts {
		s.list = slices.Delete(s.list, 0, 1)
	}
}

// subtract returns a-b, nil if that is not possible: an engine that has restarted counts
// from zero.
func subtract(a, b []uint64) []uint64 {
	if len(a) != len(b) {
		return nil
	}
	out := make([]uint64, len(a))
	for i := range a {
		if a[i] < b[i] {
			return nil
		}
		out[i] = a[i] - b[i]
	}
	return out
}

// receivedCounts holds the latest counts of each sidecar. It is safe for concurrent use.
type receivedCounts struct {
	mu     sync.Mutex
	latest map[netip.AddrPort]identifiedCounts
}

func newReceivedCounts() *receivedCounts {
	return &receivedCounts{latest: make(map[netip.AddrPort]identifiedCounts)}
}

// getID returns the ID of the counts of a sidecar's engine, 0 if there are none.
func (r *receivedCounts) getID(engine netip.AddrPort) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest[engine].id
}

// decode replaces a difference in an answer by the full counts. It removes counts that can't
// be restored; the next answer has them in full.
func (r *receivedCounts) decode(engine netip.AddrPort, m *encoder.EngineState) {
	if m.GetCountsId() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if base := r.latest[engine]; m.GetBaseCounts() != 0 {
		if base.id != m.GetBaseCounts() || len(base.counts) != len(m.GetCounts()) {
			m.Counts = nil
			delete(r.latest, engine)
			return
		}
		for i, n := range base.counts {
			m.Counts[i] += n
		}
	}
	r.latest[engine] = identifiedCounts{id: m.GetCountsId(), counts: m.GetCounts()}
}
