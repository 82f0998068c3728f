package placer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/gateway/budgeter"
)

// timeline runs functions in the order of their times.
type timeline []scheduled

type scheduled struct {
	at  time.Time
	run func(now time.Time)
}

func (l timeline) Len() int           { return len(l) }
func (l timeline) Less(i, j int) bool { return l[i].at.Before(l[j].at) }
func (l timeline) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *timeline) Push(x any)        { *l = append(*l, x.(scheduled)) }
func (l *timeline) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}

func (l *timeline) add(at time.Time, run func(now time.Time)) { heap.Push(l, scheduled{at, run}) }

// desk is a service of a few servers that reject what finds no free slot.
type desk struct {
	timeline
	rng      *rand.Rand
	placers  []*Placer
	budgets  []*budgeter.Budget
	running  []int
	slowness []float64
	// served, shed and refused count requests, arrivals that were rejected, and requests
	// that ended without an answer. idleShed counts rejections while another server had
	// a free slot.
	served, shed, refused, idleShed int
	times                           []time.Duration
}

const (
	deskServers  = 3
	deskSlots    = 6
	deskTime     = 60 * time.Millisecond
	deskLatency  = time.Millisecond
	deskAttempts = 3
)

func newDesk(seed uint64, gateways int, opts ...Option) *desk {
	d := &desk{rng: rand.New(rand.NewPCG(seed, 46)), running: make([]int, deskServers), slowness: slices.Repeat([]float64{1}, deskServers)}
	all := make([]lister.Server, deskServers)
	for i := range all {
		all[i] = lister.Server{ID: fmt.Sprint(i), Service: "desk", Addr: addr(i), Zone: string(rune('a' + i)), Slots: deskSlots}
	}
	for i := range gateways {
		p := New(append(opts, WithRandom(rand.NewPCG(seed, uint64(i))))...)
		p.SetServers(all)
		p.SetGateways(gateways)
		d.placers = append(d.placers, p)
		b := budgeter.New(budgeter.Bound{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, start.Add(-time.Minute))
		b.SetGateways(gateways)
		d.budgets = append(d.budgets, b)
	}
	return d
}

// send places a request and handles its outcomes.
func (d *desk) send(g int, w Work, begun, now time.Time) {
	p := d.placers[g]
	placed, ok := p.Place(w, now).(*Placed)
	if !ok {
		d.refused++
		return
	}
	i := int(placed.ID[0] - '0')
	d.add(now.Add(deskLatency), func(now time.Time) {
		if d.running[i] >= deskSlots {
			d.shed++
			if slices.Min(d.running) < deskSlots {
				d.idleShed++
			}
			load := Load{Running: d.running[i]}
			d.add(now.Add(deskLatency), func(now time.Time) {
				load.At = now
				p.SetLoad(placed.ID, load)
				placed.Finish(Rejected, now)
				w.Exclude = append(slices.Clone(w.Exclude), placed.ID)
				if len(w.Exclude) >= deskAttempts || !d.budgets[g].TakeRetry("desk", now) {
					d.refused++
					return
				}
				d.send(g, w, begun, now)
			})
			return
		}
		d.running[i]++
		took := time.Duration(float64(deskTime) * d.slowness[i] * (0.5 + d.rng.Float64()))
		d.add(now.Add(took), func(now time.Time) {
			d.running[i]--
			load := Load{Running: d.running[i]}
			d.add(now.Add(deskLatency), func(now time.Time) {
				load.At = now
				p.SetLoad(placed.ID, load)
				placed.Finish(Served, now)
				d.served++
				d.times = append(d.times, now.Sub(begun))
			})
		})
	})
}

// play sends requests at a rate, as a share of all slots, for some time.
func (d *desk) play(load float64, length time.Duration) {
	interval := float64(deskTime) / (load * deskServers * deskSlots)
	for at := start; at.Before(start.Add(length)); at = at.Add(time.Duration(d.rng.ExpFloat64() * interval)) {
		g := d.rng.IntN(len(d.placers))
		d.add(at, func(now time.Time) {
			w := deskWork(now)
			w.Zone = string(rune('a' + g%deskServers))
			d.budgets[g].AddRequest("desk", now)
			d.send(g, w, now, now)
		})
	}
	for len(d.timeline) > 0 {
		e := heap.Pop(&d.timeline).(scheduled)
		e.run(e.at)
	}
	slices.Sort(d.times)
}

// newScarceDesk returns a desk whose first server is slower than the others.
func newScarceDesk(gateways int, slowness, slotsPerGateway float64) *desk {
	d := newDesk(1, gateways, WithScarceSlots(slotsPerGateway))
	d.slowness[0] = slowness
	return d
}

// TestSlowServerLooksIdleToManyGateways guards against a slow server that gets as much as the
// others, since each gateway has few requests there: callers of one zone would miss the
// objective.
func TestSlowServerLooksIdleToManyGateways(t *testing.T) {
	const (
		objective = 300 * time.Millisecond
		// seconds is the length at full load; all runs have as many requests.
		seconds = 12
	)
	for _, gateways := range []int{14, 40} {
		for _, load := range []float64{0.2, 0.4, 0.8} {
			for _, slowness := range []float64{1, 5} {
				for _, scarce := range []float64{0, 2} {
					c := qt.New(t)
					d := newScarceDesk(gateways, slowness, scarce)
					d.play(load, time.Duration(seconds/load*float64(time.Second)))
					n, p95 := float64(d.served+d.refused)/100, d.times[len(d.times)*95/100]
					t.Logf("%d gateways, load %.1f, slowness %.0f, scarce %.0f: refused %.1f %%, shed %.1f %% (%.1f %% beside idle slots), p95 %v p99 %v", gateways, load, slowness, scarce,
						float64(d.refused)/n, float64(d.shed)/n, float64(d.idleShed)/n, p95.Round(time.Millisecond), d.times[len(d.times)*99/100].Round(time.Millisecond))
					c.Assert(load > 0.2 || scarce == 0 || p95 <= objective, qt.IsTrue, qt.Commentf("p95 %v", p95))
				}
			}
		}
	}
}

// TestRecoveredServerGetsRequestsAgain guards against a server that is avoided for good because
// it was slow once.
func TestRecoveredServerGetsRequestsAgain(t *testing.T) {
	c := qt.New(t)
	p := newPlainPlacer(2)
	WithScarceSlots(20)(p)
	serve := func(id string, took time.Duration, now time.Time) {
		w := deskWork(now)
		w.Exclude = []string{"s0", "s1"}
		w.Exclude = slices.DeleteFunc(w.Exclude, func(other string) bool { return other == id })
		p.Place(w, now).(*Placed).Finish(Served, now.Add(took))
	}
	serve("s0", time.Second, start)
	serve("s1", 50*time.Millisecond, start)
	now := start.Add(2 * time.Second)
	c.Assert(p.Place(deskWork(now), now).(*Placed).ID, qt.Equals, "s1")
	now = start.Add(3 * time.Minute)
	serve("s1", 50*time.Millisecond, now)
	c.Assert(p.Place(deskWork(now), now.Add(time.Second)).(*Placed).ID, qt.Equals, "s0")
}

// TestServiceWithEnoughSlotsIsPlacedAsBefore guards against a change where the settings or the
// number of slots do not ask for it.
func TestServiceWithEnoughSlotsIsPlacedAsBefore(t *testing.T) {
	for _, scarce := range []float64{0, 2} {
		c := qt.New(t)
		p := newPlainPlacer(2)
		WithScarceSlots(scarce)(p)
		p.SetGateways(6)
		for i, took := range []time.Duration{50 * time.Millisecond, time.Second} {
			w := deskWork(start)
			w.Exclude = []string{fmt.Sprint("s", i)}
			p.Place(w, start).(*Placed).Finish(Served, start.Add(took))
		}
		c.Assert(p.Place(deskWork(start), start.Add(time.Second)).(*Placed).ID, qt.Equals, "s0")
	}
}
