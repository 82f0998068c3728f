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

// lossy is a store whose history is lost now and then and whose answers fail by
// turns; it tells each catalog version once.
type lossy struct {
	calls   atomic.Int64
	version atomic.Uint64
}

func (s *lossy) catalog() *holder.Catalog { return &holder.Catalog{Version: s.version.Load()} }

func (s *lossy) GetCatalog(context.Context) (*holder.Catalog, uint64, error) {
	if s.calls.Add(1)%3 == 0 {
		return nil, 0, context.DeadlineExceeded
	}
	return s.catalog(), s.version.Load(), nil
}

func (s *lossy) WatchCatalog(_ context.Context, after uint64, _ time.Duration) (*holder.Catalog, uint64, error) {
	switch s.calls.Add(1) % 4 {
	case 0:
		return nil, 0, context.DeadlineExceeded
	case 1:
		return nil, 0, ErrHistoryLost
	}
	return s.catalog(), s.version.Add(1), nil
}

func (s *lossy) GetServers(context.Context) ([]lister.Server, uint64, error) { return nil, 1, nil }

func (s *lossy) WatchServers(ctx context.Context, _ uint64, _ time.Duration) ([]lister.Change, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// TestVersionsRiseThroughLostHistoryAndFailures follows a store that fails often.
func TestVersionsRiseThroughLostHistoryAndFailures(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(c.Context())
	defer cancel()
	s := &lossy{}
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

// TestPausesGrowWithTheFleet keeps the calls of a large fleet bounded and a change
// within its time.
func TestPausesGrowWithTheFleet(t *testing.T) {
	c := qt.New(t)
	w := New(&lossy{}, holder.New(), lister.New())
	c.Assert(w.pause(), qt.Equals, batchPause)
	for _, n := range []int{13, 45, 330} {
		w.SetGateways(n)
		for range 50 {
			p := w.pause()
			c.Assert(p <= mostBatchPause && p >= batchPause/2, qt.IsTrue, qt.Commentf("%v", p))
		}
	}
	c.Assert(w.pause() >= mostBatchPause/2, qt.IsTrue)
	c.Assert(w.longestPause(), qt.Equals, fleetPause)
	w.SetGateways(9)
	c.Assert(w.longestPause(), qt.Equals, mostPause)
}
