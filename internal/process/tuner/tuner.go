// Package tuner sets how often the garbage collector runs. With little live
// memory the default collects many times a second under load, which shows in the
// slowest answers; a fixed headroom costs little memory and avoids that.
package tuner

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"siskinfall/internal/process/sleeper"
)

const (
	// headroom is the memory that may be allocated between two collections while
	// less than that is live, in bytes.
	headroom = 16 << 20
	// period is how often the live memory is looked at.
	period = 5 * time.Second
	// leastPercent is the runtime's default, in per cent of the live memory.
	leastPercent = 100
	mostPercent  = 1000
)

const liveMetric = "/gc/heap/live:bytes"

// Run adapts the collector until ctx ends.
func Run(ctx context.Context) {
	for ctx.Err() == nil {
		debug.SetGCPercent(getPercent(getLive()))
		sleeper.Sleep(ctx, period)
	}
}

// getLive is the live memory after the latest collection, in bytes.
func getLive() uint64 {
	sample := []metrics.Sample{{Name: liveMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return headroom
	}
	return sample[0].Value.Uint64()
}

// getPercent is the setting that leaves the headroom.
func getPercent(live uint64) int {
	if live == 0 {
		return leastPercent
	}
	return int(min(max(headroom*100/live, leastPercent), mostPercent))
}
