package commander

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"siskinfall/internal/group/shifter"
	"siskinfall/internal/process/sleeper"
)

// fakeRank is one engine that checks orders exactly as strictly as the real ones.
type fakeRank struct {
	version         uint64
	experts         [][]int
	highestVersion  uint64
	sequence        uint64
	busy            bool
	prepared        *uint64
	preparedExperts [][]int
	armed           *Armed
	held            *uint64
}

// faults are the probabilities of faults, per order or read. armDelayed and releaseDelayed
// are added to orderDelayed for orders of these kinds.
type faults struct {
	orderLost, answerLost, orderDelayed, senderStalled, readStale, readLost float64
	armDelayed, releaseDelayed                                              float64
}

// delayed returns the probability that an order is carried out late, without an answer.
func (f faults) delayed(o Order) float64 {
	switch o.(type) {
	case Arm:
		return f.orderDelayed + f.armDelayed
	case Release:
		return f.orderDelayed + f.releaseDelayed
	}
	return f.orderDelayed
}

// fakeGroup runs its ranks in lock-step and records a violation if a pass begins under
// two maps.
type fakeGroup struct {
	mu     sync.Mutex
	rng    *rand.Rand
	faults faults
	epoch  uint64
	step   uint64
	idle   bool
	// broken is true while the group can't run passes. Its engines still carry out orders.
	broken bool
	// stepsRestart is true if each epoch counts its passes from 0.
	stepsRestart bool
	ranks        []*fakeRank
	// history holds the states from which stale reads are answered.
	history   [][]Status
	violation string
	// changes counts the maps that came into force.
	changes int
	// onHold is called when a rank has accepted a hold.
	onHold func()
	// trace holds the latest orders carried out, up to the violation.
	trace []string
}

func newFakeGroup(seed uint64, f faults) *fakeGroup {
	g := &fakeGroup{rng: rand.New(rand.NewPCG(seed, 1)), faults: f, epoch: 1}
	for r := range testRanks {
		g.ranks = append(g.ranks, &fakeRank{experts: rankExperts(randomPlacement(rand.New(rand.NewPCG(1, 1))), r)})
	}
	return g
}

func rankAddr(rank int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(rank + 1)}), 9000)
}

func randomPlacement(rng *rand.Rand) shifter.Placement {
	p := make(shifter.Placement, 1)
	p[0] = make([][]int, testRanks)
	for i, e := range rng.Perm(testExperts) {
		p[0][i%testRanks] = append(p[0][i%testRanks], e)
	}
	return p
}

func rankExperts(p shifter.Placement, rank int) [][]int { return [][]int{p[0][rank]} }

// drawFault reports whether a fault happens.
func (g *fakeGroup) drawFault(probability func(faults) float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Float64() < probability(g.faults)
}

func (g *fakeGroup) setFaults(f faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

func (g *fakeGroup) randomDuration(from, to time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return from + time.Duration(g.rng.Int64N(int64(to-from)))
}

// run begins passes until ctx ends.
func (g *fakeGroup) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, passTime)
		g.mu.Lock()
		g.pass()
		g.mu.Unlock()
	}
}

func (g *fakeGroup) pass() {
	if g.idle || g.broken {
		return
	}
	for _, r := range g.ranks {
		if r.held != nil && *r.held <= g.step+1 {
			return
		}
	}
	g.step++
	for i, r := range g.ranks {
		if r.armed != nil && r.armed.Step == g.step {
			r.version, r.experts, r.armed = r.armed.Version, r.preparedExperts, nil
			if i == 0 {
				g.changes++
			}
		}
	}
	seen := make(map[int]bool)
	for i, r := range g.ranks {
		if r.version != g.ranks[0].version {
			g.violation = fmt.Sprintf("pass %d: rank %d has version %d, rank 0 %d", g.step, i, r.version, g.ranks[0].version)
		}
		for _, e := range r.experts[0] {
			if seen[e] {
				g.violation = fmt.Sprintf("pass %d: version %d has expert %d twice", g.step, r.version, e)
			}
			seen[e] = true
		}
	}
	if len(seen) != testExperts {
		g.violation = fmt.Sprintf("pass %d: version %d has %d of %d experts", g.step, g.ranks[0].version, len(seen), testExperts)
	}
}

// restart begins a new epoch, as after a rank has rejoined.
func (g *fakeGroup) restart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
	g.broken = false
	if g.stepsRestart {
		g.step = 0
	}
	for r, old := range g.ranks {
		g.ranks[r] = &fakeRank{experts: rankExperts(randomPlacement(rand.New(rand.NewPCG(1, 1))), r), sequence: old.sequence, highestVersion: old.highestVersion}
	}
}

func (g *fakeGroup) status(rank int) Status {
	r := g.ranks[rank]
	s := Status{
		Addr: rankAddr(rank), Group: "g", Epoch: g.epoch, Rank: rank, Size: testRanks, Broken: g.broken, Step: g.step, Version: r.version,
		Busy: r.busy, Sequence: r.sequence, Running: 1, Slowness: 1, Experts: r.experts,
	}
	if r.prepared != nil {
		v := *r.prepared
		s.Prepared = &v
		s.PreparedDigest = DigestLists(r.preparedExperts)
	}
	if r.armed != nil {
		a := *r.armed
		s.Armed = &a
	}
	if r.held != nil {
		v := *r.held
		s.Held = &v
	}
	return s
}

// recordHistory keeps states for stale reads, until ctx ends.
func (g *fakeGroup) recordHistory(ctx context.Context) {
	for ctx.Err() == nil {
		g.mu.Lock()
		statuses := make([]Status, testRanks)
		for r := range g.ranks {
			statuses[r] = g.status(r)
		}
		g.history = append(g.history, statuses)
		if len(g.history) > 20 {
			g.history = g.history[1:]
		}
		g.mu.Unlock()
		sleeper.Sleep(ctx, 10*time.Millisecond)
	}
}

// Read implements Transport.
func (g *fakeGroup) Read(ctx context.Context, engine netip.AddrPort, _ Query) (*Status, error) {
	sleeper.Sleep(ctx, g.randomDuration(time.Millisecond, 4*time.Millisecond))
	if g.drawFault(func(f faults) float64 { return f.readLost }) {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	rank := int(engine.Addr().As4()[3]) - 1
	stale := g.drawFault(func(f faults) float64 { return f.readStale })
	g.mu.Lock()
	defer g.mu.Unlock()
	if stale && len(g.history) > 0 {
		s := g.history[0][rank]
		s.Lagged = true
		return &s, nil
	}
	s := g.status(rank)
	return &s, nil
}

var errNoAnswer = errors.New("no answer")

// Announce implements Transport.
func (*fakeGroup) Announce(context.Context, []netip.AddrPort, Prepare, uint64) {}

// Send implements Transport.
func (g *fakeGroup) Send(ctx context.Context, engine netip.AddrPort, d Directive) error {
	rank := int(engine.Addr().As4()[3]) - 1
	if g.drawFault(func(f faults) float64 { return f.senderStalled }) {
		// The sender stalls between its decision and its order.
		time.Sleep(g.randomDuration(100*time.Millisecond, 3*time.Second))
	}
	switch {
	case g.drawFault(func(f faults) float64 { return f.orderLost }):
		<-ctx.Done()
		return errNoAnswer
	case g.drawFault(func(f faults) float64 { return f.delayed(d.Order) }):
		wait := g.randomDuration(2*time.Second, 12*time.Second)
		go func() {
			time.Sleep(wait)
			_ = g.apply(rank, d)
		}()
		<-ctx.Done()
		return errNoAnswer
	}
	time.Sleep(g.randomDuration(time.Millisecond, 4*time.Millisecond))
	err := g.apply(rank, d)
	if g.drawFault(func(f faults) float64 { return f.answerLost }) {
		<-ctx.Done()
		return errNoAnswer
	}
	return err
}

// apply carries out an order at one rank.
func (g *fakeGroup) apply(rank int, d Directive) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[rank]
	g.traceOrder(rank, d)
	if d.Epoch != g.epoch || d.Sequence != nil && *d.Sequence != r.sequence {
		return ErrConflict
	}
	switch o := d.Order.(type) {
	case Prepare:
		return g.prepare(rank, o)
	case Arm:
		if r.armed != nil && *r.armed == o.Armed {
			return nil
		}
		if r.prepared == nil || *r.prepared != o.Version || o.Step <= g.step || r.armed != nil {
			return ErrConflict
		}
		a := o.Armed
		r.armed = &a
	case Disarm:
		if r.version == o.Version {
			return ErrConflict
		}
		r.armed = nil
	case Hold:
		if o.Step <= g.step || r.held != nil && *r.held != o.Step {
			return ErrConflict
		}
		v := o.Step
		r.held = &v
		if g.onHold != nil {
			g.onHold()
		}
	case Release:
		if r.held != nil && *r.held == o.Step {
			r.held = nil
		}
	}
	return nil
}

// traceOrder records an order and the state of its rank, until there is a violation.
func (g *fakeGroup) traceOrder(rank int, d Directive) {
	const maxTrace = 80
	if g.violation != "" {
		return
	}
	if len(g.trace) == maxTrace {
		g.trace = g.trace[1:]
	}
	sequence := ""
	if d.Sequence != nil {
		sequence = fmt.Sprintf(" at sequence %d", *d.Sequence)
	}
	g.trace = append(g.trace, fmt.Sprintf("%s pass %d epoch %d/%d: %T %v%s to %s", time.Now().Format("04:05.000"), g.step, d.Epoch, g.epoch,
		d.Order, d.Order, sequence, describeRank(g.status(rank))))
}

func (g *fakeGroup) prepare(rank int, o Prepare) error {
	r := g.ranks[rank]
	if o.Version <= r.highestVersion || r.armed != nil {
		return ErrConflict
	}
	// The users' engines do not count orders about maps in their sequence.
	r.highestVersion, r.busy = o.Version, true
	experts := rankExperts(o.Placement, rank)
	epoch := g.epoch
	go func() {
		time.Sleep(copyTime)
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.epoch != epoch || r.highestVersion != o.Version {
			return
		}
		r.busy = false
		// A rank that is armed with the previous map keeps that one.
		if r.armed == nil {
			v := o.Version
			r.prepared, r.preparedExperts = &v, experts
		}
	}()
	return nil
}
