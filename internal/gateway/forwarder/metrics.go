package forwarder

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskinfall/internal/admission/admitter"
)

var (
	requestSeconds    = metrics.NewHistogram("siskinfall_gateway_request_seconds")
	firstEventSeconds = metrics.NewHistogram("siskinfall_gateway_first_event_seconds")
	resumedStreams    = metrics.NewCounter("siskinfall_gateway_streams_resumed_total")
	retries           = metrics.NewCounter("siskinfall_gateway_repeats_total")
	losses            = metrics.NewCounter("siskinfall_gateway_losses_total")
	trials            = metrics.NewCounter("siskinfall_gateway_trials_total")
	quarantined       = metrics.NewCounter("siskinfall_gateway_quarantined_total")
)

// countEnd counts a request by its final status; 0 means that the caller left, unless
// this was found while writing an event of a stream, which counts as 200.
func countEnd(status int, took time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskinfall_gateway_requests_total{status="%d"}`, status)).Inc()
	requestSeconds.Update(took.Seconds())
}

// countAdmitted counts a request that was granted a place after a wait.
func countAdmitted(service, route string, waited time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(`siskinfall_gateway_admission_wait_seconds{service=%q,route=%q}`, service, route)).Update(waited.Seconds())
}

// countRefused counts a request that was not admitted.
func countRefused(service, route string, r *admitter.Refused) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskinfall_gateway_admission_refused_total{service=%q,route=%q,reason=%q}`, service, route, r.Reason)).Inc()
}
