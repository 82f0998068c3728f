// Package hedger decides when a slow attempt at a backend server gets a second one beside it,
// a hedged request. It does no I/O.
//
// Load pattern: a few servers answer slowly while the others have room. It stops where many
// servers are slow, and where callers send more than usual: second attempts would then only
// add to the load.
package hedger

import (
	"math/bits"
	"sync"
	"time"
)

// Class is what requests have in common that take about the same time.
type Class struct {
	Service string
	// Streaming is set if the time is that of the first event.
	Streaming bool
	// Size is the number of bits of the request's size.
	Size int
}

// NewClass returns the class of a request with a size in tokens or bytes.
func NewClass(service string, streaming bool, size int) Class {
	return Class{Service: service, Streaming: streaming, Size: bits.Len(uint(max(size, 0)))}
}

// Origin is the backend server of a first attempt.
type Origin struct{ Service, Zone, Server string }

// Denial says why a slow attempt gets no second one, empty if it may.
type Denial string

// Denials.
const (
	Allowed    Denial = ""
	WidelySlow Denial = "many servers are slow"
	OverLimit  Denial = "over the limit"
)

// MaxCredit is how many second attempts a gateway may make at once for a service, if it has
// made none before.
const MaxCredit = 3.0

// maxClasses bounds the classes with histograms.
const maxClasses = 256

// Hedger holds the times of attempts and what second attempts may still be spent. It is safe
// for concurrent use.
type Hedger struct {
	mu sync.Mutex
	// ratio is the number of second attempts allowed for each request of a service. All
	// gateways use the same one for their own requests, so that the sum keeps to it whether
	// or not they hear each other.
	ratio   float64
	classes map[Class]*latency
	// credits holds the second attempts that a service may still get, at most MaxCredit: what
	// was not used in quiet times is not saved for a burst.
	credits map[string]float64
	late    map[Origin]*lateness
}

// New returns a Hedger that allows a number of second attempts for each request.
func New(ratio float64) *Hedger {
	return &Hedger{ratio: ratio, classes: make(map[Class]*latency), credits: make(map[string]float64), late: make(map[Origin]*lateness)}
}

// AddRequest counts a request of a caller for a service.
func (h *Hedger) AddRequest(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.credits[service] = min(h.credits[service]+h.ratio, MaxCredit)
}

// Take charges a second attempt to the limit, or says why there may be none.
func (h *Hedger) Take(from Origin) Denial {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isWidelySlow(from) {
		return WidelySlow
	}
	if h.credits[from.Service] < 1 {
		return OverLimit
	}
	h.credits[from.Service]--
	return Allowed
}

// GetDelay returns how long a first attempt of a class waits for its answer before a second
// one may start, 0 if it is not known. The objective is that of the callers, 0 for none.
func (h *Hedger) GetDelay(c Class, objective time.Duration, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.classes[c]; l != nil {
		return l.getDelay(objective, now)
	}
	return time.Duration(float64(objective) * latestFraction)
}

// Record adds the time of a first attempt. For one that was cancelled, it is the time until
// then: it was beyond the delay, which is all that the quantile needs of it. isLate is set if
// the delay had passed.
func (h *Hedger) Record(c Class, from Origin, took time.Duration, isLate bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.classes[c]
	if l == nil && len(h.classes) < maxClasses {
		l = newLatency(now)
		h.classes[c] = l
	}
	if l != nil {
		l.record(took, now)
	}
	h.recordLate(from, isLate, now)
}
