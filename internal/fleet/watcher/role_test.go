package watcher

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
)

// countingStore counts the calls of a store that changes twice a second.
type countingStore struct {
	*restorableStore
	calls atomic.Int64
}

func (s *countingStore) GetServers(ctx context.Context) ([]lister.Server, lister.Position, error) {
	s.calls.Add(1)
	return s.restorableStore.GetServers(ctx)
}

func (s *countingStore) WatchServers(ctx context.Context, after uint64, wait time.Duration) ([]lister.Change, lister.Position, error) {
	s.calls.Add(1)
	return s.restorableStore.WatchServers(ctx, after, wait)
}

// TestMostGatewaysOfLargeFleetReadStoreSeldom guards against calls to the store that grow with
// the fleet, and against gateways that do not begin to watch when they have to.
func TestMostGatewaysOfLargeFleetReadStoreSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s, l := &countingStore{restorableStore: newRestorableStore()}, lister.New()
		var watches atomic.Bool
		w := New(s, holder.New(), l, WithRole(watches.Load))
		w.SetGateways(99)
		var wg sync.WaitGroup
		wg.Go(func() { w.RunServers(ctx) })
		wg.Go(func() {
			for ctx.Err() == nil {
				s.put("a")
				time.Sleep(500 * time.Millisecond)
			}
		})
		time.Sleep(time.Minute)
		// A call in checkInterval/2 at most, and one at the start.
		c.Check(s.calls.Load() <= 7, qt.IsTrue, qt.Commentf("%d calls", s.calls.Load()))
		watches.Store(true)
		time.Sleep(time.Second)
		position := l.GetPosition()
		time.Sleep(2 * time.Second)
		c.Check(position.Before(l.GetPosition()), qt.IsTrue)
		// A restored store is read at once by all.
		watches.Store(false)
		time.Sleep(5 * time.Second)
		l.Merge(nil, lister.Position{Era: 2, Revision: 1}, time.Now())
		s.write(func() { s.position.Era = 2 })
		before := s.calls.Load()
		time.Sleep(time.Second)
		c.Check(s.calls.Load() > before, qt.IsTrue)
		cancel()
		wg.Wait()
	})
}
