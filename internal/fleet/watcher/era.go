package watcher

import (
	"context"
	"sync"
)

// era is the highest era of the store that is known. It is safe for concurrent use.
type era struct {
	mu     sync.Mutex
	number uint64
	// cancels end the calls that began in this era, by the number of the call.
	cancels map[uint64]context.CancelFunc
	calls   uint64
}

// get returns the era.
func (e *era) get() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.number
}

// begin registers a call that is canceled when the era rises. It returns the era and a
// function that ends the registration.
func (e *era) begin(cancel context.CancelFunc) (number uint64, end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancels == nil {
		e.cancels = make(map[uint64]context.CancelFunc)
	}
	e.calls++
	call := e.calls
	e.cancels[call] = cancel
	return e.number, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.cancels, call)
	}
}

// raise sets the era if it is higher.
func (e *era) raise(number uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number <= e.number {
		return
	}
	e.number = number
	for call, cancel := range e.cancels {
		cancel()
		delete(e.cancels, call)
	}
}
