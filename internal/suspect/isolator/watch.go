// Package isolator finds requests that crash backend servers. After a crash the
// requests that were in flight are suspects; a suspect runs again only on a
// backend server that runs no other suspect, so that a second crash tells which
// one is the culprit.
package isolator

import (
	"context"
	"errors"
	"sync"
	"time"

	"siskinfall/internal/wire/encoder"
)

// Suspicion is how long a suspect or culprit is remembered.
const Suspicion = 5 * time.Minute

// ErrOccupied says that the backend server already runs a suspect.
var ErrOccupied = errors.New("backend server runs another suspect")

// Probe tells the boot id of the backend server, or an error if it is down.
type Probe func(ctx context.Context) (boot string, err error)

// Watch follows what runs on one backend server; it is safe for concurrent use.
type Watch struct {
	instance string
	probe    Probe
	mu       sync.Mutex
	// inFlight counts runs by digest.
	inFlight map[string]int
	// isolated is the only suspect in flight, "" if there is none.
	isolated string
	boot     string
	crashes  uint64
	// pending is the crash that is being looked at, nil if there is none.
	pending *crash
	// last holds the suspects of the latest crash.
	last []*encoder.Suspect
}

// crash is one presumed crash.
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

// Enter registers a run. A suspect is refused while another one runs. The run
// calls leave when it is over, after Broken if its connection broke.
func (w *Watch) Enter(digest []byte, suspect bool) (leave func(), err error) {
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
	return func() { w.leave(key, suspect) }, nil
}

func (w *Watch) leave(key string, suspect bool) {
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

// SetBoot records the boot id seen by a health check.
func (w *Watch) SetBoot(boot string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.boot == "" {
		w.boot = boot
	}
}

// Broken is called by each run whose connection broke. It reports whether the
// backend server has crashed.
func (w *Watch) Broken(ctx context.Context) bool {
	c, first := w.getCrash()
	if first {
		w.look(ctx, c)
	}
	select {
	case <-c.done:
		return c.crashed
	case <-ctx.Done():
		return false
	}
}

// getCrash joins the crash that is being looked at, or begins one with what is
// in flight now.
func (w *Watch) getCrash() (c *crash, first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending != nil {
		return w.pending, false
	}
	c = &crash{isolated: w.isolated, done: make(chan struct{})}
	for key := range w.inFlight {
		c.inFlight = append(c.inFlight, key)
	}
	w.pending = c
	return c, true
}

func (w *Watch) look(ctx context.Context, c *crash) {
	boot, err := w.probe(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	c.crashed = err != nil || w.boot != "" && boot != w.boot
	w.pending = nil
	if c.crashed {
		w.crashes++
		w.last = w.newSuspects(c)
		w.boot = boot
	}
	close(c.done)
}

// newSuspects names the culprit if a suspect ran alone among suspects, else
// everything that was in flight.
func (w *Watch) newSuspects(c *crash) []*encoder.Suspect {
	expires := time.Now().Add(Suspicion).UnixMicro()
	add := func(key string, culprit bool) *encoder.Suspect {
		return &encoder.Suspect{
			Digest: []byte(key), Instance: w.instance, Crash: w.crashes, Culprit: culprit, ExpiresMicros: expires,
		}
	}
	if c.isolated != "" {
		return []*encoder.Suspect{add(c.isolated, true)}
	}
	list := make([]*encoder.Suspect, 0, len(c.inFlight))
	for _, key := range c.inFlight {
		list = append(list, add(key, false))
	}
	return list
}

// GetCrashes returns the number of crashes and the suspects of the latest.
func (w *Watch) GetCrashes() (uint64, []*encoder.Suspect) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashes, w.last
}
