//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["map"] = playMap }

const (
	// restartDelay is how long a killed sidecar is away.
	restartDelay = 1500 * time.Millisecond
	// settleTime is more than a new leader takes to read the counts once.
	settleTime = 2200 * time.Millisecond
	// minLate and maxLate bound how much later an unanswered order is carried out.
	minLate, maxLate = 2 * time.Second, 12 * time.Second
	// passesAhead is how many passes ahead a leader holds that has lost no order.
	passesAhead = 2
	// maxLostArms bounds the orders to arm that get no answer, all of one rank.
	maxLostArms = 3
	// repairTime is many rounds of a leader.
	repairTime = 5 * time.Second
	// shortEvents is the number of events of the short request without trouble.
	shortEvents = 2
)

var errNoChange = errors.New("the leader did not change the map")

// lateOrder is an order without an answer.
type lateOrder struct {
	*rank
	order
	at time.Time
}

// mapCase follows the orders to the group.
type mapCase struct {
	*fleet
	mu sync.Mutex
	// phase counts what has happened so far.
	phase mapPhase
	// heldPass is the pass that the first leader held.
	heldPass uint64
	release  *lateOrder
	// unanswered and arrived count the orders.
	unanswered, arrived int
	held, done          chan struct{}
	armsLost            int
}

type mapPhase int

const (
	// firstChange: the first leader makes its change.
	firstChange mapPhase = iota
	// leaderKilled: it was killed while it held a pass.
	leaderKilled
	// released: another leader has released that pass.
	released
	// heldAgain: the restarted leader holds the same pass.
	heldAgain
)

// playMap kills the leader while it holds a pass. Another leader releases the pass, and one of
// its two orders to do so is carried out later, when the restarted leader holds the same pass
// for its next change.
func playMap(f *fleet) (string, error) {
	c := &mapCase{fleet: f, held: make(chan struct{}), done: make(chan struct{})}
	time.Sleep(inTouchWindow)
	f.group.mu.Lock()
	f.group.onOrder, f.group.onCarriedOut = c.onOrder, c.onCarriedOut
	f.group.mu.Unlock()
	// The first requests show which experts are in demand.
	f.serve("first", 8, 2*stride)
	if !f.trouble {
		time.Sleep(10 * time.Second)
		f.serve("short", 1, shortEvents*stride)
		time.Sleep(3 * time.Second)
		served := f.serve("last", 8, 8*stride)
		return f.judge(served)
	}
	if !waitFor(c.held, 10*time.Second) {
		return f.brokenMap(), errNoChange
	}
	time.Sleep(restartDelay)
	if err := f.sidecars[0].start(); err != nil {
		return "", err
	}
	time.Sleep(settleTime)
	if err := c.serveShort(); err != nil {
		return "", err
	}
	if !waitFor(c.done, 5*time.Second) {
		f.add("the restarted leader did not hold the same pass")
		c.carryOutRelease()
	}
	f.serve("last", 8, 8*stride)
	time.Sleep(repairTime)
	served := f.serve("after", 8, 8*stride)
	c.mu.Lock()
	defer c.mu.Unlock()
	f.add("%d of %d orders were left without an answer", c.unanswered, c.arrived)
	if c.phase < released && f.brokenMap() == "" {
		return "", fmt.Errorf("%w: no leader has released the pass", errNotPlayed)
	}
	return f.judge(served)
}

// judge returns what broke the rule. If nothing did, the requests must have been served, and
// the map must have changed.
func (f *fleet) judge(served int) (string, error) {
	if broken := f.brokenMap(); broken != "" {
		return broken, nil
	}
	f.group.mu.Lock()
	version := f.group.ranks[0].version
	f.group.mu.Unlock()
	if served == 0 || version == 0 {
		return "", fmt.Errorf("%w: %d requests served, map %d", errNotPlayed, served, version)
	}
	return "", nil
}

// serveShort sends one request with as many passes as are left until a leader would hold the
// same pass: one for its prompt, and one for each event.
func (c *mapCase) serveShort() error {
	c.group.mu.Lock()
	step := c.group.step
	c.group.mu.Unlock()
	passes := int(c.heldPass) - passesAhead - int(step)
	if passes < 2 {
		return fmt.Errorf("%w in time: pass %d held at pass %d", errNoChange, c.heldPass, step)
	}
	c.serve("short", 1, (passes-1)*stride)
	return nil
}

func (f *fleet) brokenMap() string {
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	return f.group.broken
}

func waitFor(ch chan struct{}, d time.Duration) bool {
	select {
	case <-ch:
		return true
	case <-time.After(d):
		return false
	}
}

// serve sends requests at the same time and waits for the answers. It returns the number of
// those that were served.
func (f *fleet) serve(name string, n, tokens int) int {
	var wg sync.WaitGroup
	var served atomic.Int32
	for i := range n {
		wg.Go(func() {
			o := f.do(i%gatewayCount, call{id: fmt.Sprintf("%s-%d", name, i+1), method: http.MethodPost, target: streamPrefix + name, tokens: tokens})
			if o.err == nil && o.status == http.StatusOK {
				served.Add(1)
			}
		})
	}
	wg.Wait()
	return int(served.Load())
}

// onOrder chooses the orders that get no answer.
func (c *mapCase) onOrder(r *rank, o order) fate {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrived++
	if !c.trouble || !c.isLost(r, o) {
		return answered
	}
	c.unanswered++
	l := &lateOrder{rank: r, order: o, at: time.Now()}
	if o.Op == "go" {
		c.release = l
	} else {
		time.AfterFunc(minLate, l.carryOutLate)
	}
	return late
}

func (c *mapCase) isLost(r *rank, o order) bool {
	switch {
	case c.phase == firstChange && c.unanswered == 0 && o.Op == "prepare" && r.i == 3:
		return true
	case c.phase == leaderKilled && o.Op == "go" && c.release == nil:
		return true
	case c.phase == heldAgain && o.Op == "arm" && r.i == rankCount-1 && c.armsLost < maxLostArms:
		c.armsLost++
		return true
	}
	return false
}

// carryOutRelease carries out the late release although the pass is not held again.
func (c *mapCase) carryOutRelease() {
	c.mu.Lock()
	l := c.release
	c.release = nil
	c.mu.Unlock()
	if l != nil {
		l.carryOutLate()
	}
}

func (l *lateOrder) carryOutLate() {
	l.carryOut(l.order, fmt.Sprintf(", %.1f s late", time.Since(l.at).Seconds()))
}

// onCarriedOut follows the case.
func (c *mapCase) onCarriedOut(r *rank, o order, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok := status < http.StatusBadRequest
	switch {
	case !c.trouble || !ok || r.i != 0:
	case c.phase == firstChange && o.Op == "hold":
		c.phase, c.heldPass = leaderKilled, o.Step
		c.add("SIGKILL to sidecar-0, which holds pass %d", o.Step)
		c.sidecars[0].signal(syscall.SIGKILL)
		close(c.held)
	case c.phase == leaderKilled && o.Op == "go" && c.release != nil:
		c.phase = released
	case c.phase == released && o.Op == "hold" && o.Step == c.heldPass:
		c.phase = heldAgain
		c.add("the restarted leader holds pass %d again", o.Step)
	case c.phase == heldAgain && o.Op == "arm" && c.release != nil:
		age := time.Since(c.release.at)
		if age < minLate || age > maxLate {
			c.add("the late order is too young or too old: %v", age)
			return
		}
		go func(l *lateOrder) {
			l.carryOutLate()
			close(c.done)
		}(c.release)
		c.release = nil
	}
}
