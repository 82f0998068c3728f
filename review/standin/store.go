//go:build review

package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store with the calls that the system makes: it
// returns rows and waits for changes. It loses nothing and is always available.
type store struct {
	addr    netip.AddrPort
	mu      sync.Mutex
	version uint64
	rows    map[rowKey]*storeRow
	changed chan struct{}
	start   time.Time
	catalog uint64
}

type rowKey struct{ table, key string }

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"schema_version"`
}

func newStore(addr netip.AddrPort) (*store, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	s := &store{addr: netip.MustParseAddrPort(ln.Addr().String()), rows: make(map[rowKey]*storeRow), changed: make(chan struct{}), start: time.Now(), catalog: 6}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

// nextCatalogVersion returns versions that increase in uneven steps.
func (s *store) nextCatalogVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog += 1 + s.catalog%3
	return s.catalog
}

// put writes a row.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, key}] = &storeRow{Table: table, Key: key, Value: mustJSON(value), Version: s.version}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(w, r.URL.Query(), func(*storeRow) bool { return true })
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		found := false
		for key, row := range s.rows {
			found = found || key.table == q.Get("table") && row.Version > after
		}
		changed := s.changed
		s.mu.Unlock()
		if found {
			break
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
		break
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(w, q, func(row *storeRow) bool { return row.Version > after })
}

// write sends the rows of a table: those of a feed in the order of their changes, others in
// that of their keys.
func (s *store) write(w http.ResponseWriter, q url.Values, include func(*storeRow) bool) {
	rows := []*storeRow{}
	for _, key := range slices.SortedFunc(maps.Keys(s.rows), func(a, b rowKey) int {
		if a.key < b.key {
			return -1
		}
		return 1
	}) {
		if key.table == q.Get("table") && key.key >= q.Get("from") && include(s.rows[key]) {
			rows = append(rows, s.rows[key])
		}
	}
	if q.Has("after") {
		slices.SortFunc(rows, func(a, b *storeRow) int { return int(a.Version) - int(b.Version) })
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": false, "schema_version": s.version, "now_ms": time.Since(s.start).Milliseconds(),
	})
}
