//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store. It serves /rows-get and /rows-feed, which are
// all calls that gateways make.
type store struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]storeRow
	changed  chan struct{}
	started  time.Time
	addr     string
}

type storeRow struct {
	Table    string `json:"table"`
	Part     string `json:"part"`
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"schema_version"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rows: make(map[string]storeRow), changed: make(chan struct{}), started: time.Now(), addr: ln.Addr().String()}
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

// put writes a row.
func (s *store) put(table, key string, value any) {
	text, ok := value.(string)
	if !ok {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		text = string(data)
	}
	s.set(storeRow{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString([]byte(text))})
}

// remove drops a row.
func (s *store) remove(table, key string) { s.set(storeRow{Table: table, Key: key, Deleted: true}) }

func (s *store) set(r storeRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	r.Revision = s.revision
	s.rows[r.Table+"/"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after := uint64(0)
	isFeed := r.URL.Path == "/rows-feed"
	if isFeed {
		after, _ = strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.await(r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	}
	s.mu.Lock()
	rows := make([]storeRow, 0, len(s.rows))
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Key >= q.Get("from") && row.Revision > after && (isFeed || !row.Deleted) {
			rows = append(rows, row)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	if isFeed {
		sort.Slice(rows, func(i, j int) bool { return rows[i].Revision < rows[j].Revision })
	} else {
		sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": false, "schema_version": revision, "now_ms": time.Since(s.started).Milliseconds(),
	})
}

// await waits until a row of a table is newer than a revision.
func (s *store) await(r *http.Request, table string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		found := false
		for _, row := range s.rows {
			found = found || row.Table == table && row.Revision > after
		}
		changed := s.changed
		s.mu.Unlock()
		if found {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}
