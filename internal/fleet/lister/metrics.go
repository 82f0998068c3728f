package lister

import "github.com/VictoriaMetrics/metrics"

// restores counts how often the store was found restored from an older copy.
var restores = metrics.NewCounter("siskinfall_store_restores_total")
