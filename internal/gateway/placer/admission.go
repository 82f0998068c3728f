package placer

import (
	"time"

	"siskinfall/internal/admission/admitter"
	"siskinfall/internal/catalog/holder"
)

// Load pattern: the demand of all gateways exceeds what a service's engines can do within
// their callers' objectives. What they can do is determined here, from the reports; the
// admitter divides it.

// setGaps determines the tightest limit of pauses in the streams of each service.
func (p *Placer) setGaps(c *holder.Catalog) {
	clear(p.gaps)
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind != holder.Streaming || r.GapObjective <= 0 {
			continue
		}
		for _, t := range r.Targets {
			if gap, ok := p.gaps[t.Service]; !ok || r.GapObjective < gap {
				p.gaps[t.Service] = r.GapObjective
			}
		}
	}
}

// GetRoom returns the room of a service's engines for all gateways, and the number of these.
// There are no places if no engine can run a pass.
func (p *Placer) GetRoom(service string, now time.Time) (room admitter.Room, gateways int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	engine := p.engines[service]
	if engine == nil {
		return admitter.Room{}, p.gatewayCount
	}
	ranks := make([]admitter.Rank, 0, len(p.byService[service]))
	for _, s := range p.byService[service] {
		if p.closedReason(s, now) != notClosed || now.Before(s.ejectedUntil) {
			continue
		}
		if broken, stalled := p.groupState(s, now); broken || stalled {
			continue
		}
		r := admitter.Rank{Slots: s.Slots}
		if now.Sub(s.load.At) < reportTTL {
			r.IsReported, r.Running, r.Waiting, r.Memory, r.Pass = true, s.load.Running, s.load.Waiting, s.load.Memory, s.load.Pass
		}
		ranks = append(ranks, r)
	}
	return admitter.NewRoom(engine, p.gaps[service], ranks), p.gatewayCount
}

// IsEngineService reports whether a service runs on model engines.
func (p *Placer) IsEngineService(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engines[service] != nil
}

// countUnseen returns how many requests were placed after a time, and forgets the others.
func (s *server) countUnseen(since time.Time) int {
	i := 0
	for i < len(s.placedAt) && !s.placedAt[i].After(since) {
		i++
	}
	s.placedAt = append(s.placedAt[:0], s.placedAt[i:]...)
	return len(s.placedAt)
}
