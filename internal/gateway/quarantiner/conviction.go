package quarantiner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

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
	// minPreference is how much likelier than a convicted part another one must be the cause of
	// the same crashes, as a natural logarithm, to be convicted in its place.
	minPreference = 1.0
	// reviewInterval bounds how often verdicts are reviewed while no server is lost.
	reviewInterval = 200 * time.Millisecond
	// commonCrashTime is the time within which servers that are lost have one cause, such as the
	// loss of a rack. A retry of a request reaches its next server later.
	commonCrashTime = 50 * time.Millisecond
	// beginningRequests is the usual number of requests that begin on a server at the time of
	// its crash.
	beginningRequests = 2.0
)

var (
	culpritParts   = metrics.NewCounter("siskinfall_gateway_culprit_parts_total")
	acquittedParts = metrics.NewCounter("siskinfall_gateway_acquitted_parts_total")
)

// isConvicted reports whether the part is taken for the cause of crashes.
func (e *entry) isConvicted(now time.Time) bool {
	for _, l := range e.losses {
		if l.Convicted && l.counts(now) {
			return true
		}
	}
	return false
}

// lostServers are servers whose losses count, with the time of the first one.
type lostServers map[Server]time.Time

// getLostServers returns the servers whose losses count.
func (e *entry) getLostServers(now time.Time) lostServers {
	servers := make(lostServers)
	for _, l := range e.losses {
		if at, ok := servers[l.Server]; l.counts(now) && l.Server != (Server{}) && (!ok || l.At.Before(at)) {
			servers[l.Server] = l.At
		}
	}
	return servers
}

// includes reports whether all others are among the servers.
func (s lostServers) includes(others lostServers) bool {
	for server := range others {
		if _, ok := s[server]; !ok {
			return false
		}
	}
	return true
}

// countCrashes returns the number of crashes. Servers that are lost within commonCrashTime are
// one crash.
func (s lostServers) countCrashes() int {
	times := make([]time.Time, 0, len(s))
	for _, at := range s {
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

// suspect is a part that may be the cause of crashes, or is taken for it.
type suspect struct {
	*entry
	digest  uint64
	servers lostServers
	crashes int
	// arrivals and requests are the requests that have the part, and all, at the gateways that
	// are known to count it.
	arrivals, requests int
	isConvicted        bool
}

// getShare returns the share of requests that have the part, at all gateways together.
func (p *suspect) getShare() float64 { return estimateShare(p.arrivals, p.requests) }

// getSuspects returns the parts that were there in enough crashes, most crashes first. Of two
// that were there in the same crashes, the rarer one is first, or else the one further back in
// the prompt: the other one is in sound requests too.
func (s *Set) getSuspects(now time.Time) []*suspect {
	var suspects []*suspect
	for digest, e := range s.entries {
		if e.position == 0 {
			continue
		}
		servers := e.getLostServers(now)
		p := &suspect{entry: e, digest: digest, servers: servers, crashes: servers.countCrashes(), isConvicted: e.isConvicted(now)}
		if p.crashes >= minPartCrashes || p.isConvicted {
			p.arrivals, p.requests = s.countArrivals(digest, now)
			suspects = append(suspects, p)
		}
	}
	slices.SortFunc(suspects, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.getShare(), b.getShare()), cmp.Compare(b.position, a.position),
			cmp.Compare(a.digest, b.digest))
	})
	return suspects
}

// getEvidence returns the negative logarithm of the chance that an innocent part is there in
// all these crashes, and not among the requests that were answered here since the first one.
func (s *Set) getEvidence(p *suspect) float64 {
	present := -math.Log(min(p.getShare()*beginningRequests, 1))
	return float64(p.crashes)*present + s.arrivals.getShare(p.digest)*float64(s.answered-p.answeredBefore)
}

// getMinEvidence returns the evidence that convicts a part after its crashes.
func (p *suspect) getMinEvidence() float64 {
	if p.crashes >= lateCrashes {
		return minLateEvidence
	}
	return minPartEvidence
}

// isLeftToOthers reports whether gateways that get requests with the part convict it, which know
// its share better and tell this one. From lateCrashes on they may all have started too lately
// to know it.
func (p *suspect) isLeftToOthers(evidence float64) bool {
	return p.arrivals == 0 && (p.crashes < lateCrashes || evidence < minPartEvidence)
}

// getPreference returns how much likelier than another part this one is the cause of the
// crashes of the other one, as a natural logarithm: how much less often it comes.
func (p *suspect) getPreference(other *suspect) float64 {
	return float64(other.crashes) * math.Log(other.getShare()/p.getShare())
}

// convict takes the parts with enough evidence for the cause of their crashes, and reviews
// earlier verdicts.
func (s *Set) convict(now time.Time) {
	s.reviewedAt = now
	suspects := s.getSuspects(now)
	explained := make(lostServers)
	explain := func(p *suspect) {
		for server, at := range p.servers {
			explained[server] = at
		}
	}
	for _, p := range suspects {
		if p.isConvicted {
			explain(p)
		}
	}
	for _, p := range suspects {
		evidence := s.getEvidence(p)
		if p.isConvicted || evidence < p.getMinEvidence() || explained.includes(p.servers) {
			continue
		}
		explain(p)
		if !p.isLeftToOthers(evidence) {
			s.block(p, evidence, now)
		}
	}
	s.reviewVerdicts(suspects, now)
	s.keepSuspects(suspects, now)
}

// reviewIfDue reviews verdicts if that was not done lately.
func (s *Set) reviewIfDue(now time.Time) {
	if len(s.suspects) > 0 && now.Sub(s.reviewedAt) >= reviewInterval {
		s.convict(now)
	}
}

// reviewVerdicts acquits the convicted parts in whose crashes another part was there that
// explains more crashes, or is rarer at all gateways together than the convicting one knew.
func (s *Set) reviewVerdicts(suspects []*suspect, now time.Time) {
	for _, p := range suspects {
		for _, rival := range suspects {
			if p.isConvicted && rival != p && rival.servers.includes(p.servers) && s.isLikelier(rival, p, now) {
				s.acquit(p, rival, now)
			}
		}
	}
}

// isLikelier reports whether a rival is the cause of the crashes of a convicted part, and
// convicts the rival if it is.
func (s *Set) isLikelier(rival, p *suspect, now time.Time) bool {
	explainsMore := len(rival.servers) > len(p.servers)
	if rival.isConvicted && explainsMore {
		return true
	}
	if rival.getPreference(p) < minPreference {
		return false
	}
	evidence := s.getEvidence(rival)
	if !rival.isConvicted && (evidence < rival.getMinEvidence() || rival.isLeftToOthers(evidence)) {
		return false
	}
	if !rival.isConvicted {
		s.block(rival, evidence, now)
	}
	return true
}

// keepSuspects remembers the parts whose counts other gateways need: convicted ones, and those
// that were there in the same crashes, before all others.
func (s *Set) keepSuspects(suspects []*suspect, now time.Time) {
	s.suspects = s.suspects[:0]
	for _, p := range suspects {
		p.isRival = slices.ContainsFunc(suspects, func(c *suspect) bool { return c.isConvicted && c != p && p.servers.includes(c.servers) })
		if p.isRival && !p.isKept {
			s.noteChange(p.entry, now)
		}
	}
	for _, first := range []bool{true, false} {
		for _, p := range suspects {
			if first == (p.isConvicted || p.isRival) {
				s.suspects = append(s.suspects, p.digest)
			}
		}
	}
}

// block convicts a part.
func (s *Set) block(p *suspect, evidence float64, now time.Time) {
	p.isConvicted = true
	for _, l := range p.losses {
		l.Convicted = l.Convicted || l.counts(now) && l.Server != Server{}
	}
	p.updatedAt = now
	s.noteChange(p.entry, now)
	culpritParts.Inc()
	log.Warn("part of prompts crashes backend servers and is blocked", "event", "culprit", "digest", p.digest, "crashes", p.crashes,
		"evidence", evidence, "position", p.position, "arrivals", p.arrivals, "requests", p.requests)
}

// acquit ends the conviction of a part for crashes of which a rival is the cause.
func (s *Set) acquit(p, rival *suspect, now time.Time) {
	p.isConvicted = false
	p.trial = nil
	p.explain(now)
	s.noteChange(p.entry, now)
	acquittedParts.Inc()
	log.Info("part of prompts is no longer blocked: another one explains its crashes", "event", "explained", "digest", p.digest, "crashes", p.crashes,
		"position", p.position, "arrivals", p.arrivals, "requests", p.requests, "culprit", rival.digest, "culprit_crashes", rival.crashes,
		"culprit_arrivals", rival.arrivals, "culprit_requests", rival.requests, "preference", rival.getPreference(p))
}
