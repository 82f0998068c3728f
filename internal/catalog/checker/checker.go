// Package checker finds mistakes in a catalog before it is in force: what can never match, what
// contradicts itself, and what differs from another catalog.
package checker

import (
	"fmt"
	"strings"
	"time"

	"siskinfall/internal/catalog/holder"
)

// Severity says whether a catalog with a finding must not be sent.
type Severity string

// The severities.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is a mistake in a catalog.
type Finding struct {
	Severity Severity `json:"severity"`
	// Line is that of the file, from 1, or 0 if the finding belongs to none.
	Line int `json:"line,omitempty"`
	// Thing names what the finding is about, such as "route look".
	Thing string `json:"thing"`
	Text  string `json:"text"`
}

// String implements fmt.Stringer.
func (f Finding) String() string {
	line := ""
	if f.Line > 0 {
		line = fmt.Sprintf("line %d: ", f.Line)
	}
	return fmt.Sprintf("%s%s: %s: %s", line, f.Severity, f.Thing, f.Text)
}

// HasErrors reports whether a catalog with these findings must not be sent.
func HasErrors(findings []Finding) bool {
	for _, f := range findings {
		if f.Severity == Error {
			return true
		}
	}
	return false
}

// Option adds what the catalog does not say.
type Option func(*check)

// WithRetryBudget gives the retries that the gateways may make, as in budgeter.Bound.
func WithRetryBudget(ratio, slack float64) Option {
	return func(c *check) { c.hasBudget, c.ratio, c.slack = true, ratio, slack }
}

// check is one run over a catalog, which is indexed.
type check struct {
	catalog      *holder.Catalog
	findings     []Finding
	hasBudget    bool
	ratio, slack float64
}

// Check returns the findings of a catalog, in the order of its contents.
func Check(catalog *holder.Catalog, opts ...Option) []Finding {
	catalog.Index()
	c := &check{catalog: catalog}
	for _, opt := range opts {
		opt(c)
	}
	c.checkRoutes()
	c.checkServices()
	c.checkAccounts()
	return c.findings
}

func (c *check) add(s Severity, thing, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Thing: thing, Text: fmt.Sprintf(format, args...)})
}

func (c *check) checkRoutes() {
	type match struct{ host, prefix string }
	names, matches := make(map[string]bool), make(map[match]string)
	for i := range c.catalog.Routes {
		r := &c.catalog.Routes[i]
		thing := "route " + r.Name
		if names[r.Name] {
			c.add(Error, thing, "another route has this name")
		}
		names[r.Name] = true
		m := match{strings.ToLower(r.Host), r.Prefix}
		switch earlier, isTaken := matches[m]; {
		case isTaken:
			c.add(Error, thing, "never matches: route %s has the same host and prefix", earlier)
		case r.Host == "" || strings.Contains(r.Host, ":"):
			c.add(Error, thing, "never matches: host %q must be a name without a port", r.Host)
		case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
			c.add(Error, thing, "prefix %q must begin and end with a slash", r.Prefix)
		default:
			matches[m] = r.Name
		}
		c.checkTargets(r, thing)
		c.checkTimes(r, thing)
	}
}

func (c *check) checkTargets(r *holder.Route, thing string) {
	for _, t := range r.Targets {
		if c.catalog.GetService(t.Service) == nil {
			c.add(Error, thing, "there is no service %s", t.Service)
		}
	}
	if c.hasBudget && r.MaxAttempts > 1 && c.ratio == 0 && c.slack == 0 {
		c.add(Warning, thing, "has %d attempts, but the settings allow no retries", r.MaxAttempts)
	}
}

func (c *check) checkTimes(r *holder.Route, thing string) {
	if r.Timeout > 0 && r.Objective > r.Timeout {
		c.add(Error, thing, "the objective of %v is beyond the timeout of %v", r.Objective, r.Timeout)
	}
	for _, t := range r.Targets {
		s := c.catalog.GetService(t.Service)
		if s == nil || s.Engine == nil {
			continue
		}
		if usual := usualTime(s.Engine); r.Timeout > 0 && usual > r.Timeout {
			c.add(Warning, thing, "a usual answer of service %s takes %v even without other requests, beyond the timeout of %v", s.Name, usual, r.Timeout)
		}
		if event := time.Duration(s.Engine.TokensPerEvent) * s.Engine.Pass; r.GapObjective > 0 && event > r.GapObjective {
			c.add(Warning, thing, "events of service %s are %v apart, beyond the objective of %v", s.Name, event, r.GapObjective)
		}
	}
}

// usualTime returns the time of a usual answer of an engine without other requests.
func usualTime(e *holder.Engine) time.Duration {
	prefill := time.Duration(0)
	if e.PrefillRate > 0 {
		prefill = time.Duration(float64(e.UsualPrompt) / e.PrefillRate * float64(time.Second))
	}
	return prefill + time.Duration(e.UsualAnswer)*e.Pass
}

func (c *check) checkServices() {
	names, used := make(map[string]bool), make(map[string]bool)
	for _, r := range c.catalog.Routes {
		for _, t := range r.Targets {
			used[t.Service] = true
		}
	}
	for _, s := range c.catalog.Services {
		thing := "service " + s.Name
		if names[s.Name] {
			c.add(Error, thing, "another service has this name")
		}
		names[s.Name] = true
		if !used[s.Name] {
			c.add(Warning, thing, "no route leads to it")
		}
		if e := s.Engine; e != nil && e.MemoryTokens > 0 && e.UsualPrompt+e.UsualAnswer > e.MemoryTokens {
			c.add(Error, thing, "a usual request of %d tokens does not fit into the memory for %d", e.UsualPrompt+e.UsualAnswer, e.MemoryTokens)
		}
	}
}

func (c *check) checkAccounts() {
	names, holders := make(map[string]bool), make(map[string]string)
	for _, a := range c.catalog.Accounts {
		thing := "client account " + a.Name
		if names[a.Name] {
			c.add(Error, thing, "another client account has this name")
		}
		names[a.Name] = true
		if len(a.Keys) == 0 {
			c.add(Warning, thing, "never matches: it has no key")
		}
		for i, key := range a.Keys {
			// Keys are secret.
			if other, isTaken := holders[key]; isTaken {
				c.add(Error, thing, "key %d is also one of client account %s", i+1, other)
				continue
			}
			holders[key] = a.Name
		}
	}
}
