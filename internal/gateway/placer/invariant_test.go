package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/check/asserter"
)

// TestClosedServerIsAssignedNothing closes a server that may receive work, in each way, and
// expects that Place refuses the work, and that assigning it all the same violates the
// invariant.
func TestClosedServerIsAssignedNothing(t *testing.T) {
	for _, reason := range []closedReason{listedLeaving, saysLeaving, asksForPause, isReturning, zoneIsClosed, isAtColdRate} {
		t.Run(string(reason), func(t *testing.T) {
			c := qt.New(t)
			p, _ := newColdPlacer(1)
			s := p.byService["desk"][0]
			switch reason {
			case notClosed:
			case listedLeaving:
				s.Leaving = true
			case saysLeaving:
				p.SetLeaving(s.Server, start)
			case asksForPause:
				p.SetPause(s.Server, time.Second, start)
			case isReturning:
				p.SetPause(s.Server, time.Millisecond, start.Add(-time.Second))
				p.closures[incarnationOf(&s.Server)].placed = 1
			case isAtColdRate:
				p.SetCold(s.Server, time.Minute, start)
				sendAll(p, start)
			case zoneIsClosed:
				p.SetClosedZones([]string{s.Zone}, start)
			}
			c.Assert(p.closedReason(s, start), qt.Equals, reason)
			_, refused := p.Place(deskWork(start), start).(*Refused)
			c.Assert(refused, qt.IsTrue)
			before := asserter.Violations()
			_, refused = p.assign(s, deskWork(start), start).(*Refused)
			c.Assert(refused, qt.IsTrue)
			c.Assert(asserter.Violations(), qt.Equals, before+1)
		})
	}
}
