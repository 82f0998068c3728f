// Package budgeter implements the retry budget. The bound applies to all gateways
// together; each uses its share of it.
//
// Load pattern: backend servers fail or reject many requests, and all gateways would
// retry them at the same time.
package budgeter

import (
	"sync"
	"time"
)

// Bound is the maximum number of retries of all gateways together, for each service and
// in any sliding window.
type Bound struct {
	// Ratio is the number of retries allowed per request in the window.
	Ratio float64
	// Slack is the number of retries allowed beyond that.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// limitFraction is the fraction of the bound that is used. Requests are counted when
// they arrive, a little earlier than their retries.
const limitFraction = 0.7

// startSlackFraction is the fraction of the slack that is used in the first window of a
// process, because its previous incarnation may have used its share in the same window.
// With limitFraction, both together stay below the whole slack.
const startSlackFraction = 0.4

// slicesPerWindow is the number of slices that a sliding window is made of.
const slicesPerWindow = 10

// Budget counts the requests and retries of this gateway by service. It is safe for
// concurrent use.
type Budget struct {
	mu           sync.Mutex
	bound        Bound
	start        time.Time
	gatewayCount int
	windows      map[string]*window
}

// window is a sliding window, a ring of slices.
type window struct {
	// index is the number of the newest slice since the start of the process.
	index    int64
	requests [slicesPerWindow]int
	retries  [slicesPerWindow]int
}

// New returns a Budget for a bound and one gateway.
func New(bound Bound, now time.Time) *Budget {
	return &Budget{bound: bound, start: now, gatewayCount: 1, windows: make(map[string]*window)}
}

// SetGateways sets the number of gateways that share the slack; at least 1.
func (b *Budget) SetGateways(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gatewayCount = max(n, 1)
}

// AddRequest counts a request of a caller for a service.
func (b *Budget) AddRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.getWindow(service, now)
	w.requests[w.index%slicesPerWindow]++
}

// TakeRetry charges one retry to the budget, or reports false if the share of this
// gateway is used up.
func (b *Budget) TakeRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.getWindow(service, now)
	requests, retries := 0, 0
	for i := range slicesPerWindow {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	slack := b.bound.Slack / float64(b.gatewayCount)
	if now.Sub(b.start) < b.bound.Window {
		slack *= startSlackFraction
	}
	share := limitFraction * (b.bound.Ratio*float64(requests) + slack)
	if float64(retries+1) > share {
		return false
	}
	w.retries[w.index%slicesPerWindow]++
	return true
}

// getWindow returns the window of a service, advanced to the current slice.
func (b *Budget) getWindow(service string, now time.Time) *window {
	w := b.windows[service]
	if w == nil {
		w = &window{}
		b.windows[service] = w
	}
	index := int64(now.Sub(b.start) / (b.bound.Window / slicesPerWindow))
	if index-w.index >= slicesPerWindow {
		*w = window{index: index}
		return w
	}
	for w.index < index {
		w.index++
		w.requests[w.index%slicesPerWindow], w.retries[w.index%slicesPerWindow] = 0, 0
	}
	return w
}
