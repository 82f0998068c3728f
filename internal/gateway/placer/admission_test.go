package placer

import (
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

// newCompetingKinds returns kinds of requests whose demand is a factor of what 32 engines bear.
func newCompetingKinds(factor float64) []replayKind {
	return []replayKind{
		{name: "urgent", priority: 0, perSecond: 44 * factor, meanPrompt: 674, objective: seconds(0.5), gap: seconds(0.15), timeout: seconds(8)},
		{name: "usual", priority: 1, perSecond: 59 * factor, meanPrompt: 960, objective: seconds(0.5), gap: seconds(0.15), timeout: seconds(8)},
		{name: "background", priority: 2, perSecond: 20 * factor, meanPrompt: 787, objective: seconds(1), gap: seconds(0.15), timeout: seconds(8)},
	}
}

// portion is what became of some requests, as fractions.
type portion struct {
	n                            int
	inTime, served, refusedTwice float64
}

// measure returns what became of the requests that match, sent in the first seconds of the
// replay; later ones may not have ended.
func measure(all []*replayRequest, length time.Duration, match func(*replayRequest) bool) portion {
	var p portion
	for _, r := range all {
		if r.sent.Sub(start) >= length-8*time.Second || !match(r) {
			continue
		}
		p.n++
		switch {
		case r.isInTime():
			p.inTime++
			p.served++
		case r.isServed():
			p.served++
		case r.refusals > 1:
			p.refusedTwice++
		}
	}
	n := float64(max(p.n, 1))
	p.inTime, p.served, p.refusedTwice = p.inTime/n, p.served/n, p.refusedTwice/n
	return p
}

// ofKind matches the requests of a kind, all if it is empty.
func ofKind(name string) func(*replayRequest) bool {
	return func(r *replayRequest) bool { return name == "" || r.kind.name == name }
}

// ofSize matches requests of a kind whose size is between two quantiles.
func ofSize(all []*replayRequest, name string, from, to float64) func(*replayRequest) bool {
	var costs []int
	for _, r := range all {
		if r.kind.name == name {
			costs = append(costs, r.cost())
		}
	}
	slices.Sort(costs)
	at := func(q float64) int { return costs[min(int(q*float64(len(costs))), len(costs)-1)] }
	low, high := at(from), at(to)
	return func(r *replayRequest) bool {
		return r.kind.name == name && r.cost() >= low && (to >= 1 || r.cost() < high)
	}
}

// compareRules replays the same demand with today's rule and with admission, and prints both.
func compareRules(c *qt.C, f replay) (before, after []*replayRequest) {
	f.gateways, f.engines = max(f.gateways, 30), 32
	f.reportLag = max(f.reportLag, 300*time.Millisecond)
	if f.skew == nil {
		f.skew = func(time.Duration) float64 { return 1.17 }
	}
	f.patience = 1760 * time.Millisecond
	old := f
	before = old.run()
	f.admits, f.isOrdered, f.opts = true, true, []Option{WithReportLag(300 * time.Millisecond)}
	after = f.run()
	c.Logf("%-22s %5s  %-21s  %-21s", "", "n", "places alone", "admission")
	c.Logf("%-22s %5s  %-21s  %-21s", "", "", "in time served twice", "in time served twice")
	show := func(name string, match func([]*replayRequest) func(*replayRequest) bool) {
		a, b := measure(before, f.length, match(before)), measure(after, f.length, match(after))
		c.Logf("%-22s %5d  %.2f    %.2f   %.2f   %.2f    %.2f   %.2f", name, b.n, a.inTime, a.served, a.refusedTwice, b.inTime, b.served, b.refusedTwice)
	}
	for _, k := range f.kinds {
		show(k.name, func([]*replayRequest) func(*replayRequest) bool { return ofKind(k.name) })
		show(k.name+", largest 0.1", func(all []*replayRequest) func(*replayRequest) bool { return ofSize(all, k.name, 0.9, 1) })
		show(k.name+", next 0.2", func(all []*replayRequest) func(*replayRequest) bool { return ofSize(all, k.name, 0.7, 0.9) })
	}
	show("largest account", func([]*replayRequest) func(*replayRequest) bool {
		return func(r *replayRequest) bool { return r.account == 0 }
	})
	show("other accounts", func([]*replayRequest) func(*replayRequest) bool {
		return func(r *replayRequest) bool { return r.account != 0 }
	})
	return before, after
}

// assertNobodyStarves asserts what each caller needs whatever the demand: its kind, its
// account and requests of its size are served.
func assertNobodyStarves(c *qt.C, f replay, all []*replayRequest) {
	overall := measure(all, f.length, ofKind("")).served
	for _, k := range f.kinds {
		kind := measure(all, f.length, ofKind(k.name)).served
		c.Check(kind >= overall/4, qt.IsTrue, qt.Commentf("%s: %.2f of %.2f", k.name, kind, overall))
		for _, q := range [][2]float64{{0.7, 0.9}, {0.9, 1}} {
			size := measure(all, f.length, ofSize(all, k.name, q[0], q[1])).served
			c.Check(size >= kind/2, qt.IsTrue, qt.Commentf("%s, sizes %v: %.2f of %.2f", k.name, q, size, kind))
		}
	}
	for i := range replayAccounts {
		account := measure(all, f.length, func(r *replayRequest) bool { return r.account == i }).served
		c.Check(account >= overall/4, qt.IsTrue, qt.Commentf("account %d: %.2f of %.2f", i, account, overall))
	}
}

// assertUrgentFirst asserts that no kind is served less often than a less urgent one.
func assertUrgentFirst(c *qt.C, f replay, all []*replayRequest) {
	const noise = 0.05
	for i := range len(f.kinds) - 1 {
		a, b := measure(all, f.length, ofKind(f.kinds[i].name)), measure(all, f.length, ofKind(f.kinds[i+1].name))
		c.Check(a.served >= b.served-noise, qt.IsTrue, qt.Commentf("%s: %.2f, %s: %.2f", f.kinds[i].name, a.served, f.kinds[i+1].name, b.served))
	}
}

// assertInTime asserts that the most urgent kind keeps its objectives at least as often as by
// places alone, and that this costs no others: all together keep them as often, but for what
// two samples of that size differ by chance (two standard errors).
func assertInTime(c *qt.C, f replay, before, after []*replayRequest) {
	a, b := measure(before, f.length, ofKind(f.kinds[0].name)), measure(after, f.length, ofKind(f.kinds[0].name))
	c.Check(b.inTime >= a.inTime, qt.IsTrue, qt.Commentf("most urgent: %.2f before, %.2f after", a.inTime, b.inTime))
	a, b = measure(before, f.length, ofKind("")), measure(after, f.length, ofKind(""))
	noise := 2 * math.Sqrt((a.inTime*(1-a.inTime)+b.inTime*(1-b.inTime))/float64(a.n))
	c.Check(b.inTime >= a.inTime-noise, qt.IsTrue, qt.Commentf("all: %.2f before, %.2f after", a.inTime, b.inTime))
}

// TestBurstOfBackgroundWorkLeavesRoomForUrgent guards urgent requests that come while a burst
// of less urgent ones holds all places.
func TestBurstOfBackgroundWorkLeavesRoomForUrgent(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := replay{kinds: newCompetingKinds(1), length: 24 * time.Second, seed: 1}
	f.kinds[2].burstFrom, f.kinds[2].burstEnd, f.kinds[2].burstFactor = seconds(3), seconds(12), 5
	f.kinds[0].burstFrom, f.kinds[0].burstEnd, f.kinds[0].burstFactor = seconds(5), seconds(10), 1.5
	before, after := compareRules(c, f)
	assertNobodyStarves(c, f, after)
	assertUrgentFirst(c, f, after)
	assertInTime(c, f, before, after)
}

// TestLargeAccountLeavesRoomForOthers guards the accounts beside one that sends half of twice
// the demand that the engines bear.
func TestLargeAccountLeavesRoomForOthers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := replay{kinds: newCompetingKinds(2), length: 24 * time.Second, seed: 2}
	for i := range f.kinds {
		f.kinds[i].largestAccount = 0.5
	}
	_, after := compareRules(c, f)
	assertNobodyStarves(c, f, after)
	large := measure(after, f.length, func(r *replayRequest) bool { return r.account == 0 })
	others := measure(after, f.length, func(r *replayRequest) bool { return r.account != 0 })
	// The account that asks for half of all bears at least twice the refusals of the others.
	c.Check(1-others.served <= (1-large.served)/2, qt.IsTrue, qt.Commentf("large %.2f, others %.2f", large.served, others.served))
}

// TestLongPromptsAreServedAmongShortOnes guards the largest requests of a kind in a long
// overload.
func TestLongPromptsAreServedAmongShortOnes(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := replay{kinds: newCompetingKinds(1.5), length: 24 * time.Second, seed: 3}
	before, after := compareRules(c, f)
	assertNobodyStarves(c, f, after)
	assertUrgentFirst(c, f, after)
	assertInTime(c, f, before, after)
}

// TestImpatientCallersGainNothing guards callers that return as they are told beside some that
// repeat at once.
func TestImpatientCallersGainNothing(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := replay{kinds: newCompetingKinds(1.5), length: 24 * time.Second, seed: 4}
	for i := range f.kinds {
		f.kinds[i].impatient = 0.3
	}
	_, after := compareRules(c, f)
	assertNobodyStarves(c, f, after)
	impatient := measure(after, f.length, func(r *replayRequest) bool { return r.isImpatient })
	others := measure(after, f.length, func(r *replayRequest) bool { return !r.isImpatient })
	c.Check(others.served >= impatient.served, qt.IsTrue, qt.Commentf("impatient %.2f, others %.2f", impatient.served, others.served))
}

// TestCapacityFallsInBurst guards a burst in which a third of the engines turns slow, and with
// them the passes of the whole group.
func TestCapacityFallsInBurst(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := replay{kinds: newCompetingKinds(1), length: 24 * time.Second, seed: 5}
	for i := range f.kinds {
		f.kinds[i].burstFrom, f.kinds[i].burstEnd, f.kinds[i].burstFactor = seconds(3), seconds(12), 1.5
	}
	f.change = func(at time.Duration, ranks []*replayRank) {
		for i, e := range ranks {
			e.slowness = 1
			if i%3 == 0 && at > seconds(6) && at < seconds(12) {
				e.slowness = 1.5
			}
		}
	}
	before, after := compareRules(c, f)
	assertNobodyStarves(c, f, after)
	assertUrgentFirst(c, f, after)
	assertInTime(c, f, before, after)
}

// TestGatewaysWithOldReportsFillEnginesOnce guards the engines of 30 gateways whose reports are
// up to two seconds old, in a burst to twice what the engines bear.
func TestGatewaysWithOldReportsFillEnginesOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, lag := range []float64{0.2, 1, 2} {
		f := replay{kinds: newCompetingKinds(0.7), length: 24 * time.Second, seed: 6, reportLag: seconds(lag)}
		for i := range f.kinds {
			f.kinds[i].burstFrom, f.kinds[i].burstEnd, f.kinds[i].burstFactor = seconds(4), seconds(10), 3
		}
		c.Logf("reports %v s old", lag)
		before, after := compareRules(c, f)
		assertNobodyStarves(c, f, after)
		assertInTime(c, f, before, after)
	}
}

// TestNobodyIsRefusedWhileEnginesHaveRoom guards callers in calm times, when the demand of one
// gateway varies far more than that of all.
func TestNobodyIsRefusedWhileEnginesHaveRoom(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := replay{kinds: newCompetingKinds(0.6), length: 24 * time.Second, seed: 7}
	_, after := compareRules(c, f)
	p := measure(after, f.length, ofKind(""))
	c.Check(p.served >= 0.99, qt.IsTrue, qt.Commentf("%.3f", p.served))
	c.Check(p.inTime >= 0.95, qt.IsTrue, qt.Commentf("%.3f", p.inTime))
}

// TestSkewedMapTakesNoRoomFromUrgent guards the seconds in which a group that has opened again
// runs with a map of three times the pass time, and every answer is late: they are still
// served, the urgent ones first, and those that come after are in time again.
func TestSkewedMapTakesNoRoomFromUrgent(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := replay{kinds: newCompetingKinds(0.8), length: 24 * time.Second, seed: 8}
	f.skew = func(at time.Duration) float64 {
		if at > seconds(4) && at < seconds(8) {
			return 3.3
		}
		return 1.17
	}
	before, after := compareRules(c, f)
	assertNobodyStarves(c, f, after)
	assertUrgentFirst(c, f, after)
	assertInTime(c, f, before, after)
	urgent := func(from, to float64) func(*replayRequest) bool {
		return func(r *replayRequest) bool {
			return r.kind.priority == 0 && r.sent.Sub(start) > seconds(from) && r.sent.Sub(start) < seconds(to)
		}
	}
	a, b := measure(before, f.length, urgent(4, 8)), measure(after, f.length, urgent(4, 8))
	c.Check(b.served >= a.served, qt.IsTrue, qt.Commentf("urgent, skewed: %.2f before, %.2f after", a.served, b.served))
	a, b = measure(before, f.length, urgent(8, 12)), measure(after, f.length, urgent(8, 12))
	c.Check(b.inTime >= a.inTime, qt.IsTrue, qt.Commentf("urgent, after it: %.2f before, %.2f after", a.inTime, b.inTime))
	c.Logf("urgent, sent in the 4 s after: %.2f in time before, %.2f after", a.inTime, b.inTime)
}
