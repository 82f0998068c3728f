// Package tuner adjusts the garbage collector to the size of the live heap. With a
// small live heap and the default setting, the collector runs many times a second
// under load, which raises tail latency. A fixed headroom avoids that at the cost
// of little memory.
package tuner

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"siskinfall/internal/process/sleeper"
)

const (
	// headroomBytes is the memory that may be allocated between two collections while
	// the live heap is smaller than that, in bytes.
	headroomBytes = 16 << 20
	// adjustInterval is the time between two adjustments.
	adjustInterval = 5 * time.Second
	// minPercent is the runtime's default, in percent of the live heap.
	minPercent = 100
	maxPercent = 1000
)

const liveMetric = "/gc/heap/live:bytes"

// Run adjusts the garbage collector until ctx ends.
func Run(ctx context.Context) {
	for ctx.Err() == nil {
		debug.SetGCPercent(gcPercent(readLiveBytes()))
		sleeper.Sleep(ctx, adjustInterval)
	}
}

// readLiveBytes returns the size of the live heap after the latest collection. If
// the runtime has no such metric, it returns headroomBytes.
func readLiveBytes() uint64 {
	sample := []metrics.Sample{{Name: liveMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return headroomBytes
	}
	return sample[0].Value.Uint64()
}

// gcPercent returns the GOGC value that leaves the headroom above live bytes, within
// minPercent and maxPercent.
func gcPercent(live uint64) int {
	if live == 0 {
		return minPercent
	}
	return int(min(max(headroomBytes*100/live, minPercent), maxPercent))
}
