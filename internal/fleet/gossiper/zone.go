package gossiper

import (
	"time"

	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/wire/encoder"
)

// Load pattern: zones are taken out of use seldom, and each gateway has to know at once, also
// one that has just started or does not reach the store. The set is a few names, so it goes
// with each message while it is not empty, and is not sent at all while it is.

// encodeZones returns the set for a message, nil if it need not be sent. isAsked is set if the
// peer has sent its own.
func (g *Gossiper) encodeZones(isAsked bool) *encoder.ClosedZones {
	if g.zones == nil {
		return nil
	}
	closed, at, known := g.zones.GetSnapshot()
	if known && len(closed) == 0 && !isAsked {
		return nil
	}
	return &encoder.ClosedZones{Known: known, Era: at.Era, Revision: at.Revision, Zones: closed}
}

// mergeZones puts the set of a peer in force if it is of a later position.
func (g *Gossiper) mergeZones(m *encoder.GatewaySync, peer string, now time.Time) {
	if g.zones == nil || !m.GetClosedZones().GetKnown() {
		return
	}
	g.zones.Merge(m.GetClosedZones().GetZones(), lister.Position{Era: m.GetClosedZones().GetEra(), Revision: m.GetClosedZones().GetRevision()}, peer, now)
}
