package placer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	ejections = metrics.NewCounter("siskinfall_gateway_ejections_total")
	outages   = metrics.NewCounter("siskinfall_gateway_outages_total")
	// leavingServers and serverPauses count what servers said in their answers.
	leavingServers = metrics.NewCounter("siskinfall_gateway_servers_leaving_total")
	serverPauses   = metrics.NewCounter("siskinfall_gateway_server_pauses_total")
	// coldServers counts how often a server turned cold.
	coldServers = metrics.NewCounter("siskinfall_gateway_servers_cold_total")
)

// countPlaced and countRefused count decisions by service. The label values are
// bounded: there are few services, and reasons are constants of this package.
func countPlaced(service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskinfall_gateway_placements_total{service=%q}`, service)).Inc()
}

// countHeldBack counts a placed request that was not sent to a server that has turned cold.
func countHeldBack(service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskinfall_gateway_cold_held_back_total{service=%q}`, service)).Inc()
}

func countRefused(service, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskinfall_gateway_refusals_total{service=%q,reason=%q}`, service, reason)).Inc()
}
