package quarantiner

import (
	"slices"
	"time"
)

// restartTime is less than a server takes to come back. Losses of one server that different
// gateways observed closer together belong to one crash.
const restartTime = time.Second

// Server identifies an incarnation of a backend server. It is comparable.
type Server struct {
	ID string
	// Started differs between incarnations with the same ID. It is in UTC and whole
	// milliseconds.
	Started time.Time
}

// NewServer returns the Server for an incarnation.
func NewServer(id string, started time.Time) Server {
	return Server{ID: id, Started: time.UnixMilli(started.UnixMilli()).UTC()}
}

// LossID identifies a loss among those of all gateways.
type LossID struct {
	// Observer is the gateway that observed the loss, Number counts its losses.
	Observer, Number uint64
}

// Loss is a backend server that was lost while it ran a request, as one gateway saw it.
type Loss struct {
	LossID
	// Server is zero for an announced trial.
	Server Server
	// At is when the server was lost, by the clock of this process. Gateways estimate it
	// from the age that others report; the earliest estimate holds.
	At time.Time
	// InGroup is set if the server was a rank of a model group.
	InGroup bool
	// Explained is set once the request is known not to be the cause, and never unset.
	Explained bool
	// Convicted is set once a gateway takes the part of the prompt for the cause, and never
	// unset. It blocks the part while the loss counts.
	Convicted bool
}

// counts reports whether a loss counts against its request.
func (l *Loss) counts(now time.Time) bool { return !l.Explained && now.Sub(l.At) <= crashTTL }

// countCrashes returns the number of crashes that the losses stand for. Copies of a request
// that run on one server are lost together, perhaps by several gateways, and are one crash.
func (e *entry) countCrashes(now time.Time) int {
	byServer := make(map[Server][]*Loss)
	for _, l := range e.losses {
		if l.counts(now) {
			byServer[l.Server] = append(byServer[l.Server], l)
		}
	}
	n := 0
	for _, losses := range byServer {
		n += countServerCrashes(losses)
	}
	return n
}

// isInGroup reports whether a server that counts was a rank of a model group.
func (e *entry) isInGroup(now time.Time) bool {
	for _, l := range e.losses {
		if l.InGroup && l.counts(now) {
			return true
		}
	}
	return false
}

// getLimit returns the number of crashes after which the request is blocked.
func (e *entry) getLimit(now time.Time) int {
	if e.isInGroup(now) {
		return maxGroupCrashes
	}
	return maxCrashes
}

// countServerCrashes returns the number of crashes of one server. Two losses of one observer
// are two crashes: see hasLossSince.
func countServerCrashes(losses []*Loss) int {
	slices.SortFunc(losses, func(a, b *Loss) int { return a.At.Compare(b.At) })
	n := 0
	var first time.Time
	observers := make(map[uint64]bool)
	for _, l := range losses {
		if n == 0 || observers[l.Observer] || l.At.Sub(first) > restartTime {
			n++
			first = l.At
			clear(observers)
		}
		observers[l.Observer] = true
	}
	return n
}

// hasLossSince reports whether an observer has recorded the loss of a server since a time. A
// run that began before then was lost in the same crash.
func (e *entry) hasLossSince(observer uint64, server Server, since time.Time) bool {
	for _, l := range e.losses {
		if l.Observer == observer && l.Server == server && !l.At.Before(since) {
			return true
		}
	}
	return false
}

// explain marks all losses as not caused by the request, and returns how many counted.
func (e *entry) explain(now time.Time) int {
	n := 0
	for _, l := range e.losses {
		if l.counts(now) {
			n++
		}
		l.Explained = true
	}
	return n
}

func (e *entry) evictOldest() {
	var oldest *Loss
	for _, l := range e.losses {
		if oldest == nil || l.At.Before(oldest.At) {
			oldest = l
		}
	}
	delete(e.losses, oldest.LossID)
}

// getLatest returns the time of the latest loss that counts.
func (e *entry) getLatest(now time.Time) time.Time {
	var latest time.Time
	for _, l := range e.losses {
		if l.counts(now) && l.At.After(latest) {
			latest = l.At
		}
	}
	return latest
}
