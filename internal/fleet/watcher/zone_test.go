package watcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/fleet/withdrawer"
)

// TestZoneStaysClosedWhileStoreIsAway guards against a zone that is put back in use by an
// outage of the store, and against a return that is missed in it.
func TestZoneStaysClosedWhileStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s, zones := newRestorableStore(), withdrawer.New()
		go New(s, holder.New(), lister.New(), WithZones(zones)).RunCatalog(ctx)
		s.putCatalog(1)
		time.Sleep(time.Second)
		c.Check(zones.IsKnown(), qt.IsTrue)
		s.setZone("a", false)
		time.Sleep(time.Second)
		c.Check(zones.GetClosed(), qt.DeepEquals, []string{"a"})
		s.stop()
		time.Sleep(time.Minute)
		c.Check(zones.GetClosed(), qt.DeepEquals, []string{"a"})
		s.setZone("a", true)
		s.write(func() { s.down = false })
		time.Sleep(2 * time.Second)
		c.Check(zones.GetClosed(), qt.HasLen, 0)
		cancel()
		synctest.Wait()
	})
}
