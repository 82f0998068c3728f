package queuer

import (
	"math"
	"time"
)

// Constants of the slot controller.
const (
	// minWindowSamples is the minimum number of requests between two changes.
	minWindowSamples = 20
	// overloadRatio is the ratio of the latency to the baseline above which a
	// backend server counts as overloaded; a larger batch alone stays below it.
	overloadRatio = 2.5
	// decreaseFactor is the factor by which slots are reduced on overload.
	decreaseFactor = 0.9
	// baselineDoublingTime is the time in which the baseline doubles unless a lower
	// latency is measured, so that it follows lasting changes.
	baselineDoublingTime = 10 * time.Minute
)

// slotController adapts the number of slots to the latency of a backend server by
// additive increase and multiplicative decrease.
type slotController struct {
	// minSlots and maxSlots bound the slots.
	minSlots, maxSlots int
	// baseline is the lowest mean latency of a window, raised over time by
	// baselineDoublingTime.
	baseline time.Duration
	// baselineAt is when baseline was last updated.
	baselineAt time.Time
	// heldSum, count and saturated describe the current window: the total time for
	// which slots were held, the number of requests, and whether all slots were in
	// use at some time.
	heldSum   time.Duration
	count     int
	saturated bool
}

// WithAdaptiveSlots adapts the number of slots to the backend server's latency,
// between minSlots and the number given to NewQueue. It has no effect unless
// minSlots is the lower one.
func WithAdaptiveSlots(minSlots int) Option {
	return func(q *Queue) {
		if minSlots < q.slots {
			q.controller = &slotController{minSlots: minSlots, maxSlots: q.slots}
		}
	}
}

// update records how long a slot was held and returns the new number of slots.
func (sc *slotController) update(now time.Time, slots int, held time.Duration, saturated bool) int {
	if held <= 0 {
		return slots
	}
	sc.heldSum += held
	sc.count++
	sc.saturated = sc.saturated || saturated
	if sc.count < max(minWindowSamples, slots) {
		return slots
	}
	mean := sc.heldSum / time.Duration(sc.count)
	if !sc.baselineAt.IsZero() {
		sc.baseline = time.Duration(float64(sc.baseline) * math.Exp2(float64(now.Sub(sc.baselineAt))/float64(baselineDoublingTime)))
	}
	sc.baselineAt = now
	if sc.baseline == 0 || mean < sc.baseline {
		sc.baseline = mean
	}
	wasSaturated := sc.saturated
	sc.heldSum, sc.count, sc.saturated = 0, 0, false
	switch {
	case float64(mean) > overloadRatio*float64(sc.baseline):
		return max(sc.minSlots, int(float64(slots)*decreaseFactor))
	case wasSaturated:
		return min(sc.maxSlots, slots+1)
	}
	return slots
}
