package quarantiner

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
)

// Load pattern: a part of prompts crashes each server that begins to answer a request with
// it. No two of these requests are alike, and sound requests share all else with them. The
// requests that begin on a server at the time of its crash are suspects with all their
// parts. A part is the cause if it was there too often, and is served too seldom, for chance.

const (
	// minPartCrashes is the number of crashes below which no part is convicted: one server
	// may be lost for any reason.
	minPartCrashes = 2
	// minPartEvidence is the evidence that convicts a part, as a natural logarithm: for one
	// innocent suspect in twenty, chance looks like that.
	minPartEvidence = 3.0
	// From lateCrashes on, minLateEvidence convicts a part. A gateway that has started lately
	// knows shares badly; by then a deadly part costs more than a sound one that is blocked
	// until its trial.
	lateCrashes     = 4
	minLateEvidence = 1.0
	// commonCrashTime is the time within which servers that are lost have one cause, such as the
	// loss of a rack. A retry of a request reaches its next server later.
	commonCrashTime = 50 * time.Millisecond
	// beginningRequests is the usual number of requests that begin on a server at the time of
	// its crash.
	beginningRequests = 2.0
)

var culpritParts = metrics.NewCounter("siskinfall_gateway_culprit_parts_total")

// PartDigest identifies a part of a prompt, whatever else the prompt holds.
func PartDigest(id uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte("part"), id))
}

// partLog holds how often the parts of prompts come, in two generations.
type partLog struct {
	current, previous partCounts
	begun             time.Time
}

type partCounts struct {
	requests int
	parts    map[uint64]int
}

// add counts a request with its parts.
func (l *partLog) add(parts []uint64, now time.Time) {
	if l.current.parts == nil || now.Sub(l.begun) > servedWindow || len(l.current.parts) >= maxServed {
		l.previous, l.current, l.begun = l.current, partCounts{parts: make(map[uint64]int)}, now
	}
	l.current.requests++
	for _, part := range parts {
		l.current.parts[part]++
	}
}

func (l *partLog) count(part uint64) int { return l.current.parts[part] + l.previous.parts[part] }

// getShare returns the share of requests that have a part. With few requests, it is high.
func (l *partLog) getShare(part uint64) float64 {
	return float64(l.count(part)+1) / float64(l.current.requests+l.previous.requests+2)
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
				log.Info("part of prompts was served and does not crash servers", "event", "explained", "digest", part)
			}
		}
	}
	s.explainSurvivor(server, sentAt)
}

// explainSurvivor ends the suspicions that came from a loss of a server that has answered a
// later request.
func (s *Set) explainSurvivor(server Server, sentAt time.Time) {
	if at, ok := s.suspectServers[server]; !ok || !at.Before(sentAt) {
		return
	}
	delete(s.suspectServers, server)
	for _, e := range s.entries {
		for _, l := range e.losses {
			if e.position > 0 && l.Server == server && l.At.Before(sentAt) {
				l.Explained = true
			}
		}
	}
}

// isConvicted reports whether the part is taken for the cause of crashes.
func (e *entry) isConvicted(now time.Time) bool {
	for _, l := range e.losses {
		if l.Convicted && l.counts(now) {
			return true
		}
	}
	return false
}

// getLostServers returns the servers whose losses count, with the time of the first one.
func (e *entry) getLostServers(now time.Time) map[Server]time.Time {
	servers := make(map[Server]time.Time)
	for _, l := range e.losses {
		if at, ok := servers[l.Server]; l.counts(now) && l.Server != (Server{}) && (!ok || l.At.Before(at)) {
			servers[l.Server] = l.At
		}
	}
	return servers
}

// countPartCrashes returns the number of crashes of a part. Servers that are lost within
// commonCrashTime are one crash.
func (e *entry) countPartCrashes(now time.Time) int {
	times := make([]time.Time, 0, len(e.losses))
	for _, at := range e.getLostServers(now) {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	var first time.Time
	for _, at := range times {
		if n == 0 || at.Sub(first) > commonCrashTime {
			n++
			first = at
		}
	}
	return n
}

// suspect is a part that may be the cause of crashes.
type suspect struct {
	*entry
	digest  uint64
	crashes int
	share   float64
}

// getEvidence returns the negative logarithm of the chance that an innocent part is there in
// all these crashes, and not among the requests that were answered since the first one.
func (s *Set) getEvidence(p suspect) float64 {
	present := -math.Log(min(p.share*beginningRequests, 1))
	return float64(p.crashes)*present + p.share*float64(s.answered-p.answeredBefore)
}

// getMinEvidence returns the evidence that convicts a part after its crashes.
func (p suspect) getMinEvidence() float64 {
	if p.crashes >= lateCrashes {
		return minLateEvidence
	}
	return minPartEvidence
}

// convict takes the parts with enough evidence for the cause of their crashes. Of two that
// were there in the same crashes, it is the rarer one, or else the one further back in the
// prompt: the other one is in sound requests too.
func (s *Set) convict(now time.Time) {
	explained := make(map[Server]bool)
	explain := func(e *entry) {
		for server := range e.getLostServers(now) {
			explained[server] = true
		}
	}
	var suspects []suspect
	for digest, e := range s.entries {
		switch {
		case e.position == 0:
		case e.isConvicted(now):
			explain(e)
		default:
			if n := e.countPartCrashes(now); n >= minPartCrashes {
				suspects = append(suspects, suspect{entry: e, digest: digest, crashes: n, share: s.arrivals.getShare(digest)})
			}
		}
	}
	slices.SortFunc(suspects, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.share, b.share), cmp.Compare(b.position, a.position), cmp.Compare(a.digest, b.digest))
	})
	for _, p := range suspects {
		evidence := s.getEvidence(p)
		if evidence < p.getMinEvidence() || p.isExplainedBy(explained, now) {
			continue
		}
		explain(p.entry)
		if s.isLeftToOthers(p, evidence) {
			continue
		}
		p.setConvicted(now)
		culpritParts.Inc()
		log.Warn("part of prompts crashes backend servers and is blocked", "event", "culprit", "digest", p.digest, "crashes", p.crashes,
			"share", p.share, "evidence", evidence, "position", p.position)
		s.acquit(p, now)
	}
}

// isLeftToOthers reports whether gateways that get requests with the part convict it, which know
// its share better and tell this one. From lateCrashes on they may all have started too lately
// to know it.
func (s *Set) isLeftToOthers(p suspect, evidence float64) bool {
	return s.arrivals.count(p.digest) == 0 && (p.crashes < lateCrashes || evidence < minPartEvidence)
}

// acquit frees the parts that were convicted for some of the crashes of another one, which
// explains them all.
func (s *Set) acquit(p suspect, now time.Time) {
	servers := make(map[Server]bool)
	for server := range p.getLostServers(now) {
		servers[server] = true
	}
	for digest, e := range s.entries {
		if e.position == 0 || !e.isConvicted(now) || len(e.getLostServers(now)) >= len(servers) || !e.isExplainedBy(servers, now) {
			continue
		}
		e.trial = nil
		e.explain(now)
		log.Info("part of prompts is no longer blocked: another one explains its crashes", "event", "explained", "digest", digest, "culprit", p.digest)
	}
}

// isExplainedBy reports whether others are the cause of all crashes of the part.
func (e *entry) isExplainedBy(explained map[Server]bool, now time.Time) bool {
	for server := range e.getLostServers(now) {
		if !explained[server] {
			return false
		}
	}
	return true
}

func (e *entry) setConvicted(now time.Time) {
	for _, l := range e.losses {
		l.Convicted = l.Convicted || l.counts(now) && l.Server != Server{}
	}
	e.updatedAt = now
}
