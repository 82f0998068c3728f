package placer

import (
	"math"
	"time"
)

// Load pattern: few plain servers stand behind many gateways, and one of them is slow. Each
// gateway has so few requests there that the slow one looks as idle as the others.

const (
	// usualTimeWeight is the EWMA weight of the newest request in a server's usual time.
	usualTimeWeight = 0.2
	// usualTimeDecay is the time constant with which a usual time is forgotten while no request
	// shows it, so that a server that has recovered gets requests again.
	usualTimeDecay = 20 * time.Second
	// slownessScore is added for each multiple of the fastest server's time, at most
	// maxSlownessScore: a slow server is used once the others are nearly full.
	slownessScore    = 0.25
	maxSlownessScore = 0.75
)

// pace is the time that requests take at a plain server, as seen by this gateway.
type pace struct {
	// usual is 0 if no request was served yet.
	usual      time.Duration
	recordedAt time.Time
}

func (c *pace) record(took time.Duration, now time.Time) {
	if c.usual == 0 {
		c.usual = took
	}
	c.usual += time.Duration(usualTimeWeight * float64(took-c.usual))
	c.recordedAt = now
}

// WithScarceSlots sets the number of slots for each gateway below which a plain service is
// scarce: its servers are compared by their times, too. 0 is for none.
func WithScarceSlots(perGateway float64) Option {
	return func(p *Placer) { p.scarceSlots = perGateway }
}

// isScarce reports whether a service is a plain one with few slots for each gateway.
func (p *Placer) isScarce(service string) bool {
	if p.scarceSlots <= 0 || p.engines[service] != nil {
		return false
	}
	slots := 0
	for _, s := range p.byService[service] {
		slots += s.Slots
	}
	return float64(slots) < p.scarceSlots*float64(p.gatewayCount)
}

// slowScore rates a server of a scarce service by its usual time beside that of the fastest.
func (p *Placer) slowScore(s *server, now time.Time) float64 {
	if !p.isScarce(s.Service) || s.pace.usual == 0 {
		return 0
	}
	fastest := s.pace.usual
	for _, other := range p.byService[s.Service] {
		if t := other.pace.usual; t > 0 {
			fastest = min(fastest, t)
		}
	}
	excess := float64(s.pace.usual)/float64(max(fastest, 1)) - 1
	excess *= math.Exp(-now.Sub(s.pace.recordedAt).Seconds() / usualTimeDecay.Seconds())
	return min(slownessScore*excess, maxSlownessScore)
}
