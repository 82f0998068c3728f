package queuer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// acquireSlots acquires n slots and returns a function that releases the last one.
func acquireSlots(c *qt.C, q *Queue, n int) (release func()) {
	for range n {
		r, err := q.Acquire(context.Background(), Work{Account: "filler", Deadline: time.Now().Add(time.Hour)})
		c.Assert(err, qt.IsNil)
		release = r
	}
	return release
}

// enqueue waits for a slot in the background. It sends name once it has one, or name
// and the error.
func enqueue(q *Queue, order chan<- string, name string, w Work) {
	if w.Deadline.IsZero() {
		w.Deadline = time.Now().Add(time.Hour)
	}
	go func() {
		release, err := q.Acquire(context.Background(), w)
		if err != nil {
			order <- name + ": " + err.Error()
			return
		}
		order <- name
		time.Sleep(time.Millisecond)
		release()
	}()
	synctest.Wait()
}

func collect(order chan string) []string {
	time.Sleep(time.Second)
	synctest.Wait()
	close(order)
	var got []string
	for name := range order {
		got = append(got, name)
	}
	return got
}

func TestHigherClassRunsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := NewQueue(1, WithFloors(0, 0))
		release := acquireSlots(c, q, 1)
		order := make(chan string, 10)
		enqueue(q, order, "background", Work{Class: 1, Account: "a"})
		enqueue(q, order, "field 1", Work{Class: 0, Account: "a"})
		enqueue(q, order, "field 2", Work{Class: 0, Account: "a"})
		release()
		c.Assert(collect(order), qt.DeepEquals, []string{"field 1", "field 2", "background"})
	})
}

func TestLowerClassGetsItsFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := NewQueue(1, WithFloors(0, 0.25), WithLimits(1000, 1<<20))
		release := acquireSlots(c, q, 1)
		order := make(chan string, 200)
		for i := range 40 {
			enqueue(q, order, "field", Work{Class: 0, Account: fmt.Sprint(i)})
			enqueue(q, order, "background", Work{Class: 1, Account: fmt.Sprint(i)})
		}
		release()
		background := 0
		for _, name := range collect(order)[:40] {
			if name == "background" {
				background++
			}
		}
		c.Assert(background, qt.Equals, 10)
	})
}

func TestAccountsShareSlotsFairly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := NewQueue(1, WithLimits(1000, 1<<20))
		release := acquireSlots(c, q, 1)
		order := make(chan string, 200)
		for range 30 {
			enqueue(q, order, "large", Work{Account: "large", Weight: 1})
		}
		for range 5 {
			enqueue(q, order, "small", Work{Account: "small", Weight: 1})
		}
		release()
		last := 0
		for i, name := range collect(order) {
			if name == "small" {
				last = i
			}
		}
		c.Assert(last <= 10, qt.IsTrue, qt.Commentf("the last work of the small account ran at position %d", last))
	})
}

func TestFullQueueEvictsLowerClassOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := NewQueue(1, WithLimits(1, 1<<20))
		acquireSlots(c, q, 1)
		order := make(chan string, 10)
		enqueue(q, order, "background", Work{Class: 1, Account: "a"})
		enqueue(q, order, "field", Work{Class: 0, Account: "a"})
		c.Assert(<-order, qt.Equals, "background: "+ErrEvicted.Error())
		_, err := q.Acquire(context.Background(), Work{Class: 0, Account: "b", Deadline: time.Now().Add(time.Hour)})
		c.Assert(err, qt.ErrorIs, ErrFull)
		q.Close()
		c.Assert(<-order, qt.Equals, "field: "+ErrClosed.Error())
	})
}

func TestWorkThatMissesItsDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := NewQueue(1, WithServiceTime(time.Second))
		acquireSlots(c, q, 1)
		start := time.Now()
		_, err := q.Acquire(context.Background(), Work{Account: "a", Deadline: time.Now().Add(1500 * time.Millisecond)})
		c.Assert(err, qt.ErrorIs, ErrTooLate)
		c.Assert(time.Since(start), qt.Equals, time.Duration(0))
	})
}

// A backend server that slows down above 8 concurrent requests must get fewer
// slots, and all of them again once it is healthy.
func TestSlotsAdaptToLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := NewQueue(32, WithAdaptiveSlots(2), WithLimits(1000, 1<<20))
		slowdownThreshold := 8
		serve := func() {
			release, err := q.Acquire(context.Background(), Work{Account: "a", Deadline: time.Now().Add(time.Hour)})
			if err != nil {
				return
			}
			excess := max(q.GetLoad().Running-slowdownThreshold, 0)
			time.Sleep(10 * time.Millisecond * time.Duration(1+excess))
			release()
		}
		runClients := func(clients int) {
			var wg sync.WaitGroup
			for range clients {
				wg.Go(func() {
					for range 200 {
						serve()
					}
				})
			}
			wg.Wait()
		}
		runClients(4)
		runClients(64)
		c.Assert(q.GetLoad().Slots <= 14, qt.IsTrue, qt.Commentf("%+v", q.GetLoad()))
		slowdownThreshold = 1000
		runClients(64)
		c.Assert(q.GetLoad().Slots, qt.Equals, 32)
	})
}

// For any sequence of calls, no more work runs than there are slots, and every
// acquired slot is counted until its release.
func TestRandomisedSlotsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := NewQueue(slots, WithLimits(rapid.IntRange(0, 6).Draw(t, "limit"), 1000))
		var held []func()
		for range rapid.IntRange(1, 40).Draw(t, "calls") {
			if rapid.Bool().Draw(t, "release") && len(held) > 0 {
				held[0]()
				held = held[1:]
				continue
			}
			ctx, cancel := context.WithCancel(context.Background())
			if rapid.Bool().Draw(t, "gone") {
				cancel()
			}
			if q.GetLoad().Running >= slots {
				cancel()
			}
			release, err := q.Acquire(ctx, Work{
				Class: rapid.IntRange(0, 2).Draw(t, "class"), Account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"),
				Bytes: rapid.IntRange(0, 600).Draw(t, "bytes"), Deadline: time.Now().Add(time.Hour),
			})
			cancel()
			if err == nil {
				held = append(held, release)
			} else if !IsErrRefused(err) && !errors.Is(err, context.Canceled) {
				t.Fatalf("unexpected error %v", err)
			}
			load := q.GetLoad()
			if load.Running > slots || load.Running != len(held) || load.Waiting != 0 {
				t.Fatalf("load %+v with %d held", load, len(held))
			}
		}
	})
}

func BenchmarkAcquireRelease(b *testing.B) {
	q := NewQueue(32)
	for i := 0; b.Loop(); i++ {
		release, err := q.Acquire(context.Background(), Work{Account: "a", Deadline: time.Now().Add(time.Hour)})
		if err != nil {
			b.Fatal(err)
		}
		release()
	}
}
