package admitter

import (
	"math"
	"time"
)

// Load pattern: dozens of gateways fill the same engines by reports that are up to two
// seconds old. A gateway that bounds its own requests needs the reports only for its share.

const (
	// shareWindow is the time constant with which the share follows the demand. It is longer
	// than the age of reports.
	shareWindow = 3000 * time.Millisecond
	// minShareFraction is the fraction of an equal share that each gateway has, so that one
	// without requests can take some.
	minShareFraction = 0.5
)

// share is the part of a service's places that one gateway may use: its part of the
// requests at the engines. Those of all gateways then add up to the places, whatever the
// demand of each, and a gateway's share grows while others leave places free.
type share struct {
	// own and all are the smoothed numbers of requests of this gateway and of all.
	own, all float64
	at       time.Time
}

func (s *share) update(own, all int, now time.Time) {
	weight := 1.0
	if !s.at.IsZero() {
		weight = 1 - math.Exp(-now.Sub(s.at).Seconds()/shareWindow.Seconds())
	}
	s.at = now
	s.own += weight * (float64(own) - s.own)
	s.all += weight * (float64(max(all, own)) - s.all)
}

// get returns the share, in (0, 1].
func (s *share) get(gateways int) float64 {
	equal := 1 / float64(max(gateways, 1))
	if s.all < 1 {
		return equal
	}
	return min(max(s.own/s.all, minShareFraction*equal), 1)
}

const (
	// looseBelow is the fraction of a service's places in use below which a gateway may use
	// a multiple of its share, looseFactor: the demand of one gateway varies far more than
	// that of all, and there is room for it.
	looseBelow  = 0.8
	looseFactor = 2
)

// findLimit returns the number of places of a gateway with a share of the room, at least 1.
// The limit falls to the share as the places are taken.
func findLimit(share float64, room Room) int {
	places := share * float64(room.Places)
	if room.Places > 0 {
		free := (1 - float64(room.InUse)/float64(room.Places)) / (1 - looseBelow)
		places *= 1 + (looseFactor-1)*min(max(free, 0), 1)
	}
	return max(int(math.Round(places)), 1)
}
