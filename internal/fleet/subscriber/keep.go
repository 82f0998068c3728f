package subscriber

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/gateway/quarantiner"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

const (
	// keptBatchInterval is the pause after a change of the kept losses, in which further changes
	// accumulate: a server that ends is lost under several requests, and a zone that is cut off
	// under hundreds.
	keptBatchInterval = 100 * time.Millisecond
	// keptQueryTimeout bounds a query. A sidecar answers in milliseconds, whatever its engine does.
	keptQueryTimeout = time.Second
	// stragglerTime is how long after the first answer to a query a gateway waits for those of other
	// sidecars. All that live keep the same; a machine without power does not even refuse.
	stragglerTime = 100 * time.Millisecond
)

// ServeKept answers a gateway that asks for the losses that are kept here.
func (p *Publisher) ServeKept(s *connector.Stream) error {
	if err := s.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	now := time.Now()
	return s.Send(&encoder.KeptLosses{Losses: quarantiner.EncodeRecords(p.losses.GetKept(now), now)})
}

// learnKept asks a sidecar for the losses that it keeps, as long as this gateway may lack some.
func (s *Subscriber) learnKept(ctx context.Context, sidecar, engine netip.AddrPort) {
	if s.isKeeper(engine) && !s.losses.IsRecovered() {
		ctx, cancel := context.WithTimeout(ctx, keptQueryTimeout)
		defer cancel()
		kept := &encoder.KeptLosses{}
		open := &encoder.Open{Kind: &encoder.Open_KeptQuery{KeptQuery: &encoder.KeptQuery{}}}
		if err := s.pool.Call(ctx, sidecar, open, kept); err != nil {
			log.Debug("failed to read the losses that a sidecar keeps", "peer", sidecar, "error", err)
		} else {
			mergeKept(s.losses, kept.GetLosses(), sidecar.String(), time.Now())
			s.setAnswered(time.Now())
		}
	}
	s.setAsked(engine)
}

// IsAsked reports whether the sidecars that are near have told which losses they keep: all have or
// have failed to, or some have and the others are late.
func (s *Subscriber) IsAsked(now time.Time) bool {
	c := s.catalog.Get()
	s.mu.Lock()
	defer s.mu.Unlock()
	if c == nil || !s.isListed {
		return false
	}
	if !s.answeredAt.IsZero() && now.Sub(s.answeredAt) >= stragglerTime {
		return true
	}
	for _, srv := range s.servers {
		f := s.followed[srv.Addr]
		if s.isNear(c, srv) && (f == nil || !f.isAsked) {
			return false
		}
	}
	return true
}

// isNear reports whether a server is an engine whose sidecar keeps losses for this gateway: those of
// the own availability zone, or all if it has none. Gateways of all zones tell each other of the
// losses, so that what must outlive them need not cross zones. s.mu must be held.
func (s *Subscriber) isNear(c *holder.Catalog, srv lister.Server) bool {
	if !isEngine(c, srv) {
		return false
	}
	return srv.Zone == s.zone || !slices.ContainsFunc(s.servers, func(other lister.Server) bool { return other.Zone == s.zone && isEngine(c, other) })
}

// isKeeper reports whether the sidecar of an engine keeps losses for this gateway.
func (s *Subscriber) isKeeper(engine netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.followed[engine]
	return f != nil && f.isNear
}

// setAnswered records that a sidecar has told which losses it keeps.
func (s *Subscriber) setAnswered(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answeredAt.IsZero() {
		s.answeredAt = now
	}
}

// setAsked records that a sidecar has told which losses it keeps, or has failed to.
func (s *Subscriber) setAsked(engine netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.followed[engine]; f != nil {
		f.isAsked = true
	}
}

// keptSnapshot shares the kept losses between the streams to all sidecars, each of which looks for
// changes at the same moments. It is safe for concurrent use.
type keptSnapshot struct {
	losses *quarantiner.Set
	mu     sync.Mutex
	// changed is closed at the next change after the records were read, at readAt.
	changed <-chan struct{}
	readAt  time.Time
	records []keptRecord
}

// keptRecord holds losses with their fingerprint.
type keptRecord struct {
	quarantiner.Record
	fingerprint uint64
}

// get returns the kept losses, which must not be modified.
func (k *keptSnapshot) get(now time.Time) []keptRecord {
	k.mu.Lock()
	defer k.mu.Unlock()
	// A change after this call is seen by the next one.
	changed := k.losses.GetKeptChanged()
	if changed == k.changed && now.Sub(k.readAt) < keptBatchInterval {
		return k.records
	}
	kept := k.losses.GetKept(now)
	k.changed, k.readAt, k.records = changed, now, make([]keptRecord, 0, len(kept))
	for _, r := range kept {
		k.records = append(k.records, keptRecord{Record: r, fingerprint: r.Fingerprint()})
	}
	return k.records
}

// keptFilter selects the kept losses that have changed since they were sent on one stream from a
// gateway to a sidecar.
type keptFilter struct {
	kept *keptSnapshot
	// sent has the fingerprints of what was sent, by digest.
	sent map[uint64]uint64
}

func newKeptFilter(kept *keptSnapshot) *keptFilter {
	return &keptFilter{kept: kept, sent: make(map[uint64]uint64)}
}

// take returns the losses that have to be sent now, and records them as sent.
func (f *keptFilter) take(now time.Time) []*encoder.LostServers {
	var changed []quarantiner.Record
	sent := make(map[uint64]uint64)
	for _, r := range f.kept.get(now) {
		sent[r.Digest] = r.fingerprint
		if f.sent[r.Digest] != r.fingerprint {
			changed = append(changed, r.Record)
		}
	}
	f.sent = sent
	return quarantiner.EncodeRecords(changed, now)
}

// mergeKept adds losses that a peer keeps.
func mergeKept(to *quarantiner.Set, losses []*encoder.LostServers, peer string, now time.Time) {
	for _, learned := range to.MergeKept(quarantiner.DecodeRecords(losses, now), now) {
		log.Info("losses of servers received that must outlive the gateways", "event", "kept", "peer", peer, "digest", learned.Digest,
			"losses", len(learned.New), "crashes", learned.Crashes)
	}
}
