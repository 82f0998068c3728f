// Package keeper is a stand-in for the platform: table, object store and
// instance list over HTTP and JSON, with injected faults. It is used by tests, by
// the dev command and by the standin program.
package keeper

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"siskinfall/internal/store/storer"
)

// Faults selects the injected faults of a Platform.
type Faults struct {
	// Down refuses every call before it takes effect.
	Down bool `json:"down"`
	// Delay is added before each call takes effect. A call that the caller abandons
	// meanwhile takes effect at once.
	Delay time.Duration `json:"delay_nanoseconds"`
	// LoseEvery loses the answer of each n-th commit, whether it was applied or in
	// conflict; 0 loses none.
	LoseEvery int `json:"lose_every"`
}

// Platform is the stand-in platform; it is safe for concurrent use.
type Platform struct {
	mu        sync.Mutex
	rows      map[string]storer.Row
	objects   map[string][]byte
	instances map[string]storer.Instance
	// seq is the version of the latest applied commit.
	seq     uint64
	commits int
	reads   int
	faults  Faults
}

// Counts holds the numbers of commits and of reads of the table.
type Counts struct {
	Commits int `json:"commits"`
	Reads   int `json:"reads"`
}

// New returns an empty Platform.
func New() *Platform {
	return &Platform{
		rows:      make(map[string]storer.Row),
		objects:   make(map[string][]byte),
		instances: make(map[string]storer.Instance),
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetInstance adds or replaces an entry of the instance list.
func (p *Platform) SetInstance(in storer.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[in.Name] = in
}

// DropInstance removes an entry of the instance list.
func (p *Platform) DropInstance(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, name)
}

// GetCounts returns the numbers of commits and reads since the start.
func (p *Platform) GetCounts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Counts{Commits: p.commits, Reads: p.reads}
}

// Handler returns the HTTP interface. Faults apply to what the platform offers,
// not to the calls that control the stand-in.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/row", p.withFaults(p.getRow))
	mux.HandleFunc("GET /table/rows", p.withFaults(p.listRows))
	mux.HandleFunc("POST /table/commit", p.withFaults(p.commit))
	mux.HandleFunc("GET /objects", p.withFaults(p.getObject))
	mux.HandleFunc("PUT /objects", p.withFaults(p.putObject))
	mux.HandleFunc("GET /instances", p.withFaults(p.listInstances))
	mux.HandleFunc("PUT /instances", p.putInstance)
	mux.HandleFunc("DELETE /instances", p.deleteInstance)
	mux.HandleFunc("PUT /faults", p.putFaults)
	mux.HandleFunc("GET /counts", p.counts)
	return mux
}

// withFaults applies the injected faults before a call.
func (p *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if f.Delay > 0 {
			select {
			case <-time.After(f.Delay):
			case <-r.Context().Done():
				// The caller has abandoned the call, which still takes effect: a late write.
			}
		}
		next(w, r)
	}
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.reads++
	row, ok := p.rows[r.URL.Query().Get("key")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no row", http.StatusNotFound)
		return
	}
	writeJSON(w, row)
}

func (p *Platform) listRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	n, err := strconv.Atoi(q.Get("n"))
	if err != nil {
		http.Error(w, "bad n", http.StatusBadRequest)
		return
	}
	writeJSON(w, p.selectRows(q.Get("prefix"), q.Get("after"), n))
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var txn storer.Txn
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ok, lost := p.apply(txn)
	switch {
	case lost:
		http.Error(w, "answer lost", http.StatusGatewayTimeout)
	case !ok:
		http.Error(w, "conflict", http.StatusConflict)
	default:
		writeJSON(w, struct{}{})
	}
}

// apply applies txn unless one of its conditions fails, and reports whether it did
// and whether the answer is to be lost.
func (p *Platform) apply(txn storer.Txn) (ok, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.commits++
	lost = p.faults.LoseEvery > 0 && p.commits%p.faults.LoseEvery == 0
	for _, c := range txn.Conditions {
		if p.rows[c.Key].Version != c.Version {
			return false, lost
		}
	}
	p.seq++
	for _, wr := range txn.Writes {
		if wr.Delete {
			delete(p.rows, wr.Key)
			continue
		}
		p.rows[wr.Key] = storer.Row{Key: wr.Key, Value: wr.Value, Version: p.seq}
	}
	return true, lost
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	data, ok := p.objects[r.URL.Query().Get("key")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.objects[r.URL.Query().Get("key")] = data
	p.mu.Unlock()
}

func (p *Platform) listInstances(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.sortedInstances())
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var in storer.Instance
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetInstance(in)
}

func (p *Platform) deleteInstance(_ http.ResponseWriter, r *http.Request) {
	p.DropInstance(r.URL.Query().Get("name"))
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func (p *Platform) counts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.GetCounts())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
