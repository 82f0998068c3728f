// Package placer decides which backend server gets a request, and which requests
// are refused because none can serve them in time. It does no input or output.
//
// Each file names the load pattern that it answers; the tests replay it.
package placer

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/check/asserter"
	"siskinfall/internal/fleet/lister"
)

// Load is what a backend server said of itself.
type Load struct {
	Running int
	Waiting int
	// Memory is the tokens in memory that can't be given up.
	Memory int
	// Group names the engines that run in lock-step with this one.
	Group string
	// Broken says that the server's group runs nothing, Stalled that it has begun
	// no pass for long.
	Broken, Stalled bool
	// Pass is the smoothed time of a pass, 0 if it is not known.
	Pass time.Duration
	// Slowness is how many times longer the server takes than a sound one; 0 is
	// not known.
	Slowness float64
	At       time.Time
}

// Work is a request that asks for a place.
type Work struct {
	Route   string
	Service string
	// Zone is that of the gateway.
	Zone string
	// Priority is 0 for the most urgent work.
	Priority int
	// Answer and MostAnswer are tokens; 0 for plain services. Answer is an estimate, 0
	// if there is none, and MostAnswer bounds the answer.
	Answer, MostAnswer int
	// Wait is for how long the caller said that it waits, 0 if it did not.
	Wait time.Duration
	// Patience is the silence after which the caller leaves, 0 for none.
	Patience time.Duration
	// Until is when the caller gives up.
	Until time.Time
	// Exclude names servers that were tried.
	Exclude []string
}

// Verdict is the decision on a request.
type Verdict interface{ verdict() }

// Placed gives a request a server. Finish must be called once.
type Placed struct {
	lister.Server
	// Estimate is the number of requests that the server is believed to have, own
	// ones that it has not reported included; Reported is when it reported, zero if
	// it never has.
	Estimate int
	Reported time.Time
	// Among is the number of servers in use of its service.
	Among   int
	decided time.Time
	server  *server
	placer  *Placer
}

// ReportAge tells the age of the report behind the decision, "none" without one.
func (x *Placed) ReportAge() string { return reportAge(x.Reported, x.decided) }

func reportAge(reported, now time.Time) string {
	if reported.IsZero() {
		return "none"
	}
	return now.Sub(reported).String()
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
	// Failed requests were answered with a failure.
	Failed
	// Lost requests may have run, and were not answered.
	Lost
	// Rejected requests were refused by the server without having run.
	Rejected
	// Unreachable servers could not be sent the request.
	Unreachable
	// Cancelled requests were given up by their callers.
	Cancelled
	// Misdirected requests met another server at the address.
	Misdirected
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"served", "failed", "lost", "rejected", "unreachable", "cancelled", "misdirected"}[o]
}

// reportLife is how long a report is believed.
const reportLife = 3 * time.Second

// server is a backend server as this gateway sees it.
type server struct {
	lister.Server
	health
	// own counts own requests that have not finished.
	own int
	// delta counts own requests placed less those finished since the report.
	delta int
	load  Load
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
	outages   map[string]*outage
	// groups holds the word of each rank on its group.
	groups map[string]*group
	// shed holds until when engines of a service are taken for stalled because one
	// refused work that it had room for.
	shed map[string]time.Time
	// callers is kept by route.
	callers map[string]*callers
	// gateways is how many place at the same servers, this one included.
	gateways int
}

// New returns a Placer without servers.
func New() *Placer {
	return &Placer{
		servers: make(map[string]*server), byService: make(map[string][]*server), engines: make(map[string]*holder.Engine),
		outages: make(map[string]*outage), groups: make(map[string]*group), callers: make(map[string]*callers),
		shed: make(map[string]time.Time), gateways: 1,
	}
}

// SetCatalog takes in which services are engines.
func (p *Placer) SetCatalog(c *holder.Catalog) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.engines)
	for i := range c.Services {
		if c.Services[i].Engine != nil {
			p.engines[c.Services[i].Name] = c.Services[i].Engine
		}
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
	for id := range p.servers {
		if !present[id] {
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

// SetLoad takes in what a plain server said of itself.
func (p *Placer) SetLoad(id string, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil || p.engines[s.Service] != nil {
		// Engines are known better from their sidecars.
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
			p.getGroup(load.Group).note(addr, load)
		}
	}
}

// HasOther reports whether a service has a server besides those that were tried.
func (p *Placer) HasOther(service string, tried []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.byService[service] {
		if !slices.Contains(tried, s.ID) {
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

// IsRunning reports whether a service has a server that is not known to stand
// still.
func (p *Placer) IsRunning(service string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.byService[service] {
		if broken, stalled := p.standsStill(s, now); !broken && !stalled {
			return true
		}
	}
	return false
}

// Place decides on a request.
func (p *Placer) Place(w Work, now time.Time) Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	returned := p.noteCaller(w)
	v := p.decide(w, returned, now)
	if r, ok := v.(*Refused); ok {
		countRefused(w.Service, r.Reason)
	}
	return v
}

func (p *Placer) decide(w Work, returned bool, now time.Time) Verdict {
	best := p.pick(w, now)
	if best == nil {
		return &Refused{Reason: "no backend server", After: w.bound(defaultRetry, now)}
	}
	if r := p.checkOutage(best, w, now); r != nil {
		return r
	}
	if r := p.checkRoom(best, w, returned, now); r != nil {
		return r
	}
	if asserter.Holds(!best.Leaving, asserter.RuleNoNewWork, "%s is leaving", best.ID) != nil {
		return &Refused{Reason: "backend server is leaving", After: w.bound(defaultRetry, now)}
	}
	placed := &Placed{Server: best.Server, Estimate: best.estimate(now), Among: len(p.byService[w.Service]), Reported: best.load.At, decided: now, server: best, placer: p}
	best.own++
	best.delta++
	countPlaced(w.Service)
	return placed
}

// Finish ends a request at its server.
func (x *Placed) Finish(outcome Outcome, now time.Time) {
	x.placer.mu.Lock()
	defer x.placer.mu.Unlock()
	s := x.server
	s.own--
	s.delta--
	s.note(outcome, now)
	x.placer.noteShed(s, x.Estimate, outcome, now)
	if now.Before(s.ejectedUntil) {
		ejections.Inc()
		log.Info("backend server ejected", "event", "ejected", "server", s.ID, "failures", s.failures, "outcome", outcome.String(),
			"for", s.ejection, "own", s.own, "failure_rate", s.rate)
	}
}
