package placer

import (
	"math/rand/v2"
	"time"

	"siskinfall/internal/catalog/holder"
)

// Load patterns: many callers come at once, some come back after a refusal, and a
// group at its limit would make all of them late.

const (
	// plainQueue is how many requests may wait at a plain server for each slot;
	// two rounds of short work pass within the objectives of such routes.
	plainQueue = 2.0
	// engineQueue is how many requests may wait at an engine beyond its batch: a
	// slot there is free several times a second.
	engineQueue = 2
	// returnedQueue is how many more may wait if they were refused before.
	returnedQueue = 2
	// urgencyStep is how many places are kept from work of each lower rank.
	urgencyStep = 1
	// mostUrgencySteps bounds that.
	mostUrgencySteps = 2
	// defaultRetry is told where nothing better is known.
	defaultRetry = 300 * time.Millisecond
	// returnedFraction is the part of the longest wait of a route's callers below
	// which a request is taken for one that comes back.
	returnedFraction = 0.95
	// passesBeforeFirst is the number of passes until a request's first event: one
	// that has begun, and the one that reads the prompt.
	passesBeforeFirst = 2
	// certainty is the part of the predicted time that must exceed what is left for
	// a request to be refused: half of all answers are shorter than predicted.
	certainty = 0.6
)

// callers is what is known of a route's callers.
type callers struct {
	// longest is the longest wait that any of them told.
	longest time.Duration
	// urgent is the lowest priority seen.
	urgent int
}

// noteCaller reports whether a request comes back after a refusal: its caller has
// less time than those who come first. Any gateway can tell that by itself.
func (p *Placer) noteCaller(w Work) bool {
	c := p.callers[w.Route]
	if c == nil {
		c = &callers{urgent: w.Priority}
		p.callers[w.Route] = c
	}
	c.longest = max(c.longest, w.Wait)
	c.urgent = min(c.urgent, w.Priority)
	return w.Wait > 0 && float64(w.Wait) < returnedFraction*float64(c.longest)
}

// checkRoom refuses work that finds no place in time.
func (p *Placer) checkRoom(best *server, w Work, returned bool, now time.Time) *Refused {
	estimate := best.estimate(now)
	if estimate >= p.limit(best, w, returned) {
		return &Refused{Reason: "all places are taken", After: w.bound(p.freeAfter(best, now), now)}
	}
	engine := p.engines[best.Service]
	if engine == nil {
		return nil
	}
	first, last := best.predict(engine, w, estimate, p.pass(best, engine, now))
	left := w.Until.Sub(now)
	if w.Patience > 0 && float64(first)*certainty > float64(w.Patience) || float64(last)*certainty > float64(left) {
		return &Refused{Reason: "can't be finished in time", After: w.bound(p.freeAfter(best, now), now)}
	}
	return nil
}

// limit is the most requests that a server is given.
func (p *Placer) limit(s *server, w Work, returned bool) int {
	limit := int(float64(s.Slots) * (1 + plainQueue))
	if p.engines[s.Service] != nil {
		limit = s.Slots + engineQueue
	}
	if returned {
		limit += returnedQueue
	}
	steps := min(w.Priority-p.callers[w.Route].urgent, mostUrgencySteps)
	return limit - urgencyStep*steps
}

// pass is the time that a pass is expected to take. What was measured holds while
// passes are made; an idle group is taken for as fast as its ranks are.
func (p *Placer) pass(s *server, engine *holder.Engine, now time.Time) time.Duration {
	slowest := 1.0
	for _, other := range p.byService[s.Service] {
		if other.load.Group == s.load.Group && now.Sub(other.load.At) < reportLife {
			slowest = max(slowest, other.load.Slowness)
		}
	}
	// A slow rank without requests still takes its own empty part of each pass.
	least := time.Duration(slowest * float64(engine.TokensPerEvent) * float64(engine.Pass))
	full := time.Duration(engine.TokensPerEvent) * (engine.Pass + time.Duration(engine.Slots)*engine.PerRequest)
	if s.load.Pass <= 0 {
		return max(least, full)
	}
	return max(least, s.load.Pass)
}

// predict returns the times until the first and the last event of an answer.
func (s *server) predict(engine *holder.Engine, w Work, estimate int, pass time.Duration) (first, last time.Duration) {
	answer := engine.UsualAnswer
	if w.Answer > 0 {
		answer = w.Answer
	}
	if w.MostAnswer > 0 {
		answer = min(answer, w.MostAnswer)
	}
	usual := time.Duration(engine.UsualAnswer/engine.TokensPerEvent) * pass
	wait := time.Duration(0)
	if ahead := estimate - s.Slots + 1; ahead > 0 {
		wait = time.Duration(ahead) * usual / time.Duration(s.Slots)
	}
	first = wait + passesBeforeFirst*pass
	return first, first + time.Duration(answer/engine.TokensPerEvent)*pass
}

// freeAfter is when a place at a server is expected: a slot's turn, spread so that
// those who are refused together do not come back together.
func (p *Placer) freeAfter(s *server, now time.Time) time.Duration {
	engine := p.engines[s.Service]
	if engine == nil || now.Sub(s.load.At) > reportLife {
		return defaultRetry
	}
	usual := time.Duration(engine.UsualAnswer/engine.TokensPerEvent) * s.load.Pass
	over := max(s.estimate(now)-s.Slots+1, 1)
	turn := max(time.Duration(over)*usual/time.Duration(s.Slots), defaultRetry)
	return turn + time.Duration(rand.Int64N(int64(turn)))
}
