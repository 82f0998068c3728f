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

// copyTime is the time of a simulated copy of expert weights.
const copyTime = 50 * time.Millisecond

// Rank is the group side of a stand-in engine: the state of its latest step, and
// which incarnations of its agent it accepts.
type Rank struct {
	rankMu sync.Mutex
	memory driver.MemoryBody
	// minIncarnation is the highest incarnation of an agent that has read the memory.
	// Grants of older ones are refused.
	minIncarnation uint64
}

// GetVersion returns the version of the expert map in use, 0 for none.
func (k *Rank) GetVersion() uint64 {
	k.rankMu.Lock()
	defer k.rankMu.Unlock()
	return k.memory.Version
}

// GetLayers returns the layers of the expert map in use.
func (k *Rank) GetLayers() []planner.Layer {
	k.rankMu.Lock()
	defer k.rankMu.Unlock()
	return k.memory.Layers
}

// TakeGrant begins a step that an agent granted, and reports whether it did. It
// refuses the grant of an incarnation older than one that has read the memory.
// Empty layers leave the layers in use unchanged.
func (k *Rank) TakeGrant(incarnation, step, version uint64, layers []planner.Layer) bool {
	k.rankMu.Lock()
	defer k.rankMu.Unlock()
	if incarnation < k.minIncarnation {
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
	k.minIncarnation = max(k.minIncarnation, incarnation)
	memory := k.memory
	k.rankMu.Unlock()
	writeJSON(w, memory)
}

// stage simulates the copy of the weights of an expert map. The map is discarded.
func (k *Rank) stage(w http.ResponseWriter, r *http.Request) {
	var m driver.MemoryBody
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	sleeper.Sleep(r.Context(), copyTime)
}
