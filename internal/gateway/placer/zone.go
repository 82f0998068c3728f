package placer

import (
	"slices"
	"time"
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
	for _, s := range p.servers {
		if slices.Contains(before, s.Zone) && !p.isInClosedZone(s) {
			c := p.getClosure(s.Server, now)
			c.returning, c.placed, c.served = true, 0, 0
		}
	}
}

func (p *Placer) isInClosedZone(s *server) bool {
	return len(p.closedZones) > 0 && slices.Contains(p.closedZones, s.Zone)
}
