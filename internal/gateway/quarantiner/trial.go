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

// Admit returns what may be done with a request of a caller that has some parts in its
// prompt. Of all gateways, one admits a trial of a blocked request, or of one with a blocked
// part, and announces it first. After a trial, EndTrial must be called.
func (s *Set) Admit(digest uint64, now time.Time, parts ...uint64) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(parts) > 0 {
		s.arrivals.add(parts, now)
	}
	blocked := s.getBlocked(digest, parts, now)
	if len(blocked) > 0 {
		// This request may show that a blocked part is in other prompts, too.
		s.reviewIfDue(now)
		blocked = s.getBlocked(digest, parts, now)
	}
	switch len(blocked) {
	case 0:
		return Clear
	case 1:
	default:
		// A trial would not tell which of them is the cause.
		return Blocked
	}
	e := s.entries[blocked[0]]
	switch {
	case e.trial != nil:
		verdict := e.admitTrial(now)
		if e.trial == nil {
			s.noteChange(e, now)
		}
		return verdict
	case s.isTrialDue(blocked[0], e, e.countTrials(now), now):
		e.trial = &trial{loss: s.addOwn(blocked[0], Server{}, now)}
	}
	return Blocked
}

// countTrials returns the number of trials so far: crashes after the ones that blocked the
// entry, and announcements that count as such.
func (e *entry) countTrials(now time.Time) int {
	if e.position == 0 {
		return e.countCrashes(now) - e.getLimit(now)
	}
	announced := 0
	later := e.getLostServers(now)
	for _, l := range e.losses {
		switch {
		case !l.counts(now):
		case l.Server == Server{}:
			announced++
		case l.Convicted:
			delete(later, l.Server)
		}
	}
	return announced + len(later)
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

// EndTrial ends a trial of a request or of a part of its prompt. wasSent is false if no server
// has got the request.
func (s *Set) EndTrial(digest uint64, wasSent bool, parts ...uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endTrial(digest, wasSent)
	for _, part := range parts {
		s.endTrial(part, wasSent)
	}
}

func (s *Set) endTrial(digest uint64, wasSent bool) {
	e := s.entries[digest]
	if e == nil || e.trial == nil || !e.trial.isSpent {
		return
	}
	if !wasSent {
		e.retractTrial()
		if e.isKept {
			s.announceKept()
		}
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
