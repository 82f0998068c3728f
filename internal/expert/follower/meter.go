package follower

import (
	"sync"
	"time"

	"siskinfall/internal/expert/planner"
	"siskinfall/internal/wire/encoder"
)

const (
	// speedSmoothing is the weight of the newest sample in the EWMA of a speed.
	speedSmoothing = 0.2
	// milli is the number of thousandths in 1; replies carry fractions in thousandths.
	milli = 1000
)

// Sample holds the measurements of an engine over one or more steps.
type Sample struct {
	// Counts holds the token count of each expert, layer by layer.
	Counts []uint64 `json:"counts"`
	// Speeds holds the speed of each of the member's ranks, 1 for a healthy one.
	Speeds []float64 `json:"speeds"`
	// StepTime is the mean time of a step.
	StepTime time.Duration `json:"step_time_nanoseconds"`
	// Skew is the slowest rank's time over the mean of all ranks, averaged over the
	// steps.
	Skew float64 `json:"skew"`
}

// Meter aggregates the samples of an engine between two reports. It is safe for
// concurrent use.
type Meter struct {
	meterMu sync.Mutex
	// counts sums the token counts since the last report. speeds holds an EWMA of the
	// speed of each rank.
	counts []uint64
	speeds []float64
	// skewSum and samples are the sum of the skews and the number of samples since
	// the last report.
	skewSum float64
	samples int
	// stepTime is that of the latest sample.
	stepTime time.Duration
}

// AddSample adds a sample to the aggregates.
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
	m.skewSum += s.Skew
	m.samples++
	m.stepTime = s.StepTime
}

// report writes the aggregates into a reply. It resets the token counts and the
// skew; the speeds and the step time stay.
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
		r.SkewMilli = uint32(m.skewSum / float64(m.samples) * milli)
	}
	m.skewSum, m.samples = 0, 0
}

// EncodeMap converts a map to its wire format; nil stays nil.
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

// DecodeMap converts a map from its wire format. It returns an empty map of
// version 0 for nil.
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
