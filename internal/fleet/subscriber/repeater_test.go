package subscriber

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestIsDueOmitsUnchangedParts counts the parts that are due in ten seconds.
func TestIsDueOmitsUnchangedParts(t *testing.T) {
	c := qt.New(t)
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	f := changeFilter{}
	sent := 0
	for i := range 100 {
		part := "a"
		if i >= 40 {
			part = "b"
		}
		if f.isDue(part, start.Add(time.Duration(i)*100*time.Millisecond)) {
			sent++
		}
	}
	// At the start, at the change after 4 s, and 5 s later.
	c.Assert(sent, qt.Equals, 3)
}

// TestGatewaysAreSentOnceOnEachStream guards against lists of hundreds of gateways, and of as
// many engines, that are sent whole on each of ten thousand streams at each change.
func TestGatewaysAreSentOnceOnEachStream(t *testing.T) {
	c := qt.New(t)
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	f := newMemberFilter()
	gateways := make([]string, 0, 99)
	sent := 0
	for i := range 99 {
		gateways = append(gateways, fmt.Sprint("g", i))
		sent += len(f.take(gateways, start.Add(time.Duration(i)*100*time.Millisecond)))
	}
	c.Assert(sent, qt.Equals, 99)
	c.Assert(f.take(gateways, start.Add(memberResendInterval-time.Second)), qt.HasLen, 0)
	c.Assert(f.take(gateways, start.Add(2*memberResendInterval)), qt.HasLen, 99)
	f.take(gateways[1:], start.Add(2*memberResendInterval+time.Second))
	c.Assert(f.take(gateways, start.Add(2*memberResendInterval+2*time.Second)), qt.DeepEquals, gateways[:1])
}
