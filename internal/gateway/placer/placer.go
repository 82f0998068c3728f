// Package placer chooses a backend server for each request, and refuses requests
// that no server can finish in time. It does no I/O.
//
// Each file states the load pattern that it handles; the tests reproduce it.
package placer

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/check/asserter"
	"siskinfall/internal/fleet/lister"
)

// Load is the load that a backend server last reported.
type Load struct {
	Running int
	Waiting int
	// Memory is the number of tokens in memory that can't be freed.
	Memory int
	// Group names the model group whose engines run each pass together.
	Group string
	// Broken is set if the server's group can't run passes, Stalled if the group
	// has not begun a pass for too long.
	Broken, Stalled bool
	// Pass is the smoothed duration of a pass, 0 if unknown.
	Pass time.Duration
	// Slowness is the server's time divided by that of a healthy one, 0 if unknown.
	Slowness float64
	// At is when this process received the report.
	At time.Time
}

// Work describes a request to be placed.
type Work struct {
	Route   string
	Service string
	// Zone is the availability zone of the gateway.
	Zone string
	// Priority is 0 for the most urgent work.
	Priority int
	// Admitted is set if the request has a place at the service. Then none is kept free for
	// more urgent work.
	Admitted bool
	// EstimatedAnswerTokens is the estimated length of the answer in tokens, 0 if there is no
	// estimate. MaxAnswerTokens is its upper bound, 0 if there is none. Both are 0 for
	// plain services.
	EstimatedAnswerTokens, MaxAnswerTokens int
	// CallerTimeout is the timeout that the caller sent, 0 if it sent none.
	CallerTimeout time.Duration
	// Patience is the longest time without an event that the caller accepts, 0 for
	// no limit.
	Patience time.Duration
	// Deadline is when the request times out.
	Deadline time.Time
	// Exclude holds the IDs of servers that were already tried.
	Exclude []string
}

// Decision is the decision on a request: *Placed or *Refused.
type Decision interface{ decision() }

// Placed assigns a request to a server. Finish must be called once.
type Placed struct {
	lister.Server
	// Estimate is the estimated number of requests at the server, including
	// requests of this gateway that it has not yet reported. Reported is the time
	// of its last report, zero if there is none.
	Estimate int
	Reported time.Time
	// ServerCount is the number of servers of the service that may receive work.
	ServerCount int
	// Cold is set if the server is cold.
	Cold    bool
	decided time.Time
	server  *server
	placer  *Placer
	// reserved holds the server's state while this request is placed and not yet sent, nil if
	// its service has no cold terms.
	reserved *coldness
}

// ReportAge returns the age of the load report at the time of the decision, or
// "none" if there was no report.
func (p *Placed) ReportAge() string { return reportAge(p.Reported, p.decided) }

func reportAge(reported, now time.Time) string {
	if reported.IsZero() {
		return "none"
	}
	return now.Sub(reported).String()
}

// Refused is a refusal: the request was not sent to any server.
type Refused struct {
	Reason string
	// RetryAfter is the expected time until a server has capacity again.
	RetryAfter time.Duration
	// AllClosed is set if servers have said, each of its own, when they take requests again.
	AllClosed bool
}

func (*Placed) decision()  {}
func (*Refused) decision() {}

// Outcome is the result of a request at a server.
type Outcome int

const (
	// Served requests were answered without a failure.
	Served Outcome = iota
	// Failed requests were answered with a server error.
	Failed
	// Lost requests may have run but received no answer.
	Lost
	// Rejected requests were rejected by the server without running.
	Rejected
	// Unreachable means that the request could not be sent to the server.
	Unreachable
	// Cancelled requests were abandoned by their callers.
	Cancelled
	// Misdirected requests reached a different server at the address.
	Misdirected
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"served", "failed", "lost", "rejected", "unreachable", "cancelled", "misdirected"}[o]
}

// reportTTL is how long a load report is used.
const reportTTL = 3 * time.Second

// server is this gateway's state of one backend server.
type server struct {
	lister.Server
	health
	// inFlight counts unfinished requests of this gateway.
	inFlight int
	// deltaSinceReport is the number of requests that this gateway has placed less
	// the number it has finished since the last report.
	deltaSinceReport int
	load             Load
	pace             pace
	// cold and coldTerms are nil and zero if the service has no cold terms.
	cold      *coldness
	coldTerms coldTerms
	// placedAt holds when the latest requests were placed, in order; only those that a
	// report may lack, and none without a report lag.
	placedAt []time.Time
}

// estimate returns the estimated number of requests at the server.
func (s *server) estimate(now time.Time) int {
	if now.Sub(s.load.At) > reportTTL {
		return s.inFlight
	}
	return max(s.inFlight, s.load.Running+s.load.Waiting+s.deltaSinceReport)
}

// Placer holds the state of all backend servers. It is safe for concurrent use.
type Placer struct {
	mu      sync.Mutex
	servers map[string]*server
	// byService holds the servers that may receive work.
	byService map[string][]*server
	engines   map[string]*holder.Engine
	outages   map[string]*outage
	// groups holds the reports of ranks by the name of their model group.
	groups map[string]*group
	// stalledUntil holds, by service, until when its engines count as stalled
	// because one of them rejected work although it had free slots.
	stalledUntil   map[string]time.Time
	callersByRoute map[string]*callerStats
	// closures holds the servers that have said that they leave or want a pause. It outlasts
	// their entries in the list.
	closures map[incarnation]*closure
	// coldTerms holds the services whose cold servers bear a limited rate, cold the state of
	// their servers. It outlasts their entries in the list.
	coldTerms map[string]coldTerms
	cold      map[incarnation]*coldness
	// shareOf returns how many of the units of a server this gateway may use.
	shareOf func(units int, server string) int
	// closedZones are the availability zones out of use.
	closedZones []string
	// zoneWork counts the requests in flight of this gateway in each of them.
	zoneWork map[string]int
	// gatewayCount is the number of gateways that place requests at the same
	// servers, including this one.
	gatewayCount int
	// scarceSlots is the number of slots for each gateway below which a plain service is
	// scarce, 0 if none is.
	scarceSlots float64
	random      *rand.Rand
	// gaps holds, by service, the shortest limit of the pauses in its streams.
	gaps map[string]time.Duration
	// reportLag is how much older an engine's report is than its arrival, 0 if that is
	// not taken into account.
	reportLag time.Duration
}

// Option configures a Placer.
type Option func(*Placer)

// WithRandom sets the source of random choices.
func WithRandom(source rand.Source) Option {
	return func(p *Placer) { p.random = rand.New(source) } //nolint:gosec // spreads load, protects nothing
}

// WithReportLag counts requests placed within d before an engine's report in addition to
// those of the report.
func WithReportLag(d time.Duration) Option {
	return func(p *Placer) { p.reportLag = d }
}

// WithShares sets a function that returns how many of the units of a server this gateway may
// use, beside others that send to it.
func WithShares(shareOf func(units int, server string) int) Option {
	return func(p *Placer) { p.shareOf = shareOf }
}

// New returns a Placer without servers.
func New(opts ...Option) *Placer {
	p := &Placer{
		servers: make(map[string]*server), byService: make(map[string][]*server), engines: make(map[string]*holder.Engine),
		outages: make(map[string]*outage), groups: make(map[string]*group), callersByRoute: make(map[string]*callerStats),
		stalledUntil: make(map[string]time.Time), closures: make(map[incarnation]*closure), gatewayCount: 1,
		gaps: make(map[string]time.Duration), coldTerms: make(map[string]coldTerms), cold: make(map[incarnation]*coldness),
		shareOf: func(units int, _ string) int { return units },
	}
	WithRandom(rand.NewPCG(rand.Uint64(), rand.Uint64()))(p) //nolint:gosec // see WithRandom
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// SetCatalog updates which services run on engines, and what their cold servers bear.
func (p *Placer) SetCatalog(c *holder.Catalog) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.engines)
	for i := range c.Services {
		if c.Services[i].Engine != nil {
			p.engines[c.Services[i].Name] = c.Services[i].Engine
		}
	}
	p.setGaps(c)
	clear(p.coldTerms)
	for _, s := range c.Services {
		if s.ColdRate > 0 {
			p.coldTerms[s.Name] = coldTerms{start: s.ColdStart, rate: s.ColdRate}
		}
	}
	p.trackCold(true, time.Now())
}

// SetServers replaces the list of backend servers. State of a server is kept
// unless the server has restarted.
func (p *Placer) SetServers(all []lister.Server) { p.setServers(all, time.Now()) }

func (p *Placer) setServers(all []lister.Server, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	isFirst := len(p.servers) == 0
	present := make(map[string]bool, len(all))
	for _, s := range all {
		present[s.ID] = true
		old := p.servers[s.ID]
		if old != nil && old.Started.Equal(s.Started) {
			old.Server = s
			continue
		}
		p.servers[s.ID] = &server{Server: s}
		if old != nil {
			p.restartCold(old, p.servers[s.ID], now)
		}
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
	for _, list := range p.byService {
		slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	}
	p.trackCold(isFirst, now)
}

// SetLoad updates the load of a plain server. Engines are ignored.
func (p *Placer) SetLoad(id string, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil || p.engines[s.Service] != nil {
		// Reports from the sidecars of engines are more accurate.
		return
	}
	s.load, s.deltaSinceReport = load, 0
}

// SetEngineLoad updates the load of the engine with this address and start time.
// A report older than the current one is ignored. One of an incarnation that is not listed
// yet only shows the state of its group.
func (p *Placer) SetEngineLoad(addr netip.AddrPort, started time.Time, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.Addr != addr || load.At.Before(s.load.At) {
			continue
		}
		if s.Started.Equal(started) {
			s.load, s.deltaSinceReport = load, s.countUnseen(load.At.Add(-p.reportLag))
		} else if started.After(s.Started) {
			// What is sent to the listed incarnation reaches the new one.
			s.setColdFromStart(load.At)
		}
		p.getGroup(load.Group).record(s.Service, addr, load)
	}
}

// HasOther reports whether a service has a server that was not tried yet.
func (p *Placer) HasOther(service string, tried []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.byService[service] {
		if !slices.Contains(tried, s.ID) && p.closedReason(s, time.Now()) == notClosed {
			return true
		}
	}
	return false
}

// IsInUse reports whether a server exists and may receive work.
func (p *Placer) IsInUse(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil {
		return false
	}
	r := p.closedReason(s, time.Now())
	return r != listedLeaving && r != saysLeaving
}

// IsRunning reports whether a service has a server whose group is neither broken
// nor stalled as far as reported.
func (p *Placer) IsRunning(service string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.byService[service] {
		if broken, stalled := p.groupState(s, now); !broken && !stalled && p.closedReason(s, now) == notClosed {
			return true
		}
	}
	return false
}

// Place selects a server for a request or refuses it.
func (p *Placer) Place(w Work, now time.Time) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	isClientRetry := p.recordCaller(w)
	decision := p.decide(w, isClientRetry, now)
	if r, ok := decision.(*Refused); ok {
		countRefused(w.Service, r.Reason)
	}
	return decision
}

func (p *Placer) decide(w Work, isClientRetry bool, now time.Time) Decision {
	best := p.pick(w, now)
	if best == nil {
		if r := p.checkClosed(w, now); r != nil {
			return r
		}
		return &Refused{Reason: "no backend server", RetryAfter: w.capRetryAfter(defaultRetryAfter, now)}
	}
	if r := p.checkOutage(best, w, now); r != nil {
		return r
	}
	if r := p.checkCapacity(best, w, isClientRetry, now); r != nil {
		return r
	}
	return p.assign(best, w, now)
}

// assign places a request on a server, which must be open.
func (p *Placer) assign(best *server, w Work, now time.Time) Decision {
	reason := p.closedReason(best, now)
	if asserter.Holds(reason == notClosed, asserter.RuleNoNewWork, "%s is closed: %s", best.ID, reason) != nil {
		return &Refused{Reason: "backend server is closed", RetryAfter: w.capRetryAfter(defaultRetryAfter, now)}
	}
	placed := &Placed{Server: best.Server, Estimate: best.estimate(now), ServerCount: len(p.byService[w.Service]), Reported: best.load.At, decided: now, server: best, placer: p}
	best.inFlight++
	if p.reportLag > 0 && p.engines[best.Service] != nil {
		best.placedAt = append(best.placedAt, now)
	}
	p.recordPlaced(best)
	placed.reserve(now)
	best.deltaSinceReport++
	countPlaced(w.Service)
	return placed
}

// Finish records the outcome of a request and removes it from its server.
func (p *Placed) Finish(outcome Outcome, now time.Time) {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	s := p.server
	p.release()
	s.inFlight--
	s.deltaSinceReport--
	p.placer.recordZoneWork(s)
	s.record(outcome, now)
	if outcome == Served {
		s.pace.record(now.Sub(p.decided), now)
	}
	if outcome == Rejected && p.placer.engines[s.Service] == nil {
		// Engines reject work while their group stands still, which says nothing of the rank.
		s.recordRejection(p.Estimate, now)
	}
	p.placer.recordEngineOutcome(s, p.Estimate, outcome, now)
	p.placer.recordReturn(s, outcome, now)
	if now.Before(s.ejectedUntil) {
		ejections.Inc()
		log.Info("backend server ejected", "event", "ejected", "server", s.ID, "failures", s.failures, "outcome", outcome.String(),
			"for", s.ejection, "own", s.inFlight, "failure_rate", s.ewma)
	}
}
