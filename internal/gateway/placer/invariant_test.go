package placer

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/check/asserter"
)

// TestLeavingServerIsNeverPlaced puts a leaving server among those that get work, which
// SetServers never does.
func TestLeavingServerIsNeverPlaced(t *testing.T) {
	c := qt.New(t)
	p := newPlain(1)
	p.byService["desk"][0].Leaving = true
	before := asserter.Violations()
	_, refused := p.Place(deskWork(start), start).(*Refused)
	c.Assert(refused, qt.IsTrue)
	c.Assert(asserter.Violations(), qt.Equals, before+1)
}
