package evictor

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// cause is why a connection was closed or a request refused.
type cause int

const (
	causeIdle cause = iota
	causeSlowHead
	causeHead
	causeAnswer
	causeGaveWay
	causeNoRoom
	causes
)

var causeNames = [causes]string{
	causeIdle: "idle", causeSlowHead: "request head too slow", causeHead: "no room for the request head",
	causeAnswer: "answer not taken", causeGaveWay: "gave way at a bound", causeNoRoom: "no room",
}

var evicted = func() (c [causes]*metrics.Counter) {
	for i, name := range causeNames {
		c[i] = metrics.NewCounter(fmt.Sprintf(`siskinfall_gateway_connections_evicted_total{cause=%q}`, name))
	}
	return c
}()

// logInterval is the least time between two log lines of one cause.
const logInterval = time.Second

// counters log and count by cause.
type counters [causes]struct {
	// next is when the next line may be logged, in nanoseconds since 1970.
	next atomic.Int64
	// skipped counts those since the latest line.
	skipped atomic.Int64
}

func (c *counters) count(why cause, caller net.Addr, catalog uint64) {
	evicted[why].Inc()
	now := time.Now()
	next := c[why].next.Load()
	if now.UnixNano() < next || !c[why].next.CompareAndSwap(next, now.Add(logInterval).UnixNano()) {
		c[why].skipped.Add(1)
		return
	}
	log.Info("client connection evicted", "event", "evicted", "caller", caller, "reason", causeNames[why], "skipped", c[why].skipped.Swap(0), "catalog", catalog)
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
