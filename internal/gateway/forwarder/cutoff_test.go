package forwarder

import (
	"context"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/fault/wrapper"
)

// TestWorkThatAGroupCutsOffIsNotBlamed guards against blaming each request of a model group
// for the crash of one rank: the other ranks cut off their work when the group has been down
// for a while.
func TestWorkThatAGroupCutsOffIsNotBlamed(t *testing.T) {
	c := qt.New(t)
	sent := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	after := func(ms int) time.Time { return sent.Add(time.Duration(ms) * time.Millisecond) }
	for _, tc := range []struct {
		name           string
		err            error
		downSince, now time.Time
		want           bool
	}{
		{"cut off after the stall", wrapper.At("read", "i", io.ErrUnexpectedEOF), after(400), after(1500), true},
		{"reset after the stall", syscall.ECONNRESET, after(400), after(1500), true},
		{"crash before the stall is reported", syscall.ECONNRESET, time.Time{}, after(3), false},
		{"crash at the time of the report", syscall.ECONNRESET, after(400), after(500), false},
		{"group that was down before", syscall.ECONNRESET, after(-100), after(1500), false},
		{"silent server", os.ErrDeadlineExceeded, after(400), after(1500), false},
		{"canceled", context.Canceled, after(400), after(1500), false},
	} {
		c.Check(isCutOff(tc.err, tc.downSince, sent, tc.now), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}
