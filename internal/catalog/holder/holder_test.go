package holder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/check/asserter"
)

func newCatalog(version uint64) *Catalog {
	return &Catalog{Version: version, Routes: []Route{
		{Name: "root", Host: "H.example", Prefix: "/"}, {Name: "deep", Host: "h.example", Prefix: "/a/b/"},
		{Name: "a", Host: "h.example", Prefix: "/a/"}, {Name: "other", Host: "i.example", Prefix: "/a/"},
	}, Accounts: []Account{{Name: "acme", Keys: []string{"k"}}}}
}

func TestMatchRoutePrefersLongestPrefix(t *testing.T) {
	c := qt.New(t)
	cat := newCatalog(1)
	cat.Index()
	for path, want := range map[string]string{"/": "root", "/a/": "a", "/a": "root", "/a/b/c": "deep", "/a/bc": "a"} {
		c.Assert(cat.MatchRoute("h.example", path).Name, qt.Equals, want, qt.Commentf("%s", path))
	}
	c.Assert(cat.MatchRoute("H.example:8080", "/a/").Name, qt.Equals, "a")
	c.Assert(cat.MatchRoute("i.example", "/b/"), qt.IsNil)
	c.Assert(cat.GetAccount("k").Name, qt.Equals, "acme")
	c.Assert(cat.GetAccount(""), qt.IsNil)
}

// TestApplyIfNewerIgnoresOlderAndEqualVersions applies versions out of order.
func TestApplyIfNewerIgnoresOlderAndEqualVersions(t *testing.T) {
	c := qt.New(t)
	h := New()
	var seen []uint64
	h.OnChange(func(c *Catalog) { seen = append(seen, c.Version) })
	for _, v := range []uint64{3, 2, 7, 7, 5, 9} {
		h.ApplyIfNewer(newCatalog(v), "test")
	}
	c.Assert(seen, qt.DeepEquals, []uint64{3, 7, 9})
	c.Assert(h.GetVersion(), qt.Equals, uint64(9))
	c.Assert(h.ApplyIfNewer(nil, "test"), qt.IsFalse)
}

func TestAgeIsTimeSinceLastConfirmation(t *testing.T) {
	c := qt.New(t)
	h := New()
	now := time.Now()
	c.Assert(h.GetAge(now) > time.Hour, qt.IsTrue)
	h.Confirm(now)
	c.Assert(h.GetAge(now.Add(time.Second)), qt.Equals, time.Second)
}

// TestApplyIfNewerBelowHighestVersionIsViolation clears the current catalog, which no
// code does, to check that the assertion depends on the highest version only.
func TestApplyIfNewerBelowHighestVersionIsViolation(t *testing.T) {
	c := qt.New(t)
	h := New()
	c.Assert(h.ApplyIfNewer(&Catalog{Version: 9}, "test"), qt.IsTrue)
	h.current.Store(nil)
	before := asserter.Violations()
	c.Assert(h.ApplyIfNewer(&Catalog{Version: 8}, "test"), qt.IsFalse)
	c.Assert(asserter.Violations(), qt.Equals, before+1)
}
