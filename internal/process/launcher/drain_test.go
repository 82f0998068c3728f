package launcher

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/check/asserter"
	"siskinfall/internal/gateway/forwarder"
	"siskinfall/internal/settings/loader"
)

// drainGateway drains a gateway that counts inFlight requests. It returns what drain
// reported, and whether an invariant was violated.
func drainGateway(c *qt.C, inFlight int64) (drained, violated bool) {
	cfg := loader.NewSettings()
	cfg.Gateway.RotationDelay, cfg.Gateway.Grace = 0, time.Minute
	g := &Gateway{cfg: cfg, forwarder: forwarder.New(nil, nil, nil, nil, nil, nil, "")}
	g.inFlight.Store(inFlight)
	ln, err := (&net.ListenConfig{}).Listen(c.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	callerServer := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: adminHeaderTimeout}
	served := make(chan struct{})
	go func() {
		defer close(served)
		serveHTTP(callerServer, ln)
	}()
	before := asserter.Violations()
	drained = g.drain(Stop{Graceful: context.Background(), Forced: context.Background()}, callerServer)
	<-served
	return drained, asserter.Violations() > before
}

// TestDrainReportsViolationWithRequestsInFlight guards against a shutdown that the
// HTTP server reports as complete while a request is still counted as in flight.
func TestDrainReportsViolationWithRequestsInFlight(t *testing.T) {
	c := qt.New(t)
	drained, violated := drainGateway(c, 1)
	c.Assert(drained, qt.IsFalse)
	c.Assert(violated, qt.IsTrue)
	drained, violated = drainGateway(c, 0)
	c.Assert(drained, qt.IsTrue)
	c.Assert(violated, qt.IsFalse)
}
