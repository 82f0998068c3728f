package archiver

import (
	"context"
	"errors"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/gateway/quarantiner"
)

// crashes is the number of crashes after which a request is blocked.
const crashes = 3

// memoryTable is the store's table in memory. Its clock runs from clockStart.
type memoryTable struct {
	mu         sync.Mutex
	clockStart time.Time
	isAway     bool
	era        uint64
	revision   uint64
	rows       map[string]Row
	// reads and writes count the calls, conflicts those writes that were refused.
	reads, writes, conflicts int
}

var errAway = errors.New("store is away")

func newMemoryTable() *memoryTable {
	return &memoryTable{clockStart: time.Now().Add(-time.Hour), rows: make(map[string]Row)}
}

func (m *memoryTable) stamp() Stamp {
	return Stamp{Era: m.era, Revision: m.revision, Clock: time.Since(m.clockStart)}
}

func (m *memoryTable) ReadArchive(context.Context) ([]Row, Stamp, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if m.isAway {
		return nil, Stamp{}, errAway
	}
	var rows []Row
	for _, r := range m.rows {
		rows = append(rows, r)
	}
	return rows, m.stamp(), nil
}

func (m *memoryTable) WriteArchive(_ context.Context, writes, removals []Row) (Stamp, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	if m.isAway {
		return Stamp{}, errAway
	}
	for _, list := range [][]Row{writes, removals} {
		for _, r := range list {
			if m.rows[r.Key].Revision != r.Revision {
				m.conflicts++
				return Stamp{}, ErrConflict
			}
		}
	}
	m.revision++
	for _, r := range writes {
		r.Revision = m.revision
		m.rows[r.Key] = r
	}
	for _, r := range removals {
		delete(m.rows, r.Key)
	}
	return m.stamp(), nil
}

func (m *memoryTable) setAway(isAway bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isAway = isAway
}

func (m *memoryTable) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.rows)
}

// getCalls returns the reads so far, and the writes that were not refused.
func (m *memoryTable) getCalls() (reads, writes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads, m.writes - m.conflicts
}

func (m *memoryTable) has(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.rows[key].Value) > 0
}

// fleet is gateways with an archive. They hear of each other's losses only by the archive, and
// by exchange.
type fleet struct {
	table     *memoryTable
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	sets      []*quarantiner.Set
	archivers []*Archiver
}

// startFleet starts gateways. Their observers begin at first, so that no two are the same.
func startFleet(t *testing.T, table *memoryTable, first, count int) *fleet {
	t.Helper()
	f := &fleet{table: table}
	f.ctx, f.cancel = context.WithCancel(t.Context())
	for i := range count {
		set := quarantiner.New(uint64(first + i))
		a := New(table, set, func() bool { return true })
		f.sets, f.archivers = append(f.sets, set), append(f.archivers, a)
		f.wg.Go(func() { a.Run(f.ctx) })
	}
	synctest.Wait()
	return f
}

func (f *fleet) kill() {
	f.cancel()
	f.wg.Wait()
}

// exchange lets all gateways know what each knows.
func (f *fleet) exchange() {
	for _, from := range f.sets {
		for _, to := range f.sets {
			to.Merge(from.Export(time.Now()), time.Now())
		}
	}
}

// crash lets servers end under a request at the first gateway, n in all.
func (f *fleet) crash(digest uint64, n int) {
	for i := range n {
		f.sets[0].AddLoss(digest, quarantiner.NewServer(string(rune('a'+i)), time.Now()), time.Now(), time.Now())
		time.Sleep(time.Second)
	}
}

func (f *fleet) countBlocking(digest uint64) int {
	n := 0
	for _, s := range f.sets {
		if s.IsBlocked(digest, time.Now()) {
			n++
		}
	}
	return n
}

// TestBlockedRequestIsKnownAfterTheEndOfAllGateways guards against a request that crashes three
// more servers each time that all gateways have ended.
func TestBlockedRequestIsKnownAfterTheEndOfAllGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newMemoryTable()
		f := startFleet(t, table, 1, 3)
		f.crash(7, crashes)
		before := f.sets[0].GetKept(time.Now())[0].GetExpiry()
		f.kill()
		time.Sleep(20 * time.Second)
		restarted := startFleet(t, table, 11, 3)
		defer restarted.kill()
		c.Assert(restarted.countBlocking(7), qt.Equals, 3)
		// The losses keep their times.
		kept := restarted.sets[0].GetKept(time.Now())
		c.Assert(kept, qt.HasLen, 1)
		expiry := kept[0].GetExpiry()
		c.Assert(expiry.Sub(before).Abs() < time.Second, qt.IsTrue, qt.Commentf("expires at %v", expiry))
		time.Sleep(time.Until(expiry) + time.Second)
		c.Assert(restarted.countBlocking(7), qt.Equals, 0)
	})
}

// TestChangeIsArchivedOnce guards against a write of every gateway for each loss that it hears
// of.
func TestChangeIsArchivedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFleet(t, newMemoryTable(), 1, 50)
		defer f.kill()
		for i := range crashes {
			f.sets[i].AddLoss(7, quarantiner.NewServer(string(rune('a'+i)), time.Now()), time.Now(), time.Now())
			f.exchange()
			time.Sleep(10 * time.Second)
		}
		c.Assert(f.countBlocking(7), qt.Equals, 50)
		// The second and the third crash; the first is not kept.
		_, writes := f.table.getCalls()
		c.Assert(writes, qt.Equals, 2)
	})
}

// TestOtherGatewayArchivesWhenObserverHasEnded guards against losses that are archived by no one
// since their observer has ended.
func TestOtherGatewayArchivesWhenObserverHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newMemoryTable()
		f := startFleet(t, table, 1, 2)
		gone := quarantiner.New(99)
		for i := range crashes {
			gone.AddLoss(7, quarantiner.NewServer(string(rune('a'+i)), time.Now()), time.Now(), time.Now())
		}
		f.sets[1].Merge(gone.Export(time.Now()), time.Now())
		time.Sleep(maxDelay + time.Second)
		f.kill()
		c.Assert(table.count(), qt.Equals, 1)
	})
}

// TestLossesAreArchivedOnceStoreIsBack guards against losses that are forgotten while the store
// is away, and against gateways that call it without a pause.
func TestLossesAreArchivedOnceStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newMemoryTable()
		table.setAway(true)
		f := startFleet(t, table, 1, 2)
		c.Assert(f.archivers[0].IsRead(), qt.IsFalse)
		f.crash(7, crashes)
		f.exchange()
		time.Sleep(time.Minute)
		reads, _ := table.getCalls()
		c.Assert(reads < 60, qt.IsTrue, qt.Commentf("%d reads", reads))
		table.setAway(false)
		time.Sleep(maxBackoff + maxDelay + time.Second)
		c.Assert(f.archivers[0].IsRead(), qt.IsTrue)
		f.kill()
		restarted := startFleet(t, table, 11, 1)
		defer restarted.kill()
		c.Assert(restarted.countBlocking(7), qt.Equals, 1)
	})
}

// TestLossesAreArchivedAgainAfterRestoration guards against a store that comes back from a copy
// without the losses.
func TestLossesAreArchivedAgainAfterRestoration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newMemoryTable()
		table.era = 1
		f := startFleet(t, table, 1, 2)
		f.crash(7, crashes)
		f.exchange()
		time.Sleep(maxDelay + time.Second)
		c.Assert(table.count(), qt.Equals, 1)
		table.mu.Lock()
		table.era, table.revision, table.rows = 2, 0, make(map[string]Row)
		table.mu.Unlock()
		for _, a := range f.archivers {
			a.SetEra(2)
		}
		time.Sleep(checkInterval + maxDelay + time.Second)
		f.kill()
		c.Assert(table.count(), qt.Equals, 1)
	})
}

// TestSoundRequestStaysFree guards against a request that was served after crashes, and that is
// blocked again once all gateways have ended.
func TestSoundRequestStaysFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newMemoryTable()
		f := startFleet(t, table, 1, 3)
		f.crash(7, crashes)
		f.exchange()
		c.Assert(f.sets[1].AddServed(7, time.Now()), qt.Not(qt.Equals), 0)
		// The gateway that got the answer has not observed the crashes.
		time.Sleep(maxDelay + time.Second)
		f.kill()
		restarted := startFleet(t, table, 11, 1)
		defer restarted.kill()
		c.Assert(restarted.countBlocking(7), qt.Equals, 0)
	})
}

// TestExpiredRowsAreRemoved guards against a table that grows without end, and removals of all
// gateways at once.
func TestExpiredRowsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newMemoryTable()
		f := startFleet(t, table, 1, 3)
		for d := range uint64(60) {
			f.crash(d+1, crashes-1)
		}
		c.Assert(table.count() > 0, qt.IsTrue)
		kept := f.sets[0].GetKept(time.Now())
		f.kill()
		restarted := startFleet(t, table, 11, 3)
		defer restarted.kill()
		c.Assert(restarted.sets[0].GetKept(time.Now()), qt.HasLen, len(kept))
		time.Sleep(time.Hour)
		c.Assert(table.count(), qt.Equals, 0)
		before, _ := table.getCalls()
		time.Sleep(time.Hour)
		after, _ := table.getCalls()
		c.Assert(after, qt.Equals, before)
	})
}

// TestUnreadableRowIsLeft guards against a row of a later build that keeps a gateway from
// reading the others, or that it removes.
func TestUnreadableRowIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newMemoryTable()
		f := startFleet(t, table, 1, 1)
		f.crash(7, crashes)
		f.kill()
		table.revision++
		good := maps.Clone(table.rows)
		table.rows["zz"] = Row{Key: "zz", Value: []byte{0xff, 1, 2}, Revision: table.revision}
		table.rows["later"] = Row{Key: "later", Value: good[newKey(7)].Value, Revision: table.revision}
		restarted := startFleet(t, table, 11, 1)
		defer restarted.kill()
		c.Assert(restarted.countBlocking(7), qt.Equals, 1)
		time.Sleep(unreadableTTL - time.Minute)
		c.Assert(table.has("zz"), qt.IsTrue)
		c.Assert(table.has("later"), qt.IsTrue)
	})
}
