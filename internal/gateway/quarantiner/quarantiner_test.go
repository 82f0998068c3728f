package quarantiner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// TestRequestIsStoppedByCrashesOfAllGateways adds up the crashes that two gateways have
// observed for one request.
func TestRequestIsStoppedByCrashesOfAllGateways(t *testing.T) {
	c := qt.New(t)
	s := New()
	d := Digest("POST", "/a", "acme", []byte("poison"))
	s.AddCrash(d, start)
	c.Assert(s.IsBlocked(d), qt.IsFalse)
	s.SetPeerCrashes(d, 2, start)
	s.SetPeerCrashes(d, 1, start)
	c.Assert(s.IsBlocked(d), qt.IsTrue)
	c.Assert(s.IsBlocked(Digest("POST", "/a", "acme", []byte("other"))), qt.IsFalse)
	c.Assert(s.GetOwnCrashes(start), qt.DeepEquals, map[uint64]int{d: 1})
	c.Assert(s.GetOwnCrashes(start.Add(crashTTL+time.Second)), qt.HasLen, 0)
	c.Assert(s.IsBlocked(d), qt.IsFalse)
}

func TestOldestRequestIsForgottenBeyondLimit(t *testing.T) {
	c := qt.New(t)
	s := New()
	for i := range uint64(maxEntries + 10) {
		s.AddCrash(i, start.Add(time.Duration(i)))
	}
	c.Assert(s.entries, qt.HasLen, maxEntries)
	c.Assert(s.entries[0], qt.IsNil)
}
