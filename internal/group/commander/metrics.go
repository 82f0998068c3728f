package commander

import (
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	ordersTaken   = metrics.NewCounter(`siskinfall_engine_orders_total{result="taken"}`)
	ordersRefused = metrics.NewCounter(`siskinfall_engine_orders_total{result="refused"}`)
	ordersOpen    = metrics.NewCounter(`siskinfall_engine_orders_total{result="open"}`)
	orderSeconds  = metrics.NewHistogram("siskinfall_engine_order_seconds")
)

func countOrder(err error, took time.Duration) {
	switch {
	case err == nil:
		ordersTaken.Inc()
		orderSeconds.Update(took.Seconds())
	case errors.Is(err, ErrConflict):
		ordersRefused.Inc()
	default:
		ordersOpen.Inc()
	}
}
