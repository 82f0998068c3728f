// Package watcher follows what operators and backend servers publish in the
// store, through outages, lost history and silent connections.
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

// ErrHistoryLost says that changes since a revision can't be had any more, so the
// whole state has to be read again.
var ErrHistoryLost = errors.New("history is no longer available")

// Source is the store as far as it is followed. Revisions grow with each change.
type Source interface {
	// GetCatalog returns the catalog, nil if there is none yet.
	GetCatalog(ctx context.Context) (*holder.Catalog, uint64, error)
	// WatchCatalog waits for a change after a revision; the catalog is nil if
	// there was none. It returns ErrHistoryLost.
	WatchCatalog(ctx context.Context, after uint64, wait time.Duration) (*holder.Catalog, uint64, error)
	GetServers(ctx context.Context) ([]lister.Server, uint64, error)
	// WatchServers waits for changes after a revision. It returns ErrHistoryLost.
	WatchServers(ctx context.Context, after uint64, wait time.Duration) ([]lister.Change, uint64, error)
}

// Times of the calls.
const (
	// readTimeout bounds a call that does not wait; the store answers in
	// milliseconds, and in a quarter of a second while it is slow.
	readTimeout = 1500 * time.Millisecond
	// waitTime is how long a call waits for a change. Each call has a price, and
	// the instances pass changes on to each other meanwhile.
	waitTime = 4 * time.Second
	// waitGateways is the number of gateways from which each waits longer: together
	// they hear of a change as soon, and each call counts against the store's rate.
	waitGateways = 12
	// mostWait bounds that; the store allows 30 s.
	mostWait = 16 * time.Second
	// batchPause is how long changes are left to gather after one: servers come and
	// leave together, and each call has a price. It grows with the gateways like the
	// wait, up to mostBatchPause: a change must be in force within two seconds, and
	// each pause is drawn between a half and the whole so that they do not all call at
	// the same moment.
	batchPause     = 200 * time.Millisecond
	mostBatchPause = 800 * time.Millisecond
	// firstPause and mostPause bound the pause after a failure. The longest keeps
	// the return of the store unnoticed for less than half of the time in which
	// a change has to be in force. In a large fleet it grows up to fleetPause: some
	// gateway is sure to notice sooner, and passes on what is new.
	firstPause = 100 * time.Millisecond
	mostPause  = 700 * time.Millisecond
	fleetPause = 1500 * time.Millisecond
)

// Watcher follows the store. Run is for one goroutine.
type Watcher struct {
	source  Source
	catalog *holder.Holder
	servers *lister.Lister
	// gateways is how many share the news.
	gateways atomic.Int64
}

// SetGateways says among how many gateways news is shared.
func (w *Watcher) SetGateways(n int) { w.gateways.Store(int64(n)) }

// wait is how long a call waits for a change.
func (w *Watcher) wait() time.Duration {
	return min(max(waitTime*time.Duration(w.gateways.Load())/waitGateways, waitTime), mostWait)
}

// pause is how long changes are left to gather.
func (w *Watcher) pause() time.Duration {
	n := w.gateways.Load()
	if n <= waitGateways {
		return batchPause
	}
	longest := min(batchPause*time.Duration(n)/waitGateways, mostBatchPause)
	return longest/2 + rand.N(longest/2)
}

// longestPause bounds the pause after a failure.
func (w *Watcher) longestPause() time.Duration {
	return min(max(mostPause*time.Duration(w.gateways.Load())/waitGateways, mostPause), fleetPause)
}

// New returns a Watcher that keeps catalog and servers up to date.
func New(source Source, catalog *holder.Holder, servers *lister.Lister) *Watcher {
	return &Watcher{source: source, catalog: catalog, servers: servers}
}

// RunCatalog follows the catalog until ctx ends.
func (w *Watcher) RunCatalog(ctx context.Context) {
	f := follower{Watcher: w, name: "catalog", get: w.readCatalog, watch: w.watchCatalog}
	f.run(ctx)
}

// RunServers follows the backend servers until ctx ends.
func (w *Watcher) RunServers(ctx context.Context) {
	f := follower{Watcher: w, name: "servers", get: w.readServers, watch: w.watchServers}
	f.run(ctx)
}

func (w *Watcher) readCatalog(ctx context.Context) (uint64, error) {
	c, revision, err := w.source.GetCatalog(ctx)
	if err != nil {
		return 0, err
	}
	w.catalog.Offer(c, "store")
	w.catalog.Confirm(time.Now())
	return revision, nil
}

func (w *Watcher) watchCatalog(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
	c, revision, err := w.source.WatchCatalog(ctx, after, wait)
	if err != nil {
		return 0, err
	}
	w.catalog.Offer(c, "store")
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

// follower reads one table whole and then follows its changes.
type follower struct {
	// Watcher says how long to wait and to pause.
	*Watcher
	name  string
	get   func(ctx context.Context) (uint64, error)
	watch func(ctx context.Context, after uint64, wait time.Duration) (uint64, error)
	// away says that the latest call failed.
	away bool
	// known says that the table was read whole as of after, the revision to go on
	// from.
	known bool
	after uint64
}

func (f *follower) run(ctx context.Context) {
	pause := firstPause
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		countRead(f.name, err)
		if err == nil {
			f.setAway(false, nil)
			pause = firstPause
			sleeper.Sleep(ctx, f.pause())
			continue
		}
		if errors.Is(err, ErrHistoryLost) {
			log.Info("store history lost", "event", "history_lost", "table", f.name, "after", f.after)
			f.known = false
			continue
		}
		f.setAway(true, err)
		sleeper.Sleep(ctx, time.Duration(float64(pause)*(0.5+rand.Float64()/2)))
		pause = min(2*pause, f.longestPause())
	}
}

func (f *follower) step(ctx context.Context) error {
	if !f.known {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		revision, err := f.get(ctx)
		if err == nil {
			f.after, f.known = revision, true
		}
		return err
	}
	// After a failure the first answer comes at once, so that the store's return is
	// known and what changed meanwhile is not taken for new.
	wait := f.wait()
	if f.away {
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

func (f *follower) setAway(away bool, err error) {
	if f.away == away {
		return
	}
	f.away = away
	if away {
		log.Warn("store lost", "event", "store_lost", "table", f.name, "error", err)
		return
	}
	log.Info("store regained", "event", "store_regained", "table", f.name, "after", f.after)
}
