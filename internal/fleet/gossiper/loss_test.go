package gossiper

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/gateway/quarantiner"
)

// The losses that each gateway sees when an availability zone of a grown deployment is cut
// off, the time in which all gateways have to know them, and the bytes a second that a gateway
// may spend on control.
const (
	cutLosses     = 14
	cutDuration   = 2 * time.Second
	maxKnownDelay = 4 * time.Second
	controlRate   = 20 << 10
	// cutInterval is the time between two cuts, in which the bytes of one have to be sent.
	cutInterval = 30 * time.Second
)

// playCut returns the bytes on the link of each gateway from a cut, in which each sees some
// losses, until all know them. From then on exchanges carry none.
func playCut(c *qt.C, losses int) int {
	ctx, cancel := context.WithCancel(c.Context())
	var wg sync.WaitGroup
	n := startLinkedGateways(ctx, &wg, nil)
	time.Sleep(3 * time.Second)
	before := n.countBytes()
	for i, g := range n.gossipers {
		for k := range losses {
			time.AfterFunc(cutDuration*time.Duration(k)/time.Duration(losses), func() {
				now := time.Now()
				server := quarantiner.NewServer(fmt.Sprintf("i-%08x", i*losses+k), now.Add(-time.Minute))
				g.losses.AddLoss(uint64(i*losses+k+1), server, now.Add(-time.Second), now)
			})
		}
	}
	time.Sleep(cutDuration + maxKnownDelay)
	want := n.gossipers[0].losses.Fingerprint(time.Now())
	for i, g := range n.gossipers {
		c.Check(g.losses.Fingerprint(time.Now()), qt.Equals, want, qt.Commentf("gateway %d of %d", i, len(n.gossipers)))
	}
	cancel()
	wg.Wait()
	return (n.countBytes() - before) / len(n.links)
}

// countBytes returns the bytes on all links.
func (n *linkedGateways) countBytes() int {
	sum := 0
	for _, l := range n.links {
		l.mu.Lock()
		sum += l.bytes
		l.mu.Unlock()
	}
	return sum
}

// TestLossesOfCutZoneFillNoLinks guards against gateways that send all losses in every
// exchange while the losses of a cut availability zone spread.
func TestLossesOfCutZoneFillNoLinks(t *testing.T) {
	c := qt.New(t)
	var calm, cut int
	synctest.Test(t, func(t *testing.T) { calm = playCut(qt.New(t), 0) })
	synctest.Test(t, func(t *testing.T) { cut = playCut(qt.New(t), cutLosses) })
	bound := int(controlRate * cutInterval.Seconds())
	t.Logf("%d gateways, %d losses: %d bytes for each gateway, %d without losses", grownGateways, grownGateways*cutLosses, cut, calm)
	c.Check(cut-calm < bound, qt.IsTrue, qt.Commentf("%d bytes for the losses, bound %d", cut-calm, bound))
}
