package lister

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var testStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// at returns a position in a store that does not report its era.
func at(revision uint64) Position { return Position{Revision: revision} }

func newServers(ids ...string) []Server {
	servers := make([]Server, 0, len(ids))
	for i, id := range ids {
		servers = append(servers, Server{ID: id, Service: "s", Slots: 1, Revision: uint64(i + 1)})
	}
	return servers
}

func newRemovals(ids ...string) []Change {
	changes := make([]Change, 0, len(ids))
	for _, id := range ids {
		changes = append(changes, Change{Server: Server{ID: id, Revision: 50}, Removed: true})
	}
	return changes
}

func TestSingleRemovalTakesEffectAtOnce(t *testing.T) {
	c := qt.New(t)
	l := New()
	l.Replace(newServers("a", "b", "c"), at(10), testStart)
	l.Apply(newRemovals("b"), at(50), testStart)
	c.Assert(l.GetAll(), qt.HasLen, 2)
}

// TestLapsedEntriesAreKeptForGracePeriod guards against dropping running servers after a
// store outage: all entries expired in the store, and most servers register again
// within the grace period.
func TestLapsedEntriesAreKeptForGracePeriod(t *testing.T) {
	c := qt.New(t)
	l := New()
	l.Replace(newServers("a", "b", "c"), at(10), testStart)
	l.Apply(newRemovals("a", "b", "c"), at(50), testStart)
	c.Assert(l.GetAll(), qt.HasLen, 3)
	l.Apply([]Change{{Server: Server{ID: "a", Revision: 51}}, {Server: Server{ID: "b", Revision: 52}}}, at(52), testStart.Add(time.Second))
	l.Expire(testStart.Add(lapseGrace - time.Millisecond))
	c.Assert(l.GetAll(), qt.HasLen, 3)
	l.Expire(testStart.Add(lapseGrace))
	c.Assert(l.GetAll(), qt.HasLen, 2)
}

func TestLeavingServersAreDroppedInJointRemoval(t *testing.T) {
	c := qt.New(t)
	l := New()
	all := newServers("a", "b")
	all[0].Leaving = true
	l.Replace(all, at(10), testStart)
	l.Apply(newRemovals("a", "b"), at(50), testStart)
	got := l.GetAll()
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0].ID, qt.Equals, "b")
}

func TestOlderRevisionIsIgnored(t *testing.T) {
	c := qt.New(t)
	l := New()
	l.Replace(newServers("a", "b", "c"), at(10), testStart)
	l.Replace(newServers("a"), at(9), testStart)
	l.Apply(newRemovals("a"), at(9), testStart)
	c.Assert(l.GetAll(), qt.HasLen, 3)
	l.Merge(newServers("a"), at(3), testStart)
	c.Assert(l.GetAll(), qt.HasLen, 3)
	l.Merge(newServers("a", "b"), at(60), testStart)
	c.Assert(l.GetAll(), qt.HasLen, 2)
	c.Assert(l.GetLastChange(), qt.Equals, at(60))
}

func TestServerRemovedAndAddedInOneBatchStays(t *testing.T) {
	c := qt.New(t)
	l := New()
	l.Replace(newServers("a", "b", "c"), at(10), testStart)
	l.Apply(append(newRemovals("a"), Change{Server: Server{ID: "a", Revision: 51}}), at(51), testStart)
	c.Assert(l.GetAll(), qt.HasLen, 3)
}

// TestColdTimeIsDatedOnceForEachEntry guards against a server that stays cold for as long as
// its entry is read again, and against one that a later entry makes warm too early.
func TestColdTimeIsDatedOnceForEachEntry(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	l := New()
	coldUntil := func() time.Duration { return l.GetAll()[0].ColdUntil.Sub(now).Round(time.Millisecond) }
	s := Server{ID: "a", Started: now, Revision: 1, Cold: 3 * time.Second}
	l.Replace([]Server{s}, Position{Revision: 1}, now)
	c.Check(coldUntil(), qt.Equals, 3*time.Second)
	l.Replace([]Server{s}, Position{Revision: 2}, now.Add(2*time.Second))
	c.Check(coldUntil(), qt.Equals, 3*time.Second)
	l.Apply([]Change{{Server: Server{ID: "a", Started: now, Revision: 3}}}, Position{Revision: 3}, now.Add(2*time.Second))
	c.Check(coldUntil(), qt.Equals, 3*time.Second)
	l.Apply([]Change{{Server: Server{ID: "a", Started: now, Revision: 4, Cold: 2 * time.Second}}}, Position{Revision: 4}, now.Add(10*time.Second))
	c.Check(coldUntil(), qt.Equals, 12*time.Second)
}
