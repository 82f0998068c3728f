//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["silence"] = playSilence }

const (
	// callerPatience is the gap between two events after which callers abandon a stream.
	callerPatience = 2 * time.Second
	// silenceTime is how long a request is preempted, with the passes before and after it
	// less than callerPatience.
	silenceTime = 1750 * time.Millisecond
	// silentStreams is the number of streams, silentEvents that of the events of each, and
	// preemptedBefore the number of the event before which it is preempted.
	silentStreams, silentEvents, preemptedBefore = 3, 28, 8
)

// playSilence stops a gateway by SIGTERM while it relays streams whose requests are preempted
// for less than the callers' patience.
func playSilence(f *fleet) (string, error) {
	if o := f.do(0, call{id: "warm-1", method: http.MethodPost, target: streamPrefix + "warm", tokens: 20}); o.status != http.StatusOK || o.err != nil {
		return "", fmt.Errorf("the fleet does not serve: %v", o)
	}
	time.Sleep(inTouchWindow)
	outcomes := make([]outcome, silentStreams)
	var wg sync.WaitGroup
	for i := range outcomes {
		c := call{id: fmt.Sprintf("stream-%d", i+1), method: http.MethodPost, target: streamPrefix + "s", tokens: silentEvents * stride}
		f.group.mu.Lock()
		f.group.preemptions[c.id] = preemption{preemptedBefore, silenceTime}
		f.group.mu.Unlock()
		wg.Go(func() { outcomes[i] = f.do(0, c) })
	}
	// A request straight to an engine shows what callers would get.
	direct := call{id: "direct-1", method: http.MethodPost, target: streamPrefix + "s", tokens: silentEvents * stride}
	f.group.mu.Lock()
	f.group.preemptions[direct.id] = preemption{preemptedBefore, silenceTime}
	f.group.mu.Unlock()
	var control outcome
	wg.Go(func() { control = f.doDirect(f.group.ranks[0], direct) })
	time.Sleep(200 * time.Millisecond)
	start := time.Now()
	if f.trouble {
		f.add("SIGTERM to gateway-0")
		f.gateways[0].signal(syscall.SIGTERM)
		kill := time.AfterFunc(grace, func() {
			f.add("SIGKILL to gateway-0 after the grace period")
			f.gateways[0].signal(syscall.SIGKILL)
		})
		defer kill.Stop()
	}
	wg.Wait()
	took := time.Since(start)
	f.add("the last stream ended %v after the SIGTERM", took)
	if f.trouble {
		f.gateways[0].wait()
		f.add("gateway-0 has ended")
	}
	if control.err != nil || control.longestGap >= callerPatience {
		return "", fmt.Errorf("the engine's own answer is not whole, or has too long a gap: %v, %v", control, control.longestGap)
	}
	broken := ""
	for i, o := range outcomes {
		id := fmt.Sprintf("stream-%d", i+1)
		if o.status != http.StatusOK || !f.wasRun(id) {
			return "", fmt.Errorf("%w: %s got %v", errNotPlayed, id, o)
		}
		// Without a SIGTERM the rule does not apply. Beyond the callers' patience, it is the
		// caller that leaves.
		if f.trouble && f.wasRun(id) && o.err != nil && o.longestGap < callerPatience && o.endGap < callerPatience {
			broken += fmt.Sprintf("%s: %v, %v after its last event, while its server was at work; ", id, o, o.endGap.Round(time.Millisecond))
		}
	}
	return broken, nil
}

// wasRun reports whether a server ran a request.
func (f *fleet) wasRun(id string) bool {
	f.group.mu.Lock()
	ran := f.group.ran[id]
	f.group.mu.Unlock()
	for _, s := range f.plain {
		s.mu.Lock()
		for _, r := range s.ran {
			ran = ran || r.id == id
		}
		s.mu.Unlock()
	}
	return ran
}
