package quarantiner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The parts of prompts that one caller shares.
const (
	deadlyPart = uint64(101)
	soundPart  = uint64(102)
	otherPart  = uint64(103)
)

// fleetLoad lets sound requests come to some gateways and deadly ones, which share all other
// parts with them, to another.
type fleetLoad struct {
	sets  []*Set
	now   time.Time
	ended int
}

// sendSound lets requests without the deadly part come to gateways in turn, and returns how many
// were admitted. Those of other callers come to all.
func (l *fleetLoad) sendSound(n int, gateways []int, parts ...uint64) (admitted int) {
	for i := range n {
		for _, s := range l.sets {
			s.Admit(0, l.now, 1)
			s.Admit(0, l.now, 2)
		}
		s := l.sets[gateways[i%len(gateways)]]
		if s.Admit(0, l.now, parts...) == Clear {
			admitted++
			s.AddPartsServed(parts, NewServer("i-sound", l.now), l.now, l.now)
		}
		l.now = l.now.Add(100 * time.Millisecond)
	}
	return admitted
}

// sendDeadly lets a request with the deadly part come to a gateway, and its server end if it is
// admitted.
func (l *fleetLoad) sendDeadly(gateway int, parts ...uint64) {
	s := l.sets[gateway]
	if s.Admit(0, l.now, parts...) == Clear {
		l.ended++
		s.AddPartLosses(parts, server(l.ended), l.now, InGroup())
	}
	l.now = l.now.Add(2 * commonCrashTime)
}

// checkVerdict checks that all gateways block the deadly part only.
func (l *fleetLoad) checkVerdict(c *qt.C, sound ...uint64) {
	for i, s := range l.sets {
		c.Check(s.IsBlocked(0, l.now, deadlyPart), qt.IsTrue, qt.Commentf("gateway %d", i))
		c.Check(s.IsBlocked(0, l.now, sound...), qt.IsFalse, qt.Commentf("gateway %d", i))
	}
	c.Check(l.ended <= maxPartCrashes, qt.IsTrue, qt.Commentf("%d servers ended", l.ended))
}

// promptOrders are the prompts of deadly requests.
var promptOrders = map[string][]uint64{
	"first":  {deadlyPart, soundPart, otherPart},
	"second": {soundPart, deadlyPart, otherPart},
	"third":  {soundPart, otherPart, deadlyPart},
}

// forPromptOrders runs a test for each place of the deadly part. sound is the prompt without it.
func forPromptOrders(t *testing.T, test func(c *qt.C, deadly, sound []uint64)) {
	t.Helper()
	for name, deadly := range promptOrders {
		t.Run(name, func(t *testing.T) {
			sound := slices.DeleteFunc(slices.Clone(deadly), func(part uint64) bool { return part == deadlyPart })
			test(qt.New(t), deadly, sound)
		})
	}
}

// TestSoundPartOfOtherGatewayIsNotBlocked guards against blocking a part at all gateways because
// the one that gets the deadly requests has seen it in these only.
func TestSoundPartOfOtherGatewayIsNotBlocked(t *testing.T) {
	for _, soundGateways := range [][]int{{1}, {1, 2, 3}} {
		t.Run(fmt.Sprint(len(soundGateways)), func(t *testing.T) {
			forPromptOrders(t, func(c *qt.C, deadly, sound []uint64) {
				l := &fleetLoad{sets: newSets(4), now: start}
				l.sendSound(12, soundGateways, sound...)
				for range minPartCrashes + 1 {
					l.sendDeadly(0, deadly...)
				}
				syncAll(l.sets, l.now)
				l.now = l.now.Add(reviewInterval)
				syncAll(l.sets, l.now)
				l.checkVerdict(c, sound...)
				c.Check(l.sendSound(12, soundGateways, sound...), qt.Equals, 12)
			})
		})
	}
}

// TestSoundPartThatCannotBeServedIsFreed guards against a part that stays blocked because its
// sound requests come only after the deadly ones, when none is served any more.
func TestSoundPartThatCannotBeServedIsFreed(t *testing.T) {
	for _, gateways := range [][]int{{0}, {1}, {1, 2, 3}} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			forPromptOrders(t, func(c *qt.C, deadly, sound []uint64) {
				l := &fleetLoad{sets: newSets(4), now: start}
				l.sendSound(20, gateways, 3)
				for range minPartCrashes + 1 {
					l.sendDeadly(0, deadly...)
				}
				syncAll(l.sets, l.now)
				for range 12 {
					l.sendSound(1, gateways, sound...)
					l.now = l.now.Add(reviewInterval)
					syncAll(l.sets, l.now)
				}
				l.checkVerdict(c, sound...)
			})
		})
	}
}

// TestVerdictsOfBothSidesOfCutAreReviewed guards against a sound part that stays blocked because
// gateways that were cut off have convicted it, while others knew better.
func TestVerdictsOfBothSidesOfCutAreReviewed(t *testing.T) {
	forPromptOrders(t, func(c *qt.C, deadly, sound []uint64) {
		l := &fleetLoad{sets: newSets(4), now: start}
		near, far := l.sets[:2], l.sets[2:]
		l.sendSound(12, []int{2, 3}, sound...)
		for range minPartCrashes {
			l.sendDeadly(0, deadly...)
			l.sendDeadly(2, deadly...)
			syncAll(near, l.now)
			syncAll(far, l.now)
		}
		c.Assert(near[0].IsBlocked(0, l.now, deadly...), qt.IsTrue)
		c.Assert(far[0].IsBlocked(0, l.now, deadly...), qt.IsTrue)
		for range 3 {
			l.now = l.now.Add(reviewInterval)
			syncAll(l.sets, l.now)
		}
		l.checkVerdict(c, sound...)
	})
}

// TestGatewayThatStartsLateFreesSoundPart guards against a gateway that has seen no prompt yet
// and passes a verdict on by the counts of deadly requests alone.
func TestGatewayThatStartsLateFreesSoundPart(t *testing.T) {
	forPromptOrders(t, func(c *qt.C, deadly, sound []uint64) {
		l := &fleetLoad{sets: newSets(4), now: start}
		l.sendSound(12, []int{1}, sound...)
		l.sets[3] = New(999)
		for range minPartCrashes {
			l.sendDeadly(3, deadly...)
		}
		exchange(l.sets[3], l.sets[2], l.now)
		for range 3 {
			l.now = l.now.Add(reviewInterval)
			syncAll(l.sets, l.now)
		}
		l.checkVerdict(c, sound...)
	})
}

// TestGatewayWithoutCountsOfPartSaysNothingOfIt guards against acquitting a deadly part since
// gateways that have not heard of its crashes yet seem not to get the other parts.
func TestGatewayWithoutCountsOfPartSaysNothingOfIt(t *testing.T) {
	c := qt.New(t)
	s, now := New(1), start
	for range 100 {
		s.Admit(0, now, 99)
	}
	for i := range minPartCrashes {
		s.Admit(0, now, otherPart, deadlyPart)
		s.AddPartLosses([]uint64{otherPart, deadlyPart}, server(i), now, InGroup())
		now = now.Add(groupReturn)
	}
	c.Assert(s.IsBlocked(0, now, deadlyPart), qt.IsTrue)
	s.MergeArrivals(Arrivals{Observer: 2, Requests: 1000, Parts: map[uint64]int{deadlyPart: 10}}, now.Add(reviewInterval))
	s.MergeArrivals(Arrivals{Observer: 3, Requests: 1000, Parts: map[uint64]int{}}, now.Add(2*reviewInterval))
	c.Check(s.IsBlocked(0, now, deadlyPart), qt.IsTrue)
}
