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

// zoneCount is the number of availability zones of a fleet.
const zoneCount = 3

// fleet holds the limiters of several entry instances in zoneCount zones and one
// aggregator per zone.
type fleet struct {
	limiters    []*Limiter
	aggregators [zoneCount]*aggregator.Aggregator
	// partitioned holds the zones that neither send to nor receive from others.
	partitioned map[int]bool
}

func newFleet(n int) *fleet {
	f := &fleet{partitioned: make(map[int]bool)}
	for z := range zoneCount {
		f.aggregators[z] = aggregator.New(fmt.Sprint(z))
	}
	for i := range n {
		l := New(fmt.Sprint(i), fmt.Sprint(i%zoneCount))
		l.SetPeerCount(n - 1)
		f.limiters = append(f.limiters, l)
	}
	return f
}

func (f *fleet) syncDemand() {
	for i, l := range f.limiters {
		l.SetTotals(f.aggregators[i%zoneCount].Report(l.EndPeriod(time.Second)).GetUses())
	}
	for from := range zoneCount {
		for to := range zoneCount {
			if from != to && !f.partitioned[from] && !f.partitioned[to] {
				f.sendZoneSums(from, to)
			}
		}
	}
}

func (f *fleet) sendZoneSums(from, to int) {
	for _, uses := range f.aggregators[from].GetZoneSums() {
		f.aggregators[to].MergeZone(&encoder.ShareReport{Zone: fmt.Sprint(from), Uses: uses})
	}
}

// send sends n requests to one instance and returns the number admitted.
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

// measureAdmitted sends demand requests per second, distributed over the instances
// by weights, and returns the admitted requests per second in the second half.
func (f *fleet) measureAdmitted(a *registrar.ClientAccount, demand, seconds int, weights []int) float64 {
	total := 0
	for _, w := range weights {
		total += w
	}
	count, warmup := 0, seconds/2
	for second := range seconds {
		for tick := range 100 {
			n := 0
			for i, w := range weights {
				requests := demand * w / total
				n += f.send(i, a, requests*(tick+1)/100-requests*tick/100)
			}
			if second >= warmup {
				count += n
			}
			time.Sleep(10 * time.Millisecond)
		}
		f.syncDemand()
	}
	return float64(count) / float64(seconds-warmup)
}

func TestRateLimitHoldsOverAllInstances(t *testing.T) {
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
				rate := newFleet(9).measureAdmitted(a, 400, 30, weights)
				t.Logf("limit 100, admitted %.1f per second", rate)
				c.Assert(rate <= 105, qt.IsTrue, qt.Commentf("%v per second", rate))
				c.Assert(rate >= 75, qt.IsTrue, qt.Commentf("%v per second", rate))
			})
		})
	}
}

func TestPartitionedZoneKeepsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(9)
		a := &registrar.ClientAccount{Name: "a", Rate: 100, Burst: 20}
		weights := []int{1, 1, 1, 1, 1, 1, 1, 1, 1}
		f.measureAdmitted(a, 400, 10, weights)
		f.partitioned[0] = true
		rate := f.measureAdmitted(a, 400, 20, weights)
		t.Logf("limit 100, one zone partitioned, admitted %.1f per second", rate)
		c.Assert(rate <= 110, qt.IsTrue, qt.Commentf("%v per second", rate))
	})
}

func TestConcurrencyLimitIsSharedByInstances(t *testing.T) {
	c := qt.New(t)
	f := newFleet(3)
	a := &registrar.ClientAccount{Name: "a", Concurrency: 9}
	admitted := 0
	for _, l := range f.limiters {
		for range 9 {
			if _, _, err := l.Acquire(context.Background(), a); err == nil {
				admitted++
			}
		}
	}
	c.Assert(admitted, qt.Equals, 9)
}

func TestAcquireAdmitsFirstRequest(t *testing.T) {
	c := qt.New(t)
	_, _, err := New("0", "z").Acquire(context.Background(), &registrar.ClientAccount{Name: "a", Rate: 1, Burst: 1})
	c.Assert(err, qt.IsNil)
}
