package gossiper

import (
	"net/netip"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/gateway/quarantiner"
	"siskinfall/internal/wire/encoder"
)

// Load pattern: many servers are lost at once, as in a zone that is cut off, and each gateway
// learns of hundreds of losses from tens of others. Gateways compare fingerprints of their
// losses by bucket with one peer at a time, and send what is in the buckets that differ: at the
// next exchange both have the rest from others.

// lossInterval is the pause between two comparisons of losses that a gateway of a large fleet
// begins. Each doubles the gateways that know a loss.
const lossInterval = 250 * time.Millisecond

// takeLossTurn reports whether this gateway begins a comparison of losses now, and records it
// if so. Until the first answers are there, and in a small fleet, it does so with each peer.
func (g *Gossiper) takeLossTurn(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	isLarge := len(g.members) > scaleGateways && now.Sub(g.started) > firstAnswersTimeout
	if isLarge && now.Sub(g.lossesComparedAt) < lossInterval {
		return false
	}
	g.lossesComparedAt = now
	return true
}

// addLosses adds the fingerprints of this gateway's losses to a request if the peer had other
// losses in its last answer, which is nil before the first one. After an answer with
// fingerprints it also adds the losses that the peer lacks.
func (g *Gossiper) addLosses(m, last *encoder.GatewaySync, now time.Time) {
	m.ComparesBuckets = true
	theirs := quarantiner.Buckets(last.GetLossesBuckets())
	switch {
	case last != nil && m.GetLossesFingerprint() == last.GetLossesFingerprint():
	case theirs.IsValid():
		m.LossesBuckets = g.losses.GetBuckets(now)
		m.Losses = quarantiner.EncodeRecords(g.losses.ExportDifferent(theirs, now), now)
	case last == nil || g.takeLossTurn(now):
		m.LossesBuckets = g.losses.GetBuckets(now)
	}
}

// answerLosses adds the losses to an answer that a requester which compares them lacks. One of
// an older version is sent all.
func (g *Gossiper) answerLosses(m, request *encoder.GatewaySync, now time.Time) {
	theirs := quarantiner.Buckets(request.GetLossesBuckets())
	switch {
	case request.GetLossesFingerprint() == m.GetLossesFingerprint():
	case theirs.IsValid():
		m.LossesBuckets = g.losses.GetBuckets(now)
		m.Losses = quarantiner.EncodeRecords(g.losses.ExportDifferent(theirs, now), now)
	case !request.GetComparesBuckets():
		m.Losses = quarantiner.EncodeRecords(g.losses.Export(now), now)
	}
}

// isAhead reports whether a peer lacks losses by the fingerprints in its answer.
func (g *Gossiper) isAhead(answer *encoder.GatewaySync, now time.Time) bool {
	return len(answer.GetLossesBuckets()) > 0 && answer.GetLossesFingerprint() != g.losses.Fingerprint(now)
}

// maxArrivals bounds the requests that a peer may count.
const maxArrivals = 1 << 40

// encodeArrivals returns how often the parts that may be the cause of crashes have come, nil if
// there are none.
func (g *Gossiper) encodeArrivals(now time.Time) *encoder.Arrivals {
	a, ok := g.losses.GetArrivals(now)
	if !ok {
		return nil
	}
	m := &encoder.Arrivals{Observer: a.Observer, Requests: uint64(a.Requests)}
	for digest, n := range a.Parts {
		m.Parts = append(m.Parts, &encoder.PartArrivals{Digest: digest, Requests: uint64(n)})
	}
	return m
}

// mergeArrivals takes over which prompts have come to a peer. It goes before mergeLosses, which
// decides by them.
func (g *Gossiper) mergeArrivals(m *encoder.Arrivals, now time.Time) {
	if m == nil {
		return
	}
	a := quarantiner.Arrivals{Observer: m.GetObserver(), Requests: int(min(m.GetRequests(), maxArrivals)), Parts: make(map[uint64]int)}
	for _, part := range m.GetParts() {
		a.Parts[part.GetDigest()] = int(min(part.GetRequests(), maxArrivals))
	}
	g.losses.MergeArrivals(a, now)
}

// mergeLosses adds the lost servers that a peer knows.
func (g *Gossiper) mergeLosses(m *encoder.GatewaySync, peer string, now time.Time) {
	for _, learned := range g.losses.Merge(quarantiner.DecodeRecords(m.GetLosses(), now), now) {
		for _, l := range learned.New {
			log.Info("backend server lost at another gateway", "event", "crash_report", "peer", peer, "digest", learned.Digest, "server", l.Server.ID,
				"observer", l.Observer, "age", now.Sub(l.At), "explained", l.Explained, "crashes", learned.Crashes)
		}
	}
}

// updateFleet tells the quarantine which gateways answer. Others count as cut off, not gone,
// until memberTTL after their last answer.
func (g *Gossiper) updateFleet(now time.Time) {
	live := g.getLive(now)
	g.mu.Lock()
	isCut := false
	for _, m := range g.members {
		silence := now.Sub(m.lastAnswer)
		isCut = isCut || silence >= livenessTimeout && silence < memberTTL
	}
	g.mu.Unlock()
	g.losses.SetFleet(g.own, live, isCut)
	if now.Sub(g.started) > firstAnswersTimeout {
		g.losses.SetComplete()
	}
}

// setTried records that a member has answered or failed to. Once all have, the losses of
// those that could be reached are known.
func (g *Gossiper) setTried(addr netip.AddrPort) {
	g.mu.Lock()
	if m := g.members[addr]; m != nil {
		m.tried = true
	}
	complete := true
	for _, m := range g.members {
		complete = complete && m.tried
	}
	g.mu.Unlock()
	if complete {
		g.losses.SetComplete()
	}
}
