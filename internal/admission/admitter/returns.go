package admitter

import (
	"math/rand/v2"
	"time"
)

// Load pattern: callers that were refused return all at once, and are refused again.

const (
	// minRetryAfter is the shortest time after which a refused caller is told to return. A
	// caller that returns earlier has not waited.
	minRetryAfter = 300 * time.Millisecond
	// returnInterval is the length of the intervals over which returns are spread, and
	// returnIntervals their number.
	returnInterval  = 100 * time.Millisecond
	returnIntervals = 30
	// returnFraction is the fraction of the expected places that is promised to callers
	// that return.
	returnFraction = 0.5
	// maxRetryAfterFraction is the fraction of its remaining time that a caller waits at
	// most before it returns.
	maxRetryAfterFraction = 1.0 / 3
)

const (
	// timeoutStep is the width of the classes in which timeouts are counted.
	timeoutStep = 100 * time.Millisecond
	// maxTimeouts is the number of timeouts after which older ones count half.
	maxTimeouts = 400
)

// timeouts finds the timeout of the first requests of a kind: the most frequent one, since
// those of returning callers differ, and some callers have more patience than the others.
type timeouts struct {
	counts map[time.Duration]int
	n      int
	usual  time.Duration
}

// add counts a timeout, 0 for none. It reports whether the caller has waited for at least the
// shortest time that callers are told.
func (t *timeouts) add(timeout time.Duration) (isReturned bool) {
	if timeout <= 0 {
		return false
	}
	class := timeout.Round(timeoutStep)
	t.counts[class]++
	if t.counts[class] >= t.counts[t.usual] {
		t.usual = class
	}
	if t.n++; t.n >= maxTimeouts {
		t.forget()
	}
	return t.usual-timeout >= minRetryAfter
}

func (t *timeouts) forget() {
	t.n = 0
	for class, n := range t.counts {
		if t.counts[class] = n / 2; n < 2 { //nolint:mnd // halves
			delete(t.counts, class)
		}
		t.n += n / 2 //nolint:mnd // as above
	}
}

// returns counts, by interval, the callers that were told to return then.
type returns struct {
	promised [returnIntervals]int
	// current is the number of the interval that promised[current%returnIntervals] counts.
	current int64
}

// promise returns when a refused caller may return: in the first interval from the earliest
// on with places left for callers that return.
func (r *returns) promise(placesPerSecond float64, earliest time.Duration, deadline, now time.Time, random *rand.Rand) time.Duration {
	r.advance(now)
	longest := max(time.Duration(float64(deadline.Sub(now))*maxRetryAfterFraction), 0)
	first := max(int(max(earliest, minRetryAfter)/returnInterval), 1)
	last := min(int(longest/returnInterval)-1, returnIntervals-1)
	if last < first {
		return min(max(earliest, minRetryAfter), longest)
	}
	room := max(int(placesPerSecond*returnFraction*returnInterval.Seconds()), 1)
	chosen := first + random.IntN(last-first+1)
	for i := first; i <= last; i++ {
		if *r.at(i) < room {
			chosen = i
			break
		}
	}
	*r.at(chosen)++
	return time.Duration(chosen)*returnInterval + time.Duration(random.Int64N(int64(returnInterval)))
}

func (r *returns) at(i int) *int { return &r.promised[(r.current+int64(i))%returnIntervals] }

// advance forgets the intervals that have passed.
func (r *returns) advance(now time.Time) {
	n := now.UnixNano() / int64(returnInterval)
	if n-r.current >= returnIntervals || n < r.current {
		clear(r.promised[:])
		r.current = n
		return
	}
	for ; r.current < n; r.current++ {
		*r.at(0) = 0
	}
}
