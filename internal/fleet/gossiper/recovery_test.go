package gossiper

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/gateway/quarantiner"
)

// startBesidePeer runs a gateway that starts beside another one until both have exchanged their
// states, and returns its losses.
func startBesidePeer(t *testing.T, isPeerComplete bool) (starting *quarantiner.Set) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	starting = quarantiner.New(1, quarantiner.WithPeers())
	peer := quarantiner.New(2)
	if !isPeerComplete {
		peer = quarantiner.New(2, quarantiner.WithPeers())
	}
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		peer.AddLoss(7, quarantiner.NewServer(id, time.Now()), time.Now(), time.Now())
	}
	startMemoryGateways(ctx, &wg, starting, peer)
	time.Sleep(3 * syncInterval)
	cancel()
	wg.Wait()
	return starting
}

// TestStartingGatewayRecoversFromCompletePeer guards against gateways that start at one moment
// and take each other's empty lists for what was known before.
func TestStartingGatewayRecoversFromCompletePeer(t *testing.T) {
	for name, isComplete := range map[string]bool{"complete": true, "starting": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := startBesidePeer(t, isComplete)
				c.Assert(s.IsBlocked(7, time.Now()), qt.IsTrue)
				c.Assert(s.IsRecovered(), qt.Equals, isComplete)
			})
		})
	}
}
