package balancer

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	changesMade   = metrics.NewCounter(`siskinfall_map_changes_total{result="made"}`)
	changesFailed = metrics.NewCounter(`siskinfall_map_changes_total{result="failed"}`)
	changeSeconds = metrics.NewHistogram("siskinfall_map_change_seconds")
	planSeconds   = metrics.NewHistogram("siskinfall_map_plan_seconds")
	recoveries    = metrics.NewCounter("siskinfall_map_recoveries_total")
	readSeconds   = metrics.NewHistogram("siskinfall_group_read_seconds")
	// mapSkew and followDelaySeconds are those of the group that this process leads.
	mapSkew            = metrics.NewGauge("siskinfall_map_skew", nil)
	followDelaySeconds = metrics.NewGauge("siskinfall_map_follow_delay_seconds", nil)
	mapsNotFollowing   = metrics.NewCounter("siskinfall_map_overdue_total")
	// skewErrors counts changes after which the skew was not the predicted one.
	skewErrors   = metrics.NewCounter("siskinfall_map_skew_mispredicted_total")
	partialReads = metrics.NewCounter("siskinfall_group_partial_reads_total")
)

func countChange(err error, took, planTime time.Duration) {
	planSeconds.Update(planTime.Seconds())
	if err != nil {
		changesFailed.Inc()
		return
	}
	changesMade.Inc()
	changeSeconds.Update(took.Seconds())
}
