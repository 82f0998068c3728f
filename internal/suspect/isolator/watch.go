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

// SuspectTTL is how long a suspect or culprit is kept.
const SuspectTTL = 5 * time.Minute

// ErrOccupied is returned for a suspect if the backend server already runs one.
var ErrOccupied = errors.New("backend server runs another suspect")

// Probe returns the boot ID of the backend server, which changes with each restart,
// or an error if the backend server does not answer within the probe's own timeout.
type Probe func(ctx context.Context) (boot string, err error)

// Monitor tracks the runs on a backend server and detects its crashes; it is safe
// for concurrent use.
type Monitor struct {
	instance string
	probe    Probe
	mu       sync.Mutex
	// inFlight holds the number of runs in flight by digest.
	inFlight map[string]int
	// isolated is the digest of the suspect in flight, empty if there is none.
	isolated string
	// boot is the boot ID with which the runs in flight began, empty before the first
	// health check and after a crash.
	boot string
	// isRestarting is set by a crash after which the backend server did not answer, until a
	// health check has seen it again.
	isRestarting bool
	crashes      uint64
	// pendingCrash is the presumed crash that is being probed, nil if there is none.
	// latestCrash was probed and found to be one, nil before the first.
	pendingCrash, latestCrash *crash
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

// NewMonitor returns a Monitor for the backend server of an instance.
func NewMonitor(instance string, probe Probe) *Monitor {
	return &Monitor{instance: instance, probe: probe, inFlight: make(map[string]int)}
}

// Run is one run on the backend server, from StartRun to Finish.
type Run struct {
	*Monitor
	digest  string
	suspect bool
	// crashesBefore counts the crashes that were detected before the run.
	crashesBefore uint64
	// IsUnseen is set if the backend server has crashed and was not seen since. Its boot ID
	// is unknown, so that it could crash again unnoticed: the request must not be handed
	// over.
	IsUnseen bool
}

// StartRun registers a run. It returns ErrOccupied for a suspect while another one
// runs. Finish must be called when the run ends; if its connection broke, DetectCrash
// must be called first.
func (m *Monitor) StartRun(digest []byte, suspect bool) (*Run, error) {
	key := string(digest)
	m.mu.Lock()
	defer m.mu.Unlock()
	if suspect && m.isolated != "" {
		return nil, ErrOccupied
	}
	if suspect {
		m.isolated = key
	}
	m.inFlight[key]++
	return &Run{Monitor: m, digest: key, suspect: suspect, crashesBefore: m.crashes, IsUnseen: m.isRestarting}, nil
}

// Finish ends the run.
func (r *Run) Finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[r.digest]--
	if r.inFlight[r.digest] == 0 {
		delete(r.inFlight, r.digest)
	}
	if r.suspect {
		r.isolated = ""
	}
}

// SetBoot records the boot ID seen by a health check. With runs in flight, it keeps the
// one already recorded, by which they detect a crash.
func (m *Monitor) SetBoot(boot string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isRestarting = false
	if m.boot == "" || len(m.inFlight) == 0 {
		m.boot = boot
	}
}

// DetectCrash must be called by each run whose connection broke. It probes the
// backend server, once for concurrent calls, and reports whether it has crashed, that
// is, does not answer or has another boot ID. A crash that another run has detected
// since this one began is not probed again. It returns false if ctx ends while another
// call probes.
func (r *Run) DetectCrash(ctx context.Context) bool {
	c, isFirst := r.joinCrash()
	if isFirst {
		r.probeCrash(ctx, c)
	}
	select {
	case <-c.done:
		return c.crashed
	case <-ctx.Done():
		return false
	}
}

// joinCrash returns the crash that was detected since the run began, or the pending one,
// or starts one with the runs in flight and returns true.
func (r *Run) joinCrash() (c *crash, isFirst bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashes != r.crashesBefore {
		return r.latestCrash, false
	}
	if r.pendingCrash != nil {
		return r.pendingCrash, false
	}
	c = &crash{isolated: r.isolated, done: make(chan struct{})}
	for key := range r.inFlight {
		c.inFlight = append(c.inFlight, key)
	}
	r.pendingCrash = c
	return c, true
}

func (m *Monitor) probeCrash(ctx context.Context, c *crash) {
	// The probe bounds itself. It is made for all runs of the crash, and the caller of this
	// one may leave meanwhile.
	boot, err := m.probe(context.WithoutCancel(ctx))
	m.mu.Lock()
	defer m.mu.Unlock()
	c.crashed = err != nil || m.boot != "" && boot != m.boot
	m.pendingCrash = nil
	if c.crashed {
		m.crashes++
		m.latestCrash = c
		m.lastSuspects = m.newSuspects(c)
		m.boot, m.isRestarting = boot, err != nil
	}
	close(c.done)
}

// newSuspects returns the isolated suspect as the culprit, or, if there was none, the
// requests of all runs in flight as suspects.
func (m *Monitor) newSuspects(c *crash) []*encoder.Suspect {
	expires := time.Now().Add(SuspectTTL).UnixMicro()
	newSuspect := func(key string, culprit bool) *encoder.Suspect {
		return &encoder.Suspect{
			Digest: []byte(key), Instance: m.instance, Crash: m.crashes, Culprit: culprit, ExpiresMicros: expires,
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
func (m *Monitor) GetCrashes() (uint64, []*encoder.Suspect) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashes, m.lastSuspects
}
