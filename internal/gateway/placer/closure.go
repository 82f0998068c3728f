package placer

import (
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/fleet/lister"
)

// Load pattern: servers say in their answers that they leave, or that they want no requests
// for some time, before the list says so and while many callers send more than the rest can
// take. When a pause ends, all callers wait for that server.

const (
	// maxPause bounds how long one answer can close a server, in case its time is an error.
	maxPause = 5 * time.Minute
	// closureTTL is how long a closed incarnation that the list no longer has is remembered:
	// it may be listed again as it was.
	closureTTL = 10 * time.Minute
	// returnGrowth is how many requests a server that returns from a pause gets for each one
	// that it has served, after a first one; returnShare is the share of its slots that it has
	// served when it is open again.
	returnGrowth = 2
	returnShare  = 0.25
)

// closedReason says why a server may not be sent anything now, empty if it may.
type closedReason string

// Reasons.
const (
	notClosed     closedReason = ""
	listedLeaving closedReason = "leaving in the list"
	saysLeaving   closedReason = "says that it leaves"
	asksForPause  closedReason = "asks for a pause"
	isReturning   closedReason = "returns from a pause"
	zoneIsClosed  closedReason = "its availability zone is out of use"
	isAtColdRate  closedReason = "cold and at its rate"
)

// incarnation identifies one start of a server.
type incarnation struct {
	id string
	// startedMillis is in Unix milliseconds.
	startedMillis int64
}

func incarnationOf(s *lister.Server) incarnation {
	return incarnation{id: s.ID, startedMillis: s.Started.UnixMilli()}
}

// closure is what an incarnation of a server has said of itself to this gateway.
type closure struct {
	leaving bool
	// pausedUntil is the end of the longest pause that it has asked for.
	pausedUntil time.Time
	// returning is set from a pause until enough requests were served after it. placed counts
	// the requests since then that have not failed, served those that were served.
	returning      bool
	placed, served int
	// changedAt is when it last said something of itself.
	changedAt time.Time
}

// closedReason is asked by every path that sends to a server.
func (p *Placer) closedReason(s *server, now time.Time) closedReason {
	switch {
	case s.Leaving:
		return listedLeaving
	case p.isInClosedZone(s):
		return zoneIsClosed
	}
	c := p.closures[incarnationOf(&s.Server)]
	switch {
	case c == nil:
	case c.leaving:
		return saysLeaving
	case now.Before(c.pausedUntil):
		return asksForPause
	case c.returning && c.placed > returnGrowth*c.served:
		return isReturning
	}
	if p.isAtColdRate(s, now) {
		return isAtColdRate
	}
	return notClosed
}

// SetLeaving records that an incarnation of a server has said that it leaves. This is never
// undone for the incarnation, whatever the list says.
func (p *Placer) SetLeaving(s lister.Server, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.getClosure(s, now)
	if !c.leaving {
		c.leaving = true
		leavingServers.Inc()
		log.Info("backend server says that it leaves", "event", "server_leaving", "server", s.ID, "service", s.Service, "address", s.Addr, "started", s.Started)
	}
}

// SetPause records that an incarnation of a server wants no requests for some time from now.
// A longer pause extends one that lasts, a shorter one leaves it as it is.
func (p *Placer) SetPause(s lister.Server, pause time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.getClosure(s, now)
	until := now.Add(min(pause, maxPause))
	if !until.After(c.pausedUntil) {
		return
	}
	if !now.Before(c.pausedUntil) {
		// Requests in flight that extend the pause write no further line.
		serverPauses.Inc()
		log.Info("backend server asks for a pause", "event", "server_pause", "server", s.ID, "service", s.Service, "pause", pause, "used", until.Sub(now))
	}
	c.pausedUntil, c.returning, c.placed, c.served = until, true, 0, 0
}

func (p *Placer) getClosure(s lister.Server, now time.Time) *closure {
	key := incarnationOf(&s)
	c := p.closures[key]
	if c == nil {
		p.pruneClosures(now)
		c = &closure{}
		p.closures[key] = c
	}
	c.changedAt = now
	return c
}

// recordPlaced counts a request that is placed on a server that returns from a pause.
func (p *Placer) recordPlaced(s *server) {
	if c := p.closures[incarnationOf(&s.Server)]; c != nil && c.returning {
		c.placed++
	}
}

// recordReturn counts the outcome of a request of a server that returns from a pause.
func (p *Placer) recordReturn(s *server, outcome Outcome, now time.Time) {
	c := p.closures[incarnationOf(&s.Server)]
	switch {
	case c == nil || !c.returning || now.Before(c.pausedUntil):
	case outcome == Served:
		c.served++
		c.returning = float64(c.served) < returnShare*float64(s.Slots)
	default:
		c.placed = max(c.placed-1, 0)
	}
}

// pruneClosures forgets incarnations that are gone for some time.
func (p *Placer) pruneClosures(now time.Time) {
	for key, c := range p.closures {
		s := p.servers[key.id]
		isListed := s != nil && incarnationOf(&s.Server) == key
		if !isListed && now.Sub(c.changedAt) > closureTTL+maxPause {
			delete(p.closures, key)
		}
	}
}

// checkClosed refuses work for a service all of whose servers are closed.
func (p *Placer) checkClosed(w Work, now time.Time) *Refused {
	var reason closedReason
	after := time.Duration(0)
	for _, s := range p.byService[w.Service] {
		r := p.closedReason(s, now)
		if r == notClosed {
			return nil
		}
		wait := defaultRetryAfter
		switch r {
		case asksForPause:
			wait = p.closures[incarnationOf(&s.Server)].pausedUntil.Sub(now)
		case isAtColdRate:
			wait = s.untilColdRate(now)
		default:
		}
		if reason == notClosed || wait < after {
			reason, after = r, wait
		}
	}
	if reason == notClosed {
		return nil
	}
	return &Refused{Reason: "each backend server is closed: " + string(reason), RetryAfter: w.capRetryAfter(after, now), AllClosed: true}
}

// GetClosedReason says why nothing may be sent to the server any more that was placed, empty
// if it may.
func (p *Placed) GetClosedReason(now time.Time) string {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	return string(p.placedReason(now))
}

// placedReason leaves out the reasons for which the request itself is counted already.
func (p *Placed) placedReason(now time.Time) closedReason {
	if r := p.placer.closedReason(p.server, now); r != isReturning && r != isAtColdRate {
		return r
	}
	return notClosed
}
