package balancer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMapThatDoesNotFollowIsReported guards against a map that never changes and that neither
// a log line nor a metric shows.
func TestMapThatDoesNotFollowIsReported(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	after := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	reported := func(d *followDelay, at time.Time) bool {
		before := mapsNotFollowing.Get()
		d.report("g", at)
		return mapsNotFollowing.Get() > before
	}
	d := &followDelay{}
	d.start(now)
	// The leader never sees the group.
	c.Assert(reported(d, after(3)), qt.IsFalse)
	c.Assert(reported(d, after(5)), qt.IsTrue)
	c.Assert(reported(d, after(6)), qt.IsFalse)
	c.Assert(reported(d, after(11)), qt.IsTrue)
	// It sees a skew and makes no change.
	d.observe(2.9, after(12))
	c.Assert(reported(d, after(15)), qt.IsFalse)
	d.observe(2.9, after(16.5))
	c.Assert(reported(d, after(16.5)), qt.IsTrue)
	c.Assert(d.get(after(16.5)), qt.Equals, 4500*time.Millisecond)
	// A change helps.
	d.setFollowed()
	d.observe(1.1, after(17))
	c.Assert(d.get(after(17.5)), qt.Equals, 500*time.Millisecond)
	d.observe(1.1, after(30))
	c.Assert(reported(d, after(31)), qt.IsFalse)
}
