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

// Faults selects the injected faults of a Keeper.
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

// Keeper is the stand-in platform; it is safe for concurrent use.
type Keeper struct {
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

// New returns an empty Keeper.
func New() *Keeper {
	return &Keeper{
		rows:      make(map[string]storer.Row),
		objects:   make(map[string][]byte),
		instances: make(map[string]storer.Instance),
	}
}

// SetFaults replaces the injected faults.
func (k *Keeper) SetFaults(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// SetInstance adds or replaces an entry of the instance list.
func (k *Keeper) SetInstance(in storer.Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.instances[in.Name] = in
}

// DropInstance removes an entry of the instance list.
func (k *Keeper) DropInstance(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.instances, name)
}

// GetCounts returns the numbers of commits and reads since the start.
func (k *Keeper) GetCounts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Counts{Commits: k.commits, Reads: k.reads}
}

// Handler returns the HTTP interface. Faults apply to what the platform offers,
// not to the calls that control the stand-in.
func (k *Keeper) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/row", k.withFaults(k.getRow))
	mux.HandleFunc("GET /table/rows", k.withFaults(k.listRows))
	mux.HandleFunc("POST /table/commit", k.withFaults(k.commit))
	mux.HandleFunc("GET /objects", k.withFaults(k.getObject))
	mux.HandleFunc("PUT /objects", k.withFaults(k.putObject))
	mux.HandleFunc("GET /instances", k.withFaults(k.listInstances))
	mux.HandleFunc("PUT /instances", k.putInstance)
	mux.HandleFunc("DELETE /instances", k.deleteInstance)
	mux.HandleFunc("PUT /faults", k.putFaults)
	mux.HandleFunc("GET /counts", k.counts)
	return mux
}

// withFaults applies the injected faults before a call.
func (k *Keeper) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		k.mu.Lock()
		f := k.faults
		k.mu.Unlock()
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

func (k *Keeper) getRow(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	k.reads++
	row, ok := k.rows[r.URL.Query().Get("key")]
	k.mu.Unlock()
	if !ok {
		http.Error(w, "no row", http.StatusNotFound)
		return
	}
	writeJSON(w, row)
}

func (k *Keeper) listRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	n, err := strconv.Atoi(q.Get("n"))
	if err != nil {
		http.Error(w, "bad n", http.StatusBadRequest)
		return
	}
	writeJSON(w, k.selectRows(q.Get("prefix"), q.Get("after"), n))
}

func (k *Keeper) commit(w http.ResponseWriter, r *http.Request) {
	var txn storer.Txn
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ok, lost := k.apply(txn)
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
func (k *Keeper) apply(txn storer.Txn) (ok, lost bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.commits++
	lost = k.faults.LoseEvery > 0 && k.commits%k.faults.LoseEvery == 0
	for _, c := range txn.Conditions {
		if k.rows[c.Key].Version != c.Version {
			return false, lost
		}
	}
	k.seq++
	for _, wr := range txn.Writes {
		if wr.Delete {
			delete(k.rows, wr.Key)
			continue
		}
		k.rows[wr.Key] = storer.Row{Key: wr.Key, Value: wr.Value, Version: k.seq}
	}
	return true, lost
}

func (k *Keeper) getObject(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	data, ok := k.objects[r.URL.Query().Get("key")]
	k.mu.Unlock()
	if !ok {
		http.Error(w, "no object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (k *Keeper) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	k.objects[r.URL.Query().Get("key")] = data
	k.mu.Unlock()
}

func (k *Keeper) listInstances(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, k.sortedInstances())
}

func (k *Keeper) putInstance(w http.ResponseWriter, r *http.Request) {
	var in storer.Instance
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.SetInstance(in)
}

func (k *Keeper) deleteInstance(_ http.ResponseWriter, r *http.Request) {
	k.DropInstance(r.URL.Query().Get("name"))
}

func (k *Keeper) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.SetFaults(f)
}

func (k *Keeper) counts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, k.GetCounts())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
