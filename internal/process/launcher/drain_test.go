package launcher

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/check/asserter"
	"siskinfall/internal/settings/loader"
)

// drainWith drains a gateway with a grace while it counts some requests in flight.
func drainWith(c *qt.C, inFlight int64) (done, violated bool) {
	cfg := loader.NewSettings()
	cfg.Gateway.RotationDelay, cfg.Gateway.Grace = 0, time.Minute
	g := &Gateway{cfg: cfg}
	g.inFlight.Store(inFlight)
	ln, err := (&net.ListenConfig{}).Listen(c.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	front := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: adminHeader}
	served := make(chan struct{})
	go func() {
		defer close(served)
		serveHTTP(front, ln)
	}()
	before := asserter.Violations()
	done = g.drain(Stop{Graceful: context.Background(), Forced: context.Background()}, front)
	<-served
	return done, asserter.Violations() > before
}

// TestShutdownWithWorkInFlightIsAViolation ends a shutdown that the server takes for
// done while a request is counted, and one without.
func TestShutdownWithWorkInFlightIsAViolation(t *testing.T) {
	c := qt.New(t)
	done, violated := drainWith(c, 1)
	c.Assert(done, qt.IsFalse)
	c.Assert(violated, qt.IsTrue)
	done, violated = drainWith(c, 0)
	c.Assert(done, qt.IsTrue)
	c.Assert(violated, qt.IsFalse)
}
