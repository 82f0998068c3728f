package placer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Load patterns: one server is slow, fails a part of its requests or can't be
// reached while its health looks good; reports lag behind many gateways that
// place at once.

const (
	// zoneScore is added for a server in another availability zone, in parts of
	// its slots: near ones are taken while they have room.
	zoneScore = 0.25
	// failureScore is added for a server that fails all requests.
	failureScore = 2.0
	// ejectedScore is above the score of any server in use.
	ejectedScore = 1e6
	// silentScore is above that of a server that reports, and below ejection.
	silentScore = 1e3
	// stillScore is above that of an ejected server.
	stillScore = 1e9
)

// silentReport is the age at which a report is overdue: it is told twice a second
// even while nothing changes.
const silentReport = 1300 * time.Millisecond

// mostPrompts bounds the prompts that are thought to be read in one pass.
const mostPrompts = 2

const (
	// firstEjection and mostEjection bound how long a server that can't be reached
	// gets nothing.
	firstEjection = 500 * time.Millisecond
	mostEjection  = 4 * time.Second
	// ejectAfter is the number of lost requests in a row.
	ejectAfter = 2
	// rateWeight is the weight of the newest request in the failure rate.
	rateWeight = 0.15
	// rateLife is the time in which the failure rate of a server that gets nothing
	// falls to a third.
	rateLife = 5 * time.Second
)

// health is what a server's answers say of it.
type health struct {
	// failures counts requests lost in a row.
	failures int
	// ejectedUntil is when the server is used again; ejection was its length.
	ejectedUntil time.Time
	ejection     time.Duration
	// rate is the smoothed part of requests that failed, as of rateAt.
	rate   float64
	rateAt time.Time
}

// note takes in an outcome.
func (h *health) note(outcome Outcome, now time.Time) {
	switch outcome {
	case Served:
		h.failures, h.ejection = 0, 0
		h.addRate(0, now)
	case Failed:
		h.failures = 0
		h.addRate(1, now)
	case Lost:
		h.failures++
		h.addRate(1, now)
		if h.failures >= ejectAfter {
			h.eject(now)
		}
	case Unreachable, Misdirected:
		h.failures++
		h.eject(now)
	case Rejected, Cancelled:
	}
}

func (h *health) addRate(v float64, now time.Time) {
	h.rate = h.failureRate(now)
	h.rate += rateWeight * (v - h.rate)
	h.rateAt = now
}

// failureRate falls while nothing is sent, so that a server gets another chance.
func (h *health) failureRate(now time.Time) float64 {
	if h.rateAt.IsZero() {
		return 0
	}
	return h.rate * math.Exp(-now.Sub(h.rateAt).Seconds()/rateLife.Seconds())
}

func (h *health) eject(now time.Time) {
	h.ejection = min(max(2*h.ejection, firstEjection), mostEjection)
	h.ejectedUntil = now.Add(h.ejection)
}

// pick returns the server with the lowest score; equal ones get equal shares.
// Engines are drawn first, so that gateways which have seen the same reports do not
// all take the same one before it reports again.
func (p *Placer) pick(w Work, now time.Time) *server {
	all := p.byService[w.Service]
	if p.engines[w.Service] != nil && p.gateways > 1 {
		if best, score := p.pickAmong(p.draw(all, w), w, now); best != nil && score < silentScore && best.estimate(now) < best.Slots {
			return best
		}
	}
	best, _ := p.pickAmong(all, w, now)
	return best
}

const (
	// leastDrawn is the number of engines compared for one request while many gateways
	// place: with two the load is already far more even than by chance, from six on
	// gateways crowd again.
	leastDrawn = 3
	// soundSlowness is that of an engine that is drawn: a slower one sets the pace of
	// its group, so it is taken only when all are compared.
	soundSlowness = 1.25
)

// SetGateways says how many gateways place at the same servers. A lone one knows
// all there is to know and compares all.
func (p *Placer) SetGateways(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gateways = max(n, 1)
}

// draw returns some sound servers that were not tried.
func (p *Placer) draw(all []*server, w Work) []*server {
	n := max(len(all)/p.gateways, leastDrawn)
	out := make([]*server, 0, n)
	for _, i := range rand.Perm(len(all)) {
		if len(out) == n {
			break
		}
		if all[i].load.Slowness <= soundSlowness && !slices.Contains(w.Exclude, all[i].ID) {
			out = append(out, all[i])
		}
	}
	return out
}

// pickAmong returns the server with the lowest score, and that score.
func (p *Placer) pickAmong(list []*server, w Work, now time.Time) (*server, float64) {
	var best *server
	bestScore, ties := 0.0, 0
	for _, s := range list {
		if slices.Contains(w.Exclude, s.ID) {
			continue
		}
		score := p.score(s, w, now)
		switch {
		case best == nil || score < bestScore:
			best, bestScore, ties = s, score, 1
		case score == bestScore:
			ties++
			if rand.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best, bestScore
}

// score is lower for a server that should get the next request.
func (p *Placer) score(s *server, w Work, now time.Time) float64 {
	score := p.loadScore(s, w, now)
	if now.Before(s.ejectedUntil) {
		score += ejectedScore
	}
	if broken, stalled := p.standsStill(s, now); broken || stalled {
		score += stillScore
	}
	if p.engines[s.Service] != nil && now.Sub(s.load.At) > silentReport {
		score += silentScore
	}
	return score
}

// loadScore weighs a plain server by its used slots, and an engine by the time
// that its own part of a pass would take: the slowest rank sets the pace of all.
func (p *Placer) loadScore(s *server, w Work, now time.Time) float64 {
	engine := p.engines[s.Service]
	estimate := float64(s.estimate(now))
	if engine == nil || engine.Pass <= 0 {
		score := estimate/float64(s.Slots) + failureScore*s.failureRate(now)
		if s.Zone != w.Zone {
			score += zoneScore
		}
		return score
	}
	part := engine.Pass.Seconds() + engine.PerRequest.Seconds()*(estimate+1)
	if engine.PrefillRate > 0 && s.delta > 0 {
		// Prompts placed since the report are being read in these very passes.
		part += float64(min(s.delta, mostPrompts)) * float64(engine.UsualPrompt) / engine.PrefillRate / float64(engine.TokensPerEvent)
	}
	if s.estimate(now) >= s.Slots {
		// A request that waits for a slot is worse off than on any rank.
		part *= 1 + float64(s.estimate(now)-s.Slots+1)
	}
	return max(s.load.Slowness, 1) * part / engine.Pass.Seconds() * (1 + s.failureRate(now))
}
