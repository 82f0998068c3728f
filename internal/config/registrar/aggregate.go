// Package registrar holds the configuration: aggregates with their own rules,
// numbered change tickets that carry their whole states, and the book of the
// states in force in one process.
package registrar

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// Kind names a type of aggregate in own formats.
type Kind string

// The kinds of aggregates.
const (
	KindClientAccount Kind = "client_account"
	KindService       Kind = "service"
	KindGroup         Kind = "model_group"
	KindRanking       Kind = "ranking"
)

// RankingName is the name of the only ranking.
const RankingName = "default"

// Aggregate is one configured thing with its own rules.
type Aggregate interface {
	// GetName returns the name, unique among aggregates of its kind.
	GetName() string
	// validate returns every broken rule.
	validate() []string
	sealed()
}

// ClientAccount is a member or franchisee that sends requests.
type ClientAccount struct {
	Name string `yaml:"name" json:"name"`
	// KeyHashes are SHA-256 sums of bearer keys in hexadecimal.
	KeyHashes []string `yaml:"key_sha256" json:"key_sha256"`
	// Services lists what the account may use; empty means every service.
	Services []string `yaml:"services" json:"services,omitempty"`
	// Class is the class of work of requests that name none.
	Class string `yaml:"class" json:"class"`
	// Rate is in requests a second over all entry instances; 0 means no limit.
	Rate float64 `yaml:"requests_per_second" json:"requests_per_second"`
	// Burst is in requests.
	Burst int `yaml:"burst" json:"burst"`
	// Concurrency is in requests in flight over all entries; 0 means no limit.
	Concurrency int `yaml:"concurrency" json:"concurrency"`
	// Weight is the account's share in fair queuing; at least 1.
	Weight int `yaml:"weight" json:"weight"`
}

// ServiceKind says which protocol a service speaks.
type ServiceKind string

// The kinds of services.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// Service is something that backend servers offer.
type Service struct {
	Name string      `yaml:"name" json:"name"`
	Kind ServiceKind `yaml:"kind" json:"kind"`
	// PathPrefix routes plain requests; it begins and ends with a slash.
	PathPrefix string `yaml:"path_prefix" json:"path_prefix,omitempty"`
	// Routes are tried in order; without a match, GET and HEAD are idempotent.
	Routes []Route `yaml:"routes" json:"routes,omitempty"`
	// RequireKey refuses non-idempotent requests without an idempotency key.
	RequireKey bool `yaml:"require_key" json:"require_key"`
	// Timeout bounds a request from acceptance to its last byte.
	Timeout time.Duration `yaml:"timeout" json:"timeout"`
	// Attempts is the most attempts for one request.
	Attempts int `yaml:"attempts" json:"attempts"`
	// RetryBudget is the fraction of fresh requests that may be retried.
	RetryBudget float64 `yaml:"retry_budget" json:"retry_budget"`
	// Retention is how long a row of an execution is kept.
	Retention time.Duration `yaml:"execution_retention" json:"execution_retention"`
	Objective Objective     `yaml:"objective" json:"objective"`
}

// Objective is the service level that a service promises.
type Objective struct {
	// Availability is the fraction of good requests, below 1.
	Availability float64 `yaml:"availability" json:"availability"`
	// FirstByte is the latency above which a request is bad.
	FirstByte time.Duration `yaml:"first_byte" json:"first_byte"`
}

// Route says whether requests may run more than once.
type Route struct {
	Methods    []string `yaml:"methods" json:"methods"`
	PathPrefix string   `yaml:"path_prefix" json:"path_prefix"`
	Idempotent bool     `yaml:"idempotent" json:"idempotent"`
}

// Group is an expert-parallel model group.
type Group struct {
	Name    string `yaml:"name" json:"name"`
	Service string `yaml:"service" json:"service"`
	// Members are the instances of the group's agents, in rank order.
	Members []string `yaml:"members" json:"members"`
	// RanksPerMember times the members is the number of ranks.
	RanksPerMember int `yaml:"ranks_per_member" json:"ranks_per_member"`
	Experts        int `yaml:"experts" json:"experts"`
	Layers         int `yaml:"layers" json:"layers"`
	// SlotsPerRank times the ranks is at least the number of experts.
	SlotsPerRank int `yaml:"slots_per_rank" json:"slots_per_rank"`
	// ExpertBytes is the size of one expert of one layer.
	ExpertBytes int64 `yaml:"expert_bytes" json:"expert_bytes"`
	// StepSkewWeight prices a second of step time lost to skew.
	StepSkewWeight float64 `yaml:"step_skew_weight" json:"step_skew_weight"`
	// RebalanceCostWeight prices a second of transfer.
	RebalanceCostWeight float64 `yaml:"rebalance_cost_weight" json:"rebalance_cost_weight"`
	// RebalanceInterval is how often a new map is considered.
	RebalanceInterval time.Duration `yaml:"rebalance_interval" json:"rebalance_interval"`
	// CopyRate is the byte budget of all copies together, in bytes a second.
	CopyRate int64 `yaml:"copy_bytes_per_second" json:"copy_bytes_per_second"`
	// Lane names the groups that share a byte budget: one of them moves at a time.
	// Groups without a lane move whenever they want.
	Lane string `yaml:"copy_lane" json:"copy_lane,omitempty"`
}

// Ranking says how classes of work rank against each other.
type Ranking struct {
	Name string `yaml:"name" json:"name"`
	// Classes are in order of precedence, the first one first.
	Classes []Class `yaml:"classes" json:"classes"`
}

// Class is one class of work.
type Class struct {
	Name string `yaml:"name" json:"name"`
	// Floor is the fraction of slots that the class gets even under pressure.
	Floor float64 `yaml:"floor" json:"floor"`
}

// GetName implements Aggregate.
func (a *ClientAccount) GetName() string { return a.Name }

// GetName implements Aggregate.
func (s *Service) GetName() string { return s.Name }

// GetName implements Aggregate.
func (g *Group) GetName() string { return g.Name }

// GetName implements Aggregate.
func (r *Ranking) GetName() string { return r.Name }

func (*ClientAccount) sealed() {}
func (*Service) sealed()       {}
func (*Group) sealed()         {}
func (*Ranking) sealed()       {}

// KindOf returns the kind of an aggregate.
func KindOf(a Aggregate) Kind {
	switch a.(type) {
	case *ClientAccount:
		return KindClientAccount
	case *Service:
		return KindService
	case *Group:
		return KindGroup
	case *Ranking:
		return KindRanking
	}
	return ""
}

// newAggregate returns an empty aggregate of a kind, or nil.
func newAggregate(kind Kind) Aggregate {
	switch kind {
	case KindClientAccount:
		return &ClientAccount{}
	case KindService:
		return &Service{}
	case KindGroup:
		return &Group{}
	case KindRanking:
		return &Ranking{}
	}
	return nil
}

// rules collects broken rules.
type rules struct {
	broken []string
}

func (r *rules) demand(ok bool, format string, args ...any) {
	if !ok {
		r.broken = append(r.broken, fmt.Sprintf(format, args...))
	}
}

func (a *ClientAccount) validate() []string {
	var r rules
	r.demand(validName(a.Name), "name %q is not a valid name", a.Name)
	r.demand(len(a.KeyHashes) > 0, "key_sha256 is empty")
	for _, h := range a.KeyHashes {
		raw, err := hex.DecodeString(h)
		r.demand(err == nil && len(raw) == 32, "key_sha256 has an entry that is no SHA-256 in hexadecimal")
	}
	r.demand(a.Class != "", "class is empty")
	r.demand(a.Rate >= 0, "requests_per_second is negative")
	r.demand(a.Rate == 0 || a.Burst >= 1, "burst is below 1")
	r.demand(a.Concurrency >= 0, "concurrency is negative")
	r.demand(a.Weight >= 1, "weight is below 1")
	return r.broken
}

func (s *Service) validate() []string {
	var r rules
	r.demand(validName(s.Name), "name %q is not a valid name", s.Name)
	switch s.Kind {
	case ServiceModel:
	case ServicePlain:
		r.demand(len(s.PathPrefix) > 2 && strings.HasPrefix(s.PathPrefix, "/") && strings.HasSuffix(s.PathPrefix, "/"),
			"path_prefix %q does not begin and end with a slash", s.PathPrefix)
	default:
		r.demand(false, "kind %q is neither model nor plain", s.Kind)
	}
	r.demand(s.Timeout >= 100*time.Millisecond && s.Timeout <= time.Hour, "timeout is outside 100ms to 1h")
	r.demand(s.Attempts >= 1 && s.Attempts <= 10, "attempts is outside 1 to 10")
	r.demand(s.RetryBudget >= 0 && s.RetryBudget <= 1, "retry_budget is outside 0 to 1")
	r.demand(s.Retention >= 2*s.Timeout, "execution_retention is below twice the timeout")
	r.demand(s.Objective.Availability > 0 && s.Objective.Availability < 1, "objective.availability is outside 0 to 1")
	r.demand(s.Objective.FirstByte > 0, "objective.first_byte is not positive")
	for i, route := range s.Routes {
		r.demand(len(route.Methods) > 0, "routes[%d].methods is empty", i)
		r.demand(strings.HasPrefix(route.PathPrefix, "/"), "routes[%d].path_prefix does not begin with a slash", i)
	}
	return r.broken
}

func (g *Group) validate() []string {
	var r rules
	r.demand(validName(g.Name), "name %q is not a valid name", g.Name)
	r.demand(g.Service != "", "service is empty")
	r.demand(len(g.Members) > 0, "members is empty")
	r.demand(g.RanksPerMember >= 1, "ranks_per_member is below 1")
	r.demand(g.Experts >= 1 && g.Experts <= 4096, "experts is outside 1 to 4096")
	r.demand(g.Layers >= 1 && g.Layers <= 512, "layers is outside 1 to 512")
	slots := len(g.Members) * g.RanksPerMember * g.SlotsPerRank
	r.demand(slots >= g.Experts, "%d slots hold fewer than %d experts", slots, g.Experts)
	r.demand(g.StepSkewWeight >= 0, "step_skew_weight is negative")
	r.demand(g.RebalanceCostWeight >= 0, "rebalance_cost_weight is negative")
	r.demand(g.RebalanceInterval >= time.Second, "rebalance_interval is below 1s")
	r.demand(g.ExpertBytes > 0, "expert_bytes is not positive")
	r.demand(g.CopyRate > 0, "copy_bytes_per_second is not positive")
	r.demand(g.Lane == "" || validName(g.Lane), "copy_lane %q is not a valid name", g.Lane)
	return r.broken
}

func (r *Ranking) validate() []string {
	var c rules
	c.demand(r.Name == RankingName, "name is not %q", RankingName)
	c.demand(len(r.Classes) > 0, "classes is empty")
	floors := 0.0
	for i, class := range r.Classes {
		c.demand(validName(class.Name), "classes[%d].name %q is not a valid name", i, class.Name)
		c.demand(class.Floor >= 0, "classes[%d].floor is negative", i)
		floors += class.Floor
	}
	c.demand(floors <= 1, "floors add up to more than 1")
	return c.broken
}

// validName allows lower-case letters, digits, dots, dashes and underscores.
func validName(s string) bool {
	if s == "" || len(s) > 64 {
		return false
	}
	for _, c := range s {
		ok := c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '.' || c == '-' || c == '_'
		if !ok {
			return false
		}
	}
	return true
}
