package quarantiner

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxRecords bounds the requests in one exchange; convicted parts come first, then the latest
// changed.
const maxRecords = 512

// Record holds the losses of one request, or of requests with one part of a prompt.
type Record struct {
	Digest uint64
	// PartPosition is the position of the part in the prompt, from 1; 0 for a whole request.
	PartPosition int
	Losses       []Loss
}

// Fingerprint buckets: requests are divided among them by their digests, so that sets that
// differ in a few exchange these only.
const (
	// recordsPerBucket is the mean number of requests in a bucket.
	recordsPerBucket = 2
	// minBuckets and maxBuckets bound the number of buckets; both are powers of two.
	minBuckets = 8
	maxBuckets = 256
)

// Buckets are fingerprints of the losses by the digest of the request; the length is a power
// of two.
type Buckets []uint64

// indexOf returns the bucket of a digest.
func (b Buckets) indexOf(digest uint64) int { return int(digest % uint64(len(b))) }

// IsValid reports whether the buckets of another gateway can be compared.
func (b Buckets) IsValid() bool {
	return len(b) >= minBuckets && len(b) <= maxBuckets && len(b)&(len(b)-1) == 0
}

// GetBuckets returns the fingerprints of the losses in as many buckets as suit their number.
func (s *Set) GetBuckets(now time.Time) Buckets {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := minBuckets
	for n < maxBuckets && n*recordsPerBucket < len(s.entries) {
		n *= 2
	}
	return s.sum(n, now)
}

// Fingerprint returns a hash of all losses, but for the ages. It is 0 without any.
func (s *Set) Fingerprint(now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sum(1, now)[0]
}

// sum returns the fingerprints of the losses in n buckets.
func (s *Set) sum(n int, now time.Time) Buckets {
	b := make(Buckets, n)
	for digest, e := range s.entries {
		for _, l := range e.losses {
			if now.Sub(l.At) <= crashTTL {
				b[b.indexOf(digest)] += l.hash(digest)
			}
		}
	}
	return b
}

// Export returns the losses that count or are explained, for other gateways.
func (s *Set) Export(now time.Time) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.export(func(uint64) bool { return true }, now)
}

// ExportDifferent returns the losses in the buckets that differ from those of another
// gateway, which must be valid.
func (s *Set) ExportDifferent(other Buckets, now time.Time) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.sum(len(other), now)
	return s.export(func(digest uint64) bool {
		i := own.indexOf(digest)
		return own[i] != other[i]
	}, now)
}

// export returns the losses of the requests for which include holds.
func (s *Set) export(include func(digest uint64) bool, now time.Time) []Record {
	s.expire(now)
	var digests []uint64
	for digest := range s.entries {
		if include(digest) {
			digests = append(digests, digest)
		}
	}
	slices.SortFunc(digests, func(a, b uint64) int {
		if c := compareBool(s.entries[a].isConvicted(now), s.entries[b].isConvicted(now)); c != 0 {
			return c
		}
		return s.entries[b].updatedAt.Compare(s.entries[a].updatedAt)
	})
	records := make([]Record, 0, min(len(digests), maxRecords))
	for _, digest := range digests[:min(len(digests), maxRecords)] {
		records = append(records, s.entries[digest].export(digest, now))
	}
	return records
}

// export returns the losses that count or are explained.
func (e *entry) export(digest uint64, now time.Time) Record {
	r := Record{Digest: digest, PartPosition: e.position}
	for _, l := range e.losses {
		if now.Sub(l.At) <= crashTTL {
			r.Losses = append(r.Losses, *l)
		}
	}
	return r
}

func (l *Loss) hash(digest uint64) uint64 {
	b := make([]byte, 0, 26)
	for _, n := range []uint64{digest, l.Observer, l.Number} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	if l.Explained {
		b = append(b, 1)
	}
	if l.Convicted {
		b = append(b, 2)
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
	hasNewPart := false
	for _, r := range records {
		var added []Loss
		for _, l := range r.Losses {
			if s.mergeLoss(r, l, now) {
				added = append(added, l)
			}
		}
		if len(added) > 0 {
			learned = append(learned, Learned{Digest: r.Digest, New: added, Crashes: s.entries[r.Digest].countCrashes(now)})
			hasNewPart = hasNewPart || r.PartPosition > 0
		}
	}
	if hasNewPart {
		s.convict(now)
	}
	return learned
}

// mergeLoss adds a loss, or updates the known one, and reports whether it is new.
func (s *Set) mergeLoss(r Record, l Loss, now time.Time) bool {
	l.Explained = l.Explained || s.isInnocent(r, l.At, now)
	if e := s.entries[r.Digest]; e != nil && e.losses[l.LossID] != nil {
		known := e.losses[l.LossID]
		if l.Explained && !known.Explained || l.Convicted && !known.Convicted {
			known.Explained = known.Explained || l.Explained
			known.Convicted = known.Convicted || l.Convicted
			s.noteChange(e, now)
		}
		if l.At.Before(known.At) {
			known.At = l.At
		}
		return false
	}
	if now.Sub(l.At) > crashTTL {
		return false
	}
	s.put(r.Digest, r.PartPosition, l, now)
	return s.entries[r.Digest].losses[l.LossID] != nil
}

// isInnocent reports whether what was served at this gateway speaks for a request or a part
// that a server was lost under. A part that was served before may crash servers since.
func (s *Set) isInnocent(r Record, lostAt, now time.Time) bool {
	if r.PartPosition > 0 {
		return s.served.isServedSince(r.Digest, lostAt)
	}
	return s.served.isInnocent(r.Digest, lostAt, now)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
