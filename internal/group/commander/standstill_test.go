package commander

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func allAddrs() []netip.AddrPort {
	addrs := make([]netip.AddrPort, testRanks)
	for r := range addrs {
		addrs[r] = rankAddr(r)
	}
	return addrs
}

func readGroup(ctx context.Context, c *qt.C, cmd *Commander) Group {
	c.Helper()
	g, err := NewGroup(cmd.ReadAll(ctx, allAddrs(), Query{}))
	c.Assert(err, qt.IsNil)
	return g
}

// setPrepared makes a rank have a map prepared, as after a copy.
func (g *fakeGroup) setPrepared(rank int, version uint64, experts [][]int) {
	r := g.ranks[rank]
	r.highestVersion, r.prepared, r.preparedExperts = version, &version, experts
}

// TestLaterMapReachesNoOtherRankWhileFirstCanBeArmed guards against a leader with an old
// status of the first rank that takes an earlier map from the other ranks.
func TestLaterMapReachesNoOtherRankWhileFirstCanBeArmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newFakeGroup(1, faults{})
		ctx, cancel := context.WithCancel(t.Context())
		go g.run(ctx)
		cmd := New(g, rand.Uint64)
		cmd.Observe(readGroup(ctx, c, cmd)[1])
		time.Sleep(2 * passTime)
		old := readGroup(ctx, c, cmd)
		version := cmd.NewVersion(old, 2, time.Now().AddDate(27, 0, 0))
		rng := rand.New(rand.NewPCG(2, 2))
		placement := randomPlacement(rng)
		g.mu.Lock()
		for r := range testRanks {
			g.setPrepared(r, version, rankExperts(placement, r))
		}
		g.mu.Unlock()
		later := Prepare{Version: cmd.NewVersion(old, 1, time.Now().AddDate(27, 0, 0)), Placement: randomPlacement(rng)}
		c.Assert(later.Version > version, qt.IsTrue)
		go func() { _ = cmd.Change(ctx, old, old[1], later) }()
		time.Sleep(copyTime / 2)
		g.mu.Lock()
		c.Check(g.ranks[0].highestVersion, qt.Equals, later.Version)
		for r := 1; r < testRanks; r++ {
			c.Check(g.ranks[r].highestVersion, qt.Equals, version)
		}
		g.mu.Unlock()
		time.Sleep(2 * time.Second)
		cancel()
		time.Sleep(time.Second)
		g.mu.Lock()
		defer g.mu.Unlock()
		c.Check(g.ranks[0].version, qt.Equals, later.Version)
		c.Check(g.violation, qt.Equals, "")
	})
}
