// Package queuer implements the bounded queue in front of a backend server. It
// schedules classes of work by priority with a guaranteed fraction for each, applies
// weighted fair queueing among the client accounts of a class, and refuses early
// the work that would miss its deadline.
package queuer

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Refusals of a Queue. Refused work was not run.
var (
	ErrFull    = errors.New("queue is full")
	ErrTooLate = errors.New("deadline cannot be met")
	ErrEvicted = errors.New("made room for work of a higher class")
	ErrClosed  = errors.New("queue takes no new work")
)

// IsErrRefused reports whether err is a refusal of a Queue.
func IsErrRefused(err error) bool {
	for _, e := range []error{ErrFull, ErrTooLate, ErrEvicted, ErrClosed} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// serviceTimeEWMAWeight is the weight of the newest sample in the service time.
const serviceTimeEWMAWeight = 0.1

// Work describes a request that asks for a slot.
type Work struct {
	// Class is the index of the class; 0 has the highest priority.
	Class   int
	Account string
	// Weight is the account's weight within its class; at least 1.
	Weight int
	Bytes  int
	// Deadline is the time by which the answer must be complete.
	Deadline time.Time
}

// Queue grants slots to work; it is safe for concurrent use.
type Queue struct {
	mu sync.Mutex
	// slots is the maximum number of requests that run concurrently.
	slots int
	// running never exceeds slots, except after slots was lowered.
	running int
	// waiting and bytes never exceed maxWaiting and maxBytes.
	waiting, bytes       int
	maxWaiting, maxBytes int
	classes              []*class
	serviceTime          time.Duration
	// controller is nil if the number of slots is fixed.
	controller *slotController
	closed     bool
	now        func() time.Time
}

// class holds the waiting work of one class.
type class struct {
	// floor is the fraction of dispatches guaranteed to the class while it has
	// waiting work.
	floor float64
	// floorCredit grows by floor at each dispatch while the class has waiting work
	// and is not the highest one that has. At 1 the class is entitled to a slot,
	// which costs 1. It stays below 1+floor while no other class is entitled.
	floorCredit float64
	// virtualTime is the virtual start time of the latest dispatched work.
	virtualTime float64
	accounts    map[string]*account
	waiting     int
}

// account holds the waiting work of one client account, oldest first.
type account struct {
	// lastFinish is the virtual finish time of the account's latest dispatched work.
	lastFinish float64
	queue      []*waiter
}

type waiter struct {
	Work
	// result receives at most one value: nil for a slot, or the refusal.
	result chan error
}

// Option configures a Queue.
type Option func(*Queue)

// WithFloors sets one class per floor, the highest class first. A floor is the
// fraction of dispatches guaranteed to the class.
func WithFloors(floors ...float64) Option {
	return func(q *Queue) { q.classes = newClasses(floors) }
}

// WithLimits bounds the waiting work in requests and bytes.
func WithLimits(requests, bytes int) Option {
	return func(q *Queue) { q.maxWaiting, q.maxBytes = requests, bytes }
}

// WithServiceTime sets the initial estimate of how long work holds a slot.
func WithServiceTime(d time.Duration) Option {
	return func(q *Queue) { q.serviceTime = d }
}

// NewQueue returns a Queue with the given number of slots.
func NewQueue(slots int, opts ...Option) *Queue {
	q := &Queue{
		slots:      slots,
		maxWaiting: 256,
		maxBytes:   16 << 20,
		classes:    newClasses([]float64{0, 0.05}),
		now:        time.Now,
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

func newClasses(floors []float64) []*class {
	list := make([]*class, 0, len(floors))
	for _, f := range floors {
		list = append(list, &class{floor: f, accounts: make(map[string]*account)})
	}
	return list
}

// SetFloors replaces the classes. Work waiting in a class that no longer exists
// moves to the lowest one.
func (q *Queue) SetFloors(floors ...float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	old := q.classes
	q.classes = newClasses(floors)
	q.waiting, q.bytes = 0, 0
	for _, c := range old {
		for _, a := range c.accounts {
			for _, w := range a.queue {
				q.push(w)
			}
		}
	}
}

// Acquire waits for a slot. It returns a refusal, or the error of ctx if ctx ends
// first. The caller must call release when the work ends; the time until the first
// call counts as service time, and further calls have no effect.
func (q *Queue) Acquire(ctx context.Context, work Work) (release func(), err error) {
	w := &waiter{Work: work, result: make(chan error, 1)}
	q.mu.Lock()
	if err := q.admit(w); err != nil {
		q.mu.Unlock()
		return nil, err
	}
	q.push(w)
	q.dispatch()
	q.mu.Unlock()
	select {
	case err = <-w.result:
	case <-ctx.Done():
		err = q.cancelWait(w, ctx.Err())
	}
	if err != nil {
		return nil, err
	}
	return q.newRelease(), nil
}

func (q *Queue) newRelease() func() {
	start := q.now()
	var once sync.Once
	return func() {
		once.Do(func() { q.release(q.now().Sub(start)) })
	}
}

// admit checks whether w may be queued, and evicts work of lower classes if the
// queue is full. The caller holds mu.
func (q *Queue) admit(w *waiter) error {
	if q.closed {
		return ErrClosed
	}
	w.Class = min(max(w.Class, 0), len(q.classes)-1)
	w.Weight = max(w.Weight, 1)
	if q.estimateCompletion(w.Class).After(w.Deadline) {
		return ErrTooLate
	}
	if q.running < q.slots && q.waiting == 0 {
		return nil
	}
	for q.waiting+1 > q.maxWaiting || q.bytes+w.Bytes > q.maxBytes {
		if !q.evictBelow(w.Class) {
			return ErrFull
		}
	}
	return nil
}

// estimateCompletion estimates when new work of a class would be complete.
func (q *Queue) estimateCompletion(classIndex int) time.Time {
	ahead := q.running - q.slots + 1
	for _, c := range q.classes[:classIndex+1] {
		ahead += c.waiting
	}
	rounds := 1.0
	if ahead > 0 {
		rounds += float64(ahead) / float64(q.slots)
	}
	return q.now().Add(time.Duration(rounds * float64(q.serviceTime)))
}

// evictBelow evicts the newest work of the largest account in the lowest nonempty
// class below classIndex. It returns false if there is none.
func (q *Queue) evictBelow(classIndex int) bool {
	for i := len(q.classes) - 1; i > classIndex; i-- {
		if w := q.classes[i].newestWaiter(); w != nil {
			q.remove(w)
			w.result <- ErrEvicted
			return true
		}
	}
	return false
}

// newestWaiter returns the newest work of the account with the most waiting work,
// nil if there is none.
func (c *class) newestWaiter() *waiter {
	var largest *account
	for _, a := range c.accounts {
		if len(a.queue) > 0 && (largest == nil || len(a.queue) > len(largest.queue)) {
			largest = a
		}
	}
	if largest == nil {
		return nil
	}
	return largest.queue[len(largest.queue)-1]
}

func (q *Queue) push(w *waiter) {
	w.Class = min(w.Class, len(q.classes)-1)
	c := q.classes[w.Class]
	a := c.accounts[w.Account]
	if a == nil {
		a = &account{lastFinish: c.virtualTime}
		c.accounts[w.Account] = a
	}
	a.queue = append(a.queue, w)
	c.waiting++
	q.waiting++
	q.bytes += w.Bytes
}

func (q *Queue) remove(w *waiter) bool {
	c := q.classes[w.Class]
	a := c.accounts[w.Account]
	if a == nil {
		return false
	}
	for i, other := range a.queue {
		if other != w {
			continue
		}
		a.queue = append(a.queue[:i], a.queue[i+1:]...)
		c.waiting--
		q.waiting--
		q.bytes -= w.Bytes
		c.removeIfIdle(w.Account, a)
		return true
	}
	return false
}

// removeIfIdle removes an account without waiting work once its lastFinish no
// longer affects the order.
func (c *class) removeIfIdle(name string, a *account) {
	if len(a.queue) == 0 && a.lastFinish <= c.virtualTime {
		delete(c.accounts, name)
	}
}

// dispatch grants free slots to waiting work and refuses work that would now miss
// its deadline. The caller holds mu.
func (q *Queue) dispatch() {
	for q.running < q.slots && q.waiting > 0 {
		c := q.nextClass()
		w := c.nextWaiter()
		q.remove(w)
		if q.now().Add(q.serviceTime).After(w.Deadline) {
			w.result <- ErrTooLate
			continue
		}
		q.running++
		w.result <- nil
	}
}

// nextClass returns the highest class that is entitled to a slot by its floor, or
// else the highest class with waiting work.
func (q *Queue) nextClass() *class {
	var first, entitled *class
	for _, c := range q.classes {
		if c.waiting == 0 {
			c.floorCredit = 0
			continue
		}
		if first == nil {
			first = c
			continue
		}
		c.floorCredit += c.floor
		if entitled == nil && c.floorCredit >= 1 {
			entitled = c
		}
	}
	if entitled != nil {
		entitled.floorCredit--
		return entitled
	}
	return first
}

// nextWaiter returns the oldest work of the account with the earliest virtual
// finish time.
func (c *class) nextWaiter() *waiter {
	var best *account
	var bestFinish float64
	var bestName string
	for name, a := range c.accounts {
		if len(a.queue) == 0 {
			c.removeIfIdle(name, a)
			continue
		}
		finish := max(a.lastFinish, c.virtualTime) + 1/float64(a.queue[0].Weight)
		if best == nil || finish < bestFinish || finish == bestFinish && name < bestName {
			best, bestFinish, bestName = a, finish, name
		}
	}
	w := best.queue[0]
	c.virtualTime = max(best.lastFinish, c.virtualTime)
	best.lastFinish = bestFinish
	return w
}

// cancelWait removes w from the queue, or releases its slot if it was granted one
// in the meantime.
func (q *Queue) cancelWait(w *waiter, cause error) error {
	q.mu.Lock()
	if q.remove(w) {
		q.mu.Unlock()
		return cause
	}
	q.mu.Unlock()
	if err := <-w.result; err != nil {
		return err
	}
	q.release(0)
	return cause
}

func (q *Queue) release(held time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if q.controller != nil {
		q.slots = q.controller.update(q.now(), q.slots, held, q.running+1 >= q.slots)
	}
	switch {
	case held <= 0:
	case q.serviceTime == 0:
		q.serviceTime = held
	default:
		q.serviceTime += time.Duration(serviceTimeEWMAWeight * float64(held-q.serviceTime))
	}
	q.dispatch()
}

// Close refuses new and waiting work. Running work is not affected.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, c := range q.classes {
		for w := c.newestWaiter(); w != nil; w = c.newestWaiter() {
			q.remove(w)
			w.result <- ErrClosed
		}
	}
}

// IsBacklogged reports whether more work of the highest class is waiting than there
// are slots.
func (q *Queue) IsBacklogged() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.classes[0].waiting > q.slots
}

// Load is a snapshot of the state of a Queue.
type Load struct {
	Running, Waiting, Slots int
	// ServiceTime is the EWMA of the time for which work holds a slot.
	ServiceTime time.Duration
}

// GetLoad returns the current state.
func (q *Queue) GetLoad() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Load{Running: q.running, Waiting: q.waiting, Slots: q.slots, ServiceTime: q.serviceTime}
}
