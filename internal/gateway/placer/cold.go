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

// trackCold creates or updates the state of the listed servers. The first list of a process
// has servers that started long ago.
func (p *Placer) trackCold(isFirst bool, now time.Time) {
	for _, s := range p.servers {
		terms, ok := p.coldTerms[s.Service]
		if !ok {
			continue
		}
		key := incarnationOf(&s.Server)
		c := p.cold[key]
		if c == nil {
			c = &coldness{}
			startedAt := now
			if isFirst && s.Started.Before(now) {
				startedAt = s.Started
			}
			c.extend(startedAt.Add(terms.start))
			p.cold[key] = c
		}
		c.extend(s.ColdUntil)
		c.listedAt = now
	}
	for key, c := range p.cold {
		if now.Sub(c.listedAt) > coldTTL {
			delete(p.cold, key)
		}
	}
}

// getCold returns the state and the terms of a server, nil if its service has none.
func (p *Placer) getCold(s *server) (*coldness, coldTerms) {
	terms, ok := p.coldTerms[s.Service]
	if !ok {
		return nil, coldTerms{}
	}
	return p.cold[incarnationOf(&s.Server)], terms
}

// restartCold begins the state of a server that has started again under its ID. What was sent
// lately may have reached the new incarnation.
func (p *Placer) restartCold(old, s *server, now time.Time) {
	if c, terms := p.getCold(old); c != nil {
		p.cold[incarnationOf(&s.Server)] = &coldness{sent: slices.Clone(c.sent), until: now.Add(terms.start)}
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
func (p *Placer) setColdFromStart(s *server, now time.Time) {
	if c, terms := p.getCold(s); c != nil {
		c.extend(now.Add(terms.start))
	}
}

// isCold reports whether a server is cold, and logs when that changes.
func (p *Placer) isCold(s *server, c *coldness, terms coldTerms, now time.Time) bool {
	cold := now.Before(c.until)
	if cold == c.wasCold {
		return cold
	}
	c.wasCold = cold
	if cold {
		coldServers.Inc()
	}
	log.Info("state of backend server changed", "event", "server_cold", "server", s.ID, "service", s.Service, "zone", s.Zone,
		"cold", cold, "for", max(c.until.Sub(now), 0), "share", p.shareOf(terms.units(), s.ID), "units", terms.units())
	return cold
}

// countLeft returns how many requests this gateway may still send to a cold server now, beside
// a number that are counted already.
func (p *Placer) countLeft(s *server, c *coldness, terms coldTerms, counted int, now time.Time) int {
	c.prune(terms.window(), now)
	return p.shareOf(terms.units(), s.ID) - len(c.sent) - counted
}

// isAtColdRate reports whether a server is cold and gets no further request of this gateway
// now.
func (p *Placer) isAtColdRate(s *server, now time.Time) bool {
	c, terms := p.getCold(s)
	return c != nil && p.isCold(s, c, terms, now) && p.countLeft(s, c, terms, c.reserved, now) <= 0
}

// untilColdRate returns the time until a cold server may get the next request.
func (p *Placer) untilColdRate(s *server, now time.Time) time.Duration {
	c, terms := p.getCold(s)
	if c == nil || len(c.sent) == 0 {
		return defaultRetryAfter
	}
	return max(c.sent[0].Add(terms.window()).Sub(now), 0)
}

// reserve counts a placed request that is not sent yet.
func (p *Placer) reserve(placed *Placed, now time.Time) {
	if c, _ := p.getCold(placed.server); c != nil {
		placed.Cold = now.Before(c.until)
		c.reserved++
		placed.reserved = c
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
	c, terms := p.placer.getCold(p.server)
	if c == nil {
		return string(notClosed)
	}
	if current := p.placer.servers[p.ID]; current != nil && current != p.server {
		return reasonRestarted
	}
	// Its own reservation does not count: the server may have turned cold since.
	if p.placer.isCold(p.server, c, terms, now) && p.placer.countLeft(p.server, c, terms, 0, now) <= 0 {
		countHeldBack(p.Service)
		return string(isAtColdRate)
	}
	p.release()
	c.prune(terms.window(), now)
	c.sent = append(c.sent, now)
	return string(notClosed)
}
