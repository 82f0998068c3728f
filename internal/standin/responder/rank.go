package responder

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"siskinfall/internal/agent/driver"
	"siskinfall/internal/expert/planner"
	"siskinfall/internal/process/sleeper"
)

// stageTime is how long the stand-in takes to copy weights.
const stageTime = 50 * time.Millisecond

// Rank is the group side of a stand-in engine: what it remembers of its latest
// step, and which agent it listens to.
type Rank struct {
	rankMu sync.Mutex
	memory driver.MemoryBody
	// trusted is the highest incarnation of an agent that asked for the memory.
	trusted uint64
}

// GetVersion returns the version of the map in use, 0 for none.
func (k *Rank) GetVersion() uint64 {
	k.rankMu.Lock()
	defer k.rankMu.Unlock()
	return k.memory.Version
}

// GetLayers returns the placement in use.
func (k *Rank) GetLayers() []planner.Layer {
	k.rankMu.Lock()
	defer k.rankMu.Unlock()
	return k.memory.Layers
}

// TakeGrant begins a step, unless an agent of an older incarnation granted it.
func (k *Rank) TakeGrant(incarnation, step, version uint64, layers []planner.Layer) bool {
	k.rankMu.Lock()
	defer k.rankMu.Unlock()
	if incarnation < k.trusted {
		return false
	}
	k.memory.Step, k.memory.Version = step, version
	if len(layers) > 0 {
		k.memory.Layers = layers
	}
	return true
}

func (k *Rank) getMemory(w http.ResponseWriter, r *http.Request) {
	incarnation, err := strconv.ParseUint(r.URL.Query().Get("incarnation"), 10, 64)
	if err != nil {
		http.Error(w, "bad incarnation", http.StatusBadRequest)
		return
	}
	k.rankMu.Lock()
	k.trusted = max(k.trusted, incarnation)
	memory := k.memory
	k.rankMu.Unlock()
	writeJSON(w, memory)
}

func (k *Rank) stage(w http.ResponseWriter, r *http.Request) {
	var m driver.MemoryBody
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	sleeper.Sleep(r.Context(), stageTime)
}
