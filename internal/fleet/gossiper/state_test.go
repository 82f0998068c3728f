package gossiper

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/fleet/lister"
)

// TestStateOfLargeFleetIsSmall guards against lists of hundreds of servers that take tens of
// kilobytes each time.
func TestStateOfLargeFleetIsSmall(t *testing.T) {
	c := qt.New(t)
	servers := make([]lister.Server, 0, 134)
	for i := range 134 {
		servers = append(servers, lister.Server{
			ID: fmt.Sprintf("i-%010x", uint64(i)*0x9e3779b97f4a7c15>>24), Service: "lera84a", Zone: fmt.Sprint("bc-coast-", i%5), Slots: 6,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 5), 0, byte(i)}), 8129), Started: time.UnixMilli(1700000000000 + int64(i)), Revision: uint64(1000 + i),
		})
	}
	plain, err := encodeState(servers, false)
	c.Assert(err, qt.IsNil)
	compressed, err := encodeState(servers, true)
	c.Assert(err, qt.IsNil)
	c.Logf("%d bytes as JSON, %d compressed", len(plain), len(compressed))
	c.Assert(4*len(compressed) < len(plain), qt.IsTrue)
	for _, data := range [][]byte{plain, compressed} {
		var got []lister.Server
		c.Assert(decodeState(data, &data[0] == &compressed[0], &got), qt.IsNil)
		text, err := json.Marshal(got)
		c.Assert(err, qt.IsNil)
		c.Assert(string(text), qt.Equals, string(plain))
	}
	var got []lister.Server
	c.Assert(decodeState(plain, true, &got), qt.IsNotNil)
}
