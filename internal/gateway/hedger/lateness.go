package hedger

import "time"

const (
	// latenessWeight is the EWMA weight of the newest attempt.
	latenessWeight = 0.125
	// maxLateShare is the share of late attempts from which on a service or a zone counts as
	// slow. While all is well, it is what the quantile leaves.
	maxLateShare = 0.4
	// latenessTTL is how long a late attempt counts against its server.
	latenessTTL = 20 * time.Second
)

// lateness is the share of attempts beyond the delay, of a service or of one of its zones.
type lateness struct {
	share float64
	// server and other are the latest two different servers with a late attempt. A single slow
	// server is what second attempts are for.
	server, other     string
	serverAt, otherAt time.Time
}

func (l *lateness) record(server string, isLate bool, now time.Time) {
	sample := 0.0
	if isLate {
		sample = 1
		if l.server != server {
			l.other, l.otherAt = l.server, l.serverAt
			l.server = server
		}
		l.serverAt = now
	}
	l.share += latenessWeight * (sample - l.share)
	if l.other != "" && now.Sub(l.otherAt) > latenessTTL {
		l.other = ""
	}
}

func (l *lateness) isWide() bool { return l != nil && l.share > maxLateShare && l.other != "" }

// recordLate adds an attempt to its service and zone.
func (h *Hedger) recordLate(from Origin, isLate bool, now time.Time) {
	for _, key := range from.getAreas() {
		l := h.late[key]
		if l == nil {
			l = &lateness{}
			h.late[key] = l
		}
		l.record(from.Server, isLate, now)
	}
}

// isWidelySlow reports whether all attempts at the service or at the zone would be repeated.
func (h *Hedger) isWidelySlow(from Origin) bool {
	for _, key := range from.getAreas() {
		if h.late[key].isWide() {
			return true
		}
	}
	return false
}

// getAreas returns the keys of the service and of its part in the server's zone.
func (o Origin) getAreas() [2]Origin {
	return [2]Origin{{Service: o.Service}, {Service: o.Service, Zone: o.Zone}}
}
