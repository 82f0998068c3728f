package subscriber

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUnchangedPartsAreLeftOut counts what is told in ten seconds.
func TestUnchangedPartsAreLeftOut(t *testing.T) {
	c := qt.New(t)
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	r := repeater{}
	told := 0
	for i := range 100 {
		part := "a"
		if i >= 40 {
			part = "b"
		}
		if r.isDue(part, start.Add(time.Duration(i)*100*time.Millisecond)) {
			told++
		}
	}
	// At the start, at the change after 4 s, and 5 s later.
	c.Assert(told, qt.Equals, 3)
}
