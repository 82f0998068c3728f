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

// GroupState is the group side of a stand-in engine: the state of its latest step,
// and which incarnations of its agent it accepts.
type GroupState struct {
	groupMu sync.Mutex
	memory  driver.MemoryBody
	// minIncarnation is the highest incarnation of an agent that has read the memory.
	// Grants of older ones are refused.
	minIncarnation uint64
}

// GetVersion returns the version of the expert map in use, 0 for none.
func (g *GroupState) GetVersion() uint64 {
	g.groupMu.Lock()
	defer g.groupMu.Unlock()
	return g.memory.Version
}

// GetLayers returns the layers of the expert map in use.
func (g *GroupState) GetLayers() []planner.Layer {
	g.groupMu.Lock()
	defer g.groupMu.Unlock()
	return g.memory.Layers
}

// BeginStep begins a step that an agent granted, and reports whether it did. It
// refuses the grant of an incarnation older than one that has read the memory.
// Empty layers leave the layers in use unchanged.
func (g *GroupState) BeginStep(incarnation, step, version uint64, layers []planner.Layer) bool {
	g.groupMu.Lock()
	defer g.groupMu.Unlock()
	if incarnation < g.minIncarnation {
		return false
	}
	g.memory.Step, g.memory.Version = step, version
	if len(layers) > 0 {
		g.memory.Layers = layers
	}
	return true
}

func (g *GroupState) getMemory(w http.ResponseWriter, r *http.Request) {
	incarnation, err := strconv.ParseUint(r.URL.Query().Get("incarnation"), 10, 64)
	if err != nil {
		http.Error(w, "bad incarnation", http.StatusBadRequest)
		return
	}
	g.groupMu.Lock()
	g.minIncarnation = max(g.minIncarnation, incarnation)
	memory := g.memory
	g.groupMu.Unlock()
	writeJSON(w, memory)
}

// stage simulates the copy of the weights of an expert map. The map is discarded.
func (g *GroupState) stage(w http.ResponseWriter, r *http.Request) {
	var m driver.MemoryBody
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	sleeper.Sleep(r.Context(), copyTime)
}
