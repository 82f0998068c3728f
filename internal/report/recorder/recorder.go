// Package recorder keeps, in bounded memory, the decisions made on recent requests
// and the events of the fleet.
package recorder

import (
	"fmt"
	"sync"
	"time"
)

// unformattedDecision is a decision whose text is formatted only when its trace is read,
// since most traces never are.
type unformattedDecision struct {
	after  time.Duration
	step   string
	format string
	args   []any
}

// Decision is one decision in the handling of a request.
type Decision struct {
	// After is the time since the trace began.
	After time.Duration `json:"after_nanoseconds"`
	Step  string        `json:"step"`
	Text  string        `json:"text"`
}

// Trace holds the decisions made on one request. One goroutine adds to it while
// others may read it.
type Trace struct {
	RequestID string
	Account   string
	Service   string
	Start     time.Time
	// mu guards decisions.
	mu        sync.Mutex
	decisions []unformattedDecision
}

// maxDecisions bounds the decisions of one trace; later ones are left out.
const maxDecisions = 64

// Add appends a decision. It is formatted when the trace is read, so args must not
// change afterwards.
func (t *Trace) Add(step, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.decisions) < maxDecisions {
		t.decisions = append(t.decisions, unformattedDecision{after: time.Since(t.Start), step: step, format: format, args: args})
	}
}

// View is a copy of a trace with its decisions formatted.
type View struct {
	RequestID string     `json:"request_id"`
	Account   string     `json:"client_account"`
	Service   string     `json:"service"`
	Start     time.Time  `json:"start"`
	Decisions []Decision `json:"decisions"`
}

// Event is a change of the fleet that an instance recorded, such as an ejection, a
// new configuration or an accepted ticket.
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
	// ring holds the latest traces; next is the index that the next one is written to.
	ring []*Trace
	next int
	// byID holds the traces of ring; of several with one id the latest.
	byID   map[string]*Trace
	events []Event
}

// maxEvents is the number of events kept.
const maxEvents = 1000

// New returns a Recorder that keeps n traces.
func New(instance string, n int) *Recorder {
	return &Recorder{instance: instance, ring: make([]*Trace, n), byID: make(map[string]*Trace, n)}
}

// NewTrace begins the trace of a request. Once the Recorder is full, it replaces the
// oldest trace.
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

// GetTrace returns the trace of a request, and reports whether it is kept.
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
	for _, d := range t.decisions {
		v.Decisions = append(v.Decisions, Decision{After: d.after, Step: d.step, Text: fmt.Sprintf(d.format, d.args...)})
	}
	return v, true
}

// AddEvent records an event, replacing the oldest once maxEvents are kept.
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
