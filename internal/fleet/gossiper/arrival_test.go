package gossiper

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/gateway/quarantiner"
	"siskinfall/internal/wire/encoder"
)

// startMemoryGateways starts gateways with some losses, which exchange messages in memory.
func startMemoryGateways(ctx context.Context, wg *sync.WaitGroup, losses ...*quarantiner.Set) []*Gossiper {
	gateways := make([]*Gossiper, len(losses))
	for i := range gateways {
		own := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 8, byte(i + 1)}), 80)
		gateways[i] = New(own, nil, nil, holder.New(), lister.New(), losses[i], func(int, int) {})
	}
	for i, g := range gateways {
		for j, peer := range gateways {
			if i == j {
				continue
			}
			g.add(peer.own, time.Now())
			wg.Go(func() {
				_ = g.poll(ctx, peer.own, func(request *encoder.GatewaySync) (*encoder.GatewaySync, error) {
					data, err := proto.Marshal(request)
					if err != nil {
						return nil, err
					}
					received := &encoder.GatewaySync{}
					if err := proto.Unmarshal(data, received); err != nil {
						return nil, err
					}
					peer.applyRequest(received, time.Now())
					return peer.answer(received, time.Now())
				})
			})
		}
	}
	return gateways
}

// TestGatewayLearnsWhichPromptsComeToOthers guards against a gateway that blocks a sound part at
// all others, since it has seen it in deadly requests only.
func TestGatewayLearnsWhichPromptsComeToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		gateways := startMemoryGateways(ctx, &wg, quarantiner.New(1), quarantiner.New(2), quarantiner.New(3))
		const deadly, sound = 101, 102
		for range 30 {
			gateways[0].losses.Admit(0, time.Now(), 1)
			gateways[1].losses.Admit(0, time.Now(), sound)
			time.Sleep(100 * time.Millisecond)
		}
		for _, id := range []string{"i-1", "i-2"} {
			gateways[0].losses.Admit(0, time.Now(), deadly, sound)
			gateways[0].losses.AddPartLosses([]uint64{deadly, sound}, quarantiner.NewServer(id, time.Now()), time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(3 * syncInterval)
		for i, g := range gateways {
			c.Check(g.losses.IsBlocked(0, time.Now(), deadly), qt.IsTrue, qt.Commentf("gateway %d", i))
			c.Check(g.losses.IsBlocked(0, time.Now(), sound), qt.IsFalse, qt.Commentf("gateway %d", i))
		}
		cancel()
		wg.Wait()
	})
}
