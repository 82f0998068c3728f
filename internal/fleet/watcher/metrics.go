package watcher

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// countRead counts a call to the store by table (catalog or servers) and result.
func countRead(table string, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskinfall_store_reads_total{table=%q,result=%q}`, table, result)).Inc()
}
