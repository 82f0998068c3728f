package forwarder

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	requestSeconds = metrics.NewHistogram("siskinfall_gateway_request_seconds")
	firstSeconds   = metrics.NewHistogram("siskinfall_gateway_first_event_seconds")
	resumed        = metrics.NewCounter("siskinfall_gateway_streams_resumed_total")
	repeats        = metrics.NewCounter("siskinfall_gateway_repeats_total")
)

// countEnd counts a request by the status it ended with; 0 is a caller who left.
func countEnd(status int, took time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskinfall_gateway_requests_total{status="%d"}`, status)).Inc()
	requestSeconds.Update(took.Seconds())
}
