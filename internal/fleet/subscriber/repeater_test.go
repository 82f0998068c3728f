package subscriber

import (
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
