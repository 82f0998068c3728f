package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"siskinfall/internal/config/registrar"
)

// Bounds of the pause between two attempts.
const (
	minPause = 5 * time.Millisecond
	maxPause = 500 * time.Millisecond
)

// pause is a decorrelated backoff: each wait is random between the least and
// three times the one before.
type pause struct {
	last time.Duration
}

func newPause() *pause { return &pause{last: minPause} }

func (p *pause) wait(ctx context.Context) {
	p.last = min(minPause+rand.N(3*p.last-minPause+1), maxPause)
	t := time.NewTimer(p.last)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// maxBudget is the most retries that a service saves up.
const maxBudget = 50

// budgets holds the retry budget of each service.
type budgets struct {
	mu sync.Mutex
	// left is in retries, between 0 and maxBudget.
	left map[string]float64
}

func newBudgets() *budgets { return &budgets{left: make(map[string]float64)} }

// earn adds the fraction of a fresh request.
func (b *budgets) earn(s *registrar.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, ok := b.left[s.Name]
	if !ok {
		left = maxBudget
	}
	b.left[s.Name] = min(left+s.RetryBudget, maxBudget)
}

// spend takes one retry, and reports false if none is left.
func (b *budgets) spend(s *registrar.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left[s.Name] < 1 {
		return false
	}
	b.left[s.Name]--
	return true
}
