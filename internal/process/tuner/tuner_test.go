package tuner

import (
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestGCPercentLeavesHeadroom(t *testing.T) {
	c := qt.New(t)
	c.Assert(gcPercent(0), qt.Equals, 100)
	c.Assert(gcPercent(1<<20), qt.Equals, 1000)
	c.Assert(gcPercent(4<<20), qt.Equals, 400)
	c.Assert(gcPercent(64<<20), qt.Equals, 100)
}

func TestReadLiveBytesIsPlausible(t *testing.T) {
	runtime.GC()
	qt.Assert(t, readLiveBytes() > 0 && readLiveBytes() < 1<<40, qt.IsTrue)
}
