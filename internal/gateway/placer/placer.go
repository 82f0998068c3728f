// Package placer decides which backend server gets a request, and which requests
// are refused because none can serve them in time. It does no input or output.
package placer

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
)

// Load is what a backend server said of itself.
type Load struct {
	Running int
	Waiting int
	// Memory is the tokens in memory that can't be given up.
	Memory int
	// Broken says that the server's group can't run anything now.
	Broken bool
	// Pass is the smoothed time of a pass, 0 if it is not known.
	Pass time.Duration
	At   time.Time
}

// Work is a request that asks for a place.
type Work struct {
	ID      string
	Service string
	// Priority is 0 for the most urgent work.
	Priority int
	// Prompt and Answer are tokens; 0 for plain services.
	Prompt, Answer int
	// Objective is the time until the first byte of an answer on time, Until when
	// the caller gives up.
	Objective time.Duration
	Until     time.Time
	// Exclude names servers that were tried.
	Exclude []string
}

// Verdict is the decision on a request.
type Verdict interface{ verdict() }

// Placed gives a request a server. Finish must be called once.
type Placed struct {
	lister.Server
	// Estimate is the number of requests that the server is believed to have, own
	// ones that it has not reported included; Age is that of the report.
	Estimate int
	Age      time.Duration
	server   *server
	placer   *Placer
}

// Refused turns a request away.
type Refused struct {
	Reason string
	// After is when a place is expected to be free.
	After time.Duration
}

func (*Placed) verdict()  {}
func (*Refused) verdict() {}

// Outcome is what became of a request at a server.
type Outcome int

// The outcomes.
const (
	// Served requests were answered.
	Served Outcome = iota
	// Failed requests may have run, and were not answered properly.
	Failed
	// Rejected requests were refused by the server without having run.
	Rejected
	// Unreachable servers could not be sent the request.
	Unreachable
	// Cancelled requests were given up by their callers.
	Cancelled
	// Misdirected requests met another server at the address.
	Misdirected
)

// Bounds of the decisions.
const (
	// plainQueue is how many requests may wait at a plain server for each slot;
	// two rounds of short work pass within the objectives of such routes.
	plainQueue = 2.0
	// engineQueue is how many requests may wait at an engine beyond its batch.
	engineQueue = 2
	// firstEjection and mostEjection bound how long a server that fails gets
	// nothing.
	firstEjection = 500 * time.Millisecond
	mostEjection  = 4 * time.Second
	// ejectAfter is the number of failures in a row.
	ejectAfter = 2
	// defaultRetry is told where nothing better is known.
	defaultRetry = 300 * time.Millisecond
	// reportLife is how long a report is believed.
	reportLife = 3 * time.Second
)

// server is a backend server as this gateway sees it.
type server struct {
	lister.Server
	// own counts own requests that have not finished.
	own int
	// delta counts own requests placed less those finished since the report.
	delta int
	load  Load
	// failures counts failures in a row.
	failures int
	// ejectedUntil is when the server is used again; ejection was its length.
	ejectedUntil time.Time
	ejection     time.Duration
	// gone says that the entry was removed.
	gone bool
}

// estimate is the number of requests that the server is believed to have.
func (s *server) estimate(now time.Time) int {
	if now.Sub(s.load.At) > reportLife {
		return s.own
	}
	return max(s.own, s.load.Running+s.load.Waiting+s.delta)
}

// Placer holds the state of all backend servers. It is safe for concurrent use.
type Placer struct {
	mu      sync.Mutex
	servers map[string]*server
	// byService holds those that may get work.
	byService map[string][]*server
	engines   map[string]*holder.Engine
	// brokenSince is when a service whose group runs nothing was first found so.
	brokenSince map[string]time.Time
}

// New returns a Placer without servers.
func New() *Placer {
	return &Placer{servers: make(map[string]*server), byService: make(map[string][]*server), engines: make(map[string]*holder.Engine), brokenSince: make(map[string]time.Time)}
}

// SetCatalog takes in which services are engines.
func (p *Placer) SetCatalog(c *holder.Catalog) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.engines)
	for i := range c.Services {
		p.engines[c.Services[i].Name] = c.Services[i].Engine
	}
}

// SetServers takes in the backend servers in use.
func (p *Placer) SetServers(all []lister.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	present := make(map[string]bool, len(all))
	for _, s := range all {
		present[s.ID] = true
		old := p.servers[s.ID]
		if old != nil && old.Started.Equal(s.Started) {
			old.Server = s
			continue
		}
		p.servers[s.ID] = &server{Server: s}
	}
	for id, s := range p.servers {
		if !present[id] {
			s.gone = true
			delete(p.servers, id)
		}
	}
	clear(p.byService)
	for _, s := range p.servers {
		if !s.Leaving {
			p.byService[s.Service] = append(p.byService[s.Service], s)
		}
	}
}

// SetLoad takes in what a server said of itself.
func (p *Placer) SetLoad(id string, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil || load.At.Before(s.load.At) {
		return
	}
	s.load, s.delta = load, 0
}

// SetEngineLoad takes in the load of the engine at an address, started at a time.
func (p *Placer) SetEngineLoad(addr netip.AddrPort, started time.Time, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.Addr == addr && s.Started.Equal(started) && !load.At.Before(s.load.At) {
			s.load, s.delta = load, 0
		}
	}
}

// HasOther reports whether a service has a server besides those that were tried.
func (p *Placer) HasOther(service string, tried []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.byService[service] {
		if !contains(tried, s.ID) {
			return true
		}
	}
	return false
}

// IsInUse reports whether a server may get work.
func (p *Placer) IsInUse(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	return s != nil && !s.Leaving
}

// Place decides on a request.
func (p *Placer) Place(w Work, now time.Time) Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.byService[w.Service]
	if len(all) == 0 {
		return &Refused{Reason: "no backend server", After: defaultRetry}
	}
	best := p.pick(all, w, now)
	if best == nil {
		return &Refused{Reason: "no backend server left", After: defaultRetry}
	}
	if best.isBroken(now) {
		return &Refused{Reason: "model group is broken", After: p.repairedAfter(w, now)}
	}
	if limit := p.limit(best); best.estimate(now) >= limit {
		return &Refused{Reason: "all places are taken", After: p.freeAfter(best)}
	}
	delete(p.brokenSince, w.Service)
	placed := &Placed{Server: best.Server, Estimate: best.estimate(now), Age: now.Sub(best.load.At), server: best, placer: p}
	best.own++
	best.delta++
	return placed
}

// pick returns the server with the least load; equal ones get equal shares.
func (p *Placer) pick(all []*server, w Work, now time.Time) *server {
	var best *server
	bestScore, ties := 0.0, 0
	for _, s := range all {
		if contains(w.Exclude, s.ID) {
			continue
		}
		score := float64(s.estimate(now)) / float64(s.Slots)
		if s.isBroken(now) {
			score += brokenScore
		}
		if now.Before(s.ejectedUntil) {
			// Ejected servers are used when no other is left.
			score += ejectedScore
		}
		switch {
		case best == nil || score < bestScore:
			best, bestScore, ties = s, score, 1
		case score == bestScore:
			ties++
			if rand.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

// brokenScore is above the score of any server, ejected or not.
const brokenScore = 1e9

// isBroken reports whether the server's group is known to run nothing.
func (s *server) isBroken(now time.Time) bool {
	return s.load.Broken && now.Sub(s.load.At) < reportLife
}

// repairedAfter is when a broken service is expected to run again: an outage that
// has lasted for some time is expected to last as long again, and none is over
// before the lost rank is back. Returns are spread.
func (p *Placer) repairedAfter(w Work, now time.Time) time.Duration {
	since, ok := p.brokenSince[w.Service]
	if !ok {
		since = now
		p.brokenSince[w.Service] = now
		log.Warn("model group broken", "event", "group_broken", "service", w.Service)
	}
	after := max(now.Sub(since), leastRepair)
	return min(after, time.Duration(float64(w.Until.Sub(now))*waitFraction)) - time.Duration(repairSpread*rand.Float64()*float64(leastRepair))
}

const (
	// leastRepair is about the time in which a lost rank is back and the group has
	// formed again.
	leastRepair = 2 * time.Second
	// waitFraction is the part of its time that a caller waits before it comes back.
	waitFraction = 1.0 / 3
	// repairSpread spreads the returns over a part of the wait.
	repairSpread = 0.2
)

// ejectedScore is above the score of any server in use.
const ejectedScore = 1e6

func contains(list []string, id string) bool {
	for _, v := range list {
		if v == id {
			return true
		}
	}
	return false
}

// limit is the most requests that a server is given.
func (p *Placer) limit(s *server) int {
	if p.engines[s.Service] != nil {
		return s.Slots + engineQueue
	}
	return int(float64(s.Slots) * (1 + plainQueue))
}

// freeAfter is when a place at a server is expected.
func (p *Placer) freeAfter(*server) time.Duration { return defaultRetry }

// Finish ends a request at its server.
func (x *Placed) Finish(outcome Outcome, now time.Time) {
	x.placer.mu.Lock()
	defer x.placer.mu.Unlock()
	s := x.server
	s.own--
	s.delta--
	switch outcome {
	case Served:
		s.failures, s.ejection = 0, 0
	case Failed, Unreachable, Misdirected:
		s.failures++
		if s.failures >= ejectAfter || outcome != Failed {
			s.eject(now, outcome)
		}
	case Rejected, Cancelled:
	}
}

func (s *server) eject(now time.Time, outcome Outcome) {
	s.ejection = min(max(2*s.ejection, firstEjection), mostEjection)
	s.ejectedUntil = now.Add(s.ejection)
	log.Info("backend server ejected", "event", "ejected", "server", s.ID, "failures", s.failures, "outcome", outcome,
		"for", s.ejection, "own", s.own)
}
