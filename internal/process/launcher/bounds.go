package launcher

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/gateway/evictor"
	"siskinfall/internal/process/accountant"
	"siskinfall/internal/wire/connector"
)

// The parts of an instance's descriptors and memory. What is left of the descriptors is for
// files and for connections to the store and to other instances.
const (
	// callerShare is the part of the descriptors for callers and for their requests.
	callerShare = 0.8
	// adminDivisor gives the part of both for operators and readiness checks.
	adminDivisor = 16
	// handshakeDivisor and sessionDivisor give the parts of the descriptors for other instances
	// that are connecting, and that are connected.
	handshakeDivisor = 32
	sessionDivisor   = 8
)

// Limits of requests of operators and readiness checks, which have no bodies.
const (
	adminReadTimeout  = 5 * time.Second
	adminWriteTimeout = 30 * time.Second
	adminIdleTimeout  = 3 * time.Minute
	maxAdminHeadBytes = 16 << 10
)

// newCallerBounds returns the bounds for the connections of callers.
func newCallerBounds(megabytes, descriptors int) accountant.Bounds {
	return accountant.Bounds{Memory: int64(megabytes) << 20, Descriptors: int(callerShare * float64(descriptors))}
}

// newSessionBounds bounds the sessions of other instances.
func newSessionBounds(descriptors int) connector.AcceptorOption {
	return connector.WithMaxSessions(descriptors/handshakeDivisor, descriptors/sessionDivisor)
}

// exportHeld shows what the callers' connections hold.
func exportHeld(a *accountant.Accountant) {
	for _, use := range []accountant.Use{accountant.Head, accountant.Body, accountant.Answer} {
		metrics.GetOrCreateGauge(fmt.Sprintf(`siskinfall_gateway_callers_held_bytes{use=%q}`, use), func() float64 {
			return float64(a.GetHeld().Bytes[use])
		})
	}
	metrics.GetOrCreateGauge("siskinfall_gateway_callers_held_descriptors", func() float64 { return float64(a.GetHeld().Units) })
}

// newAdminServer returns a server for operators and readiness checks and the listener for it,
// with bounds of their own, so that callers don't keep them out.
func newAdminServer(h http.Handler, ln net.Listener, megabytes, descriptors int) (*http.Server, net.Listener) {
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: adminHeaderTimeout, ReadTimeout: adminReadTimeout, WriteTimeout: adminWriteTimeout,
		IdleTimeout: adminIdleTimeout, MaxHeaderBytes: maxAdminHeadBytes,
	}
	bounds := accountant.Bounds{Memory: int64(megabytes) << 20 / adminDivisor, Descriptors: descriptors / adminDivisor}
	return s, evictor.New(holder.New(), evictor.WithAccounts(accountant.New(bounds))).Watch(s, ln)
}
