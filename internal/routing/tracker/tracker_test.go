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

// Each entry watches its own zone whole and a few agents of each other zone, and
// together the entries watch every agent about equally.
func TestSubsetsSpreadOverAgents(t *testing.T) {
	c := qt.New(t)
	agents := append(newAgents(20, "a"), newAgents(40, "b")...)
	watchers := make(map[string]int)
	for i := range 200 {
		tr := New(fmt.Sprint("entry-", i), "a", nil, nil, WithRemote(4))
		selected := tr.selectAgents(agents)
		c.Assert(selected, qt.HasLen, 24)
		for _, in := range selected {
			watchers[in.Name]++
		}
	}
	for _, in := range newAgents(40, "b") {
		c.Assert(watchers[in.Name] >= 5, qt.IsTrue, qt.Commentf("%s has %d", in.Name, watchers[in.Name]))
		c.Assert(watchers[in.Name] <= 45, qt.IsTrue, qt.Commentf("%s has %d", in.Name, watchers[in.Name]))
	}
}

// A stalled group's requests move on, and the group is back with its steps.
func TestStalledGroupCountsAsLost(t *testing.T) {
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

func TestSubsetIsStable(t *testing.T) {
	c := qt.New(t)
	before := rankByHash("entry", newAgents(40, "b"))[:4]
	after := rankByHash("entry", newAgents(39, "b"))[:4]
	same := 0
	for _, in := range after {
		for _, old := range before {
			if old.Name == in.Name {
				same++
			}
		}
	}
	c.Assert(same >= 3, qt.IsTrue)
}
