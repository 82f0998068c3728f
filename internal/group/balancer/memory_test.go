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
