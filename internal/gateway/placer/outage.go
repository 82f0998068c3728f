package placer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
)

// Load pattern: a model group stands still, because a rank is gone, cut off or
// frozen, and everybody keeps sending to it, or comes back at the same moment.

const (
	// leastRepair is about the time in which a lost rank is back and the group has
	// formed again.
	leastRepair = 2 * time.Second
	// repairSpread spreads the returns over a part of that.
	repairSpread = 0.2
	// probePeriod is how often one gateway tries a stalled group with a request:
	// an idle group makes no passes that could tell of its return.
	probePeriod = 800 * time.Millisecond
)

// outage is a time in which a service stands still.
type outage struct {
	since  time.Time
	probed time.Time
}

// group is what its ranks say of it. One rank's word holds for all: behind a cut
// the others are silent.
type group struct {
	broken, stalled map[netip.AddrPort]time.Time
}

// getGroup returns a group by name.
func (p *Placer) getGroup(name string) *group {
	g := p.groups[name]
	if g == nil {
		g = &group{broken: make(map[netip.AddrPort]time.Time), stalled: make(map[netip.AddrPort]time.Time)}
		p.groups[name] = g
	}
	return g
}

// note takes in one rank's word.
func (g *group) note(rank netip.AddrPort, load Load) {
	delete(g.broken, rank)
	delete(g.stalled, rank)
	if load.Broken {
		g.broken[rank] = load.At
	}
	if load.Stalled {
		g.stalled[rank] = load.At
	}
}

// anyFresh reports whether a rank's word is recent enough to hold.
func anyFresh(words map[netip.AddrPort]time.Time, now time.Time) bool {
	for _, at := range words {
		if now.Sub(at) < reportLife {
			return true
		}
	}
	return false
}

// standsStill reports whether a server's group is known to run nothing, or to make
// no passes.
func (p *Placer) standsStill(s *server, now time.Time) (broken, stalled bool) {
	stalled = now.Before(p.shed[s.Service])
	g := p.groups[s.load.Group]
	if g == nil || s.load.At.IsZero() {
		return false, stalled
	}
	return anyFresh(g.broken, now), stalled || anyFresh(g.stalled, now)
}

// shedLife is how long an engine's refusal speaks for its service: long enough for
// reports to come, shorter than the pause between two tries.
const shedLife = 400 * time.Millisecond

// noteShed learns from an engine that refuses work although it has room: its group
// has not formed yet, or not again. That is known before any report after a start.
func (p *Placer) noteShed(s *server, estimate int, outcome Outcome, now time.Time) {
	switch {
	case p.engines[s.Service] == nil:
	case outcome == Served:
		delete(p.shed, s.Service)
	case outcome == Rejected && estimate < s.Slots:
		p.shed[s.Service] = now.Add(shedLife)
	}
}

// checkOutage refuses work for a service of which even the best server stands
// still, but for a few requests that try whether it goes on.
func (p *Placer) checkOutage(best *server, w Work, now time.Time) *Refused {
	broken, stalled := p.standsStill(best, now)
	if !broken && !stalled {
		if p.outages[w.Service] != nil {
			log.Info("service runs again", "event", "outage_over", "service", w.Service, "after", now.Sub(p.outages[w.Service].since))
			delete(p.outages, w.Service)
		}
		return nil
	}
	o := p.outages[w.Service]
	if o == nil {
		o = &outage{since: now, probed: now}
		p.outages[w.Service] = o
		outages.Inc()
		log.Warn("service stands still", "event", "outage", "service", w.Service, "broken", broken, "stalled", stalled,
			"report_age", reportAge(best.load.At, now))
	}
	if !broken && now.Sub(o.probed) >= probePeriod {
		o.probed = now
		return nil
	}
	return &Refused{Reason: "model group stands still", After: o.after(w, now)}
}

// after is when a service that stands still is expected to run again: an outage
// that has lasted for some time is expected to last as long again, and none is
// over before the lost rank is back.
func (o *outage) after(w Work, now time.Time) time.Duration {
	after := w.bound(max(now.Sub(o.since), leastRepair), now)
	return after - time.Duration(repairSpread*rand.Float64()*float64(after))
}

// waitFraction is the part of its time that a caller waits before it comes back.
const waitFraction = 1.0 / 3

// bound keeps a wait below what the caller would wait.
func (w Work) bound(after time.Duration, now time.Time) time.Duration {
	return max(min(after, time.Duration(float64(w.Until.Sub(now))*waitFraction)), 0)
}
