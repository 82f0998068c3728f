package placer

import (
	"slices"
	"time"

	"github.com/charmbracelet/log"
)

// Load pattern: the operator takes all servers of an availability zone out of use, while
// callers send as before, and puts them back together, empty, so that every gateway finds
// them the least loaded at the same time.

// SetClosedZones replaces the availability zones whose servers may not be sent anything. The
// servers of a zone that is no longer among them return as from a pause.
func (p *Placer) SetClosedZones(closed []string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.closedZones
	p.closedZones = slices.Clone(closed)
	p.zoneWork = make(map[string]int)
	for _, s := range p.servers {
		if p.isInClosedZone(s) {
			p.zoneWork[s.Zone] += s.inFlight
		}
		if slices.Contains(before, s.Zone) && !p.isInClosedZone(s) {
			c := p.getClosure(s.Server, now)
			c.returning, c.placed, c.served = true, 0, 0
			// The list may be behind, and the zone's servers have had no work.
			s.setColdFromStart(now)
		}
	}
	for _, zone := range closed {
		if !slices.Contains(before, zone) {
			log.Info("availability zone gets no new requests", "event", "zone_work", "zone", zone, "in_flight", p.zoneWork[zone])
		}
	}
}

// recordZoneWork counts a request that has ended in a zone out of use, and logs the last one.
func (p *Placer) recordZoneWork(s *server) {
	if !p.isInClosedZone(s) || p.zoneWork[s.Zone] == 0 {
		return
	}
	p.zoneWork[s.Zone]--
	if p.zoneWork[s.Zone] == 0 {
		log.Info("availability zone has no request left", "event", "zone_work", "zone", s.Zone, "in_flight", 0)
	}
}

func (p *Placer) isInClosedZone(s *server) bool {
	return len(p.closedZones) > 0 && slices.Contains(p.closedZones, s.Zone)
}
