// Package watcher follows the catalog and the list of backend servers in the store,
// through outages, lost history and connections that stop answering.
package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/process/sleeper"
)

// ErrHistoryLost says that the store no longer has the changes after a revision, so the
// whole table has to be read again.
var ErrHistoryLost = errors.New("history is no longer available")

// Source reads the followed tables of the store. Revisions grow with each change.
type Source interface {
	// GetCatalog returns the catalog, nil if there is none yet.
	GetCatalog(ctx context.Context) (*holder.Catalog, uint64, error)
	// WatchCatalog waits for a change after a revision; the catalog is nil if there was
	// none. It returns ErrHistoryLost if the changes are no longer available.
	WatchCatalog(ctx context.Context, after uint64, wait time.Duration) (*holder.Catalog, uint64, error)
	GetServers(ctx context.Context) ([]lister.Server, uint64, error)
	// WatchServers waits for changes after a revision. It returns ErrHistoryLost if they
	// are no longer available.
	WatchServers(ctx context.Context, after uint64, wait time.Duration) ([]lister.Change, uint64, error)
}

// Timeouts and intervals of the calls.
const (
	// readTimeout bounds a call beyond its wait for changes. The store answers in
	// milliseconds, and in a quarter of a second while it is slow.
	readTimeout = 1500 * time.Millisecond
	// watchWait is how long a call waits for a change. Each call has a cost, and the
	// gateways send changes to each other in the meantime.
	watchWait = 4 * time.Second
	// scaleGateways is the number of gateways above which each waits longer, in
	// proportion to it: one of them receives a change as soon, and each call counts
	// against the store's rate limit.
	scaleGateways = 12
	// maxWatchWait bounds the scaled wait; the store allows 30 s.
	maxWatchWait = 16 * time.Second
	// batchInterval is the pause after a call, in which further changes accumulate:
	// servers join and leave together, and each call has a cost. Above scaleGateways it
	// grows in proportion, up to maxBatchInterval, as a change must be in force within two
	// seconds, and each pause is drawn between half and all of it, so that the gateways
	// do not call at the same moment.
	batchInterval    = 200 * time.Millisecond
	maxBatchInterval = 800 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after a failed call. maxBackoff is less
	// than half of the time within which a change must be in force, so that the end of an
	// outage is noticed in time. In a large fleet the bound grows up to maxFleetBackoff:
	// some gateway notices sooner and sends the changes to the others.
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 700 * time.Millisecond
	maxFleetBackoff = 1500 * time.Millisecond
)

// Watcher follows the store. RunCatalog and RunServers are each for one goroutine and may
// run at the same time.
type Watcher struct {
	source  Source
	catalog *holder.Holder
	servers *lister.Lister
	// gateways is the number of gateways that send changes to each other.
	gateways atomic.Int64
}

// SetGateways sets the number of gateways that send changes to each other, this one
// included.
func (w *Watcher) SetGateways(n int) { w.gateways.Store(int64(n)) }

// currentWatchWait returns how long a call waits for a change.
func (w *Watcher) currentWatchWait() time.Duration {
	return min(max(watchWait*time.Duration(w.gateways.Load())/scaleGateways, watchWait), maxWatchWait)
}

// nextBatchInterval returns the pause after the next call, drawn at random in a large
// fleet.
func (w *Watcher) nextBatchInterval() time.Duration {
	n := w.gateways.Load()
	if n <= scaleGateways {
		return batchInterval
	}
	maxInterval := min(batchInterval*time.Duration(n)/scaleGateways, maxBatchInterval)
	return maxInterval/2 + rand.N(maxInterval/2)
}

// currentMaxBackoff returns the bound of the backoff after a failed call.
func (w *Watcher) currentMaxBackoff() time.Duration {
	return min(max(maxBackoff*time.Duration(w.gateways.Load())/scaleGateways, maxBackoff), maxFleetBackoff)
}

// New returns a Watcher that keeps catalog and servers up to date.
func New(source Source, catalog *holder.Holder, servers *lister.Lister) *Watcher {
	return &Watcher{source: source, catalog: catalog, servers: servers}
}

// RunCatalog keeps the catalog up to date until ctx ends.
func (w *Watcher) RunCatalog(ctx context.Context) {
	f := follower{Watcher: w, table: "catalog", readAll: w.readCatalog, watch: w.watchCatalog}
	f.run(ctx)
}

// RunServers keeps the list of backend servers up to date until ctx ends.
func (w *Watcher) RunServers(ctx context.Context) {
	f := follower{Watcher: w, table: "servers", readAll: w.readServers, watch: w.watchServers}
	f.run(ctx)
}

func (w *Watcher) readCatalog(ctx context.Context) (uint64, error) {
	c, revision, err := w.source.GetCatalog(ctx)
	if err != nil {
		return 0, err
	}
	w.catalog.ApplyIfNewer(c, "store")
	w.catalog.Confirm(time.Now())
	return revision, nil
}

func (w *Watcher) watchCatalog(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
	c, revision, err := w.source.WatchCatalog(ctx, after, wait)
	if err != nil {
		return 0, err
	}
	w.catalog.ApplyIfNewer(c, "store")
	w.catalog.Confirm(time.Now())
	return revision, nil
}

func (w *Watcher) readServers(ctx context.Context) (uint64, error) {
	all, revision, err := w.source.GetServers(ctx)
	if err != nil {
		return 0, err
	}
	w.servers.Replace(all, revision, time.Now())
	return revision, nil
}

func (w *Watcher) watchServers(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
	changes, revision, err := w.source.WatchServers(ctx, after, wait)
	if err != nil {
		return 0, err
	}
	w.servers.Apply(changes, revision, time.Now())
	return revision, nil
}

// follower reads one table of the store whole and then follows its changes.
type follower struct {
	// Watcher holds the intervals and timeouts.
	*Watcher
	table   string
	readAll func(ctx context.Context) (uint64, error)
	watch   func(ctx context.Context, after uint64, wait time.Duration) (uint64, error)
	// unavailable is whether the latest call failed, ErrHistoryLost aside.
	unavailable bool
	// loaded is whether the table was read whole; after is the revision up to which its
	// changes are applied.
	loaded bool
	after  uint64
}

func (f *follower) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := f.readNext(ctx)
		if ctx.Err() != nil {
			return
		}
		countRead(f.table, err)
		if err == nil {
			f.setUnavailable(false, nil)
			backoff = minBackoff
			sleeper.Sleep(ctx, f.nextBatchInterval())
			continue
		}
		if errors.Is(err, ErrHistoryLost) {
			log.Info("store history no longer available, reading table again", "event", "history_lost", "table", f.table, "after", f.after)
			f.loaded = false
			continue
		}
		f.setUnavailable(true, err)
		sleeper.Sleep(ctx, time.Duration(float64(backoff)*(0.5+rand.Float64()/2)))
		backoff = min(2*backoff, f.currentMaxBackoff())
	}
}

func (f *follower) readNext(ctx context.Context) error {
	if !f.loaded {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		revision, err := f.readAll(ctx)
		if err == nil {
			f.after, f.loaded = revision, true
		}
		return err
	}
	// After a failure the first call does not wait, so that the store's recovery is
	// noticed at once and changes made during the outage do not count as new ones.
	wait := f.currentWatchWait()
	if f.unavailable {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	revision, err := f.watch(ctx, f.after, wait)
	if err == nil {
		f.after = revision
	}
	return err
}

func (f *follower) setUnavailable(unavailable bool, err error) {
	if f.unavailable == unavailable {
		return
	}
	f.unavailable = unavailable
	if unavailable {
		log.Warn("store unavailable", "event", "store_lost", "table", f.table, "error", err)
		return
	}
	log.Info("store available again", "event", "store_regained", "table", f.table, "after", f.after)
}
