package watcher

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/fleet/withdrawer"
)

var errStoreDown = errors.New("the store is down")

// restorableStore is a Source that can be restored from a copy of itself.
type restorableStore struct {
	mu       sync.Mutex
	down     bool
	position lister.Position
	entries  map[string]lister.Server
	removed  map[string]uint64
	catalog  *holder.Catalog
	// catalogRevision is that of the catalog's row.
	catalogRevision uint64
	// zones holds the rows of zones, by name.
	zones   map[string]zoneRow
	changed chan struct{}
}

// zoneRow is the row of a zone out of use, or its removal.
type zoneRow struct {
	removed  bool
	revision uint64
}

// setZone takes a zone out of use, or puts it back.
func (s *restorableStore) setZone(zone string, inUse bool) {
	s.write(func() {
		s.position.Revision++
		s.zones[zone] = zoneRow{removed: inUse, revision: s.position.Revision}
	})
}

// zoneChanges returns the changes of zones after a revision; it needs the lock.
func (s *restorableStore) zoneChanges(after uint64) []withdrawer.Change {
	var changes []withdrawer.Change
	for zone, r := range s.zones {
		if r.revision > after && (after > 0 || !r.removed) {
			changes = append(changes, withdrawer.Change{Zone: zone, Returned: r.removed})
		}
	}
	return changes
}

func newRestorableStore() *restorableStore {
	return &restorableStore{
		position: lister.Position{Era: 1}, entries: make(map[string]lister.Server), removed: make(map[string]uint64), zones: make(map[string]zoneRow), changed: make(chan struct{}),
	}
}

// write makes changes under the lock and wakes the watches.
func (s *restorableStore) write(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *restorableStore) put(ids ...string) {
	s.write(func() {
		for _, id := range ids {
			s.position.Revision++
			s.entries[id] = lister.Server{ID: id, Revision: s.position.Revision}
			delete(s.removed, id)
		}
	})
}

func (s *restorableStore) remove(id string) {
	s.write(func() {
		s.position.Revision++
		delete(s.entries, id)
		s.removed[id] = s.position.Revision
	})
}

func (s *restorableStore) putCatalog(version uint64) {
	s.write(func() {
		s.position.Revision++
		s.catalog, s.catalogRevision = &holder.Catalog{Version: version}, s.position.Revision
	})
}

// copy returns a function that restores the state of now.
func (s *restorableStore) copy() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, entries, removed := s.position.Revision, maps.Clone(s.entries), maps.Clone(s.removed)
	catalog, catalogRevision, zones := s.catalog, s.catalogRevision, maps.Clone(s.zones)
	return func() {
		s.write(func() {
			s.position = lister.Position{Era: s.position.Era + 1, Revision: revision}
			s.entries, s.removed, s.catalog, s.catalogRevision = maps.Clone(entries), maps.Clone(removed), catalog, catalogRevision
			s.zones = maps.Clone(zones)
			s.down = false
		})
	}
}

func (s *restorableStore) stop() { s.write(func() { s.down = true }) }

// wait waits until f holds or the time has passed, and returns with the lock held.
func (s *restorableStore) wait(ctx context.Context, wait time.Duration, f func() bool) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.down {
			return errStoreDown
		}
		if f() {
			return nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			s.mu.Lock()
			return nil
		case <-ctx.Done():
			s.mu.Lock()
			return ctx.Err()
		}
	}
}

func (s *restorableStore) GetOperator(ctx context.Context) (Operator, lister.Position, error) {
	err := s.wait(ctx, 0, func() bool { return true })
	defer s.mu.Unlock()
	return Operator{Catalog: s.catalog, Zones: s.zoneChanges(0)}, s.position, err
}

func (s *restorableStore) WatchOperator(ctx context.Context, after uint64, wait time.Duration) (Operator, lister.Position, error) {
	err := s.wait(ctx, wait, func() bool {
		return s.catalogRevision > after || len(s.zoneChanges(after)) > 0 || after > s.position.Revision
	})
	defer s.mu.Unlock()
	if err == nil && after > s.position.Revision {
		return Operator{}, s.position, ErrHistoryLost
	}
	o := Operator{Zones: s.zoneChanges(after)}
	if s.catalogRevision > after {
		o.Catalog = s.catalog
	}
	return o, s.position, err
}

func (s *restorableStore) GetServers(ctx context.Context) ([]lister.Server, lister.Position, error) {
	err := s.wait(ctx, 0, func() bool { return true })
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.entries)), s.position, err
}

func (s *restorableStore) WatchServers(ctx context.Context, after uint64, wait time.Duration) ([]lister.Change, lister.Position, error) {
	changes := func() []lister.Change {
		var out []lister.Change
		for _, e := range s.entries {
			if e.Revision > after {
				out = append(out, lister.Change{Server: e})
			}
		}
		for id, revision := range s.removed {
			if revision > after {
				out = append(out, lister.Change{Server: lister.Server{ID: id, Revision: revision}, Removed: true})
			}
		}
		return out
	}
	err := s.wait(ctx, wait, func() bool { return len(changes()) > 0 || after > s.position.Revision })
	defer s.mu.Unlock()
	if err == nil && after > s.position.Revision {
		return nil, s.position, ErrHistoryLost
	}
	return changes(), s.position, err
}

// maxRestoreDelay is the time after the store's return within which the list must be right.
const maxRestoreDelay = 2 * time.Second

// TestListIsRightSoonAfterRestoration guards against a watch that goes on from a revision
// which the restored store has given out again, and so misses servers.
func TestListIsRightSoonAfterRestoration(t *testing.T) {
	for name, overtake := range map[string]int{"versions below those before": 0, "versions equal": 1, "versions that have overtaken": 2} {
		for _, age := range []time.Duration{time.Second, 10 * time.Second, 30 * time.Second} {
			t.Run(name+" "+age.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { restoreOnce(t, age, overtake) })
			})
		}
	}
}

func restoreOnce(t *testing.T, age time.Duration, overtake int) {
	t.Helper()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	s, l := newRestorableStore(), lister.New()
	w := New(s, holder.New(), l)
	go w.RunServers(ctx)
	s.put("left", "stays", "changed")
	time.Sleep(time.Second)
	restore := s.copy()
	s.remove("left")
	time.Sleep(age)
	s.put("joined")
	s.put("changed")
	time.Sleep(time.Second)
	before := s.position.Revision
	s.stop()
	time.Sleep(300 * time.Millisecond)
	restore()
	// The servers that live write again, in another order, and one starts.
	s.put("new", "changed", "joined")
	switch overtake {
	case 1:
		for s.position.Revision < before {
			s.put("stays")
		}
	case 2:
		for s.position.Revision < before+5 {
			s.put("stays")
		}
	}
	time.Sleep(maxRestoreDelay)
	all := l.GetAll()
	ids := make([]string, 0, len(all))
	for _, srv := range all {
		ids = append(ids, srv.ID)
	}
	slices.Sort(ids)
	c.Check(ids, qt.DeepEquals, []string{"changed", "joined", "new", "stays"})
	cancel()
	synctest.Wait()
}

// TestOldCatalogOfRestoredStoreIsNotConfirmed guards against taking the catalog in force for
// confirmed by a store that has an older one, and denying requests by it.
func TestOldCatalogOfRestoredStoreIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s, h := newRestorableStore(), holder.New()
		w := New(s, h, lister.New())
		go w.RunCatalog(ctx)
		s.putCatalog(4)
		time.Sleep(time.Second)
		restore := s.copy()
		s.putCatalog(9)
		time.Sleep(time.Second)
		c.Check(h.GetVersion(), qt.Equals, uint64(9))
		restore()
		time.Sleep(20 * time.Second)
		c.Check(h.GetVersion(), qt.Equals, uint64(9))
		c.Check(h.GetAge(time.Now()) > 10*time.Second, qt.IsTrue)
		s.putCatalog(12)
		time.Sleep(maxRestoreDelay)
		c.Check(h.GetVersion(), qt.Equals, uint64(12))
		c.Check(h.GetAge(time.Now()) < 10*time.Second, qt.IsTrue)
		cancel()
		synctest.Wait()
	})
}

// TestDecreasedEraIsNotBelieved guards against an older state of the store that replaces a
// newer one.
func TestDecreasedEraIsNotBelieved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s, l := newRestorableStore(), lister.New()
		s.position.Era = 5
		w := New(s, holder.New(), l)
		go w.RunServers(ctx)
		s.put("a", "b")
		time.Sleep(time.Second)
		s.write(func() {
			s.position = lister.Position{Era: 4, Revision: 700}
			s.entries = map[string]lister.Server{"c": {ID: "c", Revision: 700}}
		})
		time.Sleep(10 * time.Second)
		c.Check(l.GetPosition().Era, qt.Equals, uint64(5))
		c.Check(l.GetAll(), qt.HasLen, 2)
		cancel()
		synctest.Wait()
	})
}

// TestRestorationLearnedFromPeerEndsWatch guards against a watch that waits for seconds on a
// silent connection although another gateway has reported the new era.
func TestRestorationLearnedFromPeerEndsWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s, l := newRestorableStore(), lister.New()
		w := New(s, holder.New(), l)
		w.SetGateways(100)
		go w.RunServers(ctx)
		s.put("a", "b")
		time.Sleep(time.Second)
		// The watch is not woken by the restoration.
		s.mu.Lock()
		s.position = lister.Position{Era: 2, Revision: 1}
		s.entries = map[string]lister.Server{"c": {ID: "c", Revision: 1}, "d": {ID: "d", Revision: 1}}
		s.mu.Unlock()
		l.Merge([]lister.Server{{ID: "c", Revision: 1}}, lister.Position{Era: 2, Revision: 1}, time.Now())
		time.Sleep(maxRestoreDelay)
		ids := make(map[string]bool)
		for _, srv := range l.GetAll() {
			ids[srv.ID] = true
		}
		c.Check(ids["d"], qt.IsTrue)
		cancel()
		synctest.Wait()
	})
}
