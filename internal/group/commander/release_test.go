package commander

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/process/sleeper"
)

const (
	// takeoverTime is at most how long another leader leads before the first one returns.
	takeoverTime = 4 * time.Second
	// firstHoldTimeout and nextHoldTimeout bound the time until a leader holds a pass; one
	// that finds a map armed in an idle group holds none.
	firstHoldTimeout = 5 * time.Second
	nextHoldTimeout  = 1500 * time.Millisecond
	// parallelSeeds is the number of seeds that are played at the same time.
	parallelSeeds = 4
	// repairTime is more than late orders take to be carried out.
	repairTime = 14 * time.Second
)

// process is the transport of a leader whose process can be killed.
type process struct {
	*fakeGroup
	killed context.Context
}

var errKilled = errors.New("process was killed")

// Send implements Transport. A process that is killed sends nothing more; what it has sent
// may still be carried out.
func (p process) Send(ctx context.Context, engine netip.AddrPort, d Directive) error {
	if p.killed.Err() != nil {
		return errKilled
	}
	err := p.fakeGroup.Send(ctx, engine, d)
	// The answer is on its way.
	sleeper.Sleep(ctx, time.Millisecond)
	return err
}

// startProcess runs a leader in a process of its own until the returned function kills it.
func startProcess(ctx context.Context, wg *sync.WaitGroup, g *fakeGroup, rank int, seed uint64, hasDemand bool) context.CancelFunc {
	ctx, kill := context.WithCancel(ctx)
	wg.Go(func() { lead(ctx, process{fakeGroup: g, killed: ctx}, rank, rand.New(rand.NewPCG(seed, 3)), hasDemand) })
	return kill
}

// awaitHold waits until a rank has accepted a hold, before the leader hears of it, or until
// the timeout.
func (g *fakeGroup) awaitHold(ctx context.Context, timeout time.Duration) {
	held, accepted := context.WithTimeout(ctx, timeout)
	defer accepted()
	g.mu.Lock()
	g.onHold = accepted
	g.mu.Unlock()
	<-held.Done()
}

func (g *fakeGroup) setIdle(idle bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle = idle
}

// killHolder kills the leader that holds a pass while the group falls idle. Another leader ends
// the hold, then the first one leads again, and the group is busy soon after its next hold.
func killHolder(ctx context.Context, wg *sync.WaitGroup, g *fakeGroup, rng *rand.Rand) {
	first := rng.IntN(testRanks)
	second := (first + 1 + rng.IntN(testRanks-1)) % testRanks
	kill := startProcess(ctx, wg, g, first, rng.Uint64(), true)
	g.awaitHold(ctx, firstHoldTimeout)
	if rng.IntN(4) == 0 {
		// The first rank may be armed.
		sleeper.Sleep(ctx, time.Duration(rng.IntN(5))*time.Millisecond)
	}
	kill()
	g.setIdle(true)
	g.setFaults(faults{armDelayed: 0.4 + 0.3*rng.Float64(), releaseDelayed: 0.4 + 0.4*rng.Float64(), orderLost: 0.05 * rng.Float64()})

	kill = startProcess(ctx, wg, g, second, rng.Uint64(), false)
	sleeper.Sleep(ctx, time.Second+time.Duration(rng.Int64N(int64(takeoverTime))))
	kill()
	kill = startProcess(ctx, wg, g, first, rng.Uint64(), true)
	g.awaitHold(ctx, nextHoldTimeout)
	sleeper.Sleep(ctx, time.Duration(rng.IntN(200))*time.Millisecond)
	g.setIdle(false)
	sleeper.Sleep(ctx, time.Second)
	kill()
	g.setFaults(faults{})
}

// runKilledHolders kills holders in turn and returns the group after a period without faults.
func runKilledHolders(t *testing.T, seed uint64) *fakeGroup {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 4))
	g := newFakeGroup(seed, faults{})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { g.run(ctx) })
	for range 3 {
		killHolder(ctx, &wg, g, rng)
	}
	startProcess(ctx, &wg, g, 0, rng.Uint64(), false)
	sleeper.Sleep(ctx, repairTime)
	g.assertProgress(ctx, 5*time.Second)
	cancel()
	wg.Wait()
	return g
}

// TestLateReleaseOfEarlierLeaderEndsNoLaterHold guards against a release or an arm that is
// carried out late, under the hold of a leader that was restarted since.
func TestLateReleaseOfEarlierLeaderEndsNoLaterHold(t *testing.T) {
	c := qt.New(t)
	first, seeds := drawSeeds(t, 1000)
	var changes, failed atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for part := range parallelSeeds {
			t.Run(fmt.Sprint(part), func(t *testing.T) {
				t.Parallel()
				for i := part; i < seeds; i += parallelSeeds {
					seed := uint64(first + i)
					synctest.Test(t, func(t *testing.T) {
						g := runKilledHolders(t, seed)
						if g.violation != "" {
							failed.Add(1)
							t.Logf("seed %d: %s\n%s", seed, g.violation, strings.Join(g.trace, "\n"))
						}
						changes.Add(int64(g.changes))
					})
				}
			})
		}
	})
	t.Logf("%d seeds, %d failed, %d changes in force", seeds, failed.Load(), changes.Load())
	c.Assert(failed.Load(), qt.Equals, int64(0))
	c.Assert(changes.Load() > int64(seeds), qt.IsTrue)
}
