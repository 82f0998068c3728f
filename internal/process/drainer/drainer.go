// Package drainer counts work in flight, so that a graceful shutdown refuses new
// work and waits for the rest.
package drainer

import (
	"context"
	"sync"
	"time"

	"siskinfall/internal/check/asserter"
)

// Gate is embedded by what accepts work. Its zero value accepts.
type Gate struct {
	mu sync.Mutex
	// since is when draining began, zero before. Nothing is accepted after it.
	since time.Time
	// inFlight counts accepted work.
	inFlight int
	// drained is closed when nothing is in flight any more; it is made by Close.
	drained chan struct{}
}

// Accept counts work in, unless draining has begun. Finish must follow.
func (g *Gate) Accept() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.since.IsZero() {
		return false
	}
	g.inFlight++
	return true
}

// Finish counts work out.
func (g *Gate) Finish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.inFlight == 0 && !g.since.IsZero() {
		close(g.drained)
	}
}

// GetSince returns when draining began, zero if it has not.
func (g *Gate) GetSince() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.since
}

// IsDraining reports whether new work is refused.
func (g *Gate) IsDraining() bool { return !g.GetSince().IsZero() }

// BeginDrain refuses new work from now on.
func (g *Gate) BeginDrain(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.since.IsZero() {
		return
	}
	g.since = now
	g.drained = make(chan struct{})
	if g.inFlight == 0 {
		close(g.drained)
	}
}

// WaitDrained waits until nothing is in flight, and reports whether that came
// before ctx ended. BeginDrain must come first.
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
