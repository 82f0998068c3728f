// Package recorder keeps, in bounded memory, how recent requests were decided
// and what the fleet did by itself.
package recorder

import (
	"fmt"
	"sync"
	"time"
)

// note is a decision that is not formatted yet: most traces are never read.
type note struct {
	after  time.Duration
	step   string
	format string
	args   []any
}

// Decision is one step in the handling of a request.
type Decision struct {
	// After is the time since the request arrived.
	After time.Duration `json:"after_nanoseconds"`
	Step  string        `json:"step"`
	Text  string        `json:"text"`
}

// Trace is how one request was decided. It is written by one goroutine and read
// by others, under mu.
type Trace struct {
	RequestID string
	Account   string
	Service   string
	Start     time.Time
	mu        sync.Mutex
	notes     []note
}

// maxDecisions bounds one trace.
const maxDecisions = 64

// Add appends a decision. The arguments must not change afterwards.
func (t *Trace) Add(step, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.notes) < maxDecisions {
		t.notes = append(t.notes, note{after: time.Since(t.Start), step: step, format: format, args: args})
	}
}

// View is a copy of a trace for output.
type View struct {
	RequestID string     `json:"request_id"`
	Account   string     `json:"client_account"`
	Service   string     `json:"service"`
	Start     time.Time  `json:"start"`
	Decisions []Decision `json:"decisions"`
}

// Event is something the fleet did by itself.
type Event struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Kind     string    `json:"kind"`
	Text     string    `json:"text"`
}

// Recorder keeps the latest traces and events; it is safe for concurrent use.
type Recorder struct {
	instance string
	mu       sync.Mutex
	// ring holds the latest traces; next is where the next one goes.
	ring   []*Trace
	next   int
	byID   map[string]*Trace
	events []Event
}

// maxEvents is the number of events kept.
const maxEvents = 1000

// New returns a Recorder that keeps n traces.
func New(instance string, n int) *Recorder {
	return &Recorder{instance: instance, ring: make([]*Trace, n), byID: make(map[string]*Trace, n)}
}

// NewTrace begins the trace of a request.
func (r *Recorder) NewTrace(id, account, service string) *Trace {
	t := &Trace{RequestID: id, Account: account, Service: service, Start: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.ring[r.next]; old != nil && r.byID[old.RequestID] == old {
		delete(r.byID, old.RequestID)
	}
	r.ring[r.next] = t
	r.next = (r.next + 1) % len(r.ring)
	r.byID[id] = t
	return t
}

// GetTrace returns the trace of a recent request.
func (r *Recorder) GetTrace(id string) (View, bool) {
	r.mu.Lock()
	t := r.byID[id]
	r.mu.Unlock()
	if t == nil {
		return View{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	v := View{RequestID: t.RequestID, Account: t.Account, Service: t.Service, Start: t.Start}
	for _, n := range t.notes {
		v.Decisions = append(v.Decisions, Decision{After: n.after, Step: n.step, Text: fmt.Sprintf(n.format, n.args...)})
	}
	return v, true
}

// AddEvent records an event.
func (r *Recorder) AddEvent(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) == maxEvents {
		r.events = append(r.events[:0], r.events[1:]...)
	}
	r.events = append(r.events, Event{Time: time.Now().UTC(), Instance: r.instance, Kind: kind, Text: fmt.Sprintf(format, args...)})
}

// GetEvents returns the events kept, oldest first.
func (r *Recorder) GetEvents() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}
