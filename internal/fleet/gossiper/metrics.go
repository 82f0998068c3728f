package gossiper

import "github.com/VictoriaMetrics/metrics"

var (
	catalogsSent    = metrics.NewCounter(`siskinfall_sync_sent_total{part="catalog"}`)
	serverListsSent = metrics.NewCounter(`siskinfall_sync_sent_total{part="servers"}`)
)
