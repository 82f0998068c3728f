package placer

import (
	"math"
	"slices"
	"time"
)

// Load patterns: one server is slow, fails a part of its requests or can't be
// reached while its health checks pass; load reports are stale while many
// gateways place requests at the same time.

const (
	// zoneScore is added for a server in another availability zone, as a fraction
	// of its slots, so that servers of the own zone are preferred while they have
	// capacity.
	zoneScore = 0.25
	// failureScore is added in proportion to the failure rate, in full for a
	// server that fails all requests.
	failureScore = 2.0
	// ejectedScore is higher than the score of any server that is not ejected.
	ejectedScore = 1e6
	// overdueScore is higher than the score of an engine that reports in time, and
	// lower than ejectedScore.
	overdueScore = 1e3
	// stalledScore, for a server whose group is broken or stalled, is higher than
	// the score of an ejected server.
	stalledScore = 1e9
)

// overdueReportAge is the age at which an engine's next report is overdue. Reports
// are sent twice a second even while nothing changes.
const overdueReportAge = 1300 * time.Millisecond

// maxPromptsPerPass bounds the number of prompts that are assumed to be read in one
// pass.
const maxPromptsPerPass = 2

const (
	// minEjection and maxEjection bound the duration of an ejection.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// ejectAfterFailures is the number of consecutive lost requests that eject a
	// server.
	ejectAfterFailures = 2
	// failureRateWeight is the EWMA weight of the newest request.
	failureRateWeight = 0.15
	// failureRateDecay is the time constant with which the failure rate of a server
	// without requests decays: after this time it has fallen to 1/e.
	failureRateDecay = 5 * time.Second
)

// health is the state of a server as observed from the outcomes of requests.
type health struct {
	// failures counts consecutive requests that were lost or could not be sent.
	failures int
	// rejections counts consecutive rejections while slots seemed free.
	rejections int
	// ejectedUntil is the end of the last ejection, ejection its duration. The
	// duration is reset by a served request.
	ejectedUntil time.Time
	ejection     time.Duration
	// ewma is the failure rate, from 0 to 1, as of ewmaAt.
	ewma   float64
	ewmaAt time.Time
}

// record updates the health from the outcome of a request.
func (h *health) record(outcome Outcome, now time.Time) {
	switch outcome {
	case Served:
		h.failures, h.rejections, h.ejection = 0, 0, 0
		h.addSample(0, now)
	case Failed:
		h.failures = 0
		h.addSample(1, now)
	case Lost:
		h.failures++
		h.addSample(1, now)
		if h.failures >= ejectAfterFailures {
			h.eject(now)
		}
	case Unreachable, Misdirected:
		h.failures++
		h.eject(now)
	case Rejected, Cancelled:
	}
}

// recordRejection updates the health of a plain server that has rejected a request beside a
// number of others. A quick rejection makes a server look idle, and would draw the next
// request. One that rejects with free slots, several times in a row, is ejected like a server
// that is lost: it does not tell when it has room.
func (s *server) recordRejection(others int, now time.Time) {
	s.addSample(1, now)
	if others >= s.Slots {
		return
	}
	s.rejections++
	if s.rejections >= ejectAfterFailures {
		s.eject(now)
	}
}

func (h *health) addSample(failed float64, now time.Time) {
	h.ewma = h.failureRate(now)
	h.ewma += failureRateWeight * (failed - h.ewma)
	h.ewmaAt = now
}

// failureRate returns the failure rate at a time. It decays while no requests are
// sent, so that a server receives requests again.
func (h *health) failureRate(now time.Time) float64 {
	if h.ewmaAt.IsZero() {
		return 0
	}
	return h.ewma * math.Exp(-now.Sub(h.ewmaAt).Seconds()/failureRateDecay.Seconds())
}

func (h *health) eject(now time.Time) {
	h.ejection = min(max(2*h.ejection, minEjection), maxEjection)
	h.ejectedUntil = now.Add(h.ejection)
}

// pick returns the server with the lowest score; ties are broken at random.
// Engines are compared in a random sample first: gateways with the same reports
// would otherwise all select the same engine until its next report.
func (p *Placer) pick(w Work, now time.Time) *server {
	all := p.byService[w.Service]
	if p.engines[w.Service] != nil && p.gatewayCount > 1 {
		if best, score := p.pickLowest(p.sample(all, w, now), w, now); best != nil && score < overdueScore && best.estimate(now) < best.Slots {
			return best
		}
	}
	best, _ := p.pickLowest(all, w, now)
	return best
}

const (
	// minSampledEngines is the minimum number of engines compared for one request
	// while several gateways place. Two already lead to a far more even load than a
	// random choice; with six or more, gateways select the same engines again.
	minSampledEngines = 3
	// maxHealthySlowness is the maximum slowness of an engine in the sample. A
	// slower one determines the pass time of its group, so it is selected only
	// when all engines are compared.
	maxHealthySlowness = 1.25
)

// SetGateways sets the number of gateways that place requests at the same servers;
// at least 1. A single gateway has placed all requests itself, so it compares all
// servers.
func (p *Placer) SetGateways(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gatewayCount = max(n, 1)
}

// sample returns randomly chosen servers that are not slow and were not tried.
func (p *Placer) sample(all []*server, w Work, now time.Time) []*server {
	n := max(len(all)/p.gatewayCount, minSampledEngines)
	out := make([]*server, 0, n)
	for _, i := range p.random.Perm(len(all)) {
		if len(out) == n {
			break
		}
		if all[i].load.Slowness <= maxHealthySlowness && !slices.Contains(w.Exclude, all[i].ID) && p.closedReason(all[i], now) == notClosed {
			out = append(out, all[i])
		}
	}
	return out
}

// pickLowest returns the server with the lowest score, and that score; nil if all
// are excluded.
func (p *Placer) pickLowest(list []*server, w Work, now time.Time) (*server, float64) {
	var best *server
	bestScore, ties := 0.0, 0
	for _, s := range list {
		if slices.Contains(w.Exclude, s.ID) || p.closedReason(s, now) != notClosed {
			continue
		}
		score := p.score(s, w, now)
		switch {
		case best == nil || score < bestScore:
			best, bestScore, ties = s, score, 1
		case score == bestScore:
			ties++
			if p.random.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best, bestScore
}

// score rates a server for a request; lower is better.
func (p *Placer) score(s *server, w Work, now time.Time) float64 {
	score := p.loadScore(s, w, now)
	if now.Before(s.ejectedUntil) {
		score += ejectedScore
	}
	if broken, stalled := p.groupState(s, now); broken || stalled {
		score += stalledScore
	}
	if p.engines[s.Service] != nil && now.Sub(s.load.At) > overdueReportAge {
		score += overdueScore
	}
	return score
}

// loadScore rates a plain server by the fraction of its slots in use, and an engine
// by the time of its own part of a pass, because the slowest rank determines the
// pass time of the group.
func (p *Placer) loadScore(s *server, w Work, now time.Time) float64 {
	engine := p.engines[s.Service]
	estimate := float64(s.estimate(now))
	if engine == nil || engine.Pass <= 0 {
		score := estimate/float64(s.Slots) + failureScore*s.failureRate(now) + p.slowScore(s, now)
		if s.Zone != w.Zone {
			score += zoneScore
		}
		return score
	}
	rankTime := engine.Pass.Seconds() + engine.PerRequest.Seconds()*(estimate+1)
	if engine.PrefillRate > 0 && s.deltaSinceReport > 0 {
		// Prompts placed since the report are read during the next passes.
		rankTime += float64(min(s.deltaSinceReport, maxPromptsPerPass)) * float64(engine.UsualPrompt) / engine.PrefillRate / float64(engine.TokensPerEvent)
	}
	if s.estimate(now) >= s.Slots {
		// Waiting for a slot delays a request more than any rank with a free one.
		rankTime *= 1 + float64(s.estimate(now)-s.Slots+1)
	}
	return max(s.load.Slowness, 1) * rankTime / engine.Pass.Seconds() * (1 + s.failureRate(now))
}
