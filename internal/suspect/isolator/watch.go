// Package isolator finds poison requests, which crash the backend servers that run
// them. After a crash, the requests that were in flight are suspects. A suspect is
// retried only on a backend server that runs no other suspect, so that a second
// crash identifies the culprit.
package isolator

import (
	"context"
	"errors"
	"sync"
	"time"

	"siskinfall/internal/wire/encoder"
)

// Suspicion is the TTL of a suspect or culprit.
const Suspicion = 5 * time.Minute

// ErrOccupied is returned for a suspect if the backend server already runs one.
var ErrOccupied = errors.New("backend server runs another suspect")

// Probe returns the boot ID of the backend server, which changes with each restart,
// or an error if the backend server does not answer.
type Probe func(ctx context.Context) (boot string, err error)

// Watch tracks the runs on a backend server and detects its crashes; it is safe for
// concurrent use.
type Watch struct {
	instance string
	probe    Probe
	mu       sync.Mutex
	// inFlight holds the number of runs in flight by digest.
	inFlight map[string]int
	// isolated is the digest of the suspect in flight, empty if there is none.
	isolated string
	boot     string
	crashes  uint64
	// pendingCrash is the presumed crash that is being probed, nil if there is none.
	pendingCrash *crash
	// lastSuspects holds the suspects, or the culprit, of the latest crash.
	lastSuspects []*encoder.Suspect
}

// crash is a presumed crash with the digests that were in flight.
type crash struct {
	inFlight []string
	isolated string
	done     chan struct{}
	// crashed is valid once done is closed.
	crashed bool
}

// NewWatch returns a Watch for the backend server of an instance.
func NewWatch(instance string, probe Probe) *Watch {
	return &Watch{instance: instance, probe: probe, inFlight: make(map[string]int)}
}

// Enter registers a run. It returns ErrOccupied for a suspect while another one
// runs. The run must call finish when it ends; if its connection broke, it must call
// Broken first.
func (w *Watch) Enter(digest []byte, suspect bool) (finish func(), err error) {
	key := string(digest)
	w.mu.Lock()
	defer w.mu.Unlock()
	if suspect && w.isolated != "" {
		return nil, ErrOccupied
	}
	if suspect {
		w.isolated = key
	}
	w.inFlight[key]++
	return func() { w.finish(key, suspect) }, nil
}

func (w *Watch) finish(key string, suspect bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight[key]--
	if w.inFlight[key] == 0 {
		delete(w.inFlight, key)
	}
	if suspect {
		w.isolated = ""
	}
}

// SetBoot records the boot ID seen by a health check, unless one is already recorded.
func (w *Watch) SetBoot(boot string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.boot == "" {
		w.boot = boot
	}
}

// Broken must be called by each run whose connection broke. It probes the backend
// server, once for concurrent calls, and reports whether it has crashed.
func (w *Watch) Broken(ctx context.Context) bool {
	c, isFirst := w.joinCrash()
	if isFirst {
		w.probeCrash(ctx, c)
	}
	select {
	case <-c.done:
		return c.crashed
	case <-ctx.Done():
		return false
	}
}

// joinCrash returns the pending crash, or starts one with the runs in flight and
// returns true.
func (w *Watch) joinCrash() (c *crash, isFirst bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pendingCrash != nil {
		return w.pendingCrash, false
	}
	c = &crash{isolated: w.isolated, done: make(chan struct{})}
	for key := range w.inFlight {
		c.inFlight = append(c.inFlight, key)
	}
	w.pendingCrash = c
	return c, true
}

func (w *Watch) probeCrash(ctx context.Context, c *crash) {
	boot, err := w.probe(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	c.crashed = err != nil || w.boot != "" && boot != w.boot
	w.pendingCrash = nil
	if c.crashed {
		w.crashes++
		w.lastSuspects = w.newSuspects(c)
		w.boot = boot
	}
	close(c.done)
}

// newSuspects returns the isolated suspect as the culprit, or if there was none, all
// runs in flight as suspects.
func (w *Watch) newSuspects(c *crash) []*encoder.Suspect {
	expires := time.Now().Add(Suspicion).UnixMicro()
	newSuspect := func(key string, culprit bool) *encoder.Suspect {
		return &encoder.Suspect{
			Digest: []byte(key), Instance: w.instance, Crash: w.crashes, Culprit: culprit, ExpiresMicros: expires,
		}
	}
	if c.isolated != "" {
		return []*encoder.Suspect{newSuspect(c.isolated, true)}
	}
	list := make([]*encoder.Suspect, 0, len(c.inFlight))
	for _, key := range c.inFlight {
		list = append(list, newSuspect(key, false))
	}
	return list
}

// GetCrashes returns the number of crashes and the suspects of the latest.
func (w *Watch) GetCrashes() (uint64, []*encoder.Suspect) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashes, w.lastSuspects
}
