package subscriber

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/gateway/quarantiner"
	"siskinfall/internal/wire/encoder"
)

// keptBatchInterval is the pause after a change of the kept losses, in which further changes
// accumulate: a server that ends is lost under several requests.
const keptBatchInterval = 20 * time.Millisecond

// keptFilter exchanges, on one stream between a gateway and a sidecar, the losses that must
// outlive all gateways. Both sides send their fingerprint with each message, and the losses only
// while the fingerprints differ. It is safe for concurrent use.
type keptFilter struct {
	losses *quarantiner.Set
	mu     sync.Mutex
	// theirs is the latest fingerprint of the other side, 0 before the first.
	theirs uint64
	// sent is the fingerprint of the losses that were sent last, at sentAt.
	sent   uint64
	sentAt time.Time
}

func newKeptFilter(losses *quarantiner.Set) *keptFilter { return &keptFilter{losses: losses} }

// take returns the own fingerprint, and the losses if they have to be sent now. It records them
// as sent. The other side takes a moment to say that it has them.
func (f *keptFilter) take(now time.Time) (uint64, []*encoder.LostServers) {
	own := f.losses.GetKeptFingerprint(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if own == 0 || own == f.theirs || own == f.sent && now.Sub(f.sentAt) < resendInterval {
		return own, nil
	}
	f.sent, f.sentAt = own, now
	return own, quarantiner.EncodeRecords(f.losses.GetKept(now), now)
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
