package subscriber

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/gateway/quarantiner"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

const (
	// keptBatchInterval is the pause after a change of the kept losses, in which further changes
	// accumulate: a server that ends is lost under several requests.
	keptBatchInterval = 20 * time.Millisecond
	// keptGrace is how long a sidecar waits for a gateway that knows less to learn of a change
	// from other gateways, which all sidecars of a large fleet would tell it otherwise. A gateway
	// says every updateInterval what it knows.
	keptGrace = 2 * updateInterval
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
	if !s.losses.IsRecovered() {
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

// IsAsked reports whether the sidecars have told which losses they keep: all have or have failed
// to, or some have and the others are late.
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
		if isEngine(c, srv) && (f == nil || !f.isAsked) {
			return false
		}
	}
	return true
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

// keptFilter exchanges, on one stream between a gateway and a sidecar, the losses that must
// outlive all gateways. Both sides send their fingerprint with each message, and the losses only
// while the fingerprints differ. It is safe for concurrent use.
type keptFilter struct {
	losses *quarantiner.Set
	// grace is how long the fingerprints differ before the losses are sent.
	grace time.Duration
	mu    sync.Mutex
	// theirs is the latest fingerprint of the other side, 0 before the first. differsSince is
	// when it was first seen to differ, zero while it does not.
	theirs       uint64
	differsSince time.Time
	// sent is the fingerprint of the losses that were sent last, at sentAt.
	sent   uint64
	sentAt time.Time
}

func newKeptFilter(losses *quarantiner.Set, grace time.Duration) *keptFilter {
	return &keptFilter{losses: losses, grace: grace}
}

// take returns the own fingerprint, and the losses if they have to be sent now. It records them
// as sent.
func (f *keptFilter) take(now time.Time) (uint64, []*encoder.LostServers) {
	own := f.losses.GetKeptFingerprint(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isDue(own, now) {
		return own, nil
	}
	f.sent, f.sentAt = own, now
	return own, quarantiner.EncodeRecords(f.losses.GetKept(now), now)
}

// isDue reports whether losses with a fingerprint have to be sent. The other side takes a moment
// to say that it has them.
func (f *keptFilter) isDue(own uint64, now time.Time) bool {
	if own == 0 || own == f.theirs {
		f.differsSince = time.Time{}
		return false
	}
	if f.differsSince.IsZero() {
		f.differsSince = now
	}
	return now.Sub(f.differsSince) >= f.grace && (own != f.sent || now.Sub(f.sentAt) >= resendInterval)
}

// merge adds the losses of the other side.
func (f *keptFilter) merge(fingerprint uint64, losses []*encoder.LostServers, peer string, now time.Time) {
	f.mu.Lock()
	f.theirs = fingerprint
	f.mu.Unlock()
	mergeKept(f.losses, losses, peer, now)
}

// mergeKept adds losses that a peer keeps.
func mergeKept(to *quarantiner.Set, losses []*encoder.LostServers, peer string, now time.Time) {
	for _, learned := range to.MergeKept(quarantiner.DecodeRecords(losses, now), now) {
		log.Info("losses of servers received that must outlive the gateways", "event", "kept", "peer", peer, "digest", learned.Digest,
			"losses", len(learned.New), "crashes", learned.Crashes)
	}
}
