// Package picker chooses a backend server for each request by its expected
// completion time.
package picker

import (
	"math"
	"net/netip"
	"sync/atomic"
	"time"
)

// Constants of a backend server's state.
const (
	// cacheCells is the number of prompt prefixes remembered for a backend server.
	cacheCells = 512
	// cacheLife is the age at which a remembered prefix is half forgotten.
	cacheLife = time.Minute
	// slowStart is the time over which a new backend server takes up its share.
	slowStart = 10 * time.Second
	// failureSmoothing is the weight of the newest outcome.
	failureSmoothing = 0.2
	// defaultService is assumed until a backend server has reported.
	defaultService = 50 * time.Millisecond
)

// Report is what an agent last said of its backend server.
type Report struct {
	Running, Queued, Concurrency int
	// Service is the smoothed time for which a request holds a slot.
	Service time.Duration
	Ready   bool
	Leaving bool
	Stalled bool
	// At is when the report was made, by this entry's clock.
	At time.Time
}

// Backend is a backend server as one entry instance sees it. Every method is
// safe for concurrent use and does not allocate.
type Backend struct {
	// Name, Addr and Zone never change.
	Name string
	Addr netip.AddrPort
	Zone string
	// born is when this entry first saw the backend server, in nanoseconds.
	born int64
	// available is 1 while new work may be sent.
	available atomic.Int32
	// own counts this entry's requests in flight; it is exact.
	own atomic.Int64
	// others is the load that the latest report showed beyond own requests, and
	// reportedAt when that was, in nanoseconds.
	others      atomic.Int64
	reportedAt  atomic.Int64
	reported    atomic.Int64
	concurrency atomic.Int64
	service     atomic.Int64
	// failures is a smoothed failure fraction, as float bits.
	failures atomic.Uint64
	// ejectedUntil is in nanoseconds; the past means not ejected.
	ejectedUntil atomic.Int64
	// cells map a prefix hash to itself; times holds when it was last sent.
	cells [cacheCells]atomic.Uint64
	times [cacheCells]atomic.Int64
}

// NewBackend returns a Backend that is not available before its first report.
func NewBackend(name string, addr netip.AddrPort, zone string, now time.Time) *Backend {
	b := &Backend{Name: name, Addr: addr, Zone: zone, born: now.UnixNano()}
	b.concurrency.Store(1)
	b.service.Store(int64(defaultService))
	return b
}

// SetReport takes in a report.
func (b *Backend) SetReport(r Report) {
	b.SetLoad(r.Running+r.Queued, r.At)
	b.concurrency.Store(int64(max(r.Concurrency, 1)))
	if r.Service > 0 {
		b.service.Store(int64(r.Service))
	}
	b.SetAvailable(r.Ready && !r.Leaving && !r.Stalled)
}

// SetLoad takes in the number of requests at the backend server at a time.
func (b *Backend) SetLoad(n int, at time.Time) {
	b.reported.Store(int64(n))
	b.others.Store(max(int64(n)-b.own.Load(), 0))
	b.reportedAt.Store(at.UnixNano())
}

// SetAvailable says whether new work may be sent.
func (b *Backend) SetAvailable(ok bool) {
	v := int32(0)
	if ok {
		v = 1
	}
	b.available.Store(v)
}

// IsAvailable reports whether new work may be sent.
func (b *Backend) IsAvailable() bool { return b.available.Load() == 1 }

// Start counts a request sent to the backend server.
func (b *Backend) Start(prefix uint64, now time.Time) {
	b.own.Add(1)
	if prefix != 0 {
		i := prefix % cacheCells
		b.cells[i].Store(prefix)
		b.times[i].Store(now.UnixNano())
	}
}

// Finish counts a request's end; failed ones raise the failure fraction.
func (b *Backend) Finish(failed bool) {
	b.own.Add(-1)
	sample := 0.0
	if failed {
		sample = 1
	}
	old := math.Float64frombits(b.failures.Load())
	b.failures.Store(math.Float64bits(old + failureSmoothing*(sample-old)))
}

// GetFailures returns the smoothed failure fraction.
func (b *Backend) GetFailures() float64 { return math.Float64frombits(b.failures.Load()) }

// load estimates the requests at the backend server now. Own requests are known
// exactly. Those of other entries are as reported at first; as the report ages
// beyond the time of a request, they tend to the mean of all backend servers,
// so that entries with the same old report do not all go the same way.
func (b *Backend) load(now int64, meanOthers float64) float64 {
	age := float64(now - b.reportedAt.Load())
	trust := math.Exp2(-max(age, 0) / float64(max(b.service.Load(), 1)))
	others := trust*float64(b.others.Load()) + (1-trust)*meanOthers*float64(b.concurrency.Load())
	return others + float64(b.own.Load())
}

// getService is the reported service time in seconds.
func (b *Backend) getService() float64 { return time.Duration(b.service.Load()).Seconds() }

// known is the load by the latest report and own requests alone.
func (b *Backend) known() float64 { return float64(b.others.Load() + b.own.Load()) }

// cached is the probability that the prefix is in the engine's cache.
func (b *Backend) cached(prefix uint64, now int64) float64 {
	i := prefix % cacheCells
	if prefix == 0 || b.cells[i].Load() != prefix {
		return 0
	}
	age := float64(now - b.times[i].Load())
	return math.Exp2(-age / float64(cacheLife))
}

// warmth rises from a small share to 1 over slowStart.
func (b *Backend) warmth(now int64) float64 {
	age := float64(now-b.born) / float64(slowStart)
	return min(max(age, 0.1), 1)
}
