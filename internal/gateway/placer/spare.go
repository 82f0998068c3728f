package placer

import (
	"slices"
	"time"
)

// Load pattern: a request waits longer than most at one server while others have room. A second
// attempt takes only room that no first one needs, so in a burst there are none.

const (
	// maxSpareLoad is the fraction of a server's slots, and of all slots of the service, up to
	// which they have room for second attempts.
	maxSpareLoad = 0.6
	// maxSpareFailureRate is the failure rate above which a server gets no second attempts.
	maxSpareFailureRate = 0.1
)

// PlaceSpare places a second attempt beside the first one, on a server that is expected to
// answer sooner than the first one now does. It reports false if there is none, or if the
// service is too busy.
func (p *Placer) PlaceSpare(w Work, first *Placed, now time.Time) (*Placed, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isLightlyLoaded(w.Service, now) {
		return nil, false
	}
	var best *server
	bestScore, ties := 0.0, 0
	for _, s := range p.byService[w.Service] {
		if s == first.server || slices.Contains(w.Exclude, s.ID) || !p.hasSpareRoom(s, now) || !p.outruns(s, first.server, now) {
			continue
		}
		score := p.score(s, w, now)
		switch {
		case best == nil || score < bestScore:
			best, bestScore, ties = s, score, 1
		case score == bestScore:
			if ties++; p.random.IntN(ties) == 0 {
				best = s
			}
		}
	}
	if best == nil {
		return nil, false
	}
	placed, ok := p.assign(best, w, now).(*Placed)
	return placed, ok
}

// isLightlyLoaded reports whether the open servers of a service have room together.
func (p *Placer) isLightlyLoaded(service string, now time.Time) bool {
	slots, estimate := 0, 0
	for _, s := range p.byService[service] {
		if p.closedReason(s, now) == notClosed {
			slots += s.Slots
			estimate += s.estimate(now)
		}
	}
	return float64(estimate) <= maxSpareLoad*float64(slots)
}

// hasSpareRoom reports whether a server may get second attempts: it is sound and warm, and one
// more request finds a free slot and leaves others free.
func (p *Placer) hasSpareRoom(s *server, now time.Time) bool {
	if p.closedReason(s, now) != notClosed || p.isCold(s, now) || now.Before(s.ejectedUntil) || s.failureRate(now) > maxSpareFailureRate {
		return false
	}
	if broken, stalled := p.groupState(s, now); broken || stalled {
		return false
	}
	if p.engines[s.Service] != nil && now.Sub(s.load.At) > overdueReportAge {
		return false
	}
	return float64(s.estimate(now)+1) <= maxSpareLoad*float64(s.Slots)
}

// outruns reports whether s would answer a request sooner than first, which is late already.
// The engines of one group run each pass together: one of them is only faster than another
// whose requests wait for a slot.
func (p *Placer) outruns(s, first *server, now time.Time) bool {
	if p.engines[s.Service] == nil || s.load.Group != first.load.Group {
		return true
	}
	return first.estimate(now) > first.Slots
}
