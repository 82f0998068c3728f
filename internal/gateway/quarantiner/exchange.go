package quarantiner

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxRecords bounds the requests in one exchange; the latest changed come first.
const maxRecords = 512

// Record holds the losses of one request.
type Record struct {
	Digest uint64
	Losses []Loss
}

// Export returns the losses that count or are explained, for other gateways.
func (s *Set) Export(now time.Time) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	digests := slices.SortedFunc(maps.Keys(s.entries), func(a, b uint64) int {
		return s.entries[b].updatedAt.Compare(s.entries[a].updatedAt)
	})
	records := make([]Record, 0, min(len(digests), maxRecords))
	for _, digest := range digests[:min(len(digests), maxRecords)] {
		r := Record{Digest: digest}
		for _, l := range s.entries[digest].losses {
			if now.Sub(l.At) <= crashTTL {
				r.Losses = append(r.Losses, *l)
			}
		}
		records = append(records, r)
	}
	return records
}

// Fingerprint returns a hash of what Export returns, but for the ages. It is 0 without any.
func (s *Set) Fingerprint(now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := uint64(0)
	for digest, e := range s.entries {
		for _, l := range e.losses {
			if now.Sub(l.At) <= crashTTL {
				sum += l.hash(digest)
			}
		}
	}
	return sum
}

func (l *Loss) hash(digest uint64) uint64 {
	b := make([]byte, 0, 25)
	for _, n := range []uint64{digest, l.Observer, l.Number} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	if l.Explained {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

// Learned is what a merge has changed for one request.
type Learned struct {
	Digest uint64
	// New are the losses that were not known before.
	New []Loss
	// Crashes is the number of crashes that count now.
	Crashes int
}

// Merge adds the losses that another gateway knows, observed by itself or by others, and
// returns what is new. Expired losses are not added.
func (s *Set) Merge(records []Record, now time.Time) []Learned {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	var learned []Learned
	for _, r := range records {
		var added []Loss
		for _, l := range r.Losses {
			if s.mergeLoss(r.Digest, l, now) {
				added = append(added, l)
			}
		}
		if len(added) > 0 {
			learned = append(learned, Learned{Digest: r.Digest, New: added, Crashes: s.entries[r.Digest].countCrashes(now)})
		}
	}
	return learned
}

// mergeLoss adds a loss, or updates the known one, and reports whether it is new.
func (s *Set) mergeLoss(digest uint64, l Loss, now time.Time) bool {
	l.Explained = l.Explained || s.served.isInnocent(digest, l.At, now)
	if e := s.entries[digest]; e != nil && e.losses[l.LossID] != nil {
		known := e.losses[l.LossID]
		known.Explained = known.Explained || l.Explained
		if l.At.Before(known.At) {
			known.At = l.At
		}
		return false
	}
	if now.Sub(l.At) > crashTTL {
		return false
	}
	s.put(digest, l, now)
	return s.entries[digest].losses[l.LossID] != nil
}
