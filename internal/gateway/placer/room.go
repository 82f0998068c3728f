package placer

import (
	"time"

	"siskinfall/internal/catalog/holder"
)

// Load patterns: many callers send requests at once, some retry after a refusal,
// and a group at its capacity would delay all of them.

const (
	// plainQueuePerSlot is the maximum number of waiting requests per slot of a
	// plain server. Two rounds of short requests finish within the objectives of
	// such routes.
	plainQueuePerSlot = 2.0
	// maxEngineQueue is the maximum number of requests that wait at an engine
	// beyond its batch. A slot becomes free several times a second.
	maxEngineQueue = 2
	// clientRetryQueue is the number of further places for client retries.
	clientRetryQueue = 2
	// reservedPerPriority is the number of places kept free per level that a
	// request's priority is below the most urgent one of its route.
	reservedPerPriority = 1
	// maxReservedPriorities bounds the number of such levels.
	maxReservedPriorities = 2
	// defaultRetryAfter is used where no estimate is available.
	defaultRetryAfter = 300 * time.Millisecond
	// clientRetryFraction is the fraction of the longest timeout on a route below
	// which a request counts as a client retry.
	clientRetryFraction = 0.95
	// passesToFirstEvent is the number of passes until a request's first event: the
	// one already begun, and the one that reads the prompt.
	passesToFirstEvent = 2
	// predictedTimeFraction is the fraction of the predicted time that must exceed
	// the remaining time for a request to be refused. Half of all answers are
	// shorter than predicted.
	predictedTimeFraction = 0.6
)

// callerStats holds what the callers of a route have sent so far.
type callerStats struct {
	// maxTimeout is the longest timeout that any of them sent.
	maxTimeout time.Duration
	// minPriority is the lowest priority number, that is the most urgent one.
	minPriority int
}

// recordCaller updates the statistics of the route, and reports whether the request
// looks like a client retry: it has less time left than first requests have. This
// needs no state from other gateways.
func (p *Placer) recordCaller(w Work) bool {
	c := p.callersByRoute[w.Route]
	if c == nil {
		c = &callerStats{minPriority: w.Priority}
		p.callersByRoute[w.Route] = c
	}
	c.maxTimeout = max(c.maxTimeout, w.CallerTimeout)
	c.minPriority = min(c.minPriority, w.Priority)
	return w.CallerTimeout > 0 && float64(w.CallerTimeout) < clientRetryFraction*float64(c.maxTimeout)
}

// checkCapacity refuses a request if the server has no place for it or would not
// answer it in time.
func (p *Placer) checkCapacity(best *server, w Work, isClientRetry bool, now time.Time) *Refused {
	estimate := best.estimate(now)
	if estimate >= p.maxRequests(best, w, isClientRetry) {
		return &Refused{Reason: "all places are taken", RetryAfter: w.capRetryAfter(p.timeUntilFree(best, now), now)}
	}
	engine := p.engines[best.Service]
	if engine == nil {
		return nil
	}
	first, last := best.predict(engine, w, estimate, p.expectedPass(best, engine, now))
	remaining := w.Deadline.Sub(now)
	if w.Patience > 0 && float64(first)*predictedTimeFraction > float64(w.Patience) || float64(last)*predictedTimeFraction > float64(remaining) {
		return &Refused{Reason: "can't be finished in time", RetryAfter: w.capRetryAfter(p.timeUntilFree(best, now), now)}
	}
	return nil
}

// maxRequests returns the number of requests at a server at which further work like w
// is refused.
func (p *Placer) maxRequests(s *server, w Work, isClientRetry bool) int {
	limit := int(float64(s.Slots) * (1 + plainQueuePerSlot))
	if p.engines[s.Service] != nil {
		limit = s.Slots + maxEngineQueue
	}
	if w.Admitted {
		return limit
	}
	if isClientRetry {
		limit += clientRetryQueue
	}
	levels := min(w.Priority-p.callersByRoute[w.Route].minPriority, maxReservedPriorities)
	return limit - reservedPerPriority*levels
}

// expectedPass returns the expected time between two events of a stream: the reported
// pass time or, if none was reported, the time of full batches at normal speed; but at
// least the time of empty passes at the speed of the slowest rank.
func (p *Placer) expectedPass(s *server, engine *holder.Engine, now time.Time) time.Duration {
	slowest := 1.0
	for _, other := range p.byService[s.Service] {
		if other.load.Group == s.load.Group && now.Sub(other.load.At) < reportTTL {
			slowest = max(slowest, other.load.Slowness)
		}
	}
	// A slow rank delays each pass even without requests of its own.
	minPass := time.Duration(slowest * float64(engine.TokensPerEvent) * float64(engine.Pass))
	fullPass := time.Duration(engine.TokensPerEvent) * (engine.Pass + time.Duration(engine.Slots)*engine.PerRequest)
	if s.load.Pass <= 0 {
		return max(minPass, fullPass)
	}
	return max(minPass, s.load.Pass)
}

// predict returns the expected times until the first and the last event of an answer.
func (s *server) predict(engine *holder.Engine, w Work, estimate int, pass time.Duration) (first, last time.Duration) {
	answerTokens := engine.UsualAnswer
	if w.EstimatedAnswerTokens > 0 {
		answerTokens = w.EstimatedAnswerTokens
	}
	if w.MaxAnswerTokens > 0 {
		answerTokens = min(answerTokens, w.MaxAnswerTokens)
	}
	usualDuration := time.Duration(engine.UsualAnswer/engine.TokensPerEvent) * pass
	wait := time.Duration(0)
	if ahead := estimate - s.Slots + 1; ahead > 0 {
		wait = time.Duration(ahead) * usualDuration / time.Duration(s.Slots)
	}
	first = wait + passesToFirstEvent*pass
	return first, first + time.Duration(answerTokens/engine.TokensPerEvent)*pass
}

// timeUntilFree returns the expected time until a server has a free place. It is
// randomised, so that callers refused at the same time do not retry at the same time.
func (p *Placer) timeUntilFree(s *server, now time.Time) time.Duration {
	engine := p.engines[s.Service]
	if engine == nil || now.Sub(s.load.At) > reportTTL {
		return defaultRetryAfter
	}
	usualDuration := time.Duration(engine.UsualAnswer/engine.TokensPerEvent) * s.load.Pass
	excess := max(s.estimate(now)-s.Slots+1, 1)
	wait := max(time.Duration(excess)*usualDuration/time.Duration(s.Slots), defaultRetryAfter)
	return wait + time.Duration(p.random.Int64N(int64(wait)))
}
