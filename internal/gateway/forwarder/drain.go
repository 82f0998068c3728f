package forwarder

import (
	"net/http"
	"time"
)

// stoppingRetryAfter is sent to a caller that is to go to another gateway, which can serve it
// at once.
const stoppingRetryAfter = 50 * time.Millisecond

// drainPeriod is the time in which this process finishes its requests before it ends.
type drainPeriod struct{ lateFrom, end time.Time }

// BeginDrain says that the process ends requests at end. From lateFrom on, requests that may
// last longer than that are refused before they are sent to a server.
func (f *Forwarder) BeginDrain(lateFrom, end time.Time) {
	f.drain.Store(&drainPeriod{lateFrom: lateFrom, end: end})
}

// EndRequests gives the requests in flight that have no answer yet their final one. Those that
// wait for a place are refused.
func (f *Forwarder) EndRequests() {
	if f.gates != nil {
		f.gates.close(time.Now())
	}
	f.endRequests()
}

// checkDrain reports whether a complete request may be sent to a server, or refuses it and
// reports false.
func (x *exchange) checkDrain(now time.Time) bool {
	d := x.drain.Load()
	if d == nil || now.Before(d.lateFrom) || !x.deadline.After(d.end) {
		return true
	}
	x.w.Header().Set("Connection", "close")
	x.fail(http.StatusServiceUnavailable, "gateway is stopping", stoppingRetryAfter)
	return false
}
