package registrar

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"go.yaml.in/yaml/v3"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/wire/encoder"
)

// Ticket is a numbered configuration change. It carries the complete new state of
// each aggregate that it sets.
type Ticket struct {
	// Number is at least 1 and is not reused for other content.
	Number   uint64           `yaml:"number" json:"number"`
	Author   string           `yaml:"author" json:"author"`
	Accounts []*ClientAccount `yaml:"client_accounts" json:"client_accounts,omitempty"`
	Services []*Service       `yaml:"services" json:"services,omitempty"`
	Groups   []*Group         `yaml:"model_groups" json:"model_groups,omitempty"`
	Rankings []*Ranking       `yaml:"rankings" json:"rankings,omitempty"`
	Deleted  []Ref            `yaml:"deleted" json:"deleted,omitempty"`
}

// Ref identifies an aggregate and its entity.
type Ref struct {
	Kind Kind   `yaml:"kind" json:"kind"`
	Name string `yaml:"name" json:"name"`
}

// String returns kind/name.
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// InvalidTicketError is returned for a ticket that can't be decoded or breaks a
// rule.
type InvalidTicketError struct {
	// Problems is not empty.
	Problems []string
}

// Error implements error.
func (e *InvalidTicketError) Error() string {
	return "ticket is invalid: " + strings.Join(e.Problems, "; ")
}

// IsInvalidTicket reports whether err is an InvalidTicketError.
func IsInvalidTicket(err error) bool {
	var e *InvalidTicketError
	return errors.As(err, &e)
}

// ParseTicket decodes a ticket from YAML, of which JSON is a subset, and validates
// it. The error is an InvalidTicketError.
func ParseTicket(data []byte) (*Ticket, error) {
	t := &Ticket{}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(t); err != nil && !errors.Is(err, io.EOF) {
		return nil, &InvalidTicketError{Problems: strings.Split(err.Error(), "\n")}
	}
	if problems := t.validate(); len(problems) > 0 {
		return nil, &InvalidTicketError{Problems: problems}
	}
	return t, nil
}

// aggregates returns all aggregates that the ticket sets.
func (t *Ticket) aggregates() []Aggregate {
	list := make([]Aggregate, 0, len(t.Accounts)+len(t.Services)+len(t.Groups)+len(t.Rankings))
	for _, a := range t.Accounts {
		list = append(list, a)
	}
	for _, s := range t.Services {
		list = append(list, s)
	}
	for _, g := range t.Groups {
		list = append(list, g)
	}
	for _, r := range t.Rankings {
		list = append(list, r)
	}
	return list
}

func (t *Ticket) validate() []string {
	var v validator
	v.require(t.Number >= 1, "number is below 1")
	seen := make(map[Ref]bool)
	requireUnique := func(ref Ref) {
		v.require(!seen[ref], "%s appears twice", ref)
		seen[ref] = true
	}
	for _, a := range t.aggregates() {
		ref := Ref{Kind: KindOf(a), Name: a.GetName()}
		requireUnique(ref)
		for _, text := range a.validate() {
			v.require(false, "%s: %s", ref, text)
		}
	}
	for _, ref := range t.Deleted {
		requireUnique(ref)
		v.require(newAggregate(ref.Kind) != nil, "%s: unknown kind", ref)
	}
	v.require(len(seen) > 0, "the ticket touches nothing")
	return v.problems
}

// Entities returns an entity for every aggregate that the ticket sets or deletes.
func (t *Ticket) Entities() ([]*encoder.Entity, error) {
	list := make([]*encoder.Entity, 0, len(t.Deleted))
	for _, a := range t.aggregates() {
		body, err := json.Marshal(a)
		if err != nil {
			return nil, wrapper.At("encode_aggregate", "", err)
		}
		list = append(list, &encoder.Entity{Kind: string(KindOf(a)), Name: a.GetName(), Number: t.Number, Body: body})
	}
	for _, ref := range t.Deleted {
		list = append(list, &encoder.Entity{Kind: string(ref.Kind), Name: ref.Name, Number: t.Number, Deleted: true})
	}
	return list, nil
}

// decodeEntity returns the aggregate of an entity, nil for a deleted one.
func decodeEntity(e *encoder.Entity) (Aggregate, error) {
	if e.GetDeleted() {
		return nil, nil //nolint:nilnil // a deleted entity has no aggregate
	}
	a := newAggregate(Kind(e.GetKind()))
	if a == nil {
		return nil, fmt.Errorf("unknown kind %q", e.GetKind())
	}
	if err := json.Unmarshal(e.GetBody(), a); err != nil {
		return nil, err
	}
	return a, nil
}
