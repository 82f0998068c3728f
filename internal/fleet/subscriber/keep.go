package subscriber

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/gateway/quarantiner"
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
)

// keptFilter exchanges, on one stream between a gateway and a sidecar, the losses that must
// outlive all gateways. Both sides send their fingerprint with each message, and the losses only
// while the fingerprints differ. It is safe for concurrent use.
type keptFilter struct {
	losses *quarantiner.Set
	// grace is how long the fingerprints differ before the losses are sent, but in the first
	// message.
	grace time.Duration
	mu    sync.Mutex
	// hasBegun is set once a message was sent.
	hasBegun bool
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
	isFirst := !f.hasBegun
	f.hasBegun = true
	if own == 0 || own == f.theirs {
		f.differsSince = time.Time{}
		return false
	}
	if f.differsSince.IsZero() {
		f.differsSince = now
	}
	if !isFirst && now.Sub(f.differsSince) < f.grace {
		return false
	}
	return own != f.sent || now.Sub(f.sentAt) >= resendInterval
}

// merge adds the losses of the other side.
func (f *keptFilter) merge(fingerprint uint64, losses []*encoder.LostServers, peer string, now time.Time) {
	f.mu.Lock()
	f.theirs = fingerprint
	f.mu.Unlock()
	for _, learned := range f.losses.MergeKept(quarantiner.DecodeRecords(losses, now), now) {
		log.Info("losses of servers received that must outlive the gateways", "event", "kept", "peer", peer, "digest", learned.Digest,
			"losses", len(learned.New), "crashes", learned.Crashes)
	}
}
