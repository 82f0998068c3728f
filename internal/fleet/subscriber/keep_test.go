package subscriber

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/gateway/quarantiner"
)

// block lets three servers end under a request.
func block(s *quarantiner.Set, digest uint64, now time.Time) {
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		s.AddLoss(digest, quarantiner.NewServer(id, now), now, now)
	}
}

// TestKeptLossesAreSentOnce guards against all kept losses in the message of each change, which
// a cut of a zone makes hundreds of.
func TestKeptLossesAreSentOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	gateway := quarantiner.New(1)
	kept := &keptSnapshot{losses: gateway}
	f := newKeptFilter(kept)
	c.Assert(f.take(now), qt.HasLen, 0)
	sent := 0
	for digest := range uint64(50) {
		block(gateway, digest+1, now)
		sent += len(f.take(now))
		now = now.Add(100 * time.Millisecond)
		sent += len(f.take(now))
	}
	c.Assert(sent, qt.Equals, 50)
	gateway.AddServed(7, now)
	freed := f.take(now)
	c.Assert(freed, qt.HasLen, 1)
	c.Assert(freed[0].GetDigest(), qt.Equals, uint64(7))
	// A sidecar that starts again has another stream.
	c.Assert(newKeptFilter(kept).take(now), qt.HasLen, 50)
}

// TestKeptLossesAreReadOnceForAllSidecars guards against a gateway that spends most of its processor
// time on reading the same losses for each of its sidecars, and against one that sends old ones.
func TestKeptLossesAreReadOnceForAllSidecars(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	gateway := quarantiner.New(1)
	kept := &keptSnapshot{losses: gateway}
	block(gateway, 1, now)
	first := kept.get(now)
	c.Assert(first, qt.HasLen, 1)
	c.Assert(&kept.get(now.Add(keptBatchInterval - 1))[0], qt.Equals, &first[0])
	block(gateway, 2, now)
	c.Assert(kept.get(now), qt.HasLen, 2)
	// Losses that no longer count are left out, though nothing else changes.
	c.Assert(kept.get(now.Add(time.Hour)), qt.HasLen, 0)
}

// TestLossesAreKeptInOwnZone guards against losses that cross zones on each of the streams, though
// the gateways there keep them, too.
func TestLossesAreKeptInOwnZone(t *testing.T) {
	c := qt.New(t)
	near, far := lister.Server{Service: "llm", Zone: "a", Addr: netip.MustParseAddrPort("127.0.0.1:81")}, lister.Server{Service: "llm", Zone: "b", Addr: netip.MustParseAddrPort("127.0.0.2:81")}
	plain := lister.Server{Service: "desk", Zone: "a", Addr: netip.MustParseAddrPort("127.0.0.1:82")}
	catalog := &holder.Catalog{Version: 1, Services: []holder.Service{{Name: "llm", Engine: &holder.Engine{}}, {Name: "desk"}}}
	catalog.Index()
	s := &Subscriber{zone: "a"}
	s.SetServers([]lister.Server{near, far, plain})
	c.Assert(s.isNear(catalog, near), qt.IsTrue)
	c.Assert(s.isNear(catalog, far), qt.IsFalse)
	c.Assert(s.isNear(catalog, plain), qt.IsFalse)
	// Without any in the own zone those of others are better than none.
	s.SetServers([]lister.Server{far, plain})
	c.Assert(s.isNear(catalog, far), qt.IsTrue)
}

// TestAllSidecarsAreAsked guards against a gateway that serves before a sidecar has said what it
// keeps, and against one that waits for a sidecar that is away.
func TestAllSidecarsAreAsked(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	engine, dark, plain := netip.MustParseAddrPort("127.0.0.1:81"), netip.MustParseAddrPort("127.0.0.2:81"), netip.MustParseAddrPort("127.0.0.1:82")
	catalog := holder.New()
	s := New(netip.MustParseAddrPort("127.0.0.1:80"), "", 90, nil, catalog, nil, quarantiner.New(1), nil, nil)
	c.Assert(s.IsAsked(now), qt.IsFalse)
	catalog.ApplyIfNewer(&holder.Catalog{Version: 1, Services: []holder.Service{{Name: "llm", Engine: &holder.Engine{}}, {Name: "desk"}}}, "test")
	c.Assert(s.IsAsked(now), qt.IsFalse)
	s.SetServers([]lister.Server{{Service: "llm", Addr: engine}, {Service: "llm", Addr: dark}, {Service: "desk", Addr: plain}})
	c.Assert(s.IsAsked(now), qt.IsFalse)
	s.followed[engine], s.followed[dark] = &followed{}, &followed{}
	// Without an answer there is no reason to believe that the others keep nothing.
	s.setAsked(engine)
	c.Assert(s.IsAsked(now.Add(time.Minute)), qt.IsFalse)
	s.setAnswered(now)
	c.Assert(s.IsAsked(now.Add(stragglerTime/2)), qt.IsFalse)
	c.Assert(s.IsAsked(now.Add(stragglerTime)), qt.IsTrue)
	s.setAsked(dark)
	c.Assert(s.IsAsked(now), qt.IsTrue)
}
