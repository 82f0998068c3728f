package withdrawer

import "github.com/VictoriaMetrics/metrics"

// closedZones is the number of availability zones that are out of use.
var closedZones = metrics.NewGauge("siskinfall_gateway_closed_zones", nil)
