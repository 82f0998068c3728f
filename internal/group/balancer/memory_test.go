package balancer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/group/commander"
)

// TestLeaderOfOtherGroupDoesNotDelayTakeover guards against a group whose sidecars wait for the
// leader of another group of the same service, which reads them to find its own.
func TestLeaderOfOtherGroupDoesNotDelayTakeover(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(newFakeGroup())
	own := &commander.Status{Group: "g", Rank: 5, Size: 12}
	b.rank.Store(int64(own.Rank))
	b.group.Store(&own.Group)
	now := time.Now().Add(takeoverDelay(own.Rank, own.Size) + time.Second)
	b.RecordLeaderRead(0, "h", now)
	c.Assert(b.shouldLead(own, now), qt.IsTrue)
	b.RecordLeaderRead(0, "g", now)
	c.Assert(b.shouldLead(own, now), qt.IsFalse)
}

// TestMispredictedSkewIsCounted guards against changes that do not do what they were made for
// and are not noticed.
func TestMispredictedSkewIsCounted(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	for _, p := range []struct {
		seen    float64
		version uint64
		after   time.Duration
		counted uint64
	}{
		{seen: 2, version: 7, after: time.Second, counted: 1},
		{seen: 1.2, version: 7, after: time.Second},
		{seen: 2, version: 8, after: time.Second},
		{seen: 2, version: 7, after: -time.Second},
	} {
		before := skewErrors.Get()
		made := prediction{version: 7, skew: 1.15, madeAt: now}
		made.compare(p.seen, p.version, now.Add(p.after))
		made.compare(p.seen, p.version, now.Add(p.after))
		c.Assert(skewErrors.Get()-before, qt.Equals, p.counted, qt.Commentf("%+v", p))
	}
}
