// Package keeper is a stand-in for the platform: table, object store and
// instance list over HTTP and JSON, with switches for faults. It is used by
// tests, by the dev command and by the standin program.
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

// Faults are the switches of a Keeper.
type Faults struct {
	// Down refuses every call before it takes effect.
	Down bool `json:"down"`
	// Delay is added before each call takes effect.
	Delay time.Duration `json:"delay_nanoseconds"`
	// LoseEvery n lets each n-th commit take effect and then loses its answer.
	LoseEvery int `json:"lose_every"`
}

// Keeper is the stand-in platform; it is safe for concurrent use.
type Keeper struct {
	mu   sync.Mutex
	rows map[string]storer.Row
	objs map[string][]byte
	inst map[string]storer.Instance
	// seq is the version given to the latest write.
	seq     uint64
	commits int
	reads   int
	faults  Faults
}

// Counts says how often the table was used.
type Counts struct {
	Commits int `json:"commits"`
	Reads   int `json:"reads"`
}

// New returns an empty Keeper.
func New() *Keeper {
	return &Keeper{
		rows: make(map[string]storer.Row),
		objs: make(map[string][]byte),
		inst: make(map[string]storer.Instance),
	}
}

// SetFaults replaces the switches.
func (k *Keeper) SetFaults(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// SetInstance adds or replaces a line of the instance list.
func (k *Keeper) SetInstance(in storer.Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inst[in.Name] = in
}

// DropInstance removes a line of the instance list.
func (k *Keeper) DropInstance(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.inst, name)
}

// GetCounts returns how often the table was used so far.
func (k *Keeper) GetCounts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Counts{Commits: k.commits, Reads: k.reads}
}

// Handler returns the HTTP interface.
func (k *Keeper) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/row", k.faulty(k.getRow))
	mux.HandleFunc("GET /table/rows", k.faulty(k.listRows))
	mux.HandleFunc("POST /table/commit", k.faulty(k.commit))
	mux.HandleFunc("GET /objects", k.faulty(k.getObject))
	mux.HandleFunc("PUT /objects", k.faulty(k.putObject))
	mux.HandleFunc("GET /instances", k.faulty(k.listInstances))
	mux.HandleFunc("PUT /instances", k.putInstance)
	mux.HandleFunc("DELETE /instances", k.deleteInstance)
	mux.HandleFunc("PUT /faults", k.putFaults)
	mux.HandleFunc("GET /counts", k.counts)
	return mux
}

func (k *Keeper) faulty(next http.HandlerFunc) http.HandlerFunc {
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
				// The call still takes effect: a late write.
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
	reply(w, row)
}

func (k *Keeper) listRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	n, err := strconv.Atoi(q.Get("n"))
	if err != nil {
		http.Error(w, "bad n", http.StatusBadRequest)
		return
	}
	reply(w, k.list(q.Get("prefix"), q.Get("after"), n))
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
		reply(w, struct{}{})
	}
}

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
	data, ok := k.objs[r.URL.Query().Get("key")]
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
	k.objs[r.URL.Query().Get("key")] = data
	k.mu.Unlock()
}

func (k *Keeper) listInstances(w http.ResponseWriter, _ *http.Request) {
	reply(w, k.listed())
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
	reply(w, k.GetCounts())
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
