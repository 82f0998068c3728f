package follower

import (
	"sync"
	"time"

	"siskinfall/internal/expert/planner"
	"siskinfall/internal/wire/encoder"
)

// Smoothing of what is measured.
const (
	speedSmoothing = 0.2
	milli          = 1000
)

// Sample is what an engine measured over some steps.
type Sample struct {
	// Counts are tokens by layer and expert, layer after layer.
	Counts []uint64 `json:"counts"`
	// Speeds are those of the member's ranks, 1 for a sound one.
	Speeds []float64 `json:"speeds"`
	// StepTime is the mean time of a step.
	StepTime time.Duration `json:"step_time_nanoseconds"`
	// Skew is the mean of the slowest rank's time over the mean.
	Skew float64 `json:"skew"`
}

// Meter sums what the engine measures between two reports.
type Meter struct {
	meterMu sync.Mutex
	counts  []uint64
	speeds  []float64
	// skews and samples are since the last report.
	skews    float64
	samples  int
	stepTime time.Duration
}

// AddSample takes in a measurement.
func (m *Meter) AddSample(s Sample) {
	m.meterMu.Lock()
	defer m.meterMu.Unlock()
	if len(m.counts) != len(s.Counts) {
		m.counts = make([]uint64, len(s.Counts))
	}
	for i, n := range s.Counts {
		m.counts[i] += n
	}
	if len(m.speeds) != len(s.Speeds) {
		m.speeds = append([]float64(nil), s.Speeds...)
	}
	for i, v := range s.Speeds {
		m.speeds[i] += speedSmoothing * (v - m.speeds[i])
	}
	m.skews += s.Skew
	m.samples++
	m.stepTime = s.StepTime
}

// report moves the sums into a reply.
func (m *Meter) report(r *encoder.GroupReply) {
	m.meterMu.Lock()
	defer m.meterMu.Unlock()
	r.TokenCounts = m.counts
	m.counts = nil
	r.StepTimeMicros = m.stepTime.Microseconds()
	for _, v := range m.speeds {
		r.SpeedsMilli = append(r.SpeedsMilli, uint32(v*milli))
	}
	if m.samples > 0 {
		r.SkewMilli = uint32(m.skews / float64(m.samples) * milli)
	}
	m.skews, m.samples = 0, 0
}

// EncodeMap returns the wire form of a map, nil for none.
func EncodeMap(m *planner.Map) *encoder.ExpertMap {
	if m == nil {
		return nil
	}
	out := &encoder.ExpertMap{Version: m.Version}
	for _, layer := range m.Layers {
		row := &encoder.LayerMap{Experts: make([]uint32, len(layer))}
		for i, e := range layer {
			row.Experts[i] = uint32(e)
		}
		out.Layers = append(out.Layers, row)
	}
	return out
}

// DecodeMap returns a map from its wire form.
func DecodeMap(m *encoder.ExpertMap) *planner.Map {
	out := &planner.Map{Version: m.GetVersion()}
	for _, row := range m.GetLayers() {
		layer := make(planner.Layer, len(row.GetExperts()))
		for i, e := range row.GetExperts() {
			layer[i] = uint16(e)
		}
		out.Layers = append(out.Layers, layer)
	}
	return out
}
