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
	// prefixTableSize is the number of prompt prefixes remembered per backend
	// server.
	prefixTableSize = 512
	// prefixHalfLife is the half-life of the probability that a prefix sent to a
	// backend server is still cached there.
	prefixHalfLife = time.Minute
	// slowStartWindow is the time over which a new backend server ramps up to its
	// full share of requests.
	slowStartWindow = 10 * time.Second
	// failureEWMAWeight is the weight of the newest outcome in the failure rate.
	failureEWMAWeight = 0.2
	// defaultServiceTime is assumed until a backend server has reported.
	defaultServiceTime = 50 * time.Millisecond
)

// Report is an agent's report on the state of its backend server.
type Report struct {
	Running, Queued, Concurrency int
	// ServiceTime is the EWMA of the time for which a request holds a slot; 0 keeps
	// the previous value.
	ServiceTime time.Duration
	Ready       bool
	Leaving     bool
	Stalled     bool
	// At is when the report was received, by the clock of this entry instance.
	At time.Time
}

// Backend is the state of a backend server as observed by one entry instance.
// Every method is safe for concurrent use and does not allocate.
type Backend struct {
	// Name, Addr and Zone never change.
	Name string
	Addr netip.AddrPort
	Zone string
	// firstSeen is when this entry instance first saw the backend server, in Unix
	// nanoseconds.
	firstSeen int64
	// available is 1 while new work may be sent.
	available atomic.Int32
	// inFlight is the exact number of this entry instance's requests in flight.
	inFlight atomic.Int64
	// otherLoad is the number of requests from other entry instances, which is the
	// reported load minus inFlight; reportedAt is the time of that report in Unix
	// nanoseconds, and reportedLoad the load as reported.
	otherLoad    atomic.Int64
	reportedAt   atomic.Int64
	reportedLoad atomic.Int64
	concurrency  atomic.Int64
	serviceTime  atomic.Int64
	// failureRate is the EWMA of failed requests as a fraction, as float64 bits.
	failureRate atomic.Uint64
	// ejectedUntil is in Unix nanoseconds; a time in the past means not ejected.
	ejectedUntil atomic.Int64
	// prefixHashes is a direct-mapped table of the prefix hashes last sent;
	// prefixSentAt holds the send times in Unix nanoseconds.
	prefixHashes [prefixTableSize]atomic.Uint64
	prefixSentAt [prefixTableSize]atomic.Int64
}

// NewBackend returns a Backend that is unavailable until its first report.
func NewBackend(name string, addr netip.AddrPort, zone string, now time.Time) *Backend {
	b := &Backend{Name: name, Addr: addr, Zone: zone, firstSeen: now.UnixNano()}
	b.concurrency.Store(1)
	b.serviceTime.Store(int64(defaultServiceTime))
	return b
}

// SetReport applies a report.
func (b *Backend) SetReport(r Report) {
	b.SetLoad(r.Running+r.Queued, r.At)
	b.concurrency.Store(int64(max(r.Concurrency, 1)))
	if r.ServiceTime > 0 {
		b.serviceTime.Store(int64(r.ServiceTime))
	}
	b.SetAvailable(r.Ready && !r.Leaving && !r.Stalled)
}

// SetLoad records the number of requests at the backend server at a given time.
func (b *Backend) SetLoad(n int, at time.Time) {
	b.reportedLoad.Store(int64(n))
	b.otherLoad.Store(max(int64(n)-b.inFlight.Load(), 0))
	b.reportedAt.Store(at.UnixNano())
}

// SetAvailable sets whether new work may be sent.
func (b *Backend) SetAvailable(ok bool) {
	v := int32(0)
	if ok {
		v = 1
	}
	b.available.Store(v)
}

// IsAvailable reports whether new work may be sent.
func (b *Backend) IsAvailable() bool { return b.available.Load() == 1 }

// Start counts a request sent to the backend server and records its prefix hash,
// 0 for none.
func (b *Backend) Start(prefix uint64, now time.Time) {
	b.inFlight.Add(1)
	if prefix != 0 {
		i := prefix % prefixTableSize
		b.prefixHashes[i].Store(prefix)
		b.prefixSentAt[i].Store(now.UnixNano())
	}
}

// Finish counts the end of a request and updates the failure rate.
func (b *Backend) Finish(failed bool) {
	b.inFlight.Add(-1)
	sample := 0.0
	if failed {
		sample = 1
	}
	old := math.Float64frombits(b.failureRate.Load())
	b.failureRate.Store(math.Float64bits(old + failureEWMAWeight*(sample-old)))
}

// GetFailureRate returns the EWMA of failed requests as a fraction from 0 to 1.
func (b *Backend) GetFailureRate() float64 { return math.Float64frombits(b.failureRate.Load()) }

// estimateLoad estimates the number of requests at the backend server now. Own
// requests are exact. The load of other entry instances starts at the reported
// value and tends, with the service time as half-life, to meanOtherLoad, the mean
// per slot of all backend servers, so that entry instances with the same stale
// report do not all choose the same backend server.
func (b *Backend) estimateLoad(now int64, meanOtherLoad float64) float64 {
	age := float64(now - b.reportedAt.Load())
	reportWeight := math.Exp2(-max(age, 0) / float64(max(b.serviceTime.Load(), 1)))
	otherLoad := reportWeight*float64(b.otherLoad.Load()) + (1-reportWeight)*meanOtherLoad*float64(b.concurrency.Load())
	return otherLoad + float64(b.inFlight.Load())
}

// getServiceSeconds returns the latest service time in seconds.
func (b *Backend) getServiceSeconds() float64 { return time.Duration(b.serviceTime.Load()).Seconds() }

// knownLoad returns the load from the latest report and own requests, without
// correction for the report's age.
func (b *Backend) knownLoad() float64 { return float64(b.otherLoad.Load() + b.inFlight.Load()) }

// cacheProbability estimates the probability that the engine still caches the
// prefix.
func (b *Backend) cacheProbability(prefix uint64, now int64) float64 {
	i := prefix % prefixTableSize
	if prefix == 0 || b.prefixHashes[i].Load() != prefix {
		return 0
	}
	age := float64(now - b.prefixSentAt[i].Load())
	return math.Exp2(-age / float64(prefixHalfLife))
}

// slowStartFactor returns the age of the backend server as a fraction of
// slowStartWindow, but at least 0.1 and at most 1.
func (b *Backend) slowStartFactor(now int64) float64 {
	age := float64(now-b.firstSeen) / float64(slowStartWindow)
	return min(max(age, 0.1), 1)
}
