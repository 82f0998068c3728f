// Package queuer is the bounded queue before a backend server. It runs classes
// of work in order of precedence with a floor for each, is fair among the
// client accounts of a class, and refuses early what would miss its deadline.
package queuer

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Refusals of a Queue; none of them has run anything.
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

// serviceSmoothing is the weight of the newest sample in the service time.
const serviceSmoothing = 0.1

// Work describes a request that asks for a slot.
type Work struct {
	// Class is the precedence, 0 the highest.
	Class   int
	Account string
	// Weight is the account's share; at least 1.
	Weight int
	Bytes  int
	// Deadline is when the answer must be complete.
	Deadline time.Time
}

// Queue hands out slots; it is safe for concurrent use.
type Queue struct {
	mu sync.Mutex
	// slots is the number of requests that may run at once.
	slots int
	// running never exceeds slots, unless slots was lowered meanwhile.
	running int
	// waiting and bytes never exceed maxWaiting and maxBytes.
	waiting, bytes       int
	maxWaiting, maxBytes int
	classes              []*class
	service              time.Duration
	// adapter is nil when slots are fixed.
	adapter *adapter
	closed  bool
	now     func() time.Time
}

// class holds the waiting work of one class.
type class struct {
	// floor is the fraction of dispatches due to the class while it waits.
	floor float64
	// credit is what the floor has earned; below 1+floor.
	credit float64
	// clock is the virtual time of the latest dispatch.
	clock    float64
	accounts map[string]*account
	waiting  int
}

// account holds the waiting work of one client account, oldest first.
type account struct {
	// finish is the virtual time at which the account's latest work ends.
	finish float64
	queue  []*waiter
}

type waiter struct {
	Work
	// result gets exactly one value.
	result chan error
}

// Option configures a Queue.
type Option func(*Queue)

// WithFloors sets the floors of the classes, the highest class first.
func WithFloors(floors ...float64) Option {
	return func(q *Queue) { q.classes = newClasses(floors) }
}

// WithLimits bounds the waiting work in requests and bytes.
func WithLimits(requests, bytes int) Option {
	return func(q *Queue) { q.maxWaiting, q.maxBytes = requests, bytes }
}

// WithServiceTime sets the first estimate of how long work holds a slot.
func WithServiceTime(d time.Duration) Option {
	return func(q *Queue) { q.service = d }
}

// NewQueue returns a Queue with slots.
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

// SetFloors replaces the classes; work that waits in a class that is gone moves
// to the lowest one.
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

// Acquire waits for a slot. The caller must call release once, with the time
// for which the slot was held.
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
		err = q.withdraw(w, ctx.Err())
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

// admit decides under mu whether w may wait, evicting lower work if need be.
func (q *Queue) admit(w *waiter) error {
	if q.closed {
		return ErrClosed
	}
	w.Class = min(max(w.Class, 0), len(q.classes)-1)
	w.Weight = max(w.Weight, 1)
	if q.expectedEnd(w.Class).After(w.Deadline) {
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

// expectedEnd estimates when new work of a class would be complete.
func (q *Queue) expectedEnd(classIndex int) time.Time {
	ahead := q.running - q.slots + 1
	for _, c := range q.classes[:classIndex+1] {
		ahead += c.waiting
	}
	rounds := 1.0
	if ahead > 0 {
		rounds += float64(ahead) / float64(q.slots)
	}
	return q.now().Add(time.Duration(rounds * float64(q.service)))
}

// evictBelow drops the newest work of the lowest class below classIndex.
func (q *Queue) evictBelow(classIndex int) bool {
	for i := len(q.classes) - 1; i > classIndex; i-- {
		if w := q.classes[i].newest(); w != nil {
			q.remove(w)
			w.result <- ErrEvicted
			return true
		}
	}
	return false
}

// newest returns the last work of the account that waits with the most.
func (c *class) newest() *waiter {
	var longest *account
	for _, a := range c.accounts {
		if len(a.queue) > 0 && (longest == nil || len(a.queue) > len(longest.queue)) {
			longest = a
		}
	}
	if longest == nil {
		return nil
	}
	return longest.queue[len(longest.queue)-1]
}

func (q *Queue) push(w *waiter) {
	w.Class = min(w.Class, len(q.classes)-1)
	c := q.classes[w.Class]
	a := c.accounts[w.Account]
	if a == nil {
		a = &account{finish: c.clock}
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
		c.forget(w.Account, a)
		return true
	}
	return false
}

// forget drops an idle account whose past no longer counts.
func (c *class) forget(name string, a *account) {
	if len(a.queue) == 0 && a.finish <= c.clock {
		delete(c.accounts, name)
	}
}

// dispatch hands free slots to waiting work; mu is held.
func (q *Queue) dispatch() {
	for q.running < q.slots && q.waiting > 0 {
		c := q.nextClass()
		w := c.next()
		q.remove(w)
		if q.now().Add(q.service).After(w.Deadline) {
			w.result <- ErrTooLate
			continue
		}
		q.running++
		w.result <- nil
	}
}

// nextClass picks a class whose floor has earned a slot, else the highest.
func (q *Queue) nextClass() *class {
	var first, owed *class
	for _, c := range q.classes {
		if c.waiting == 0 {
			c.credit = 0
			continue
		}
		if first == nil {
			first = c
			continue
		}
		c.credit += c.floor
		if owed == nil && c.credit >= 1 {
			owed = c
		}
	}
	if owed != nil {
		owed.credit--
		return owed
	}
	return first
}

// next picks the account with the earliest virtual finish time.
func (c *class) next() *waiter {
	var best *account
	var bestTag float64
	var bestName string
	for name, a := range c.accounts {
		if len(a.queue) == 0 {
			c.forget(name, a)
			continue
		}
		tag := max(a.finish, c.clock) + 1/float64(a.queue[0].Weight)
		if best == nil || tag < bestTag || tag == bestTag && name < bestName {
			best, bestTag, bestName = a, tag, name
		}
	}
	w := best.queue[0]
	c.clock = max(best.finish, c.clock)
	best.finish = bestTag
	return w
}

// withdraw gives up waiting. A slot granted meanwhile is returned.
func (q *Queue) withdraw(w *waiter, cause error) error {
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
	if q.adapter != nil {
		q.slots = q.adapter.next(q.now(), q.slots, held, q.running+1 >= q.slots)
	}
	switch {
	case held <= 0:
	case q.service == 0:
		q.service = held
	default:
		q.service += time.Duration(serviceSmoothing * float64(held-q.service))
	}
	q.dispatch()
}

// Close refuses new work and what waits; what runs goes on.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, c := range q.classes {
		for w := c.newest(); w != nil; w = c.newest() {
			q.remove(w)
			w.result <- ErrClosed
		}
	}
}

// IsLate reports whether work of the highest class waits for more than one round
// of slots.
func (q *Queue) IsLate() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.classes[0].waiting > q.slots
}

// Load is the state of a Queue at one moment.
type Load struct {
	Running, Waiting, Slots int
	// Service is the smoothed time for which work holds a slot.
	Service time.Duration
}

// GetLoad returns the state now.
func (q *Queue) GetLoad() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Load{Running: q.running, Waiting: q.waiting, Slots: q.slots, Service: q.service}
}
