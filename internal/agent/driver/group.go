package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"siskinfall/internal/backend/limiter"
	"siskinfall/internal/expert/follower"
	"siskinfall/internal/expert/planner"
	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/wire/encoder"
)

// Paths of an engine's interface for its model group.
const (
	PathMemory = "/group/memory"
	PathStage  = "/group/stage"
)

// GroupDriver calls the model group interface of an engine.
type GroupDriver struct {
	addr   netip.AddrPort
	client *http.Client
}

// Bounds of one call of an engine.
const (
	// memoryTimeout is for reads of the engine's memory only.
	memoryTimeout = 2 * time.Second
	// maxEngineReplyBytes is the size of the frames in which maps are sent to agents; the
	// largest reply holds one map.
	maxEngineReplyBytes = encoder.MaxFrame
)

// NewGroupDriver returns a GroupDriver for the engine at addr.
func NewGroupDriver(addr netip.AddrPort) *GroupDriver {
	transport := limiter.NewTransport(&http.Transport{DisableCompression: true}, "engine_call", maxEngineReplyBytes)
	return &GroupDriver{addr: addr, client: transport.NewClient()}
}

// MemoryBody is the JSON form of follower.Memory. A request to stage a map carries
// one without a step.
type MemoryBody struct {
	Step    uint64          `json:"step"`
	Version uint64          `json:"version"`
	Layers  []planner.Layer `json:"layers"`
}

// Stage implements follower.Engine.
func (d *GroupDriver) Stage(ctx context.Context, m *planner.Map) error {
	body, err := json.Marshal(MemoryBody{Version: m.Version, Layers: m.Layers})
	if err != nil {
		return wrapper.At("encode_map", "", err)
	}
	return d.call(ctx, http.MethodPost, PathStage, body, nil)
}

// GetMemory implements follower.Engine.
func (d *GroupDriver) GetMemory(ctx context.Context, incarnation uint64) (follower.Memory, error) {
	ctx, cancel := context.WithTimeout(ctx, memoryTimeout)
	defer cancel()
	var b MemoryBody
	if err := d.call(ctx, http.MethodGet, fmt.Sprintf("%s?incarnation=%d", PathMemory, incarnation), nil, &b); err != nil {
		return follower.Memory{}, err
	}
	return b.Memory(), nil
}

// Memory converts b. Version 0 yields the memory of an engine without a map.
func (b *MemoryBody) Memory() follower.Memory {
	if b.Version == 0 {
		return follower.Memory{}
	}
	return follower.Memory{Step: b.Step, Map: &planner.Map{Version: b.Version, Layers: b.Layers}}
}

func (d *GroupDriver) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return wrapper.At("engine_request", d.addr.String(), err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return wrapper.At("engine_call", d.addr.String(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return wrapper.At("engine_read", d.addr.String(), err)
	}
	if resp.StatusCode != http.StatusOK {
		return wrapper.New("engine_call", d.addr.String(), http.StatusText(resp.StatusCode))
	}
	if out == nil {
		return nil
	}
	return wrapper.At("engine_decode", d.addr.String(), json.Unmarshal(data, out))
}
