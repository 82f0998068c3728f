// Package accountant bounds the memory and the descriptors that the connections of callers
// hold, and chooses which of them are closed when a bound is reached. It has no input or output.
//
// Load pattern: crowds of callers that send much, or little, and stop before the end. What is
// unfinished and has made no progress gives way to new callers; requests that are being worked
// on never do.
package accountant

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Use is what memory is held for.
type Use int

// Uses of memory beyond the part that each connection has free.
const (
	// Head is a request's header fields until the request has ended.
	Head Use = iota
	// Body is a request's body, which is kept for retries.
	Body
	// Answer is a part of an answer that is held back.
	Answer
	uses
)

var useNames = [uses]string{"head", "body", "answer"}

func (u Use) String() string { return useNames[u] }

const (
	// unitBytes is the memory of a connection without a request, and again of a request: stacks,
	// buffers, and what is free.
	unitBytes = 12 << 10
	// FreeHeadBytes of a head are not charged. Ordinary requests stay below the free bytes.
	FreeHeadBytes = 8 << 10
	// FreeBodyBytes of a body are not charged.
	FreeBodyBytes = 4 << 10
	// FreeAnswerBytes of an answer are not charged.
	FreeAnswerBytes = 16 << 10
	// FieldBytes is the memory of a header field beyond its bytes.
	FieldBytes = 256
)

// Bounds are what the connections may hold together.
type Bounds struct {
	// Memory is in bytes. Parts of it are for connections and for each Use.
	Memory int64
	// Descriptors counts a connection, and again a request, which has one to a backend server.
	Descriptors int
}

// unitsDivisor gives the part of Bounds.Memory for connections and requests.
const unitsDivisor = 4

// useDivisor gives the part for each use.
var useDivisor = [uses]int64{Head: 16, Body: 6, Answer: 8}

// Owner is the connection of an Account. Evict ends what the connection waits for. It is called
// without locks held, once at most.
type Owner interface{ Evict() }

// Accountant keeps the accounts of a listener's connections. It is safe for concurrent use.
type Accountant struct {
	mu sync.Mutex
	// units never exceeds maxUnits.
	units, maxUnits int
	// held never exceeds max.
	held, max [uses]int64
	accounts  map[*Account]struct{}
	// nextSearch is when victims are searched again after a search without success.
	nextSearch [resources]time.Time
}

// New returns an Accountant.
func New(b Bounds) *Accountant {
	a := &Accountant{maxUnits: min(b.Descriptors, int(b.Memory/unitsDivisor/unitBytes)), accounts: make(map[*Account]struct{})}
	for u := range a.max {
		a.max[u] = b.Memory / useDivisor[u]
	}
	return a
}

// Stage is what a connection does. Lower ones give way first.
type Stage int32

// Stages of a connection.
const (
	// Closing is a connection that is kept a little longer so that a refusal arrives. It gives way
	// at once.
	Closing Stage = iota
	// Unfinished is a request that has not arrived whole, or a connection without any yet.
	Unfinished
	// Writing is an answer that the caller does not take.
	Writing
	// Idle is a connection whose requests have been answered.
	Idle
	// Working is a request that waits for this process or a backend server.
	Working
)

// Account is that of one connection. All methods may be called on nil, which has no bounds.
type Account struct {
	*Accountant
	owner Owner
	stage atomic.Int32
	// since is when the stage began, or last made progress, in nanoseconds since 1970.
	since atomic.Int64
	// evicted is set once the connection has to give way.
	evicted atomic.Bool
	// isOpen, inRequest and bytes are guarded by Accountant.mu.
	isOpen, inRequest bool
	bytes             [uses]int64
}

// Open returns the account of a new connection, nil if there is no room for it.
func (a *Accountant) Open(owner Owner, now time.Time) *Account {
	acc := &Account{Accountant: a, owner: owner, isOpen: true}
	acc.enter(Unfinished, now)
	ok := a.take(request{by: acc, resource: units, now: now}, func() {
		a.units++
		a.accounts[acc] = struct{}{}
	})
	if !ok {
		return nil
	}
	return acc
}

// Begin charges a request. It reports false if there is no room for it, or if the connection
// has to give way; then the request must be refused.
func (acc *Account) Begin(now time.Time) bool {
	if acc == nil {
		return true
	}
	acc.enter(Working, now)
	return acc.take(request{by: acc, resource: units, now: now}, func() {
		if !acc.inRequest {
			acc.inRequest = true
			acc.units++
		}
	})
}

// Resume ends the wait for a body. It reports false if the connection has to give way; then
// the request must be refused.
func (acc *Account) Resume(now time.Time) bool {
	if acc == nil {
		return true
	}
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.enter(Working, now)
	return !acc.evicted.Load()
}

// End releases what a request holds.
func (acc *Account) End(now time.Time) {
	if acc == nil {
		return
	}
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.release()
	acc.enter(Idle, now)
}

// Close releases all. Further calls have no effect.
func (acc *Account) Close() {
	if acc == nil {
		return
	}
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.close()
}

// Reserve charges n bytes, 0 or more, until the request ends. It reports false if there is no
// room for them, or if the connection has to give way.
func (acc *Account) Reserve(use Use, n int64, now time.Time) bool {
	if acc == nil {
		return true
	}
	return acc.take(request{by: acc, resource: resource(use), bytes: n, now: now}, func() {
		acc.held[use] += n
		acc.bytes[use] += n
	})
}

// Enter sets the stage.
func (acc *Account) Enter(stage Stage, now time.Time) {
	if acc != nil {
		acc.enter(stage, now)
	}
}

// IsEvicted reports whether the connection has to give way.
func (acc *Account) IsEvicted() bool { return acc != nil && acc.evicted.Load() }

// GetStage returns the stage, Working for nil.
func (acc *Account) GetStage() Stage {
	if acc == nil {
		return Working
	}
	return Stage(acc.stage.Load())
}

func (acc *Account) enter(stage Stage, now time.Time) {
	acc.since.Store(now.UnixNano())
	acc.stage.Store(int32(stage))
}

// release gives back what a request holds. The caller holds mu.
func (acc *Account) release() {
	for u, n := range acc.bytes {
		acc.held[u] -= n
	}
	acc.bytes = [uses]int64{}
	if acc.inRequest {
		acc.units--
		acc.inRequest = false
	}
}

// close gives back all. The caller holds mu.
func (acc *Account) close() {
	if !acc.isOpen {
		return
	}
	acc.release()
	acc.units--
	acc.isOpen = false
	delete(acc.accounts, acc)
}

// Held is what is held at a moment.
type Held struct {
	Units int
	Bytes [uses]int64
}

// GetHeld returns what is held.
func (a *Accountant) GetHeld() Held {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Held{Units: a.units, Bytes: a.held}
}

type contextKey struct{}

// NewContext returns the context of a connection's requests.
func NewContext(ctx context.Context, acc *Account) context.Context {
	return context.WithValue(ctx, contextKey{}, acc)
}

// FromContext returns the account of a request's connection, nil if it has none.
func FromContext(ctx context.Context) *Account {
	acc, _ := ctx.Value(contextKey{}).(*Account)
	return acc
}
