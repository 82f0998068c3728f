// Package registrar manages the configuration: aggregates with their own
// validation rules, numbered change tickets that carry complete aggregates, and
// the configuration in force in one process. An entity is the encoded state of
// one aggregate together with the number of the ticket that set or deleted it.
package registrar

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// Kind is the name of a type of aggregate in tickets, on the wire and in stored
// data.
type Kind string

// The kinds of aggregates.
const (
	KindClientAccount Kind = "client_account"
	KindService       Kind = "service"
	KindGroup         Kind = "model_group"
	KindRanking       Kind = "ranking"
)

// RankingName is the name of the only Ranking.
const RankingName = "default"

// Aggregate is a unit of configuration that is set as a whole and validates
// itself.
type Aggregate interface {
	// GetName returns the name, unique among aggregates of its kind.
	GetName() string
	// validate returns a description of every broken rule.
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
	// Class is the default class of the account's requests.
	Class string `yaml:"class" json:"class"`
	// Rate is in requests per second over all entry instances; 0 means no limit.
	Rate float64 `yaml:"requests_per_second" json:"requests_per_second"`
	// Burst is in requests.
	Burst int `yaml:"burst" json:"burst"`
	// Concurrency is in requests in flight over all entry instances; 0 means no limit.
	Concurrency int `yaml:"concurrency" json:"concurrency"`
	// Weight is the account's relative share in fair queuing; at least 1.
	Weight int `yaml:"weight" json:"weight"`
}

// ServiceKind is the protocol of a service.
type ServiceKind string

// The kinds of services.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// Service is an API offered by backend servers, with its routing and retry rules.
type Service struct {
	Name string      `yaml:"name" json:"name"`
	Kind ServiceKind `yaml:"kind" json:"kind"`
	// PathPrefix selects the service of a plain request; it begins and ends with a slash.
	PathPrefix string `yaml:"path_prefix" json:"path_prefix,omitempty"`
	// Routes are matched in order and the first match applies. Without a match, GET
	// and HEAD requests and all requests to a model service are idempotent.
	Routes []Route `yaml:"routes" json:"routes,omitempty"`
	// RequireKey makes the service refuse non-idempotent requests without an
	// idempotency key.
	RequireKey bool `yaml:"require_key" json:"require_key"`
	// Timeout bounds a request from acceptance to its last byte.
	Timeout time.Duration `yaml:"timeout" json:"timeout"`
	// MaxAttempts bounds the attempts for one request, including the first.
	MaxAttempts int `yaml:"attempts" json:"attempts"`
	// RetryBudget is the fraction of new requests that may be retried.
	RetryBudget float64 `yaml:"retry_budget" json:"retry_budget"`
	// Retention is how long the row of an execution is kept.
	Retention time.Duration `yaml:"execution_retention" json:"execution_retention"`
	Objective Objective     `yaml:"objective" json:"objective"`
}

// Objective is the service level objective of a service.
type Objective struct {
	// Availability is the fraction of good requests, below 1.
	Availability float64 `yaml:"availability" json:"availability"`
	// FirstByte is the latency of the first byte above which a request is bad.
	FirstByte time.Duration `yaml:"first_byte" json:"first_byte"`
}

// Route sets whether the requests that match it may run more than once.
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
	// RanksPerMember is the number of ranks of each member.
	RanksPerMember int `yaml:"ranks_per_member" json:"ranks_per_member"`
	Experts        int `yaml:"experts" json:"experts"`
	Layers         int `yaml:"layers" json:"layers"`
	// SlotsPerRank is the number of experts that a rank holds per layer; the slots
	// of all ranks are at least as many as the experts.
	SlotsPerRank int `yaml:"slots_per_rank" json:"slots_per_rank"`
	// ExpertBytes is the size in bytes of one expert of one layer.
	ExpertBytes int64 `yaml:"expert_bytes" json:"expert_bytes"`
	// StepSkewWeight is the cost of one second of step time lost to skew.
	StepSkewWeight float64 `yaml:"step_skew_weight" json:"step_skew_weight"`
	// RebalanceCostWeight is the cost of one second of copying.
	RebalanceCostWeight float64 `yaml:"rebalance_cost_weight" json:"rebalance_cost_weight"`
	// RebalanceInterval is the interval at which a new expert map is planned.
	RebalanceInterval time.Duration `yaml:"rebalance_interval" json:"rebalance_interval"`
	// CopyRate bounds all copies together, in bytes per second.
	CopyRate int64 `yaml:"copy_bytes_per_second" json:"copy_bytes_per_second"`
	// CopyLane is the name of a copy lane: the groups in it share a byte budget, and
	// only one of them copies at a time. A group without a lane copies at any time.
	CopyLane string `yaml:"copy_lane" json:"copy_lane,omitempty"`
}

// Ranking is the order of precedence of the classes of requests.
type Ranking struct {
	Name string `yaml:"name" json:"name"`
	// Classes are in descending order of precedence.
	Classes []Class `yaml:"classes" json:"classes"`
}

// Class is one class of requests.
type Class struct {
	Name string `yaml:"name" json:"name"`
	// Floor is the fraction of slots that is reserved for the class under load.
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

// validator collects descriptions of broken rules.
type validator struct {
	problems []string
}

func (v *validator) require(ok bool, format string, args ...any) {
	if !ok {
		v.problems = append(v.problems, fmt.Sprintf(format, args...))
	}
}

func (a *ClientAccount) validate() []string {
	var v validator
	v.require(validName(a.Name), "name %q is not a valid name", a.Name)
	v.require(len(a.KeyHashes) > 0, "key_sha256 is empty")
	for _, h := range a.KeyHashes {
		raw, err := hex.DecodeString(h)
		v.require(err == nil && len(raw) == 32, "key_sha256 has an entry that is no SHA-256 in hexadecimal")
	}
	v.require(a.Class != "", "class is empty")
	v.require(a.Rate >= 0, "requests_per_second is negative")
	v.require(a.Rate == 0 || a.Burst >= 1, "burst is below 1")
	v.require(a.Concurrency >= 0, "concurrency is negative")
	v.require(a.Weight >= 1, "weight is below 1")
	return v.problems
}

func (s *Service) validate() []string {
	var v validator
	v.require(validName(s.Name), "name %q is not a valid name", s.Name)
	switch s.Kind {
	case ServiceModel:
	case ServicePlain:
		v.require(len(s.PathPrefix) > 2 && strings.HasPrefix(s.PathPrefix, "/") && strings.HasSuffix(s.PathPrefix, "/"),
			"path_prefix %q does not begin and end with a slash", s.PathPrefix)
	default:
		v.require(false, "kind %q is neither model nor plain", s.Kind)
	}
	v.require(s.Timeout >= 100*time.Millisecond && s.Timeout <= time.Hour, "timeout is outside 100ms to 1h")
	v.require(s.MaxAttempts >= 1 && s.MaxAttempts <= 10, "attempts is outside 1 to 10")
	v.require(s.RetryBudget >= 0 && s.RetryBudget <= 1, "retry_budget is outside 0 to 1")
	v.require(s.Retention >= 2*s.Timeout, "execution_retention is below twice the timeout")
	v.require(s.Objective.Availability > 0 && s.Objective.Availability < 1, "objective.availability is outside 0 to 1")
	v.require(s.Objective.FirstByte > 0, "objective.first_byte is not positive")
	for i, route := range s.Routes {
		v.require(len(route.Methods) > 0, "routes[%d].methods is empty", i)
		v.require(strings.HasPrefix(route.PathPrefix, "/"), "routes[%d].path_prefix does not begin with a slash", i)
	}
	return v.problems
}

func (g *Group) validate() []string {
	var v validator
	v.require(validName(g.Name), "name %q is not a valid name", g.Name)
	v.require(g.Service != "", "service is empty")
	v.require(len(g.Members) > 0, "members is empty")
	v.require(g.RanksPerMember >= 1, "ranks_per_member is below 1")
	v.require(g.Experts >= 1 && g.Experts <= 4096, "experts is outside 1 to 4096")
	v.require(g.Layers >= 1 && g.Layers <= 512, "layers is outside 1 to 512")
	slots := len(g.Members) * g.RanksPerMember * g.SlotsPerRank
	v.require(slots >= g.Experts, "%d slots hold fewer than %d experts", slots, g.Experts)
	v.require(g.StepSkewWeight >= 0, "step_skew_weight is negative")
	v.require(g.RebalanceCostWeight >= 0, "rebalance_cost_weight is negative")
	v.require(g.RebalanceInterval >= time.Second, "rebalance_interval is below 1s")
	v.require(g.ExpertBytes > 0, "expert_bytes is not positive")
	v.require(g.CopyRate > 0, "copy_bytes_per_second is not positive")
	v.require(g.CopyLane == "" || validName(g.CopyLane), "copy_lane %q is not a valid name", g.CopyLane)
	return v.problems
}

func (r *Ranking) validate() []string {
	var v validator
	v.require(r.Name == RankingName, "name is not %q", RankingName)
	v.require(len(r.Classes) > 0, "classes is empty")
	floors := 0.0
	for i, class := range r.Classes {
		v.require(validName(class.Name), "classes[%d].name %q is not a valid name", i, class.Name)
		v.require(class.Floor >= 0, "classes[%d].floor is negative", i)
		floors += class.Floor
	}
	v.require(floors <= 1, "floors add up to more than 1")
	return v.problems
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
