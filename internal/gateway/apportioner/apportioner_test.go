package apportioner

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 80)
}

// newFleet returns the settled Apportioners of n gateways that know each other.
func newFleet(n int) []*Apportioner {
	all := make([]netip.AddrPort, 0, n)
	for i := range n {
		all = append(all, addr(i))
	}
	fleet := make([]*Apportioner, 0, n)
	for i := range n {
		a := New(addr(i), start)
		a.SetGateways(slices.Delete(slices.Clone(all), i, i+1), true, start.Add(settleTime))
		fleet = append(fleet, a)
	}
	return fleet
}

func sumShares(fleet []*Apportioner, units int, server string) int {
	sum := 0
	for _, a := range fleet {
		sum += a.GetShare(units, server)
	}
	return sum
}

// TestSharesAddUpToUnits guards against units that two gateways use, or none.
func TestSharesAddUpToUnits(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{1, 2, 7, 17, 30, 330} {
		fleet := newFleet(n)
		for _, units := range []int{1, 5, 17, 100} {
			for server := range 5 {
				c.Check(sumShares(fleet, units, fmt.Sprint(server)), qt.Equals, units, qt.Commentf("%d gateways", n))
			}
		}
	}
}

// TestUnitsOfServersGoToDifferentGateways guards against gateways that have no unit of any
// server.
func TestUnitsOfServersGoToDifferentGateways(t *testing.T) {
	c := qt.New(t)
	for i, a := range newFleet(30) {
		sum := 0
		for server := range 21 {
			sum += a.GetShare(17, fmt.Sprint("server-", server))
		}
		c.Check(sum >= 21*17/30/2, qt.IsTrue, qt.Commentf("gateway %d has %d units", i, sum))
	}
}

// TestGatewayUnknownToSomeMovesOneUnit guards against views of the fleet that differ a little
// and shares that differ much.
func TestGatewayUnknownToSomeMovesOneUnit(t *testing.T) {
	c := qt.New(t)
	before, after := newFleet(30), newFleet(31)
	for server := range 50 {
		name := fmt.Sprint(server)
		mixed := slices.Concat(before[:15], after[15:])
		sum := sumShares(mixed, 17, name)
		c.Check(sum >= 16 && sum <= 18, qt.IsTrue, qt.Commentf("%d units of 17", sum))
	}
}

// TestGatewayTakesNoShareBeforeItIsKnown guards against a gateway that starts, or starts cut off
// from the others, and uses what they have divided among themselves.
func TestGatewayTakesNoShareBeforeItIsKnown(t *testing.T) {
	c := qt.New(t)
	a := New(addr(0), start)
	c.Check(a.GetShare(17, "s"), qt.Equals, 0)
	a.SetGateways([]netip.AddrPort{addr(1)}, true, start.Add(settleTime-time.Millisecond))
	c.Check(a.GetShare(17, "s"), qt.Equals, 0)
	a.SetGateways([]netip.AddrPort{addr(1)}, false, start.Add(time.Hour))
	c.Check(a.GetShare(17, "s"), qt.Equals, 0)
	a.SetGateways([]netip.AddrPort{addr(1)}, true, start.Add(time.Hour))
	c.Check(a.GetShare(16, "s"), qt.Equals, 8)
	alone := New(addr(0), start)
	alone.SetGateways(nil, false, start.Add(settleTime))
	c.Check(alone.GetShare(17, "s"), qt.Equals, 17)
}
