package commander

import (
	"time"
)

// Version bits below the time of day in milliseconds: the leader's rank, then
// random ones, so that no two leaders, nor two lives of one, use a version twice.
// Versions stay exact in the numbers of JSON.
const (
	rankBits   = 7
	randomBits = 5
)

const (
	// refusedStep is added to the time when an engine refuses a version: it has
	// had a higher one, under a clock that was ahead by seconds.
	refusedStep = 1000
	// behindSpread spreads the versions of a leader whose clock is behind.
	behindSpread = 4096
)

// versionStart is when versions begin: later than none that this protocol made.
var versionStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// NewVersion returns a version above every version that the ranks are known to
// have had. A group that has begun anew tells none of its old versions, so
// versions follow the time of day.
func (c *Commander) NewVersion(g Group, leader int, now time.Time) uint64 {
	highest := uint64(0)
	for _, s := range g {
		highest = max(highest, s.Version)
		if s.Prepared != nil {
			highest = max(highest, *s.Prepared)
		}
	}
	counter := uint64(max(now.Sub(versionStart).Milliseconds(), 1))
	if behind := max(highest>>(rankBits+randomBits), c.counter); behind >= counter {
		counter = behind + 1 + c.random()%behindSpread
	}
	c.counter = counter
	return counter<<(rankBits+randomBits) | uint64(leader)<<randomBits | c.random()&(1<<randomBits-1)
}
