package picker_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"os"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/admission/queuer"
	"siskinfall/internal/routing/picker"
)

// Conditions of the measurement: the sizes of today.
const (
	entries     = 9
	models      = 12
	slots       = 8
	meanService = 400 * time.Millisecond
	reportEvery = time.Second
	reportLag   = 200 * time.Millisecond
	deadline    = 4 * time.Second
	zoneHop     = 500 * time.Microsecond
	prefixes    = 200
	cacheSize   = 24
	// cacheGain is the part of the service time that a cached prefix saves.
	cacheGain = 0.3
	// stallFactor slows the stalled backend server.
	stallFactor = 20
	seed        = 20261204
)

// server is a backend server: the queue of its agent, and an engine that caches
// prefixes and slows down as it fills.
type server struct {
	*queuer.Queue
	name, zone string
	mu         sync.Mutex
	// cached holds prefixes, the latest used last.
	cached  []uint64
	stalled bool
}

// serve runs one request and returns when it is done.
func (s *server) serve(ctx context.Context, prefix uint64, work time.Duration, class int) error {
	limit, _ := ctx.Deadline()
	release, err := s.Acquire(ctx, queuer.Work{Class: class, Account: "a", Weight: 1, Deadline: limit})
	if err != nil {
		return err
	}
	defer release()
	work = time.Duration(float64(work) * s.factor(prefix))
	select {
	case <-time.After(work):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *server) factor(prefix uint64) float64 {
	load := s.GetLoad()
	s.mu.Lock()
	defer s.mu.Unlock()
	f := 1 + 0.5*float64(load.Running)/slots
	for i, p := range s.cached {
		if p == prefix {
			s.cached = append(s.cached[:i], s.cached[i+1:]...)
			f *= 1 - cacheGain
			break
		}
	}
	s.cached = append(s.cached, prefix)
	if len(s.cached) > cacheSize {
		s.cached = s.cached[1:]
	}
	if s.stalled {
		f *= stallFactor
	}
	return f
}

// entry is one entry instance with its own view of the backend servers.
type entry struct {
	picker *picker.Picker
	views  []*picker.Backend
}

// field is a measurement of one way of choosing.
type field struct {
	servers []*server
	entries []*entry
	mu      sync.Mutex
	// times are those of answered requests by class.
	times   [2][]time.Duration
	refused [2]int
	// late counts requests that ran past their deadline.
	late [2]int
}

func newField(way picker.Way) *field {
	f := &field{}
	for i := range models {
		q := queuer.NewQueue(slots, queuer.WithLimits(64, 1<<20), queuer.WithFloors(0, 0.05), queuer.WithServiceTime(meanService))
		f.servers = append(f.servers, &server{Queue: q, name: fmt.Sprint("m", i), zone: fmt.Sprint("z", i%3)})
	}
	for i := range entries {
		e := &entry{picker: picker.New(picker.WithWay(way), picker.WithZone(fmt.Sprint("z", i%3), zoneHop))}
		for _, s := range f.servers {
			e.views = append(e.views, picker.NewBackend(s.name, netip.AddrPort{}, s.zone, time.Now().Add(-time.Hour)))
		}
		f.entries = append(f.entries, e)
	}
	return f
}

// report sends lagging reports to every entry instance until ctx ends.
func (f *field) report(ctx context.Context) {
	for ctx.Err() == nil {
		for i, s := range f.servers {
			load := s.GetLoad()
			r := picker.Report{Running: load.Running, Queued: load.Waiting, Concurrency: load.Slots, Service: load.Service, Ready: true, At: time.Now()}
			time.AfterFunc(reportLag, func() {
				for _, e := range f.entries {
					e.views[i].SetReport(r)
				}
			})
		}
		select {
		case <-time.After(reportEvery):
		case <-ctx.Done():
		}
	}
}

// request takes one request through at most two attempts.
func (f *field) request(e *entry, prefix uint64, work time.Duration, class int) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var tried []*picker.Backend
	var err error
	for range 2 {
		b := e.picker.Pick(e.views, picker.Demand{Prefix: prefix, Exclude: tried, Now: time.Now()})
		if b == nil {
			err = queuer.ErrFull
			break
		}
		tried = append(tried, b)
		b.Start(prefix, time.Now())
		err = f.find(b).serve(ctx, prefix, work, class)
		if l := f.find(b).GetLoad(); true {
			b.SetLoad(l.Running+l.Waiting, time.Now())
		}
		b.Finish(false)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil:
		f.times[class] = append(f.times[class], time.Since(start))
	case ctx.Err() != nil:
		f.late[class]++
		f.times[class] = append(f.times[class], deadline)
	default:
		f.refused[class]++
	}
}

func (f *field) find(b *picker.Backend) *server {
	for _, s := range f.servers {
		if s.name == b.Name {
			return s
		}
	}
	return nil
}

// load is what callers send.
type load struct {
	// rate is in requests a second over all entry instances.
	rate     float64
	duration time.Duration
	// background is the part of background work.
	background float64
	// stallFrom and stallTo bound the stall of one backend server.
	stallFrom, stallTo time.Duration
}

// run sends a load whose prefixes are Zipf distributed and drift.
func (f *field) run(l load) {
	rng := rand.New(rand.NewPCG(seed, 9))
	zipf := rand.NewZipf(rng, 1.1, 1, prefixes-1)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.report(ctx) })
	start := time.Now()
	for time.Since(start) < l.duration {
		time.Sleep(time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second)))
		at := time.Since(start)
		f.servers[0].mu.Lock()
		f.servers[0].stalled = at >= l.stallFrom && at < l.stallTo
		f.servers[0].mu.Unlock()
		class := 0
		if rng.Float64() < l.background {
			class = 1
		}
		drift := uint64(at / (10 * time.Second))
		prefix := (zipf.Uint64()+drift)*0x9e3779b97f4a7c15 + 1
		work := time.Duration(float64(meanService) / 1.3 * math.Exp(0.5*rng.NormFloat64()-0.125))
		e := f.entries[rng.IntN(entries)]
		wg.Go(func() { f.request(e, prefix, work, class) })
		if rng.IntN(100) == 0 {
			for _, e := range f.entries {
				picker.Eject(e.views, time.Now())
			}
		}
	}
	time.Sleep(2 * deadline)
	cancel()
	wg.Wait()
}

func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[int(q*float64(len(times)-1))]
}

// capacity is the rate at which the servers are full, in requests a second.
const capacity = models * slots / 0.4

func measure(t *testing.T, way picker.Way, l load) (f *field) {
	synctest.Test(t, func(*testing.T) {
		f = newField(way)
		f.run(l)
	})
	return f
}

func isBench() bool { return os.Getenv("SISKINFALL_BENCH") != "" }

// TestRoutingWays compares ways under one stalled backend server, lagging
// reports and drifting prefixes.
func TestRoutingWays(t *testing.T) {
	c := qt.New(t)
	l := load{rate: 0.7 * capacity, duration: 30 * time.Second, stallFrom: 10 * time.Second, stallTo: 20 * time.Second}
	if isBench() {
		l.duration = 120 * time.Second
		l.stallTo = 60 * time.Second
	}
	ways := []picker.Way{
		picker.RoundRobin{}, picker.Random{}, picker.LeastReported{}, picker.BoundedRendezvous{Factor: 1.25},
		picker.ExpectedCompletion{Candidates: 2}, picker.ExpectedCompletion{Candidates: 4},
	}
	p99 := make(map[string]time.Duration)
	t.Logf("%-42s %8s %8s %8s %8s %8s", "way", "answered", "p50", "p99", "refused", "late")
	for _, way := range ways {
		f := measure(t, way, l)
		name := fmt.Sprintf("%T%+v", way, way)
		p99[name] = quantile(f.times[0], 0.99)
		t.Logf("%-42s %8d %8s %8s %8d %8d", name, len(f.times[0]), quantile(f.times[0], 0.5).Round(time.Millisecond),
			p99[name].Round(time.Millisecond), f.refused[0], f.late[0])
	}
	own := p99[fmt.Sprintf("%T%+v", ways[4], ways[4])]
	for name, other := range p99 {
		c.Check(float64(own) <= 1.1*float64(other), qt.IsTrue, qt.Commentf("%s has %s, ours %s", name, other, own))
	}
}

// TestOverload sends twice the capacity: the goodput holds, and field work
// keeps its place.
func TestOverload(t *testing.T) {
	c := qt.New(t)
	duration := 20 * time.Second
	if isBench() {
		duration = 120 * time.Second
	}
	way := picker.ExpectedCompletion{Candidates: 2}
	full := measure(t, way, load{rate: 3 * capacity, duration: duration})
	f := measure(t, way, load{rate: 2 * capacity, duration: duration, background: 0.75})
	answered := len(f.times[0]) + len(f.times[1]) - f.late[0] - f.late[1]
	most := len(full.times[0]) - full.late[0]
	t.Logf("saturated %d answered; at 2x: field %d answered, %d refused, %d late, p99 %s; background %d answered, %d refused, %d late",
		most, len(f.times[0]), f.refused[0], f.late[0], quantile(f.times[0], 0.99).Round(time.Millisecond),
		len(f.times[1]), f.refused[1], f.late[1])
	c.Check(float64(answered) >= 0.95*float64(most), qt.IsTrue, qt.Commentf("%d of %d", answered, most))
	c.Check(quantile(f.times[0], 0.99) <= 1700*time.Millisecond, qt.IsTrue)
	c.Check(len(f.times[1]) > 0, qt.IsTrue)
}
