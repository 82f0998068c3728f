package isolator

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/wire/encoder"
)

// newTestMonitor returns a Monitor of a backend server that had boot ID "1" and has boot.
func newTestMonitor(boot string) *Monitor {
	m := NewMonitor("agent-1", func(ctx context.Context) (string, error) { return boot, ctx.Err() })
	m.SetBoot("1")
	return m
}

func startRun(c *qt.C, m *Monitor, digest string) *Run {
	r, err := m.StartRun([]byte(digest), false)
	c.Assert(err, qt.IsNil)
	return r
}

// Two runs of one crash may notice it one after the other, when the server is up again.
func TestRunThatNoticesCrashLateIsNotOverlooked(t *testing.T) {
	c := qt.New(t)
	m := newTestMonitor("2")
	first, second := startRun(c, m, "a"), startRun(c, m, "b")
	c.Assert(first.DetectCrash(c.Context()), qt.IsTrue)
	first.Finish()
	c.Assert(second.DetectCrash(c.Context()), qt.IsTrue)
	second.Finish()
	crashes, suspects := m.GetCrashes()
	c.Assert(crashes, qt.Equals, uint64(1))
	c.Assert(suspects, qt.HasLen, 2)
	later := startRun(c, m, "c")
	c.Assert(later.DetectCrash(c.Context()), qt.IsFalse)
}

// The health check may see the new boot ID before the runs that the crash cut off.
func TestCrashSeenByHealthCheckFirstIsNotOverlooked(t *testing.T) {
	c := qt.New(t)
	m := newTestMonitor("2")
	r := startRun(c, m, "a")
	m.SetBoot("2")
	c.Assert(r.DetectCrash(c.Context()), qt.IsTrue)
}

func TestServerThatDoesNotAnswerHasCrashed(t *testing.T) {
	c := qt.New(t)
	m := NewMonitor("agent-1", func(context.Context) (string, error) { return "", errors.New("refused") })
	isolated, err := m.StartRun([]byte("a"), true)
	c.Assert(err, qt.IsNil)
	_, err = m.StartRun([]byte("b"), true)
	c.Assert(err, qt.ErrorIs, ErrOccupied)
	c.Assert(isolated.DetectCrash(c.Context()), qt.IsTrue)
	_, suspects := m.GetCrashes()
	c.Assert(suspects, qt.HasLen, 1)
	c.Assert(suspects[0].GetCulprit(), qt.IsTrue)
	c.Assert(suspects[0].GetDigest(), qt.DeepEquals, []byte("a"))
	c.Assert(suspects[0], qt.Satisfies, func(e *encoder.Suspect) bool { return e.GetInstance() == "agent-1" })
	isolated.Finish()
	_, err = m.StartRun([]byte("b"), true)
	c.Assert(err, qt.IsNil)
}

// A caller that leaves while its run probes must not make suspects of all other runs.
func TestCancelledProbeIsNoCrash(t *testing.T) {
	c := qt.New(t)
	m := newTestMonitor("1")
	ctx, cancel := context.WithCancel(c.Context())
	cancel()
	c.Assert(startRun(c, m, "a").DetectCrash(ctx), qt.IsFalse)
	crashes, suspects := m.GetCrashes()
	c.Assert(crashes, qt.Equals, uint64(0))
	c.Assert(suspects, qt.HasLen, 0)
}

// A restart between two runs is no crash of the second one.
func TestRestartWithoutRunsIsNoCrash(t *testing.T) {
	c := qt.New(t)
	m := newTestMonitor("2")
	m.SetBoot("2")
	c.Assert(startRun(c, m, "a").DetectCrash(c.Context()), qt.IsFalse)
}

// TestRunOnUnseenIncarnationIsNotHandedOver guards against a run on a server that has just
// restarted, whose boot ID no health check has seen: its crash can't be told by the boot ID.
func TestRunOnUnseenIncarnationIsNotHandedOver(t *testing.T) {
	c := qt.New(t)
	boot, probeErr := "", errors.New("refused")
	m := NewMonitor("agent-1", func(context.Context) (string, error) { return boot, probeErr })
	m.SetBoot("1")
	first := startRun(c, m, "a")
	c.Assert(first.IsUnseen, qt.IsFalse)
	c.Assert(first.DetectCrash(c.Context()), qt.IsTrue)
	first.Finish()
	unseen := startRun(c, m, "b")
	c.Assert(unseen.IsUnseen, qt.IsTrue)
	unseen.Finish()
	m.SetBoot("2")
	seen := startRun(c, m, "c")
	c.Assert(seen.IsUnseen, qt.IsFalse)
	boot, probeErr = "3", nil
	c.Assert(seen.DetectCrash(c.Context()), qt.IsTrue)
}
