// Package admitter decides which requests run, wait at this gateway or are refused while
// callers compete for too little room at a service's model engines. It does no I/O.
//
// Each file states the load pattern that it handles; the tests reproduce it.
package admitter

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Load pattern: callers ask for more than the engines bear, while many gateways place at the
// same engines and see reports that are old. A gateway knows its own requests at once, so it
// bounds those by its share of the places.

const (
	// maxWaiting and maxWaitingBytes bound the requests that wait at one gateway.
	maxWaiting      = 64
	maxWaitingBytes = 4 << 20
)

// Request describes a request that asks for a place.
type Request struct {
	// Kind is the name of the route.
	Kind string
	// Priority is 0 for the most urgent work.
	Priority int
	// Account is empty for public routes.
	Account string
	// Size is in prompt tokens, with an answer token counted as several.
	Size int
	// Bytes is the memory that the request takes while it waits.
	Bytes int
	// Objective is the target time to the first event, 0 if there is none.
	Objective time.Duration
	Deadline  time.Time
	// Timeout is the timeout that the caller sent, 0 for none. A caller that was refused
	// and returns has less left than others.
	Timeout time.Duration
}

// Decision is the decision on a request: *Granted or *Refused. It is nil while the request
// waits.
type Decision interface{ decision() }

// Granted lets a request run. The place must be given back with Release.
type Granted struct {
	// Waited is the time for which the request waited.
	Waited time.Duration
}

// Refused is a refusal: the request was not granted a place and never will be.
type Refused struct {
	Reason string
	// RetryAfter is the time until room is expected.
	RetryAfter time.Duration
	// Waited is the time for which the request waited.
	Waited time.Duration
}

func (*Granted) decision() {}
func (*Refused) decision() {}

// The reasons of refusals.
const (
	ReasonNoRoom    = "no room within the objective"
	ReasonDeadline  = "can't be served within the deadline"
	ReasonOvertaken = "more urgent requests took the room"
	ReasonFull      = "too many requests wait"
	ReasonStopping  = "gateway is stopping"
	ReasonLeft      = "caller left"
)

// Ticket is a request that has asked for a place.
type Ticket struct {
	Request
	arrived time.Time
	// latestStart is when the request has to run to keep its objective and deadline.
	latestStart time.Time
	// isEntitled is set if the request goes first because its like were served too rarely.
	isEntitled bool
	// isAbove is set if the account uses more than its fair share.
	isAbove bool
	// isReturned is set if the caller was refused before and has waited as it was told.
	isReturned bool
	// number orders tickets by arrival.
	number uint64
	// decision is nil while the request waits, and changes once. It is written before done
	// is closed.
	decision Decision
	done     chan struct{}
	released bool
}

// Done returns a channel that is closed once there is a decision.
func (t *Ticket) Done() <-chan struct{} { return t.done }

// IsReturned reports whether the caller was refused before and has waited as it was told.
func (t *Ticket) IsReturned() bool { return t.isReturned }

// LatestStart returns the time after which the request no longer waits.
func (t *Ticket) LatestStart() time.Time { return t.latestStart }

// Admitter holds the places of one service at one gateway. It is safe for concurrent use.
type Admitter struct {
	mu sync.Mutex
	// running counts the granted places; it is at most limit, except after limit fell.
	running int
	share   share
	room    Room
	// limit is at least 1.
	limit  int
	roomAt time.Time
	// waiting is in the order in which places are granted. The first one has no place.
	waiting []*Ticket
	// waitingBytes is the sum of the bytes of waiting.
	waitingBytes int
	fairness     fairness
	returns      returns
	// timeouts holds the timeouts of callers by kind.
	timeouts map[string]*timeouts
	closed   bool
	// minPriority is the lowest priority number, that is the most urgent one.
	minPriority int
	number      uint64
	random      *rand.Rand
}

// Option configures an Admitter.
type Option func(*Admitter)

// WithRandom sets the source of random choices.
func WithRandom(source rand.Source) Option {
	return func(a *Admitter) { a.random = rand.New(source) } //nolint:gosec // spreads load, protects nothing
}

// New returns an Admitter without places, so that one request runs at a time.
func New(opts ...Option) *Admitter {
	a := &Admitter{limit: 1, minPriority: math.MaxInt, fairness: newFairness(), timeouts: make(map[string]*timeouts)}
	WithRandom(rand.NewPCG(rand.Uint64(), rand.Uint64()))(a) //nolint:gosec // see WithRandom
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// roomInterval is how often the room is determined anew.
const roomInterval = 100 * time.Millisecond

// NeedsRoom reports whether SetRoom is due.
func (a *Admitter) NeedsRoom(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.roomAt) >= roomInterval
}

// SetRoom updates the room of the service for all gateways, and grants places that are new.
func (a *Admitter) SetRoom(room Room, gateways int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.room, a.roomAt = room, now
	a.share.update(a.running, room.InUse, now)
	a.limit = findLimit(a.share.get(gateways), room)
	a.grantFree(now)
}

// IsOpen reports whether the service has any places. Without one, requests are not admitted
// here: the state of the engines decides on them.
func (a *Admitter) IsOpen() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.room.Places > 0
}

// Ask decides on a request, or lets it wait. The caller waits for Done, and calls Expire at
// LatestStart or Leave if the request's caller leaves.
func (a *Admitter) Ask(r Request, now time.Time) *Ticket {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.number++
	t := &Ticket{Request: r, arrived: now, number: a.number, done: make(chan struct{})}
	t.isReturned = a.getTimeouts(r.Kind).add(r.Timeout)
	t.isEntitled, t.isAbove = a.fairness.ask(&r, now)
	a.minPriority = min(a.minPriority, r.Priority)
	t.latestStart = a.findLatestStart(&r, now)
	switch {
	case a.closed:
		a.refuse(t, ReasonStopping, now)
	case r.Deadline.Sub(now) < a.room.FirstEvent:
		a.refuse(t, ReasonDeadline, now)
	case a.hasPlace(t):
		a.grant(t, now)
	default:
		a.enqueue(t, now)
	}
	return t
}

func (a *Admitter) getTimeouts(kind string) *timeouts {
	t := a.timeouts[kind]
	if t == nil {
		t = &timeouts{counts: make(map[time.Duration]int)}
		a.timeouts[kind] = t
	}
	return t
}

// findLatestStart returns when a request has to run to keep its objective and deadline.
func (a *Admitter) findLatestStart(r *Request, now time.Time) time.Time {
	wait := r.Deadline.Sub(now) - a.room.Residence
	switch {
	case r.Objective <= 0:
	case a.room.IsSlow:
		// Its answer will be late in any case, and is worth more than none.
		wait = min(wait, r.Objective)
	default:
		wait = min(wait, r.Objective-a.room.FirstEvent)
	}
	return now.Add(wait)
}

// enqueue lets a request wait, and refuses all whose turn is not expected in time.
func (a *Admitter) enqueue(t *Ticket, now time.Time) {
	i, _ := slices.BinarySearchFunc(a.waiting, t, compareTickets)
	a.waiting = slices.Insert(a.waiting, i, t)
	a.waitingBytes += t.Bytes
	for len(a.waiting) > maxWaiting || a.waitingBytes > maxWaitingBytes {
		a.refuse(a.removeAt(len(a.waiting)-1), ReasonFull, now)
	}
	for i := 0; i < len(a.waiting); {
		w := a.waiting[i]
		if !now.Add(a.turn(i)).After(w.latestStart) {
			i++
			continue
		}
		reason := ReasonOvertaken
		if w == t {
			reason = ReasonNoRoom
		}
		a.refuse(a.removeAt(i), reason, now)
	}
}

const (
	// reservedFraction is the fraction of the places kept free for each level that a
	// request's priority is below the most urgent one, up to maxReservedLevels. An account
	// above its fair share is as many levels below the others.
	reservedFraction  = 0.1
	maxReservedLevels = 2
)

// hasPlace reports whether there is a place for a request now.
func (a *Admitter) hasPlace(t *Ticket) bool { return a.running < a.limit-a.reserve(t) }

// reserve returns the number of places that are kept free for more urgent requests.
func (a *Admitter) reserve(t *Ticket) int {
	if t.isEntitled {
		return 0
	}
	levels := min(t.Priority-a.minPriority, maxReservedLevels)
	if t.isAbove {
		levels += maxReservedLevels
	}
	return min(int(math.Round(reservedFraction*float64(levels*a.limit))), a.limit-1)
}

// turn returns the expected time until the i-th waiting request is granted a place.
func (a *Admitter) turn(i int) time.Duration {
	ahead := max(a.running-a.limit, 0) + i + 1
	if i < len(a.waiting) {
		ahead += a.reserve(a.waiting[i])
	}
	return a.room.Residence * time.Duration(ahead) / time.Duration(a.limit)
}

func (a *Admitter) removeAt(i int) *Ticket {
	t := a.waiting[i]
	a.waiting = slices.Delete(a.waiting, i, i+1)
	a.waitingBytes -= t.Bytes
	return t
}

func (a *Admitter) grant(t *Ticket, now time.Time) {
	a.running++
	a.fairness.grant(&t.Request, now)
	t.decision = &Granted{Waited: now.Sub(t.arrived)}
	close(t.done)
}

func (a *Admitter) refuse(t *Ticket, reason string, now time.Time) {
	after := a.returns.promise(a.grantsPerSecond(), a.turn(len(a.waiting)), t.Deadline, now, a.random)
	t.decision = &Refused{Reason: reason, RetryAfter: after, Waited: now.Sub(t.arrived)}
	close(t.done)
}

func (a *Admitter) grantsPerSecond() float64 {
	if a.room.Residence <= 0 {
		return float64(a.limit)
	}
	return float64(a.limit) / a.room.Residence.Seconds()
}

// grantFree grants free places to waiting requests in their order.
func (a *Admitter) grantFree(now time.Time) {
	for len(a.waiting) > 0 && a.hasPlace(a.waiting[0]) {
		t := a.removeAt(0)
		if t.Deadline.Sub(now) < a.room.FirstEvent {
			a.refuse(t, ReasonDeadline, now)
			continue
		}
		a.grant(t, now)
	}
}

// Release gives the place of a granted request on. Further calls have no effect.
func (a *Admitter) Release(t *Ticket, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := t.decision.(*Granted); !ok || t.released {
		return
	}
	t.released = true
	a.running--
	a.grantFree(now)
}

// Expire refuses a request that still waits, and returns its decision.
func (a *Admitter) Expire(t *Ticket, now time.Time) Decision { return a.end(t, ReasonNoRoom, now) }

// Leave removes a request whose caller has left, and gives its place on if it has one.
func (a *Admitter) Leave(t *Ticket, now time.Time) {
	a.end(t, ReasonLeft, now)
	a.Release(t, now)
}

func (a *Admitter) end(t *Ticket, reason string, now time.Time) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.decision == nil {
		if i := slices.Index(a.waiting, t); i >= 0 {
			a.refuse(a.removeAt(i), reason, now)
		}
	}
	return t.decision
}

// Close refuses new and waiting requests. Those that run are not affected.
func (a *Admitter) Close(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for len(a.waiting) > 0 {
		a.refuse(a.removeAt(0), ReasonStopping, now)
	}
}

// GetDecision returns the decision, nil while the request waits.
func (a *Admitter) GetDecision(t *Ticket) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return t.decision
}

// State is a snapshot of an Admitter.
type State struct{ Running, Limit, Waiting, WaitingBytes int }

// GetState returns the current state.
func (a *Admitter) GetState() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return State{Running: a.running, Limit: a.limit, Waiting: len(a.waiting), WaitingBytes: a.waitingBytes}
}
