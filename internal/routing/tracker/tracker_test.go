package tracker

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/routing/picker"
	"siskinfall/internal/store/storer"
	"siskinfall/internal/wire/encoder"
)

func newAgents(n int, zone string) []storer.Instance {
	list := make([]storer.Instance, 0, n)
	for i := range n {
		list = append(list, storer.Instance{Name: fmt.Sprint(zone, "-", i), Role: RoleAgent, Zone: zone})
	}
	return list
}

// Each entry instance watches all agents of its own zone and a few of each other
// zone; each remote agent is watched by a similar number of entry instances.
func TestSelectAgentsSpreadsEntriesOverRemoteAgents(t *testing.T) {
	c := qt.New(t)
	agents := append(newAgents(20, "a"), newAgents(40, "b")...)
	watcherCounts := make(map[string]int)
	for i := range 200 {
		tr := New(fmt.Sprint("entry-", i), "a", nil, nil, WithMaxRemoteAgents(4))
		selected := tr.selectAgents(agents)
		c.Assert(selected, qt.HasLen, 24)
		for _, in := range selected {
			watcherCounts[in.Name]++
		}
	}
	for _, in := range newAgents(40, "b") {
		c.Assert(watcherCounts[in.Name] >= 5, qt.IsTrue, qt.Commentf("%s has %d", in.Name, watcherCounts[in.Name]))
		c.Assert(watcherCounts[in.Name] <= 45, qt.IsTrue, qt.Commentf("%s has %d", in.Name, watcherCounts[in.Name]))
	}
}

// While a model group is stalled, its requests must fail over and it must receive
// no new ones. Both end with the first report of progress.
func TestStalledGroupIsLostUntilItRecovers(t *testing.T) {
	c := qt.New(t)
	target := &Target{Backend: picker.NewBackend("a", netip.AddrPort{}, "z", time.Now()), lost: make(chan struct{})}
	target.setStatus(&encoder.AgentStatus{Ready: true})
	c.Assert(target.IsAvailable(), qt.IsTrue)
	lost := target.Lost()
	target.setStatus(&encoder.AgentStatus{Ready: true, GroupStalled: true})
	<-lost
	c.Assert(target.IsAvailable(), qt.IsFalse)
	target.setStatus(&encoder.AgentStatus{Ready: true})
	c.Assert(target.IsAvailable(), qt.IsTrue)
	c.Assert(target.Lost(), qt.Not(qt.Equals), lost)
}

func TestRankByHashKeepsMostOfTheSubset(t *testing.T) {
	c := qt.New(t)
	before := rankByHash("entry", newAgents(40, "b"))[:4]
	after := rankByHash("entry", newAgents(39, "b"))[:4]
	unchanged := 0
	for _, in := range after {
		for _, old := range before {
			if old.Name == in.Name {
				unchanged++
			}
		}
	}
	c.Assert(unchanged >= 3, qt.IsTrue)
}
