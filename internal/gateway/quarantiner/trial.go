package quarantiner

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// announceTime is the time between the announcement of a trial and the trial. Every
	// gateway that answers learns of the trial before, so that it is not repeated if this
	// one ends while it lasts.
	announceTime = 1500 * time.Millisecond
	// announceTTL is how long the request may take to come again after that.
	announceTTL = 10 * time.Second
)

// trialPauses are the times after the latest crash of a blocked request at which it is tried
// once more, in case its servers were lost for another reason. A request that crashes the
// server of each trial is blocked until its crashes expire.
// A trial in a model group may stop it once more, so it is made when the caller of an innocent
// request is likely to come again, not while the others still return.
var (
	trialPauses      = [...]time.Duration{5 * time.Second, 30 * time.Second}
	groupTrialPauses = [...]time.Duration{30 * time.Second, 2 * time.Minute}
)

// Verdict says what may be done with a request.
type Verdict int

// Verdicts.
const (
	// Clear requests may be sent.
	Clear Verdict = iota
	// Blocked requests must not be sent.
	Blocked
	// Trial requests would be blocked, but this one may be sent once.
	Trial
)

// fleet holds the gateways as this one sees them.
type fleet struct {
	own    netip.AddrPort
	others []netip.AddrPort
	// isCut is set while a gateway that may be running does not answer.
	isCut bool
}

// SetFleet updates the gateways that answer, without this one. isCut is set while others
// that may be running do not answer: they may make a trial of their own.
func (s *Set) SetFleet(own netip.AddrPort, others []netip.AddrPort, isCut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet = fleet{own: own, others: others, isCut: isCut}
}

// trial is a trial that this gateway has announced.
type trial struct {
	// loss is the announcement. It counts as a crash until the trial is over.
	loss *Loss
	// isSpent is set once the request was admitted.
	isSpent bool
}

// Admit returns what may be done with a request of a caller. Of all gateways, one admits a
// trial of a blocked request, and announces it first. After a trial, EndTrial must be called.
func (s *Set) Admit(digest uint64, now time.Time) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[digest]
	if e == nil {
		return Clear
	}
	crashes := e.countCrashes(now)
	switch {
	case crashes < e.getLimit(now):
		return Clear
	case e.trial != nil:
		return e.admitTrial(now)
	case s.isTrialDue(digest, e, crashes-e.getLimit(now), now):
		e.trial = &trial{loss: s.addOwn(digest, Server{}, now)}
	}
	return Blocked
}

// isTrialDue reports whether this gateway is to announce a trial after a number of earlier
// ones.
func (s *Set) isTrialDue(digest uint64, e *entry, trials int, now time.Time) bool {
	pauses := trialPauses
	if e.isInGroup(now) {
		pauses = groupTrialPauses
	}
	return trials < len(pauses) && now.Sub(e.getLatest(now)) >= pauses[trials] && !s.fleet.isCut && s.fleet.isOwner(digest)
}

// admitTrial returns Trial once for an announced trial.
func (e *entry) admitTrial(now time.Time) Verdict {
	age := now.Sub(e.trial.loss.At)
	switch {
	case e.trial.isSpent || age < announceTime:
		return Blocked
	case age > announceTime+announceTTL:
		e.retractTrial()
		return Blocked
	}
	e.trial.isSpent = true
	return Trial
}

// EndTrial ends a trial. wasSent is false if no server has got the request.
func (s *Set) EndTrial(digest uint64, wasSent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[digest]
	if e == nil || e.trial == nil {
		return
	}
	if !wasSent {
		e.retractTrial()
	}
	// What became of a server that got the request may be unknown: the announcement counts.
	e.trial = nil
}

// retractTrial ends a trial whose announcement no longer counts.
func (e *entry) retractTrial() {
	e.trial.loss.Explained = true
	e.trial = nil
}

// isOwner reports whether this gateway makes the trials of a request. All gateways that see
// the same ones agree on the owner.
func (f *fleet) isOwner(digest uint64) bool {
	own := weigh(digest, f.own)
	for _, addr := range f.others {
		if weigh(digest, addr) > own {
			return false
		}
	}
	return true
}

// weigh returns the weight of a gateway for a request; the highest makes its trials.
func weigh(digest uint64, addr netip.AddrPort) uint64 {
	text := addr.String()
	return xxhash.Sum64(append(binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(text)), digest), text...))
}
