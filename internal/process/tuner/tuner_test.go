package tuner

import (
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPercentLeavesTheHeadroom(t *testing.T) {
	c := qt.New(t)
	c.Assert(getPercent(0), qt.Equals, 100)
	c.Assert(getPercent(1<<20), qt.Equals, 1000)
	c.Assert(getPercent(4<<20), qt.Equals, 400)
	c.Assert(getPercent(64<<20), qt.Equals, 100)
}

func TestLiveMemoryIsKnown(t *testing.T) {
	runtime.GC()
	qt.Assert(t, getLive() > 0 && getLive() < 1<<40, qt.IsTrue)
}
