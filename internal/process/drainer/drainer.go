// Package drainer counts work in flight, so that a graceful shutdown can refuse new
// work and wait for the accepted work to finish.
package drainer

import (
	"context"
	"sync"
	"time"

	"siskinfall/internal/check/asserter"
)

// Gate counts work in flight and refuses new work once draining has begun. It is
// meant to be embedded. The zero value accepts work.
type Gate struct {
	mu sync.Mutex
	// drainStart is when draining began, zero before. Nothing is accepted after it.
	drainStart time.Time
	// inFlight counts accepted work.
	inFlight int
	// drained is made by BeginDrain and closed when nothing is in flight any more.
	drained chan struct{}
}

// Accept reports whether work is accepted, which it is unless draining has begun.
// Finish must be called when accepted work ends.
func (g *Gate) Accept() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.drainStart.IsZero() {
		return false
	}
	g.inFlight++
	return true
}

// Finish records the end of accepted work.
func (g *Gate) Finish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.inFlight == 0 && !g.drainStart.IsZero() {
		close(g.drained)
	}
}

// GetDrainStart returns when draining began, zero if it has not.
func (g *Gate) GetDrainStart() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.drainStart
}

// IsDraining reports whether new work is refused.
func (g *Gate) IsDraining() bool { return !g.GetDrainStart().IsZero() }

// BeginDrain refuses new work from now on.
func (g *Gate) BeginDrain(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.drainStart.IsZero() {
		return
	}
	g.drainStart = now
	g.drained = make(chan struct{})
	if g.inFlight == 0 {
		close(g.drained)
	}
}

// WaitDrained waits until nothing is in flight, and reports whether that happened
// before ctx ended. BeginDrain must be called first.
func (g *Gate) WaitDrained(ctx context.Context) bool {
	g.mu.Lock()
	drained := g.drained
	g.mu.Unlock()
	select {
	case <-drained:
	case <-ctx.Done():
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return asserter.Holds(g.inFlight == 0, asserter.RuleDrained, "%d in flight", g.inFlight) == nil
}
