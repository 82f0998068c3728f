package quarantiner

import (
	"slices"
	"time"
)

// Load pattern: all gateways end at one moment, while the store may be away, and the requests
// that they block come again. What blocks them is kept outside the gateways: by sidecars, and in
// the store.

const (
	// minKeptCrashes is the number of crashes from which on the losses of a request are kept.
	// With those that are not, a request has one crash more than if no gateway had ended.
	minKeptCrashes = maxCrashes - 1
	// maxKept bounds the requests and parts that are kept; the latest changed come first.
	maxKept = 128
)

// isWorthKeeping reports whether the losses must outlive all gateways: those that block, and those
// of a part that may turn out to be to blame in place of a blocked one. They are kept on when they
// turn out not to be the fault of the request, so that this outlives them, too.
func (e *entry) isWorthKeeping(now time.Time) bool {
	switch {
	case e.isKept:
		return true
	case e.position > 0:
		return e.isRival || e.isConvicted(now)
	}
	return len(e.losses) >= minKeptCrashes && e.countCrashes(now) >= minKeptCrashes
}

// noteChange tells those that keep losses of a change, if it concerns them.
func (s *Set) noteChange(e *entry, now time.Time) {
	if !e.isWorthKeeping(now) {
		return
	}
	e.isKept = true
	s.announceKept()
}

func (s *Set) announceKept() {
	close(s.keptChanged)
	s.keptChanged = make(chan struct{})
}

// GetKeptChanged returns a channel that is closed at the next change of the kept losses.
func (s *Set) GetKeptChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keptChanged
}

// GetKept returns the losses that must outlive all gateways, without expired ones.
func (s *Set) GetKept(now time.Time) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.getKept(now)
}

// Fingerprint returns a hash of the losses, but for the ages.
func (r *Record) Fingerprint() uint64 {
	sum := uint64(0)
	for i := range r.Losses {
		sum += r.Losses[i].hash(r.Digest)
	}
	return sum
}

// GetExpiry returns when the last loss no longer counts.
func (r *Record) GetExpiry() time.Time { return r.getLatest().At.Add(crashTTL) }

// getLatest returns the latest loss, a zero one without any.
func (r *Record) getLatest() Loss {
	var latest Loss
	for _, l := range r.Losses {
		if l.At.After(latest.At) {
			latest = l
		}
	}
	return latest
}

// IsObserver reports whether this gateway has observed the latest of the losses.
func (s *Set) IsObserver(r Record) bool { return r.getLatest().Observer == s.observer }

func (s *Set) getKept(now time.Time) []Record {
	var digests []uint64
	for digest, e := range s.entries {
		if e.isKept {
			digests = append(digests, digest)
		}
	}
	slices.SortFunc(digests, func(a, b uint64) int { return s.entries[b].updatedAt.Compare(s.entries[a].updatedAt) })
	var records []Record
	for _, digest := range digests[:min(len(digests), maxKept)] {
		if r := s.entries[digest].export(digest, now); len(r.Losses) > 0 {
			records = append(records, r)
		}
	}
	return records
}

// MergeKept is Merge for losses that were kept outside the gateways.
func (s *Set) MergeKept(records []Record, now time.Time) []Learned {
	learned := s.Merge(records, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	isNew := false
	for _, r := range records {
		if e := s.entries[r.Digest]; e != nil && !e.isKept {
			e.isKept, isNew = true, true
		}
	}
	if isNew {
		s.announceKept()
	}
	return learned
}
