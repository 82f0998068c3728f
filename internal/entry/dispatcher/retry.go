package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"siskinfall/internal/config/registrar"
)

// Bounds of the backoff between two attempts.
const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// backoff is a decorrelated exponential backoff: each wait is random between
// minBackoff and three times the previous wait, up to maxBackoff.
type backoff struct {
	last time.Duration
}

func newBackoff() *backoff { return &backoff{last: minBackoff} }

func (b *backoff) wait(ctx context.Context) {
	b.last = min(minBackoff+rand.N(3*b.last-minBackoff+1), maxBackoff)
	t := time.NewTimer(b.last)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// maxRetryBudget is the maximum budget of a service, in retries.
const maxRetryBudget = 50

// retryBudgets holds the retry budget of each service.
type retryBudgets struct {
	mu sync.Mutex
	// remaining is in retries, between 0 and maxRetryBudget.
	remaining map[string]float64
}

func newRetryBudgets() *retryBudgets { return &retryBudgets{remaining: make(map[string]float64)} }

// refill adds the fraction of a retry that a new request contributes. A
// service's budget starts full.
func (b *retryBudgets) refill(s *registrar.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining, ok := b.remaining[s.Name]
	if !ok {
		remaining = maxRetryBudget
	}
	b.remaining[s.Name] = min(remaining+s.RetryBudget, maxRetryBudget)
}

// takeRetry takes one retry from the budget and reports false if none is left.
func (b *retryBudgets) takeRetry(s *registrar.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining[s.Name] < 1 {
		return false
	}
	b.remaining[s.Name]--
	return true
}
