package lister

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// getIDs returns the IDs of the servers that may be sent requests.
func getIDs(l *Lister) []string {
	var ids []string
	for _, s := range l.GetAll() {
		if !s.Leaving {
			ids = append(ids, s.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// TestRestoredListIsNotIgnored guards against gateways that ignore the store after it was
// restored from an older copy, whose revisions are lower, and send requests to servers that
// were replaced since.
func TestRestoredListIsNotIgnored(t *testing.T) {
	c := qt.New(t)
	l := New()
	l.Replace(newServers("a", "b"), Position{Era: 1, Revision: 900}, testStart)
	l.Replace(newServers("c", "d"), Position{Era: 2, Revision: 40}, testStart)
	l.Expire(testStart.Add(lapseGrace))
	c.Assert(getIDs(l), qt.DeepEquals, []string{"c", "d"})
	l.Apply([]Change{{Server: Server{ID: "e", Revision: 41}}}, Position{Era: 2, Revision: 41}, testStart)
	c.Assert(getIDs(l), qt.DeepEquals, []string{"c", "d", "e"})
}

// TestServersThatTheCopyLacksAreKeptUntilTheyRegister guards against dropping servers that
// run, because they registered after the copy was made.
func TestServersThatTheCopyLacksAreKeptUntilTheyRegister(t *testing.T) {
	c := qt.New(t)
	l := New()
	l.Replace(newServers("a", "b", "c", "d"), Position{Era: 1, Revision: 900}, testStart)
	l.Replace(newServers("a", "b", "c"), Position{Era: 2, Revision: 40}, testStart)
	c.Assert(getIDs(l), qt.DeepEquals, []string{"a", "b", "c", "d"})
	// The list comes again, read from the store after it was taken from a peer.
	l.Replace(newServers("a", "b", "c"), Position{Era: 2, Revision: 40}, testStart)
	c.Assert(getIDs(l), qt.DeepEquals, []string{"a", "b", "c", "d"})
	l.Apply([]Change{{Server: Server{ID: "d", Revision: 41}}}, Position{Era: 2, Revision: 41}, testStart.Add(time.Second))
	l.Expire(testStart.Add(lapseGrace))
	c.Assert(getIDs(l), qt.DeepEquals, []string{"a", "b", "c", "d"})
	l.Replace(newServers("a", "b", "c"), Position{Era: 3, Revision: 12}, testStart.Add(time.Minute))
	l.Expire(testStart.Add(time.Minute + lapseGrace))
	c.Assert(getIDs(l), qt.DeepEquals, []string{"a", "b", "c"})
}

// TestServerThatLeftStaysGone guards against requests to servers that left after the copy
// was made, which still lists them.
func TestServerThatLeftStaysGone(t *testing.T) {
	c := qt.New(t)
	l := New()
	l.Replace(newServers("a", "b", "c"), Position{Era: 1, Revision: 30}, testStart)
	leaving := newServers("a", "b", "c")[1]
	leaving.Leaving, leaving.Revision = true, 31
	l.Apply([]Change{{Server: leaving}}, Position{Era: 1, Revision: 31}, testStart)
	l.Apply(newRemovals("c"), Position{Era: 1, Revision: 50}, testStart)
	l.Replace(newServers("a", "b", "c"), Position{Era: 2, Revision: 30}, testStart)
	c.Assert(getIDs(l), qt.DeepEquals, []string{"a"})
	// The server registers again, so it was not gone.
	l.Apply([]Change{{Server: Server{ID: "c", Revision: 35}}}, Position{Era: 2, Revision: 35}, testStart)
	c.Assert(getIDs(l), qt.DeepEquals, []string{"a", "c"})
}

// TestRestoredEntryThatStaysIsUsed guards against ignoring a running server for good, whose
// entry had been removed by mistake before the store was restored.
func TestRestoredEntryThatStaysIsUsed(t *testing.T) {
	c := qt.New(t)
	l := New()
	l.Replace(newServers("a", "b", "c"), Position{Era: 1, Revision: 30}, testStart)
	l.Apply(newRemovals("c"), Position{Era: 1, Revision: 50}, testStart)
	l.Replace(newServers("a", "b", "c"), Position{Era: 2, Revision: 30}, testStart)
	l.Expire(testStart.Add(restoredGrace))
	c.Assert(getIDs(l), qt.DeepEquals, []string{"a", "b", "c"})
}

// TestEarlierIncarnationInCopyDoesNotReplaceServer guards against requests to the address
// that a server had before it was restarted.
func TestEarlierIncarnationInCopyDoesNotReplaceServer(t *testing.T) {
	c := qt.New(t)
	l := New()
	before := Server{ID: "a", Started: testStart, Revision: 7}
	after := Server{ID: "a", Started: testStart.Add(time.Second), Revision: 60}
	l.Replace([]Server{before}, Position{Era: 1, Revision: 30}, testStart)
	l.Apply([]Change{{Server: after}}, Position{Era: 1, Revision: 60}, testStart)
	l.Replace([]Server{before}, Position{Era: 2, Revision: 30}, testStart)
	c.Assert(l.GetAll(), qt.HasLen, 1)
	c.Assert(l.GetAll()[0].Started.Equal(after.Started), qt.IsTrue)
}

// TestListOfEarlierEraIsIgnored guards against an older list of a gateway that is cut off
// from the store, whose revisions are higher.
func TestListOfEarlierEraIsIgnored(t *testing.T) {
	c := qt.New(t)
	l := New()
	l.Replace(newServers("a", "b"), Position{Era: 2, Revision: 40}, testStart)
	l.Merge(newServers("c"), Position{Era: 1, Revision: 900}, testStart)
	l.Apply(newRemovals("a"), Position{Era: 1, Revision: 900}, testStart)
	c.Assert(getIDs(l), qt.DeepEquals, []string{"a", "b"})
	l.Merge(newServers("a"), Position{Era: 3, Revision: 5}, testStart)
	c.Assert(l.GetLastChange(), qt.Equals, Position{Era: 3, Revision: 5})
}

// TestLapsedServerOfSnapshotIsDropped guards against a server that lapsed at one gateway and
// stays in use at those that took its list.
func TestLapsedServerOfSnapshotIsDropped(t *testing.T) {
	c := qt.New(t)
	l, other := New(), New()
	l.Replace(newServers("a", "b"), Position{Era: 1, Revision: 30}, testStart)
	l.Replace(newServers("a"), Position{Era: 2, Revision: 20}, testStart)
	snapshot, lastChange := l.GetSnapshot()
	other.Merge(snapshot, lastChange, testStart)
	c.Assert(getIDs(other), qt.DeepEquals, []string{"a", "b"})
	other.Expire(testStart.Add(lapseGrace))
	c.Assert(getIDs(other), qt.DeepEquals, []string{"a"})
}

// TestServerThatLeftStaysGoneAtOtherGateways guards against a server that left while a gateway
// was cut off from the store, and that this one takes from the restored list of another.
func TestServerThatLeftStaysGoneAtOtherGateways(t *testing.T) {
	c := qt.New(t)
	l, cut := New(), New()
	l.Replace(newServers("a", "b", "c"), Position{Era: 1, Revision: 30}, testStart)
	cut.Replace(newServers("a", "b", "c"), Position{Era: 1, Revision: 30}, testStart)
	l.Apply(newRemovals("c"), Position{Era: 1, Revision: 50}, testStart)
	l.Replace(newServers("a", "b", "c"), Position{Era: 2, Revision: 30}, testStart)
	snapshot, lastChange := l.GetSnapshot()
	cut.Merge(snapshot, lastChange, testStart)
	c.Assert(getIDs(cut), qt.DeepEquals, []string{"a", "b"})
}

// modelStore is a store that is restored from older copies of itself.
type modelStore struct {
	position Position
	entries  map[string]Server
	copies   []modelStore
}

func (s *modelStore) put(srv Server) {
	s.position.Revision++
	srv.Revision = s.position.Revision
	s.entries[srv.ID] = srv
}

func (s *modelStore) list() []Server {
	return slices.SortedFunc(maps.Values(s.entries), func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
}

// TestGatewaysAgreeAfterRestorations guards against gateways that keep different lists after
// the store was restored several times, some of them cut off from it.
func TestGatewaysAgreeAfterRestorations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &modelStore{position: Position{Era: 1}, entries: make(map[string]Server)}
		gateways := make([]*Lister, rapid.IntRange(2, 5).Draw(t, "gateways"))
		for i := range gateways {
			gateways[i] = New()
		}
		pick := func(label string) *Lister { return gateways[rapid.IntRange(0, len(gateways)-1).Draw(t, label)] }
		now, started := testStart, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			id := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "server"))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				started++
				store.put(Server{ID: id, Started: testStart.Add(time.Duration(started) * time.Second)})
			case 1:
				store.position.Revision++
				delete(store.entries, id)
			case 2:
				store.copies = append(store.copies, modelStore{position: store.position, entries: maps.Clone(store.entries)})
			case 3:
				if len(store.copies) > 0 {
					from := store.copies[rapid.IntRange(0, len(store.copies)-1).Draw(t, "copy")]
					store.entries, store.position.Revision = maps.Clone(from.entries), from.position.Revision
					store.position.Era++
				}
			case 4, 5:
				pick("reader").Replace(store.list(), store.position, now)
			case 6:
				snapshot, lastChange := pick("from").GetSnapshot()
				pick("to").Merge(snapshot, lastChange, now)
			}
		}
		// Every gateway reads the store, and the servers that live have registered again.
		for _, s := range store.list() {
			store.put(s)
		}
		for _, l := range gateways {
			l.Replace(store.list(), store.position, now)
			l.Expire(now.Add(restoredGrace))
			if want := slices.Sorted(maps.Keys(store.entries)); !slices.Equal(getIDs(l), want) {
				t.Fatalf("a gateway lists %v, the store %v", getIDs(l), want)
			}
		}
	})
}
