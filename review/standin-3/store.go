//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table    string `json:"table"`
	Part     string `json:"part"`
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"schema_version"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the platform's store, as far as the programs use it: reads and feeds of rows.
type store struct {
	addr    string
	mu      sync.Mutex
	rows    map[string]*row
	version uint64
	changed chan struct{}
	started time.Time
}

func startStore(host string) (*store, error) {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), rows: map[string]*row{}, version: 100, changed: make(chan struct{}), started: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

// put writes a row, or removes it if value is empty.
func (s *store) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"/"+key] = &row{Table: table, Key: key, Value: []byte(value), Revision: s.version, Deleted: value == ""}
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns the rows of a table that changed after a revision, in the order of their changes.
func (s *store) list(table string, after uint64, withDeleted bool) []*row {
	out := []*row{}
	for _, r := range s.rows {
		if r.Table == table && r.Revision > after && (withDeleted || !r.Deleted) {
			out = append(out, r)
		}
	}
	for i := range out {
		for j := i; j > 0 && out[j].Revision < out[j-1].Revision; j-- {
			out[j], out[j-1] = out[j-1], out[j]
		}
	}
	return out
}

func (s *store) answer(w http.ResponseWriter, rows []*row) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": false, "schema_version": s.version, "now_ms": time.Since(s.started).Milliseconds(),
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.list(r.FormValue("table"), 0, false)
	// All rows fit into one response; they are sorted by key.
	for i := range all {
		for j := i; j > 0 && strings.Compare(all[j].Key, all[j-1].Key) < 0; j-- {
			all[j], all[j-1] = all[j-1], all[j]
		}
	}
	s.answer(w, all)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows, changed := s.list(r.FormValue("table"), after, true), s.changed
		if len(rows) > 0 {
			s.answer(w, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			s.mu.Lock()
			s.answer(w, rows)
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}
