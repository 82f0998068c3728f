// Package sleeper provides a sleep that ends with a context.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits until d has passed or ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
