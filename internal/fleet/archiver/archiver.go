// Package archiver keeps the losses that block requests in the platform's store, so that they
// outlive the end of all instances at one moment.
//
// Load pattern: a request that crashes servers is blocked, and is tried now and then; all
// gateways know the same of it, and each change needs one write. When all have ended, each reads
// the archive before it serves. The store is slow or away at times, turns some gateways away, or
// comes back from an older copy.
package archiver

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/gateway/quarantiner"
	"siskinfall/internal/process/sleeper"
)

// ErrConflict says that a row does not have the expected revision.
var ErrConflict = errors.New("row of the archive has changed")

// Row is a row of the archive.
type Row struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the row's last change, 0 if there is no row. A write
	// or removal expects it.
	Revision uint64
}

// Stamp is the state of the store at a response.
type Stamp struct {
	// Era is 0 if the store does not report it.
	Era uint64
	// Revision is that of the rows that a write has changed.
	Revision uint64
	// Clock is the time on the store's steady clock.
	Clock time.Duration
}

// Table is the store's table for the archive.
type Table interface {
	ReadArchive(ctx context.Context) ([]Row, Stamp, error)
	// WriteArchive writes and removes rows, all or none of them. It returns ErrConflict if one
	// does not have the expected revision.
	WriteArchive(ctx context.Context, writes, removals []Row) (Stamp, error)
}

const (
	// callTimeout bounds a call. The store answers in milliseconds, and in a quarter of a second
	// while it is slow.
	callTimeout = 1500 * time.Millisecond
	// batchInterval is the pause after a change, in which further changes accumulate. A zone that is
	// cut off loses hundreds of requests within a second, at all gateways.
	batchInterval = 250 * time.Millisecond
	// minDelay and maxDelay bound the time after which a gateway archives what it learned from
	// another one, which archives at once what it observed itself.
	minDelay = time.Second
	maxDelay = 3 * time.Second
	// minBackoff and maxBackoff bound the backoff after a failed call.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// checkInterval is how often a gateway with archived rows looks for restorations of the
	// store and for expired rows, and idleInterval how often others do.
	checkInterval = 5 * time.Second
	idleInterval  = time.Minute
	// maxRemovalDelay bounds the time after which an expired row is removed, which differs
	// between gateways.
	maxRemovalDelay = time.Minute
	// maxBatch bounds the rows of a write.
	maxBatch = 50
)

// archived is a row in the store, as far as this gateway knows.
type archived struct {
	revision, fingerprint uint64
	// expiresAt is when no loss in it counts any more.
	expiresAt time.Time
}

// pending is a change that is to be archived.
type pending struct {
	fingerprint uint64
	dueAt       time.Time
}

// Archiver writes the kept losses of a Set to the store, and reads those of earlier gateways.
type Archiver struct {
	table  Table
	losses *quarantiner.Set
	// isWriter reports whether this gateway archives what others have observed.
	isWriter func() bool
	// isRead is set once the archive was read.
	isRead atomic.Bool
	// storeEra is the store's era by all sources.
	storeEra atomic.Uint64

	// The fields below belong to Run.

	// rows are valid while isLoaded is set, in an era of the store.
	isLoaded bool
	era      uint64
	rows     map[string]archived
	pending  map[string]pending
	// clockStart is the local time at which the store's clock was 0.
	clockStart time.Time
	// removalDelay is how long after its expiry this gateway removes a row.
	removalDelay time.Duration
	unavailable  bool
}

// New returns an Archiver of losses. isWriter reports whether this gateway archives what others
// have observed, in case they can't; some gateways of a large fleet do.
func New(table Table, losses *quarantiner.Set, isWriter func() bool) *Archiver {
	return &Archiver{
		table: table, losses: losses, isWriter: isWriter, pending: make(map[string]pending), removalDelay: rand.N(maxRemovalDelay),
	}
}

// IsRead reports whether the archive was read.
func (a *Archiver) IsRead() bool { return a.isRead.Load() }

// SetEra says that the store was restored from a copy, which may lack archived rows.
func (a *Archiver) SetEra(era uint64) { a.storeEra.Store(era) }

// Run keeps the archive up to date until ctx ends.
func (a *Archiver) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		changed := a.losses.GetKeptChanged()
		wait, err := a.sync(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrConflict):
			// Another gateway has archived the same. Both read again, at different times.
			sleeper.Sleep(ctx, rand.N(minBackoff))
			continue
		case err != nil:
			a.setUnavailable(true, err)
			sleeper.Sleep(ctx, backoff/2+rand.N(backoff/2))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		a.setUnavailable(false, nil)
		backoff = minBackoff
		if sleeper.SleepOrWake(ctx, wait, changed) {
			sleeper.Sleep(ctx, batchInterval)
		}
	}
}

// sync reads the archive if it may have changed, and writes what is due. It returns the time
// until there may be more to do.
func (a *Archiver) sync(ctx context.Context) (time.Duration, error) {
	if !a.isLoaded || a.era < a.storeEra.Load() {
		if err := a.read(ctx); err != nil {
			return 0, err
		}
	}
	due, needsRead := a.findDue(time.Now())
	expired := a.findExpired(time.Now())
	if needsRead || len(expired) > 0 {
		// Another gateway has probably done it.
		if err := a.read(ctx); err != nil {
			return 0, err
		}
		due, _ = a.findDue(time.Now())
		expired = a.findExpired(time.Now())
	}
	for len(due)+len(expired) > 0 {
		writes := due[:min(len(due), maxBatch)]
		removals := expired[:min(len(expired), maxBatch-len(writes))]
		if err := a.write(ctx, writes, removals); err != nil {
			return 0, err
		}
		due, expired = due[len(writes):], expired[len(removals):]
	}
	return a.getWait(time.Now()), nil
}

// findDue returns the kept losses that have to be archived now, and whether the archive has to
// be read before, since another gateway may have done it.
func (a *Archiver) findDue(now time.Time) (due []quarantiner.Record, needsRead bool) {
	isWriter := a.isWriter()
	noticed := make(map[string]pending)
	for _, r := range a.losses.GetKept(now) {
		key, fingerprint := newKey(r.Digest), r.Fingerprint()
		isOwn := a.losses.IsObserver(r)
		if row, ok := a.rows[key]; ok && row.fingerprint == fingerprint || !isOwn && !isWriter {
			continue
		}
		p := a.pending[key]
		if p.fingerprint != fingerprint {
			p = pending{fingerprint: fingerprint, dueAt: now.Add(minDelay + rand.N(maxDelay-minDelay))}
		}
		noticed[key] = p
		if isOwn || !now.Before(p.dueAt) {
			due = append(due, r)
			needsRead = needsRead || !isOwn
		}
	}
	a.pending = noticed
	return due, needsRead
}

// findExpired returns the keys of the rows that have to be removed.
func (a *Archiver) findExpired(now time.Time) []string {
	var expired []string
	for key, row := range a.rows {
		if now.Sub(row.expiresAt) > a.removalDelay && a.isWriter() {
			expired = append(expired, key)
		}
	}
	return expired
}

// getWait returns the time until a change is due, or rows have to be checked.
func (a *Archiver) getWait(now time.Time) time.Duration {
	wait := idleInterval
	if len(a.rows) > 0 {
		wait = checkInterval
	}
	for _, p := range a.pending {
		wait = min(wait, max(p.dueAt.Sub(now), batchInterval))
	}
	return wait
}

// read reads the archive, and adds what gateways have archived that may have ended.
func (a *Archiver) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a.isLoaded = false
	rows, stamp, err := a.table.ReadArchive(ctx)
	if err != nil {
		return fmt.Errorf("read archive: %w", err)
	}
	now := time.Now()
	a.setClock(stamp, now)
	a.rows = make(map[string]archived, len(rows))
	for _, row := range rows {
		var records []quarantiner.Record
		a.rows[row.Key], records = a.decode(row, now)
		for _, learned := range a.losses.MergeKept(records, now) {
			log.Info("losses of servers read from the archive", "event", "kept", "digest", learned.Digest, "losses", len(learned.New),
				"crashes", learned.Crashes)
		}
	}
	a.isLoaded, a.era = true, max(stamp.Era, a.storeEra.Load())
	a.isRead.Store(true)
	return nil
}

// write archives records, and removes expired rows.
func (a *Archiver) write(ctx context.Context, records []quarantiner.Record, expired []string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := time.Now()
	writes := make([]Row, 0, len(records))
	for _, r := range records {
		value, err := a.encode(r, now)
		if err != nil {
			return err
		}
		writes = append(writes, Row{Key: newKey(r.Digest), Value: value, Revision: a.rows[newKey(r.Digest)].revision})
	}
	removals := make([]Row, 0, len(expired))
	for _, key := range expired {
		removals = append(removals, Row{Key: key, Revision: a.rows[key].revision})
	}
	stamp, err := a.table.WriteArchive(ctx, writes, removals)
	if err != nil {
		// What was done is unknown, or rows have changed.
		a.isLoaded = false
		return fmt.Errorf("write archive: %w", err)
	}
	a.setClock(stamp, time.Now())
	for _, r := range records {
		a.rows[newKey(r.Digest)] = archived{revision: stamp.Revision, fingerprint: r.Fingerprint(), expiresAt: r.GetExpiry()}
		delete(a.pending, newKey(r.Digest))
	}
	for _, key := range expired {
		delete(a.rows, key)
	}
	log.Info("losses of servers archived", "event", "archive", "written", len(records), "removed", len(expired), "revision", stamp.Revision)
	return nil
}

func (a *Archiver) setClock(stamp Stamp, now time.Time) { a.clockStart = now.Add(-stamp.Clock) }

func (a *Archiver) setUnavailable(unavailable bool, err error) {
	if a.unavailable == unavailable {
		return
	}
	a.unavailable = unavailable
	if unavailable {
		log.Warn("archive of losses unavailable", "event", "archive", "error", err)
		return
	}
	log.Info("archive of losses available again", "event", "archive")
}
