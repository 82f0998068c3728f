package queuer

import (
	"math"
	"time"
)

// Constants of the adaptation.
const (
	// adaptEvery is the least number of requests between two changes.
	adaptEvery = 20
	// tolerance is the ratio of the latency to the best one known at which a
	// backend server counts as overloaded; a fuller batch alone stays below it.
	tolerance = 2.5
	// shrink is the factor of a change downwards.
	shrink = 0.9
	// forgetTime is how long it takes the best latency to double, so that it
	// follows lasting changes.
	forgetTime = 10 * time.Minute
)

// adapter follows the latency of a backend server: it takes slots away while
// requests take much longer than they can, and gives them back one by one.
type adapter struct {
	// least and most bound the slots.
	least, most int
	// best is the lowest mean latency of a window, rising slowly.
	best time.Duration
	// changed is when best last rose.
	changed time.Time
	// sum and count are of the window at hand; full says that all slots were in use.
	sum   time.Duration
	count int
	full  bool
}

// WithAdaptation lets the number of slots follow the backend server's latency,
// between least and the number given to NewQueue.
func WithAdaptation(least int) Option {
	return func(q *Queue) {
		if least < q.slots {
			q.adapter = &adapter{least: least, most: q.slots}
		}
	}
}

// next takes in how long a slot was held and returns the number of slots.
func (a *adapter) next(now time.Time, slots int, held time.Duration, full bool) int {
	if held <= 0 {
		return slots
	}
	a.sum += held
	a.count++
	a.full = a.full || full
	if a.count < max(adaptEvery, slots) {
		return slots
	}
	mean := a.sum / time.Duration(a.count)
	if !a.changed.IsZero() {
		a.best = time.Duration(float64(a.best) * math.Exp2(float64(now.Sub(a.changed))/float64(forgetTime)))
	}
	a.changed = now
	if a.best == 0 || mean < a.best {
		a.best = mean
	}
	wasFull := a.full
	a.sum, a.count, a.full = 0, 0, false
	switch {
	case float64(mean) > tolerance*float64(a.best):
		return max(a.least, int(float64(slots)*shrink))
	case wasFull:
		return min(a.most, slots+1)
	}
	return slots
}
