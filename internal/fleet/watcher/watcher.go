// Package watcher follows what the operator writes and the list of backend servers in the store,
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
	"siskinfall/internal/fleet/withdrawer"
	"siskinfall/internal/process/sleeper"
)

// ErrHistoryLost says that the store no longer has the changes after a revision, so the
// whole table has to be read again.
var ErrHistoryLost = errors.New("history is no longer available")

// ErrEraDecreased says that the store reported an era below one that it reported before.
var ErrEraDecreased = errors.New("the store's era has decreased")

// errRestored says that the store has been restored from an older copy, so the whole table
// has to be read again.
var errRestored = errors.New("store was restored from an older copy")

// Operator is what the operator has written to the store.
type Operator struct {
	// Catalog is nil if there is none, or no change of it.
	Catalog *holder.Catalog
	// Zones are the availability zones out of use, or the changes of these.
	Zones []withdrawer.Change
}

// Source reads the followed tables of the store. The era of a position is 0 if the store
// does not report it.
type Source interface {
	// GetOperator returns the catalog and the zones out of use.
	GetOperator(ctx context.Context) (Operator, lister.Position, error)
	// WatchOperator waits for a change after a revision. It returns ErrHistoryLost if the
	// changes are no longer available.
	WatchOperator(ctx context.Context, after uint64, wait time.Duration) (Operator, lister.Position, error)
	GetServers(ctx context.Context) ([]lister.Server, lister.Position, error)
	// WatchServers waits for changes after a revision. It returns ErrHistoryLost if they
	// are no longer available.
	WatchServers(ctx context.Context, after uint64, wait time.Duration) ([]lister.Change, lister.Position, error)
}

// Timeouts and intervals of the calls.
const (
	// readTimeout bounds a call beyond its wait for changes. The store answers in
	// milliseconds, and in a quarter of a second while it is slow.
	readTimeout = 1500 * time.Millisecond
	// watchWait is how long a call waits for a change. Each call has a cost, and the
	// gateways send changes to each other in the meantime. In a large fleet only some
	// gateways watch, and the others take a catalog for confirmed when one of these does.
	watchWait = 4 * time.Second
	// scaleGateways is the number of gateways above which each pauses longer between
	// calls, in proportion to it, as each call counts against the store's rate limit.
	scaleGateways = 12
	// checkInterval is the pause between two calls of a gateway that does not watch, drawn
	// between half and all of it.
	checkInterval = 20 * time.Second
	// roleInterval is how often such a gateway looks whether it has to watch.
	roleInterval = 200 * time.Millisecond
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
	zones   *withdrawer.Zones
	// gateways is the number of gateways that send changes to each other.
	gateways atomic.Int64
	// unavailable counts the tables whose latest call failed.
	unavailable atomic.Int64
	era         era
	// watches reports whether this gateway watches the store.
	watches func() bool
}

// SetGateways sets the number of gateways that send changes to each other, this one
// included.
func (w *Watcher) SetGateways(n int) { w.gateways.Store(int64(n)) }

// Option configures a Watcher.
type Option func(*Watcher)

// WithRole sets a function that reports whether this gateway watches the store. Others read
// it seldom, since those that watch pass changes on.
func WithRole(watches func() bool) Option { return func(w *Watcher) { w.watches = watches } }

// WithZones sets the set of availability zones out of use that is kept up to date.
func WithZones(zones *withdrawer.Zones) Option { return func(w *Watcher) { w.zones = zones } }

// IsUpToDate reports whether this gateway watches the store, and the latest calls succeeded.
func (w *Watcher) IsUpToDate() bool { return w.unavailable.Load() == 0 && w.watches() }

// nextWatchWait returns how long the next call waits for a change. In a large fleet it is drawn
// at random: gateways that a change has woken together would otherwise confirm the catalog
// together, and it would look old to all others before the next time.
func (w *Watcher) nextWatchWait() time.Duration {
	if w.gateways.Load() <= scaleGateways {
		return watchWait
	}
	return watchWait/2 + rand.N(watchWait/2)
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
func New(source Source, catalog *holder.Holder, servers *lister.Lister, opts ...Option) *Watcher {
	w := &Watcher{source: source, catalog: catalog, servers: servers, zones: withdrawer.New(), watches: func() bool { return true }}
	for _, opt := range opts {
		opt(w)
	}
	// Another gateway may be the first to read the restored store.
	servers.OnEra(w.era.raise)
	return w
}

// RunCatalog keeps the catalog and the zones out of use up to date until ctx ends. The zones
// are put in force first, so that no request is placed without them.
func (w *Watcher) RunCatalog(ctx context.Context) {
	// stored is the version in the store, which after a restoration may be below that in force.
	stored := uint64(0)
	apply := func(c *holder.Catalog, isWhole bool) {
		if isWhole {
			stored = 0
		}
		if c != nil {
			stored = c.Version
		}
		w.catalog.ApplyIfNewer(c, "store")
		if stored >= w.catalog.GetVersion() {
			w.catalog.Confirm(time.Now())
		}
	}
	f := follower{
		Watcher: w, table: "catalog",
		readAll: func(ctx context.Context) (update, error) {
			o, at, err := w.source.GetOperator(ctx)
			return update{at, func(at lister.Position) {
				w.zones.Replace(closedZones(o.Zones), at, "store", time.Now())
				apply(o.Catalog, true)
			}}, err
		},
		watch: func(ctx context.Context, after uint64, wait time.Duration) (update, error) {
			o, at, err := w.source.WatchOperator(ctx, after, wait)
			return update{at, func(at lister.Position) {
				w.zones.Apply(o.Zones, at, "store")
				apply(o.Catalog, false)
			}}, err
		},
	}
	f.run(ctx)
}

// closedZones returns the zones that are out of use after changes.
func closedZones(changes []withdrawer.Change) []string {
	var closed []string
	for _, ch := range changes {
		if !ch.Returned {
			closed = append(closed, ch.Zone)
		}
	}
	return closed
}

// RunServers keeps the list of backend servers up to date until ctx ends.
func (w *Watcher) RunServers(ctx context.Context) {
	f := follower{
		Watcher: w, table: "servers",
		readAll: func(ctx context.Context) (update, error) {
			all, at, err := w.source.GetServers(ctx)
			return update{at, func(at lister.Position) { w.servers.Replace(all, at, time.Now()) }}, err
		},
		watch: func(ctx context.Context, after uint64, wait time.Duration) (update, error) {
			changes, at, err := w.source.WatchServers(ctx, after, wait)
			return update{at, func(at lister.Position) { w.servers.Apply(changes, at, time.Now()) }}, err
		},
	}
	f.run(ctx)
}

// update is a response of the store.
type update struct {
	at lister.Position
	// apply puts it in force, at a position whose era is known.
	apply func(at lister.Position)
}

// follower reads one table of the store whole and then follows its changes.
type follower struct {
	// Watcher holds the intervals and timeouts.
	*Watcher
	table   string
	readAll func(ctx context.Context) (update, error)
	watch   func(ctx context.Context, after uint64, wait time.Duration) (update, error)
	// unavailable is whether the latest call failed, ErrHistoryLost and errRestored aside.
	unavailable bool
	// loaded is whether the table was read whole; after is the position up to which its
	// changes are applied.
	loaded bool
	after  lister.Position
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
			f.rest(ctx)
			continue
		}
		if errors.Is(err, ErrHistoryLost) || errors.Is(err, errRestored) {
			log.Info("reading table again", "event", "history_lost", "table", f.table, "after", f.after.Revision, "era", f.after.Era, "error", err)
			f.loaded = false
			continue
		}
		f.setUnavailable(true, err)
		sleeper.Sleep(ctx, time.Duration(float64(backoff)*(0.5+rand.Float64()/2)))
		backoff = min(2*backoff, f.currentMaxBackoff())
	}
}

func (f *follower) readNext(ctx context.Context) error {
	timeout, wait := readTimeout, time.Duration(0)
	// After a failure the first call does not wait, so that the store's recovery is
	// noticed at once and changes made during the outage do not count as new ones.
	if f.loaded && !f.unavailable && f.watches() {
		wait = f.nextWatchWait()
		timeout += wait
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	known, end := f.era.begin(cancel)
	defer end()
	if f.loaded && f.after.Era < known {
		return errRestored
	}
	u, err := f.read(ctx, wait)
	isEraOver := f.era.get() > known
	switch {
	case err != nil && isEraOver:
		return errRestored
	case err != nil:
		return err
	case u.at.Era == 0:
		// The store reports no era.
		u.at.Era = known
	case u.at.Era < known:
		log.Error("era of the store has decreased, response ignored", "event", "store_era", "table", f.table, "known", known, "reported", u.at.Era)
		return ErrEraDecreased
	}
	f.era.raise(u.at.Era)
	if f.loaded && u.at.Era > f.after.Era || isEraOver && u.at.Era == known {
		// Changes before the restoration may be missing from the response.
		return errRestored
	}
	u.apply(u.at)
	f.after, f.loaded = u.at, true
	return nil
}

// rest waits until the next call of a gateway that does not watch, or until it has to watch
// or to read the table again.
func (f *follower) rest(ctx context.Context) {
	until := time.Now().Add(checkInterval/2 + rand.N(checkInterval/2))
	for ctx.Err() == nil && !f.watches() && f.era.get() <= f.after.Era && time.Now().Before(until) {
		sleeper.Sleep(ctx, roleInterval)
	}
}

// read reads the whole table, or its changes once it is loaded.
func (f *follower) read(ctx context.Context, wait time.Duration) (update, error) {
	if !f.loaded {
		return f.readAll(ctx)
	}
	return f.watch(ctx, f.after.Revision, wait)
}

func (f *follower) setUnavailable(unavailable bool, err error) {
	if f.unavailable == unavailable {
		return
	}
	f.unavailable = unavailable
	if unavailable {
		f.Watcher.unavailable.Add(1)
		log.Warn("store unavailable", "event", "store_lost", "table", f.table, "error", err)
		return
	}
	f.Watcher.unavailable.Add(-1)
	log.Info("store available again", "event", "store_regained", "table", f.table, "after", f.after.Revision, "era", f.after.Era)
}
