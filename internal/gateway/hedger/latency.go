package hedger

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// quantile is the percentage of attempts that answer before the delay of a second one.
	quantile = 95
	// minSamples is the number of times without which the quantile says little.
	minSamples = 40
	// latestFraction of the objective is the delay while there are fewer, and the longest one
	// unless most attempts take long: the second answer can still be in time.
	latestFraction = 0.5
	// latestMedians is the longest delay as a multiple of the median.
	latestMedians = 2
	// floorFraction of the objective is the shortest delay. Callers don't notice what a second
	// attempt would save below it.
	floorFraction = 0.25
	minDelay      = 5 * time.Millisecond
)

// Shape of the histograms. Values are in milliseconds.
const (
	maxMilliseconds    = int64(time.Minute / time.Millisecond)
	significantFigures = 1
	histogramSections  = 3
	sectionLength      = 20 * time.Second
	quantileTTL        = 500 * time.Millisecond
)

// latency holds the times of the attempts of a class in the last minute.
type latency struct {
	hist      *hdrhistogram.WindowedHistogram
	rotatedAt time.Time
	// usual and median are those of computedAt, 0 for too few samples.
	usual, median time.Duration
	computedAt    time.Time
}

func newLatency(now time.Time) *latency {
	return &latency{hist: hdrhistogram.NewWindowed(histogramSections, 1, maxMilliseconds, significantFigures), rotatedAt: now}
}

func (l *latency) record(took time.Duration, now time.Time) {
	l.rotate(now)
	// The value is within the histogram's range.
	_ = l.hist.Current.RecordValue(min(max(took.Milliseconds(), 1), maxMilliseconds))
}

func (l *latency) rotate(now time.Time) {
	for range histogramSections {
		if now.Sub(l.rotatedAt) < sectionLength {
			return
		}
		l.hist.Rotate()
		l.rotatedAt = l.rotatedAt.Add(sectionLength)
	}
	if now.Sub(l.rotatedAt) >= sectionLength {
		l.rotatedAt = now
	}
}

// update computes the quantiles again if they are old.
func (l *latency) update(now time.Time) {
	if now.Sub(l.computedAt) < quantileTTL {
		return
	}
	l.rotate(now)
	l.usual, l.median, l.computedAt = 0, 0, now
	if all := l.hist.Merge(); all.TotalCount() >= minSamples {
		l.usual = time.Duration(all.ValueAtQuantile(quantile)) * time.Millisecond
		l.median = time.Duration(all.ValueAtQuantile(50)) * time.Millisecond
	}
}

// getDelay returns the delay of a second attempt, 0 if it is not known. The objective is 0 if
// there is none.
func (l *latency) getDelay(objective time.Duration, now time.Time) time.Duration {
	l.update(now)
	latest := time.Duration(float64(objective) * latestFraction)
	if l.usual == 0 {
		return latest
	}
	delay := max(l.usual, time.Duration(float64(objective)*floorFraction), minDelay)
	if latest == 0 {
		return delay
	}
	return min(delay, max(latest, latestMedians*l.median))
}
