package quarantiner

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
)

// Load pattern: a part of prompts crashes each server that begins to answer a request with
// it. No two of these requests are alike, and sound requests share all else with them. The
// requests that begin on a server at the time of its crash are suspects with all their
// parts. A part is the cause if it was there too often, and is served too seldom, for chance.

// PartDigest identifies a part of a prompt, whatever else the prompt holds.
func PartDigest(id uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte("part"), id))
}

// AddPartLosses records that a server was lost at now before it had answered more than the
// beginning of a request with these parts, in the order of the prompt.
func (s *Set) AddPartLosses(parts []uint64, server Server, now time.Time, opts ...LossOption) {
	if len(parts) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastNumber++
	for i, part := range parts {
		l := Loss{LossID: LossID{Observer: s.observer, Number: s.lastNumber}, Server: server, At: now}
		for _, opt := range opts {
			opt(&l)
		}
		if e := s.entries[part]; e != nil && e.trial != nil && e.trial.isSpent {
			e.retractTrial()
		}
		s.put(part, i+1, l, now)
	}
	s.convict(now)
}

// AddPartsServed records that a server has answered more than the beginning of a request with
// these parts, which was sent at sentAt. They are not to blame for the losses until now, and
// no request is to blame for an earlier loss of a server that lives.
func (s *Set) AddPartsServed(parts []uint64, server Server, sentAt, now time.Time) {
	if len(parts) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered++
	for _, part := range parts {
		s.served.add(part, now)
		if e := s.entries[part]; e != nil {
			e.trial = nil
			if e.explain(now) > 0 {
				s.noteChange(e, now)
				log.Info("part of prompts was served and does not crash servers", "event", "explained", "digest", part)
			}
		}
	}
	s.explainSurvivor(server, sentAt, now)
}

// explainSurvivor ends the suspicions that came from a loss of a server that has answered a
// later request.
func (s *Set) explainSurvivor(server Server, sentAt, now time.Time) {
	if at, ok := s.suspectServers[server]; !ok || !at.Before(sentAt) {
		return
	}
	delete(s.suspectServers, server)
	for _, e := range s.entries {
		for _, l := range e.losses {
			if e.position > 0 && l.Server == server && l.At.Before(sentAt) && !l.Explained {
				l.Explained = true
				s.noteChange(e, now)
			}
		}
	}
}
