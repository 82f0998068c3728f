package hedger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

const objective = 400 * time.Millisecond

// TestSpendExceedsLimitInSomeWindow guards against spending in a window what was not used
// before it, over all gateways: random requests and late attempts, with bursts and pauses.
func TestSpendExceedsLimitInSomeWindow(t *testing.T) {
	const gateways, steps, ratio = 5, 4000, 0.05
	for seed := range uint64(20) {
		c := qt.New(t)
		rng := rand.New(rand.NewPCG(seed, 48))
		all := make([]*Hedger, gateways)
		for i := range all {
			all[i] = New(ratio)
		}
		requests, spent := make([]int, steps+1), make([]int, steps+1)
		for n := range steps {
			h := all[rng.IntN(gateways)]
			requests[n+1], spent[n+1] = requests[n], spent[n]
			if rng.IntN(3+n/500%4*10) == 0 {
				if h.Take(Origin{Service: "s"}) == Allowed {
					spent[n+1]++
				}
				continue
			}
			h.AddRequest("s")
			requests[n+1]++
		}
		c.Assert(spent[steps] > 0, qt.IsTrue)
		for from := 0; from < steps; from += 7 {
			for to := from + 1; to <= steps; to += 13 {
				bound := ratio*float64(requests[to]-requests[from]) + gateways*MaxCredit
				if n := spent[to] - spent[from]; float64(n) > bound+1e-9 {
					t.Fatalf("seed %d, steps %d to %d: %d second attempts, bound %v", seed, from, to, n, bound)
				}
			}
		}
	}
}

// TestLimitIsSharedByServices guards against spending what one service has earned on another.
func TestLimitIsSharedByServices(t *testing.T) {
	c := qt.New(t)
	h := New(0.5)
	h.AddRequest("a")
	h.AddRequest("a")
	c.Assert(h.Take(Origin{Service: "b"}), qt.Equals, OverLimit)
	c.Assert(h.Take(Origin{Service: "a"}), qt.Equals, Allowed)
	c.Assert(h.Take(Origin{Service: "a"}), qt.Equals, OverLimit)
}

// TestSecondAttemptsInSlowArea guards against second attempts where a whole zone or service is
// slow, against none for one slow server, and against a stop that lasts.
func TestSecondAttemptsInSlowArea(t *testing.T) {
	for name, test := range map[string]struct {
		isSlow func(zone, server int) bool
		want   [2]Denial
	}{
		"one server":  {func(zone, server int) bool { return zone == 0 && server == 0 }, [2]Denial{Allowed, Allowed}},
		"one zone":    {func(zone, _ int) bool { return zone == 0 }, [2]Denial{WidelySlow, Allowed}},
		"all servers": {func(int, int) bool { return true }, [2]Denial{WidelySlow, WidelySlow}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := New(0.5)
			now := start
			send := func(isSlow func(zone, server int) bool) {
				for n := range 120 {
					zone, server := n%3, n/3%4
					h.AddRequest("s")
					now = now.Add(50 * time.Millisecond)
					h.Record(Class{Service: "s"}, Origin{"s", fmt.Sprint("z", zone), fmt.Sprint(zone, server)}, objective, isSlow(zone, server), now)
				}
			}
			send(test.isSlow)
			for zone, want := range test.want {
				c.Assert(h.Take(Origin{Service: "s", Zone: fmt.Sprint("z", zone)}), qt.Equals, want)
			}
			send(func(int, int) bool { return false })
			c.Assert(h.Take(Origin{Service: "s", Zone: "z0"}), qt.Equals, Allowed)
		})
	}
}

// TestDelayIsWithinUse guards against a delay below what most requests take, against one after
// which no second answer is in time, and against times of long ago.
func TestDelayIsWithinUse(t *testing.T) {
	c := qt.New(t)
	class := NewClass("s", true, 700)
	fill := func(h *Hedger, n int, took func(i int) time.Duration, now time.Time) {
		for i := range n {
			h.Record(class, Origin{Service: "s", Server: "a"}, took(i), false, now)
		}
	}
	get := func(took func(i int) time.Duration, objective time.Duration) time.Duration {
		h := New(0.1)
		fill(h, 100, took, start)
		return h.GetDelay(class, objective, start.Add(time.Second)).Round(10 * time.Millisecond)
	}
	always := func(d time.Duration) func(int) time.Duration { return func(int) time.Duration { return d } }
	sometimes := func(slow int) func(int) time.Duration {
		return func(i int) time.Duration {
			if i < slow {
				return time.Second
			}
			return 150 * time.Millisecond
		}
	}
	c.Assert(get(always(10*time.Millisecond), objective), qt.Equals, objective/4)
	c.Assert(get(sometimes(3), objective), qt.Equals, 150*time.Millisecond)
	c.Assert(get(sometimes(10), objective) <= 310*time.Millisecond, qt.IsTrue)
	c.Assert(get(always(time.Second), objective) >= 990*time.Millisecond, qt.IsTrue)
	c.Assert(get(sometimes(10), 0) >= 990*time.Millisecond, qt.IsTrue)

	h := New(0.1)
	c.Assert(h.GetDelay(class, objective, start), qt.Equals, objective/2)
	c.Assert(h.GetDelay(class, 0, start), qt.Equals, time.Duration(0))
	fill(h, minSamples-1, always(time.Second), start)
	c.Assert(h.GetDelay(class, objective, start.Add(time.Second)), qt.Equals, objective/2)
	fill(h, minSamples, always(time.Second), start.Add(time.Second))
	c.Assert(h.GetDelay(class, objective, start.Add(2*time.Second)) >= 990*time.Millisecond, qt.IsTrue)
	c.Assert(h.GetDelay(class, objective, start.Add(2*time.Minute)), qt.Equals, objective/2)
}
