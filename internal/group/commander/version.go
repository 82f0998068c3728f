package commander

import (
	"time"
)

// The bits of a version below the time in milliseconds are the leader's rank, then random
// bits, so that neither two leaders nor two runs of one leader use a version twice.
// Versions stay small enough to be exact as JSON numbers, until 2034 with 15 bits.
const (
	// rankBits is enough for 1,024 ranks.
	rankBits   = 10
	randomBits = 5
)

const (
	// conflictAdvance, in milliseconds, is added when an engine refuses a version: it
	// has had a higher one, from a leader whose clock was ahead by seconds.
	conflictAdvance = 1000
	// clockBehindSpread, in milliseconds, is the range of the random advance of a leader
	// whose clock is behind.
	clockBehindSpread = 4096
)

// versionStart is the time of version 0, before any version of this protocol.
var versionStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// NewVersion returns a version above every version that the ranks are known to have had.
// A group that has restarted no longer reports its old versions, so versions follow the
// time of day.
func (c *Commander) NewVersion(g Group, leaderRank int, now time.Time) uint64 {
	highest := uint64(0)
	for _, s := range g {
		highest = max(highest, s.Version)
		if s.Prepared != nil {
			highest = max(highest, *s.Prepared)
		}
	}
	counter := uint64(max(now.Sub(versionStart).Milliseconds(), 1))
	if latest := max(highest>>(rankBits+randomBits), c.counter); latest >= counter {
		counter = latest + 1 + c.random()%clockBehindSpread
	}
	c.counter = counter
	return counter<<(rankBits+randomBits) | uint64(leaderRank)<<randomBits | c.random()&(1<<randomBits-1)
}
