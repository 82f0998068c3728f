// Package sleeper provides a sleep that ends with a context.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits until d has passed or ctx ends.
func Sleep(ctx context.Context, d time.Duration) { SleepOrWake(ctx, d, nil) }

// SleepOrWake waits until d has passed, wake has a value or is closed, or ctx ends. It reports
// whether wake has ended the wait.
func SleepOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	if d <= 0 {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-wake:
		return true
	}
	return false
}
