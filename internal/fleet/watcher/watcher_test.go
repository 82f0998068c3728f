package watcher

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
)

// flakyStore is a Source with a catalog that changes on each watch. In turn, its calls
// fail, lose the history or succeed.
type flakyStore struct {
	calls   atomic.Int64
	version atomic.Uint64
}

func (s *flakyStore) catalog() *holder.Catalog { return &holder.Catalog{Version: s.version.Load()} }

func (s *flakyStore) GetOperator(context.Context) (Operator, lister.Position, error) {
	if s.calls.Add(1)%3 == 0 {
		return Operator{}, lister.Position{}, context.DeadlineExceeded
	}
	return Operator{Catalog: s.catalog()}, lister.Position{Revision: s.version.Load()}, nil
}

func (s *flakyStore) WatchOperator(_ context.Context, after uint64, _ time.Duration) (Operator, lister.Position, error) {
	switch s.calls.Add(1) % 4 {
	case 0:
		return Operator{}, lister.Position{}, context.DeadlineExceeded
	case 1:
		return Operator{}, lister.Position{}, ErrHistoryLost
	}
	return Operator{Catalog: s.catalog()}, lister.Position{Revision: s.version.Add(1)}, nil
}

func (s *flakyStore) GetServers(context.Context) ([]lister.Server, lister.Position, error) {
	return nil, lister.Position{Revision: 1}, nil
}

func (s *flakyStore) WatchServers(ctx context.Context, _ uint64, _ time.Duration) ([]lister.Change, lister.Position, error) {
	<-ctx.Done()
	return nil, lister.Position{}, ctx.Err()
}

// TestCatalogVersionsIncreaseDespiteFailuresAndLostHistory guards against a catalog that
// repeats a version or decreases it after failed calls.
func TestCatalogVersionsIncreaseDespiteFailuresAndLostHistory(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(c.Context())
	defer cancel()
	s := &flakyStore{}
	s.version.Store(1)
	h := holder.New()
	versions := make(chan uint64, 100)
	h.OnChange(func(x *holder.Catalog) { versions <- x.Version })
	done := make(chan struct{})
	go func() {
		defer close(done)
		New(s, h, lister.New()).RunCatalog(ctx)
	}()
	last := uint64(0)
	for last < 5 {
		v := <-versions
		c.Assert(v > last, qt.IsTrue)
		last = v
	}
	cancel()
	<-done
}

// TestIntervalsGrowWithFleetUpToTheirMaximum guards against too many calls of a large fleet
// to the store, and against intervals too long for a change to be in force in time.
func TestIntervalsGrowWithFleetUpToTheirMaximum(t *testing.T) {
	c := qt.New(t)
	w := New(&flakyStore{}, holder.New(), lister.New())
	c.Assert(w.nextBatchInterval(), qt.Equals, batchInterval)
	for _, n := range []int{13, 45, 330} {
		w.SetGateways(n)
		for range 50 {
			p := w.nextBatchInterval()
			c.Assert(p <= maxBatchInterval && p >= batchInterval/2, qt.IsTrue, qt.Commentf("%v", p))
		}
	}
	c.Assert(w.nextBatchInterval() >= maxBatchInterval/2, qt.IsTrue)
	c.Assert(w.currentMaxBackoff(), qt.Equals, maxFleetBackoff)
	w.SetGateways(9)
	c.Assert(w.currentMaxBackoff(), qt.Equals, maxBackoff)
}
