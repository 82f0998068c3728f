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

// Parameters of the simulation, at the size of a present deployment.
const (
	entryCount     = 9
	serverCount    = 12
	slots          = 8
	meanService    = 400 * time.Millisecond
	reportInterval = time.Second
	reportLag      = 200 * time.Millisecond
	deadline       = 4 * time.Second
	zoneLatency    = 500 * time.Microsecond
	prefixCount    = 200
	cacheSize      = 24
	// cacheGain is the fraction of the service time that a cached prefix saves.
	cacheGain = 0.3
	// stallFactor multiplies the service time of the stalled backend server.
	stallFactor = 20
	seed        = 20261204
)

// server simulates a backend server: the queue of its agent, and an engine that
// caches prefixes and slows down as its batch grows.
type server struct {
	*queuer.Queue
	name, zone string
	mu         sync.Mutex
	// cached holds prefixes, the most recently used last.
	cached  []uint64
	stalled bool
}

// serve runs a request and returns when it is done or ctx ends.
func (s *server) serve(ctx context.Context, prefix uint64, serviceTime time.Duration, class int) error {
	latest, _ := ctx.Deadline()
	release, err := s.Acquire(ctx, queuer.Work{Class: class, Account: "a", Weight: 1, Deadline: latest})
	if err != nil {
		return err
	}
	defer release()
	serviceTime = time.Duration(float64(serviceTime) * s.slowdown(prefix))
	select {
	case <-time.After(serviceTime):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *server) slowdown(prefix uint64) float64 {
	load := s.GetLoad()
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := 1 + 0.5*float64(load.Running)/slots
	for i, p := range s.cached {
		if p == prefix {
			s.cached = append(s.cached[:i], s.cached[i+1:]...)
			factor *= 1 - cacheGain
			break
		}
	}
	s.cached = append(s.cached, prefix)
	if len(s.cached) > cacheSize {
		s.cached = s.cached[1:]
	}
	if s.stalled {
		factor *= stallFactor
	}
	return factor
}

// entry simulates an entry instance with its own view of the backend servers.
type entry struct {
	picker *picker.Picker
	views  []*picker.Backend
}

// simulation holds the instances and the results of a run with one algorithm.
type simulation struct {
	servers []*server
	entries []*entry
	mu      sync.Mutex
	// latencies holds the latencies of answered and late requests by class, with
	// the deadline for the late ones.
	latencies [2][]time.Duration
	refused   [2]int
	// late counts requests that missed their deadline, by class.
	late [2]int
}

func newSimulation(strategy picker.Strategy) *simulation {
	si := &simulation{}
	for i := range serverCount {
		q := queuer.NewQueue(slots, queuer.WithLimits(64, 1<<20), queuer.WithFloors(0, 0.05), queuer.WithServiceTime(meanService))
		si.servers = append(si.servers, &server{Queue: q, name: fmt.Sprint("m", i), zone: fmt.Sprint("z", i%3)})
	}
	for i := range entryCount {
		e := &entry{picker: picker.New(picker.WithStrategy(strategy), picker.WithZone(fmt.Sprint("z", i%3), zoneLatency))}
		for _, s := range si.servers {
			e.views = append(e.views, picker.NewBackend(s.name, netip.AddrPort{}, s.zone, time.Now().Add(-time.Hour)))
		}
		si.entries = append(si.entries, e)
	}
	return si
}

// sendReports sends reports, delayed by reportLag, to every entry instance until
// ctx ends.
func (si *simulation) sendReports(ctx context.Context) {
	for ctx.Err() == nil {
		for i, s := range si.servers {
			load := s.GetLoad()
			r := picker.Report{Running: load.Running, Queued: load.Waiting, Concurrency: load.Slots, ServiceTime: load.ServiceTime, Ready: true, At: time.Now()}
			time.AfterFunc(reportLag, func() {
				for _, e := range si.entries {
					e.views[i].SetReport(r)
				}
			})
		}
		select {
		case <-time.After(reportInterval):
		case <-ctx.Done():
		}
	}
}

// runRequest sends a request, with at most two attempts, and records the result.
func (si *simulation) runRequest(e *entry, prefix uint64, serviceTime time.Duration, class int) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var tried []*picker.Backend
	var err error
	for range 2 {
		b := e.picker.Pick(e.views, picker.PickInfo{Prefix: prefix, Exclude: tried, Now: time.Now()})
		if b == nil {
			err = queuer.ErrFull
			break
		}
		tried = append(tried, b)
		b.Start(prefix, time.Now())
		err = si.getServer(b).serve(ctx, prefix, serviceTime, class)
		if l := si.getServer(b).GetLoad(); true {
			b.SetLoad(l.Running+l.Waiting, time.Now())
		}
		b.Finish(false)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	si.mu.Lock()
	defer si.mu.Unlock()
	switch {
	case err == nil:
		si.latencies[class] = append(si.latencies[class], time.Since(start))
	case ctx.Err() != nil:
		si.late[class]++
		si.latencies[class] = append(si.latencies[class], deadline)
	default:
		si.refused[class]++
	}
}

func (si *simulation) getServer(b *picker.Backend) *server {
	for _, s := range si.servers {
		if s.name == b.Name {
			return s
		}
	}
	return nil
}

// workload describes the requests that callers send.
type workload struct {
	// rate is in requests per second over all entry instances.
	rate     float64
	duration time.Duration
	// background is the fraction of background requests.
	background float64
	// stallFrom and stallTo are the start and end of one backend server's stall.
	stallFrom, stallTo time.Duration
}

// run sends a workload whose prefixes are Zipf distributed and shift by one every
// 10 s.
func (si *simulation) run(l workload) {
	rng := rand.New(rand.NewPCG(seed, 9))
	zipf := rand.NewZipf(rng, 1.1, 1, prefixCount-1)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { si.sendReports(ctx) })
	start := time.Now()
	for time.Since(start) < l.duration {
		time.Sleep(time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second)))
		at := time.Since(start)
		si.servers[0].mu.Lock()
		si.servers[0].stalled = at >= l.stallFrom && at < l.stallTo
		si.servers[0].mu.Unlock()
		class := 0
		if rng.Float64() < l.background {
			class = 1
		}
		drift := uint64(at / (10 * time.Second))
		prefix := (zipf.Uint64()+drift)*0x9e3779b97f4a7c15 + 1
		serviceTime := time.Duration(float64(meanService) / 1.3 * math.Exp(0.5*rng.NormFloat64()-0.125))
		e := si.entries[rng.IntN(entryCount)]
		wg.Go(func() { si.runRequest(e, prefix, serviceTime, class) })
		if rng.IntN(100) == 0 {
			for _, e := range si.entries {
				picker.Eject(e.views, time.Now())
			}
		}
	}
	time.Sleep(2 * deadline)
	cancel()
	wg.Wait()
}

func quantile(latencies []time.Duration, q float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	return latencies[int(q*float64(len(latencies)-1))]
}

// capacity is the rate that saturates the servers, in requests per second.
const capacity = serverCount * slots / 0.4

func runSimulation(t *testing.T, strategy picker.Strategy, l workload) (si *simulation) {
	synctest.Test(t, func(*testing.T) {
		si = newSimulation(strategy)
		si.run(l)
	})
	return si
}

func isBench() bool { return os.Getenv("SISKINFALL_BENCH") != "" }

// TestRoutingWays compares the algorithms with one stalled backend server, delayed
// reports and shifting prefixes.
func TestRoutingWays(t *testing.T) {
	c := qt.New(t)
	l := workload{rate: 0.7 * capacity, duration: 30 * time.Second, stallFrom: 10 * time.Second, stallTo: 20 * time.Second}
	if isBench() {
		l.duration = 120 * time.Second
		l.stallTo = 60 * time.Second
	}
	strategies := []picker.Strategy{
		picker.RoundRobin{}, picker.Random{}, picker.LeastReported{}, picker.BoundedRendezvous{Factor: 1.25},
		picker.ExpectedCompletion{Candidates: 2}, picker.ExpectedCompletion{Candidates: 4},
	}
	p99 := make(map[string]time.Duration)
	t.Logf("%-42s %8s %8s %8s %8s %8s", "way", "answered", "p50", "p99", "refused", "late")
	for _, strategy := range strategies {
		si := runSimulation(t, strategy, l)
		name := fmt.Sprintf("%T%+v", strategy, strategy)
		p99[name] = quantile(si.latencies[0], 0.99)
		t.Logf("%-42s %8d %8s %8s %8d %8d", name, len(si.latencies[0]), quantile(si.latencies[0], 0.5).Round(time.Millisecond),
			p99[name].Round(time.Millisecond), si.refused[0], si.late[0])
	}
	own := p99[fmt.Sprintf("%T%+v", strategies[4], strategies[4])]
	for name, otherP99 := range p99 {
		c.Check(float64(own) <= 1.1*float64(otherP99), qt.IsTrue, qt.Commentf("%s has a p99 of %s, expected completion %s", name, otherP99, own))
	}
}

// TestOverload sends twice the capacity: the goodput stays at that of saturation,
// and requests of class field stay within their latency bound.
func TestOverload(t *testing.T) {
	c := qt.New(t)
	duration := 20 * time.Second
	if isBench() {
		duration = 120 * time.Second
	}
	strategy := picker.ExpectedCompletion{Candidates: 2}
	saturated := runSimulation(t, strategy, workload{rate: 3 * capacity, duration: duration})
	si := runSimulation(t, strategy, workload{rate: 2 * capacity, duration: duration, background: 0.75})
	answered := len(si.latencies[0]) + len(si.latencies[1]) - si.late[0] - si.late[1]
	maxAnswered := len(saturated.latencies[0]) - saturated.late[0]
	t.Logf("saturated %d answered; at 2x: field %d answered, %d refused, %d late, p99 %s; background %d answered, %d refused, %d late",
		maxAnswered, len(si.latencies[0]), si.refused[0], si.late[0], quantile(si.latencies[0], 0.99).Round(time.Millisecond),
		len(si.latencies[1]), si.refused[1], si.late[1])
	c.Check(float64(answered) >= 0.95*float64(maxAnswered), qt.IsTrue, qt.Commentf("%d of %d", answered, maxAnswered))
	c.Check(quantile(si.latencies[0], 0.99) <= 1700*time.Millisecond, qt.IsTrue)
	c.Check(len(si.latencies[1]) > 0, qt.IsTrue)
}
