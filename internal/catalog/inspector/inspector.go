// Package inspector checks a configuration before it is put in force: errors, entries that
// no request can match, limits that contradict each other, and what differs from another
// version. It does no I/O.
package inspector

import (
	"fmt"
	"slices"

	"siskinfall/internal/catalog/holder"
)

// Severity says whether a configuration with a finding may be put in force.
type Severity string

// The severities.
const (
	// Error findings are mistakes: some requests would fail or never arrive.
	Error Severity = "error"
	// Warning findings are entries or limits without an effect.
	Warning Severity = "warning"
)

// Section is a part of the configuration.
type Section string

// The sections.
const (
	Whole    Section = "configuration"
	Routes   Section = "route"
	Services Section = "service"
	Accounts Section = "client account"
	Limits   Section = "limits"
)

// Finding is one mistake or contradiction.
type Finding struct {
	Severity Severity `json:"severity"`
	// Code names the check, in snake case.
	Code    string  `json:"code"`
	Section Section `json:"section"`
	// Index is the position of the entry in its section; 0 in sections without entries.
	Index int `json:"index"`
	// Name is the name of the entry, empty in sections without entries.
	Name string `json:"name,omitempty"`
	// Line is the line of the entry in the file, counted from 1; 0 if it is not known.
	Line int    `json:"line,omitempty"`
	Text string `json:"text"`
}

// String implements fmt.Stringer.
func (f Finding) String() string {
	where := string(f.Section)
	if f.Name != "" {
		where += " " + f.Name
	}
	if f.Line > 0 {
		where = fmt.Sprintf("line %d: %s", f.Line, where)
	}
	return fmt.Sprintf("%s: %s: %s (%s)", f.Severity, where, f.Text, f.Code)
}

// HasErrors reports whether any finding is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}

// Option configures an inspection.
type Option func(*inspection)

// WithRetryRatio sets the retries that the fleet may make for each request of a service,
// to which the attempts of the routes are compared.
func WithRetryRatio(ratio float64) Option { return func(i *inspection) { i.retryRatio = &ratio } }

// WithLines sets a function that returns the line of an entry in the file, 0 if it is not
// known.
func WithLines(lineOf func(s Section, index int) int) Option {
	return func(i *inspection) { i.lineOf = lineOf }
}

// inspection is the state of one check of a catalog.
type inspection struct {
	*holder.Catalog
	retryRatio *float64
	lineOf     func(s Section, index int) int
	services   map[string]*holder.Service
	findings   []Finding
}

// Inspect checks a catalog. The findings are in the order of its sections and entries. A
// kind of route that is not known must be kept in the catalog, not dropped.
func Inspect(c *holder.Catalog, opts ...Option) []Finding {
	i := &inspection{Catalog: c, services: make(map[string]*holder.Service), lineOf: func(Section, int) int { return 0 }}
	for _, opt := range opts {
		opt(i)
	}
	for n := range c.Services {
		i.services[c.Services[n].Name] = &c.Services[n]
	}
	if c.Version == 0 {
		i.add(Error, "no_version", Whole, 0, "", "has no version")
	}
	i.checkRoutes()
	i.checkServices()
	i.checkAccounts()
	i.checkLimits()
	return i.findings
}

func (i *inspection) add(severity Severity, code string, s Section, index int, name, format string, args ...any) {
	i.findings = append(i.findings, Finding{
		Severity: severity, Code: code, Section: s, Index: index, Name: name, Line: i.lineOf(s, index), Text: fmt.Sprintf(format, args...),
	})
}

// checkNames reports names that are missing or used twice.
func (i *inspection) checkNames(s Section, names []string) {
	first := make(map[string]int)
	for n, name := range names {
		if name == "" {
			i.add(Error, "no_name", s, n, "", "has no name")
			continue
		}
		if other, ok := first[name]; ok {
			i.add(Error, "name_twice", s, n, name, "has the name of entry %d", other+1)
			continue
		}
		first[name] = n
	}
}

func (i *inspection) checkServices() {
	names := make([]string, 0, len(i.Services))
	used := make(map[string]bool)
	for _, r := range i.Routes {
		for _, t := range r.Targets {
			used[t.Service] = true
		}
	}
	for n := range i.Services {
		s := &i.Services[n]
		names = append(names, s.Name)
		if !used[s.Name] {
			i.add(Warning, "service_unused", Services, n, s.Name, "is not the target of any route")
		}
		i.checkEngine(n, s)
	}
	i.checkNames(Services, names)
}

// checkEngine reports limits of a service's engines that contradict its usual requests.
func (i *inspection) checkEngine(n int, s *holder.Service) {
	e := s.Engine
	if e == nil {
		return
	}
	if s.MaxConnections > 0 && s.MaxConnections < e.Slots {
		i.add(Warning, "slots_unreachable", Services, n, s.Name, "accepts %d connections, so %d slots are never all in use", s.MaxConnections, e.Slots)
	}
	if usual := e.UsualPrompt + e.UsualAnswer; e.MemoryTokens > 0 && usual > e.MemoryTokens {
		i.add(Error, "request_exceeds_memory", Services, n, s.Name, "a usual request has %d tokens, and a server holds %d", usual, e.MemoryTokens)
	}
	if e.MaxNewExperts > e.SlotsPerRank {
		i.add(Warning, "new_experts_exceed_slots", Services, n, s.Name, "a map change may add %d experts to a rank that holds %d", e.MaxNewExperts, e.SlotsPerRank)
	}
}

func (i *inspection) checkAccounts() {
	names := make([]string, 0, len(i.Accounts))
	holders := make(map[string]string)
	for n, a := range i.Accounts {
		names = append(names, a.Name)
		if len(a.Keys) == 0 {
			i.add(Warning, "account_without_keys", Accounts, n, a.Name, "has no key, so nobody can use it")
		}
		for k, key := range a.Keys {
			switch other, ok := holders[key]; {
			case key == "":
				i.add(Error, "empty_key", Accounts, n, a.Name, "key %d is empty", k+1)
			case ok && other == a.Name:
				i.add(Warning, "key_twice", Accounts, n, a.Name, "key %d appears twice", k+1)
			case ok:
				i.add(Error, "key_of_two_accounts", Accounts, n, a.Name, "key %d is also one of client account %s", k+1, other)
			default:
				holders[key] = a.Name
			}
		}
	}
	i.checkNames(Accounts, names)
}

func (i *inspection) checkLimits() {
	l := i.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		i.add(Error, "negative_limit", Limits, 0, "", "a limit is negative")
	}
	// A connection is closed as idle before the head that it waits for may be late.
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		i.add(Warning, "header_timeout_over_idle", Limits, 0, "", "a head may take %v, longer than a connection may be idle (%v)", l.HeaderTimeout, l.IdleTimeout)
	}
}
