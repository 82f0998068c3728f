package placer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
)

// Load pattern: a model group makes no progress, because a rank is gone, partitioned
// or frozen, and all callers keep sending requests or retry at the same time.

const (
	// minRecovery is the approximate time until a lost rank has restarted and the
	// group has formed again.
	minRecovery = 2 * time.Second
	// retryAfterJitter is the fraction by which a retry time is shortened at most,
	// at random, to spread client retries.
	retryAfterJitter = 0.2
	// probeInterval is how often a gateway sends a request to a stalled group. An
	// idle group runs no passes that would show its recovery.
	probeInterval = 800 * time.Millisecond
)

// outage is a period in which even the best server of a service is in a broken or
// stalled group.
type outage struct {
	startedAt time.Time
	probedAt  time.Time
}

// group holds, by rank, the time of the latest report if it was broken or stalled. One
// fresh report applies to the whole group, because the other ranks may be behind a
// network partition.
type group struct {
	broken, stalled map[netip.AddrPort]time.Time
	// service is that of the ranks, reportedAt the time of the latest report of any.
	service    string
	reportedAt time.Time
	// downSince is when the group was first reported as broken or stalled, zero if it is
	// neither.
	downSince time.Time
}

// getGroup returns a group by name, and adds it if it is missing.
func (p *Placer) getGroup(name string) *group {
	g := p.groups[name]
	if g == nil {
		g = &group{broken: make(map[netip.AddrPort]time.Time), stalled: make(map[netip.AddrPort]time.Time)}
		p.groups[name] = g
	}
	return g
}

// record replaces the report of one rank.
func (g *group) record(service string, rank netip.AddrPort, load Load) {
	g.service, g.reportedAt = service, load.At
	delete(g.broken, rank)
	delete(g.stalled, rank)
	if load.Broken {
		g.broken[rank] = load.At
	}
	if load.Stalled {
		g.stalled[rank] = load.At
	}
	switch isDown := anyFresh(g.broken, load.At) || anyFresh(g.stalled, load.At); {
	case !isDown:
		g.downSince = time.Time{}
	case g.downSince.IsZero():
		g.downSince = load.At
	}
}

// IsEngine reports whether the server is a rank of a model group.
func (p *Placed) IsEngine() bool {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	return p.placer.engines[p.Service] != nil
}

// GetDownSince returns when the group of the server was reported as broken or stalled, zero
// if it is neither.
func (p *Placed) GetDownSince() time.Time {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	if g := p.placer.groups[p.server.load.Group]; g != nil && !p.server.load.At.IsZero() {
		return g.downSince
	}
	return time.Time{}
}

// anyFresh reports whether any report is younger than reportTTL.
func anyFresh(reports map[netip.AddrPort]time.Time, now time.Time) bool {
	for _, at := range reports {
		if now.Sub(at) < reportTTL {
			return true
		}
	}
	return false
}

// groupState reports whether a server's group is broken, and whether it is stalled,
// as far as reported or concluded from a rejection.
func (p *Placer) groupState(s *server, now time.Time) (broken, stalled bool) {
	g := p.groups[s.load.Group]
	if g == nil || s.load.At.IsZero() {
		broken, stalled = p.serviceState(s.Service, now)
	} else {
		broken, stalled = anyFresh(g.broken, now), anyFresh(g.stalled, now)
	}
	return broken, stalled || now.Before(p.stalledUntil[s.Service])
}

// serviceState reports whether all groups of a service that have reported lately are broken,
// and whether all are stalled. It applies to servers without a report: after a restart of
// all, the first reports come from some ranks of a group that has not formed yet.
func (p *Placer) serviceState(service string, now time.Time) (broken, stalled bool) {
	broken, stalled = true, true
	reported := false
	for _, g := range p.groups {
		if g.service != service || now.Sub(g.reportedAt) >= reportTTL {
			continue
		}
		reported = true
		broken = broken && anyFresh(g.broken, now)
		stalled = stalled && anyFresh(g.stalled, now)
	}
	return reported && broken, reported && stalled
}

// engineRejectionTTL is how long all engines of a service count as stalled after one
// has rejected work: long enough for reports to arrive, shorter than probeInterval.
const engineRejectionTTL = 400 * time.Millisecond

// recordEngineOutcome marks a service as stalled if an engine with free slots rejects
// work: its group has not formed yet, or has to form again. After a start, this shows
// before any report arrives. A served request clears the mark.
func (p *Placer) recordEngineOutcome(s *server, estimate int, outcome Outcome, now time.Time) {
	switch {
	case p.engines[s.Service] == nil:
	case outcome == Served:
		delete(p.stalledUntil, s.Service)
	case outcome == Rejected && estimate < s.Slots:
		p.stalledUntil[s.Service] = now.Add(engineRejectionTTL)
	}
}

// checkOutage refuses work for a service if even its best server is in a broken or
// stalled group. A few requests are let through to a stalled group as probes.
func (p *Placer) checkOutage(best *server, w Work, now time.Time) *Refused {
	broken, stalled := p.groupState(best, now)
	if !broken && !stalled {
		if p.outages[w.Service] != nil {
			log.Info("service recovered", "event", "outage_over", "service", w.Service, "after", now.Sub(p.outages[w.Service].startedAt))
			delete(p.outages, w.Service)
		}
		return nil
	}
	o := p.outages[w.Service]
	if o == nil {
		o = &outage{startedAt: now, probedAt: now}
		p.outages[w.Service] = o
		outages.Inc()
		log.Warn("service outage began", "event", "outage", "service", w.Service, "broken", broken, "stalled", stalled,
			"report_age", reportAge(best.load.At, now))
	}
	if !broken && now.Sub(o.probedAt) >= probeInterval {
		o.probedAt = now
		return nil
	}
	return &Refused{Reason: "model group stands still", RetryAfter: o.retryAfter(w, p.random, now)}
}

// retryAfter returns the expected time until the outage is over. An outage is expected
// to last as long again as it has lasted, and at least minRecovery.
func (o *outage) retryAfter(w Work, random *rand.Rand, now time.Time) time.Duration {
	retryAfter := w.capRetryAfter(max(now.Sub(o.startedAt), minRecovery), now)
	return retryAfter - time.Duration(retryAfterJitter*random.Float64()*float64(retryAfter))
}

// maxRetryAfterFraction is the fraction of its remaining time that a caller waits at
// most before it retries.
const maxRetryAfterFraction = 1.0 / 3

// capRetryAfter limits a retry time to what the caller would wait.
func (w Work) capRetryAfter(after time.Duration, now time.Time) time.Duration {
	return max(min(after, time.Duration(float64(w.Deadline.Sub(now))*maxRetryAfterFraction)), 0)
}
