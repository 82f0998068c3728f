package placer

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/check/asserter"
)

// TestPlaceRefusesLeavingServer marks a server that may receive work as leaving, a
// state that SetServers never produces, and expects the invariant to be violated.
func TestPlaceRefusesLeavingServer(t *testing.T) {
	c := qt.New(t)
	p := newPlainPlacer(1)
	p.byService["desk"][0].Leaving = true
	before := asserter.Violations()
	_, refused := p.Place(deskWork(start), start).(*Refused)
	c.Assert(refused, qt.IsTrue)
	c.Assert(asserter.Violations(), qt.Equals, before+1)
}
