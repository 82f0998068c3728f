// Package holder keeps the newest catalog of routes, services and client accounts that
// this process has received, and never replaces it with an older one.
package holder

import (
	"net"
	"strings"
	"time"
)

// Kind says whether requests on a route may run more than once.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once for each attempt of a caller.
	NonIdempotent Kind = "non_idempotent"
	// Streaming answers are event streams; they run at most once unless the route
	// is resumable.
	Streaming Kind = "streaming"
)

// Target is a service that receives a share of the requests of a route.
type Target struct {
	Service string `json:"service"`
	// Weight is relative to the other targets of the route, and positive.
	Weight int `json:"weight"`
}

// Route selects requests by host and path prefix.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout bounds the time that a caller waits.
	Timeout time.Duration `json:"timeout"`
	// Objective is the target time to the answer, or to the first event of a stream.
	Objective time.Duration `json:"objective"`
	// GapObjective is the target for the longest time between two events of a stream.
	GapObjective time.Duration `json:"gap"`
	// Patience is the time without an event after which callers abandon a stream, 0 if
	// they do not.
	Patience time.Duration `json:"patience"`
	// Priority is 0 for the most urgent routes.
	Priority int `json:"priority"`
	// Targets is not empty.
	Targets []Target `json:"targets"`
	// MaxAttempts bounds the backend servers tried for one attempt of a caller, at least 1.
	MaxAttempts int `json:"max_attempts"`
	// Public routes need no key.
	Public bool `json:"public"`
	// Sticky routes carry requests that name the shared parts of their prompts.
	Sticky bool `json:"sticky,omitempty"`
	// Resumable streams may continue on another backend server after any event.
	Resumable bool `json:"resumable"`
}

// IsRepeatable reports whether a request may be sent to a backend server again after it
// may have run.
func (r *Route) IsRepeatable() bool {
	switch r.Kind {
	case Idempotent:
		return true
	case Streaming:
		return r.Resumable
	case NonIdempotent:
	}
	return false
}

// Engine describes the model engines of a service, which run requests in batches.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int `json:"slots"`
	// MemoryTokens is the capacity of an engine for its running requests, in tokens.
	MemoryTokens int `json:"memory_tokens"`
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int `json:"tokens_per_event"`
	// Pass is the time of a pass without requests, and PerRequest the time that each
	// running request adds.
	Pass       time.Duration `json:"pass"`
	PerRequest time.Duration `json:"per_request"`
	// PerContext is the time added for each thousand tokens of running requests.
	PerContext time.Duration `json:"per_context"`
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64 `json:"prefill_rate"`
	// UsualPrompt and UsualAnswer are the tokens of a typical request.
	UsualPrompt int `json:"usual_prompt"`
	UsualAnswer int `json:"usual_answer"`
	// LayerSets, Experts, SlotsPerRank and MaxNewExperts are the dimensions of the expert
	// maps. LayerSets is the number of layer sets (see shifter.Placement), SlotsPerRank the
	// number of experts that a rank holds in each, and MaxNewExperts bounds those that one
	// change adds there.
	LayerSets     int `json:"layers"`
	Experts       int `json:"experts"`
	SlotsPerRank  int `json:"slots_per_rank"`
	MaxNewExperts int `json:"spare"`
	// ExpertBytes is the size of one expert, LinkRate the rate of the link for copies in
	// bytes per second.
	ExpertBytes int64   `json:"expert_bytes"`
	LinkRate    float64 `json:"link_rate"`
}

// Service is a set of backend servers that do the same work.
type Service struct {
	Name string `json:"name"`
	// MaxConnections is the number of connections that one backend server accepts from
	// all callers together.
	MaxConnections int `json:"max_connections"`
	// ColdStart is how long a backend server is cold after its start, and ColdRate the number
	// of requests a second that one bears while it is cold, 0 for no bound.
	ColdStart time.Duration `json:"cold_start,omitempty"`
	ColdRate  float64       `json:"cold_rate,omitempty"`
	// Engine is nil for services without model engines.
	Engine *Engine `json:"engine,omitempty"`
}

// Account is a client account.
type Account struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority overrides that of the route, unless it is nil.
	Priority *int `json:"priority,omitempty"`
}

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// Catalog is one version of the whole configuration. It is immutable once indexed.
type Catalog struct {
	// Version grows with each change.
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Accounts []Account `json:"accounts"`
	Limits   Limits    `json:"limits"`

	// byHost holds the routes of each host, the longest prefix first.
	byHost    map[string][]*Route
	byService map[string]*Service
	byKey     map[string]*Account
}

// Index builds the lookup tables; it must be called before any lookup.
func (c *Catalog) Index() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = insertByPrefix(c.byHost[host], r)
	}
	c.byService = make(map[string]*Service, len(c.Services))
	for i := range c.Services {
		c.byService[c.Services[i].Name] = &c.Services[i]
	}
	c.byKey = make(map[string]*Account)
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			c.byKey[key] = &c.Accounts[i]
		}
	}
}

// insertByPrefix inserts r into list, which is sorted by descending prefix length.
func insertByPrefix(list []*Route, r *Route) []*Route {
	pos := len(list)
	for pos > 0 && len(list[pos-1].Prefix) < len(r.Prefix) {
		pos--
	}
	list = append(list, nil)
	copy(list[pos+1:], list[pos:])
	list[pos] = r
	return list
}

// MatchRoute returns the route of host with the longest prefix of path, nil for none.
// The case of host and a port in it do not matter.
func (c *Catalog) MatchRoute(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// GetService returns a service by name, nil for none.
func (c *Catalog) GetService(name string) *Service { return c.byService[name] }

// GetAccount returns the client account that holds a key, nil for none.
func (c *Catalog) GetAccount(key string) *Account { return c.byKey[key] }

// NeedsKeys reports whether requests must carry a key of a client account.
func (c *Catalog) NeedsKeys() bool { return len(c.Accounts) > 0 }
