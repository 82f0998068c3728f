package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

// drawRequest returns any request.
func drawRequest(t *rapid.T, now time.Time) Request {
	return Request{
		Kind: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind"), Priority: rapid.IntRange(0, 3).Draw(t, "priority"),
		Account: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "account"), Size: rapid.IntRange(0, 5000).Draw(t, "size"),
		Bytes: rapid.IntRange(0, maxWaitingBytes/4).Draw(t, "bytes"), Objective: time.Duration(rapid.IntRange(0, 1000).Draw(t, "objective")) * time.Millisecond,
		Deadline: now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "timeout")) * time.Millisecond), Returned: rapid.Bool().Draw(t, "returned"),
	}
}

// model is an Admitter with all that was asked of it.
type model struct {
	*Admitter
	now     time.Time
	tickets []*Ticket
	// first holds the first decision seen on each ticket.
	first map[*Ticket]Decision
	// running holds the granted tickets that were not released.
	running map[*Ticket]bool
}

// check asserts what always holds.
func (m *model) check(t *rapid.T) {
	granted, waiting, bytes := 0, 0, 0
	for _, k := range m.tickets {
		d := m.GetDecision(k)
		if first, ok := m.first[k]; ok && first != d {
			t.Fatalf("decision changed from %v to %v", first, d)
		}
		switch v := d.(type) {
		case nil:
			waiting++
			bytes += k.Bytes
			continue
		case *Granted:
			if k.arrived.Add(v.Waited).After(k.Deadline) {
				t.Fatalf("granted after the deadline")
			}
			if _, ok := m.first[k]; !ok {
				m.running[k] = true
			}
		case *Refused:
			if m.running[k] {
				t.Fatal("refused while it runs")
			}
			if v.RetryAfter < 0 {
				t.Fatalf("negative time to return: %v", v.RetryAfter)
			}
		}
		m.first[k] = d
	}
	for _, isRunning := range m.running {
		if isRunning {
			granted++
		}
	}
	s := m.GetState()
	if s.Running != granted || s.Waiting != waiting || s.WaitingBytes != bytes {
		t.Fatalf("state %+v with %d running and %d waiting of %d bytes", s, granted, waiting, bytes)
	}
	if s.Running < 0 || s.Limit < 1 || s.Waiting > maxWaiting || s.WaitingBytes > maxWaitingBytes {
		t.Fatalf("bounds broken: %+v", s)
	}
}

// expireDue does what callers do at LatestStart.
func (m *model) expireDue() {
	for _, k := range m.tickets {
		if m.GetDecision(k) == nil && !m.now.Before(k.LatestStart()) {
			m.Expire(k, m.now)
		}
	}
}

// TestPlacesAreKeptWhateverHappens guards the promises of admission against any order of
// events: a decision is final, nothing runs that was refused, places and bytes add up, no
// request waits beyond its deadline.
func TestPlacesAreKeptWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{Admitter: New(WithRandom(rand.NewPCG(1, 2))), now: start, first: make(map[*Ticket]Decision), running: make(map[*Ticket]bool)}
		pick := func(label string) *Ticket {
			if len(m.tickets) == 0 {
				t.Skip("nothing asked yet")
			}
			return rapid.SampledFrom(m.tickets).Draw(t, label)
		}
		release := func(k *Ticket) {
			if _, ok := m.GetDecision(k).(*Granted); ok {
				m.running[k] = false
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				r := drawRequest(t, m.now)
				m.tickets = append(m.tickets, m.Ask(r, m.now))
			},
			"release": func(*rapid.T) {
				k := pick("released")
				m.Release(k, m.now)
				release(k)
			},
			"leave": func(*rapid.T) {
				k := pick("left")
				m.Leave(k, m.now)
				release(k)
			},
			"room": func(t *rapid.T) {
				m.SetRoom(Room{
					Places: rapid.IntRange(0, 40).Draw(t, "places"), InUse: rapid.IntRange(0, 60).Draw(t, "in use"),
					FirstEvent: time.Duration(rapid.IntRange(0, 600).Draw(t, "first")) * time.Millisecond,
					Residence:  time.Duration(rapid.IntRange(0, 4000).Draw(t, "residence")) * time.Millisecond, IsSlow: rapid.Bool().Draw(t, "slow"),
				}, rapid.IntRange(1, 30).Draw(t, "gateways"), m.now)
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
				m.expireDue()
			},
			"": m.check,
		})
	})
}

// TestNobodyIsRefusedWhileThereIsRoom guards callers with time against a refusal while their
// gateway has places.
func TestNobodyIsRefusedWhileThereIsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(WithRandom(rand.NewPCG(1, 2)))
		a.SetRoom(Room{Places: 400, FirstEvent: 200 * time.Millisecond, Residence: 2 * time.Second}, 1, start)
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			r := drawRequest(t, start)
			r.Deadline = start.Add(8 * time.Second)
			if _, ok := a.GetDecision(a.Ask(r, start)).(*Granted); !ok {
				t.Fatalf("not granted at %+v", a.GetState())
			}
		}
	})
}

// newFullAdmitter returns an Admitter with four places, all of them taken, of which one
// becomes free each 100 ms on average.
func newFullAdmitter() (*Admitter, []*Ticket) {
	a := New(WithRandom(rand.NewPCG(1, 2)))
	// Of an idle service, a gateway may use more than its share.
	a.SetRoom(Room{Places: 4 / looseFactor, FirstEvent: 100 * time.Millisecond, Residence: 400 * time.Millisecond}, 1, start)
	running := make([]*Ticket, 4)
	for i := range running {
		running[i] = a.Ask(Request{Kind: "k", Deadline: start.Add(8 * time.Second)}, start)
	}
	return a, running
}

func newWaiting(priority int) Request {
	return Request{Kind: "k", Priority: priority, Objective: time.Second, Deadline: start.Add(8 * time.Second)}
}

// TestPlaceOfCallerThatLeftIsGivenOn guards against places that stay empty because their
// callers have left, while others wait.
func TestPlaceOfCallerThatLeftIsGivenOn(t *testing.T) {
	c := qt.New(t)
	a, running := newFullAdmitter()
	first, second := a.Ask(newWaiting(0), start), a.Ask(newWaiting(0), start)
	a.Leave(first, start)
	c.Assert(a.GetState().Waiting, qt.Equals, 1)
	a.Leave(running[0], start)
	_, ok := a.GetDecision(second).(*Granted)
	c.Assert(ok, qt.IsTrue)
	c.Assert(a.GetState(), qt.Equals, State{Running: 4, Limit: 4})
}

// TestRequestWithoutTimeIsRefusedAtOnce guards against holding a request that can't be served
// within its deadline or, in its turn, within its objective.
func TestRequestWithoutTimeIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	a, _ := newFullAdmitter()
	late := newWaiting(0)
	late.Deadline = start.Add(50 * time.Millisecond)
	d, ok := a.GetDecision(a.Ask(late, start)).(*Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(d.Reason, qt.Equals, ReasonDeadline)
	refused := 0
	for range 20 {
		if d, ok := a.GetDecision(a.Ask(newWaiting(0), start)).(*Refused); ok {
			c.Assert(d.Reason, qt.Equals, ReasonNoRoom)
			c.Assert(d.Waited, qt.Equals, time.Duration(0))
			refused++
		}
	}
	// One place becomes free each 100 ms, and 900 ms are left until the latest start.
	c.Assert(refused, qt.Equals, 11)
}

// TestUrgentRequestTakesTurnOfLessUrgent guards urgent requests behind a queue of others.
func TestUrgentRequestTakesTurnOfLessUrgent(t *testing.T) {
	c := qt.New(t)
	a, running := newFullAdmitter()
	low := a.Ask(newWaiting(1), start)
	urgent := a.Ask(newWaiting(0), start)
	a.Release(running[0], start)
	_, ok := a.GetDecision(urgent).(*Granted)
	c.Assert(ok, qt.IsTrue)
	c.Assert(a.GetDecision(low), qt.IsNil)
}

// TestWaitingRequestsAreAnsweredAtStop guards callers whose requests wait when the process
// stops.
func TestWaitingRequestsAreAnsweredAtStop(t *testing.T) {
	c := qt.New(t)
	a, _ := newFullAdmitter()
	waiting := a.Ask(newWaiting(0), start)
	a.Close(start)
	for _, k := range []*Ticket{waiting, a.Ask(newWaiting(0), start)} {
		d, ok := a.GetDecision(k).(*Refused)
		c.Assert(ok, qt.IsTrue)
		c.Assert(d.Reason, qt.Equals, ReasonStopping)
	}
}

// TestReturnsAreSpreadOverExpectedRoom guards against refused callers that all return at the
// same time: in no interval more may return than places become free.
func TestReturnsAreSpreadOverExpectedRoom(t *testing.T) {
	c := qt.New(t)
	var r returns
	random := rand.New(rand.NewPCG(1, 2))
	const perSecond = 40.0
	count := make(map[int]int)
	for range 40 {
		after := r.promise(perSecond, 0, start.Add(8*time.Second), start, random)
		c.Assert(after >= minRetryAfter, qt.IsTrue)
		c.Assert(after <= 8*time.Second/3, qt.IsTrue)
		count[int(after/returnInterval)]++
	}
	for i, n := range count {
		c.Assert(n <= perSecond/10, qt.IsTrue, qt.Commentf("%d in interval %d", n, i))
	}
}

// TestLikesOfRarelyGrantedRequestsGoFirst guards a kind, the large requests of a kind and an
// account that got far fewer places than the others.
func TestLikesOfRarelyGrantedRequestsGoFirst(t *testing.T) {
	c := qt.New(t)
	rare := map[string]func(*Request){
		"kind":    func(r *Request) { r.Kind = "rare" },
		"size":    func(r *Request) { r.Size = 1000 },
		"account": func(r *Request) { r.Account = "rare" },
	}
	for name, change := range rare {
		f := newFairness()
		for i := range 200 {
			r := Request{Kind: "k", Account: "a", Size: 100 + i%10}
			if i%10 == 9 {
				change(&r)
				f.ask(&r, start)
				continue
			}
			isEntitled, _ := f.ask(&r, start)
			c.Assert(isEntitled, qt.IsFalse, qt.Commentf("%s, usual request %d", name, i))
			f.grant(&r, start)
		}
		r := Request{Kind: "k", Account: "a", Size: 100}
		change(&r)
		isEntitled, _ := f.ask(&r, start)
		c.Assert(isEntitled, qt.IsTrue, qt.Commentf("%s", name))
	}
}
