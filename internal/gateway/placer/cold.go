package placer

import (
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/fleet/lister"
)

// Load pattern: servers come up cold, alone or all those of an availability zone together, or
// turn cold while they run, and crash above a rate that all gateways together may send. Callers
// send as many requests as to warm ones.

const (
	// sendMargin is how much longer than a second a unit of the rate is used up, since a
	// request may leave the process that much after it was counted.
	sendMargin = 100 * time.Millisecond
	// coldTTL is how long an incarnation that the list no longer has is remembered: it may be
	// listed again as it was.
	coldTTL = time.Minute
	// maxClockError is how far the clocks of a server and of this process may differ.
	maxClockError = 10 * time.Second
)

// reasonRestarted is why a placed request is not sent to another incarnation than it was
// placed on.
const reasonRestarted = "has restarted since the request was placed"

// coldTerms is what the catalog says of the cold servers of a service.
type coldTerms struct {
	// start is how long a server is cold after its start.
	start time.Duration
	// rate is the number of requests a second that a cold server bears, above 0.
	rate float64
}

// units is the number of requests that all gateways together may send to a cold server in any
// window. The tolerance that a deployment grants above that covers gateways that divide by
// different views of the fleet.
func (t coldTerms) units() int { return max(int(t.rate), 1) }

func (t coldTerms) window() time.Duration {
	return time.Duration(float64(time.Second)/min(t.rate, 1)) + sendMargin
}

// coldness is the state of an incarnation of a server whose service has cold terms.
type coldness struct {
	// until is when the server is warm by all that is known; it never falls.
	until time.Time
	// sent holds when requests were sent within the last window, the oldest first.
	sent []time.Time
	// reserved counts the requests that are placed and not yet sent.
	reserved int
	// wasCold is the state that was logged last, listedAt when the list last had the server.
	wasCold  bool
	listedAt time.Time
}

// extend makes the server cold at least until t.
func (c *coldness) extend(t time.Time) {
	if t.After(c.until) {
		c.until = t
	}
}

// prune forgets the sends before the window.
func (c *coldness) prune(window time.Duration, now time.Time) {
	n := 0
	for n < len(c.sent) && now.Sub(c.sent[n]) >= window {
		n++
	}
	c.sent = c.sent[n:]
}

// hasStartedLongAgo reports whether an incarnation that is listed for the first time is past its
// start. One that does not tell its start is, if it is in the first list of this process.
func hasStartedLongAgo(s *lister.Server, terms coldTerms, isFirst bool, now time.Time) bool {
	if s.Started.IsZero() || s.Started.UnixMilli() == 0 {
		return isFirst
	}
	return now.Sub(s.Started) > terms.start+maxClockError
}

// trackCold creates or updates the state of the listed servers.
func (p *Placer) trackCold(isFirst bool, now time.Time) {
	for _, s := range p.servers {
		s.cold = nil
		terms, ok := p.coldTerms[s.Service]
		if !ok {
			continue
		}
		key := incarnationOf(&s.Server)
		c := p.cold[key]
		if c == nil {
			c = &coldness{}
			if !hasStartedLongAgo(&s.Server, terms, isFirst, now) {
				c.extend(now.Add(terms.start))
			}
			p.cold[key] = c
		}
		c.extend(s.ColdUntil)
		c.listedAt = now
		s.cold, s.coldTerms = c, terms
	}
	for key, c := range p.cold {
		if now.Sub(c.listedAt) > coldTTL {
			delete(p.cold, key)
		}
	}
}

// restartCold begins the state of a server that has started again under its ID. What was sent
// lately may have reached the new incarnation.
func (p *Placer) restartCold(old, s *server, now time.Time) {
	if c := old.cold; c != nil {
		p.cold[incarnationOf(&s.Server)] = &coldness{sent: slices.Clone(c.sent), until: now.Add(old.coldTerms.start)}
	}
}

// SetCold records that an incarnation of a server has said for how long it is cold. It is never
// taken back: of several sources the stricter one counts.
func (p *Placer) SetCold(s lister.Server, cold time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.cold[incarnationOf(&s)]; c != nil {
		c.extend(now.Add(cold))
	}
}

// setColdFromStart makes a server cold as after a start, if its service has cold terms.
func (s *server) setColdFromStart(now time.Time) {
	if s.cold != nil {
		s.cold.extend(now.Add(s.coldTerms.start))
	}
}

// isCold reports whether a server is cold, and logs when that changes.
func (p *Placer) isCold(s *server, now time.Time) bool {
	if s.cold == nil {
		return false
	}
	cold := now.Before(s.cold.until)
	if cold == s.cold.wasCold {
		return cold
	}
	s.cold.wasCold = cold
	if cold {
		coldServers.Inc()
	}
	log.Info("state of backend server changed", "event", "server_cold", "server", s.ID, "service", s.Service, "zone", s.Zone,
		"cold", cold, "for", max(s.cold.until.Sub(now), 0), "share", p.shareOf(s.coldTerms.units(), s.ID), "units", s.coldTerms.units())
	return cold
}

// countLeft returns how many requests this gateway may still send to a cold server now.
func (p *Placer) countLeft(s *server, now time.Time) int {
	s.cold.prune(s.coldTerms.window(), now)
	return p.shareOf(s.coldTerms.units(), s.ID) - len(s.cold.sent)
}

// isAtColdRate reports whether a server is cold and gets no further request of this gateway
// now.
func (p *Placer) isAtColdRate(s *server, now time.Time) bool {
	return p.isCold(s, now) && p.countLeft(s, now) <= s.cold.reserved
}

// untilColdRate returns the time until a cold server may get the next request.
func (s *server) untilColdRate(now time.Time) time.Duration {
	if s.cold == nil || len(s.cold.sent) == 0 {
		return defaultRetryAfter
	}
	return max(s.cold.sent[0].Add(s.coldTerms.window()).Sub(now), 0)
}

// reserve counts a request that is not sent yet.
func (p *Placed) reserve(now time.Time) {
	if c := p.server.cold; c != nil {
		p.Cold = now.Before(c.until)
		c.reserved++
		p.reserved = c
	}
}

// release ends the reservation of a request that was sent, or will not be.
func (p *Placed) release() {
	if p.reserved != nil {
		p.reserved.reserved--
		p.reserved = nil
	}
}

// BeginSend says why nothing may be sent any more to the server that was placed, empty if it
// may. The request then counts as sent, and must be written at once.
func (p *Placed) BeginSend(now time.Time) string {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	if r := p.placedReason(now); r != notClosed {
		return string(r)
	}
	if p.server.cold == nil {
		return string(notClosed)
	}
	if current := p.placer.servers[p.ID]; current != nil && current != p.server {
		return reasonRestarted
	}
	// Its own reservation does not count: the server may have turned cold since.
	if p.placer.isCold(p.server, now) && p.placer.countLeft(p.server, now) <= 0 {
		countHeldBack(p.Service)
		return string(isAtColdRate)
	}
	p.release()
	p.server.cold.prune(p.server.coldTerms.window(), now)
	p.server.cold.sent = append(p.server.cold.sent, now)
	return string(notClosed)
}
