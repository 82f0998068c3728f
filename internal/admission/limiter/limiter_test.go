package limiter

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/admission/aggregator"
	"siskinfall/internal/config/registrar"
	"siskinfall/internal/wire/encoder"
)

// zones is the number of availability zones of a fleet.
const zones = 3

// fleet is the limiters of several entry instances in three zones, whose demand
// one aggregator for each zone sums.
type fleet struct {
	limiters    []*Limiter
	aggregators [zones]*aggregator.Aggregator
	// cut says which zones hear no other and are heard by none.
	cut map[int]bool
}

func newFleet(n int) *fleet {
	f := &fleet{cut: make(map[int]bool)}
	for z := range zones {
		f.aggregators[z] = aggregator.New(fmt.Sprint(z))
	}
	for i := range n {
		l := New(fmt.Sprint(i), fmt.Sprint(i%zones))
		l.SetPeers(n - 1)
		f.limiters = append(f.limiters, l)
	}
	return f
}

func (f *fleet) tick() {
	for i, l := range f.limiters {
		l.SetTotals(f.aggregators[i%zones].Report(l.Tick(time.Second)).GetUses())
	}
	for from := range zones {
		for to := range zones {
			if from != to && !f.cut[from] && !f.cut[to] {
				f.tellZone(from, to)
			}
		}
	}
}

func (f *fleet) tellZone(from, to int) {
	for _, uses := range f.aggregators[from].GetZoneSums() {
		f.aggregators[to].MergeZone(&encoder.ShareReport{Zone: fmt.Sprint(from), Uses: uses})
	}
}

// send sends n requests to one instance and returns how many were admitted.
func (f *fleet) send(i int, a *registrar.ClientAccount, n int) int {
	admitted := 0
	for range n {
		release, _, err := f.limiters[i].Acquire(context.Background(), a)
		if err == nil {
			release()
			admitted++
		}
	}
	return admitted
}

// admitted sends demand requests a second for some seconds, weights giving each
// instance's part, and returns how many a second were admitted in the end.
func (f *fleet) admitted(a *registrar.ClientAccount, demand, seconds int, weights []int) float64 {
	total := 0
	for _, w := range weights {
		total += w
	}
	count, counted := 0, seconds/2
	for second := range seconds {
		for slice := range 100 {
			n := 0
			for i, w := range weights {
				share := demand * w / total
				n += f.send(i, a, share*(slice+1)/100-share*slice/100)
			}
			if second >= counted {
				count += n
			}
			time.Sleep(10 * time.Millisecond)
		}
		f.tick()
	}
	return float64(count) / float64(seconds-counted)
}

func TestLimitHoldsOverAllInstances(t *testing.T) {
	for name, weights := range map[string][]int{
		"even":       {1, 1, 1, 1, 1, 1, 1, 1, 1},
		"lopsided":   {40, 10, 1, 1, 1, 1, 1, 1, 1},
		"one entry":  {1, 0, 0, 0, 0, 0, 0, 0, 0},
		"two shares": {3, 0, 0, 1, 0, 0, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				a := &registrar.ClientAccount{Name: "a", Rate: 100, Burst: 20}
				got := newFleet(9).admitted(a, 400, 30, weights)
				t.Logf("limit 100, admitted %.1f a second", got)
				c.Assert(got <= 105, qt.IsTrue, qt.Commentf("%v a second", got))
				c.Assert(got >= 75, qt.IsTrue, qt.Commentf("%v a second", got))
			})
		})
	}
}

func TestCutZoneKeepsToItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(9)
		a := &registrar.ClientAccount{Name: "a", Rate: 100, Burst: 20}
		weights := []int{1, 1, 1, 1, 1, 1, 1, 1, 1}
		f.admitted(a, 400, 10, weights)
		f.cut[0] = true
		got := f.admitted(a, 400, 20, weights)
		t.Logf("limit 100, one zone cut off, admitted %.1f a second", got)
		c.Assert(got <= 110, qt.IsTrue, qt.Commentf("%v a second", got))
	})
}

func TestConcurrencyIsShared(t *testing.T) {
	c := qt.New(t)
	f := newFleet(3)
	a := &registrar.ClientAccount{Name: "a", Concurrency: 9}
	held := 0
	for _, l := range f.limiters {
		for range 9 {
			if _, _, err := l.Acquire(context.Background(), a); err == nil {
				held++
			}
		}
	}
	c.Assert(held, qt.Equals, 9)
}

func TestFirstRequestIsAdmitted(t *testing.T) {
	c := qt.New(t)
	_, _, err := New("0", "z").Acquire(context.Background(), &registrar.ClientAccount{Name: "a", Rate: 1, Burst: 1})
	c.Assert(err, qt.IsNil)
}
