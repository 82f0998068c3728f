package inspector

import (
	"net"
	"strings"
	"time"

	"siskinfall/internal/catalog/holder"
)

// checkRoutes reports routes that are invalid, that no request can match, and whose limits
// contradict each other.
func (i *inspection) checkRoutes() {
	names := make([]string, 0, len(i.Routes))
	type match struct{ host, prefix string }
	first := make(map[match]string)
	for n := range i.Routes {
		r := &i.Routes[n]
		names = append(names, r.Name)
		i.checkMatch(n, r)
		key := match{strings.ToLower(r.Host), r.Prefix}
		if other, ok := first[key]; ok {
			i.add(Error, "route_hidden", Routes, n, r.Name, "never matches: route %s has the same host and prefix and comes first", other)
		} else {
			first[key] = r.Name
		}
		i.checkKind(n, r)
		i.checkTargets(n, r)
		i.checkTimes(n, r)
		i.checkAttempts(n, r)
	}
	i.checkNames(Routes, names)
}

// checkMatch reports a host or a prefix that no request has.
func (i *inspection) checkMatch(n int, r *holder.Route) {
	switch _, _, err := net.SplitHostPort(r.Host); {
	case r.Host == "":
		i.add(Error, "no_host", Routes, n, r.Name, "has no host")
	case strings.ContainsAny(r.Host, " /?#@"):
		i.add(Error, "invalid_host", Routes, n, r.Name, "never matches: %q is no host", r.Host)
	case err == nil:
		i.add(Error, "host_with_port", Routes, n, r.Name, "never matches: host %q has a port, which is left out of a request's host", r.Host)
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		i.add(Error, "invalid_prefix", Routes, n, r.Name, "prefix %q does not begin and end with a slash", r.Prefix)
	case strings.ContainsAny(r.Prefix, "?# "):
		i.add(Error, "prefix_never_matches", Routes, n, r.Name, "never matches: no path contains %q", r.Prefix)
	}
}

func (i *inspection) checkKind(n int, r *holder.Route) {
	switch r.Kind {
	case holder.Streaming:
		return
	case holder.Idempotent, holder.NonIdempotent:
		if r.Resumable {
			i.add(Warning, "resumable_without_stream", Routes, n, r.Name, "is resumable, but its answers are no streams")
		}
	default:
		i.add(Error, "unknown_kind", Routes, n, r.Name, "has the unknown kind %q", r.Kind)
	}
}

func (i *inspection) checkTargets(n int, r *holder.Route) {
	total := 0
	seen := make(map[string]bool)
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
		switch {
		case i.services[t.Service] == nil:
			i.add(Error, "unknown_service", Routes, n, r.Name, "sends requests to service %q, which is not declared", t.Service)
		case t.Weight <= 0:
			i.add(Warning, "target_without_weight", Routes, n, r.Name, "service %s has no weight and gets no requests", t.Service)
		case seen[t.Service]:
			i.add(Warning, "target_twice", Routes, n, r.Name, "service %s is a target twice", t.Service)
		}
		seen[t.Service] = true
	}
	if total == 0 {
		i.add(Error, "no_target", Routes, n, r.Name, "has no target that gets requests")
	}
}

// checkTimes reports objectives that the timeout makes impossible, and timeouts and
// objectives that the engines of a target cannot keep with a usual request on an idle server.
func (i *inspection) checkTimes(n int, r *holder.Route) {
	if r.Timeout < 0 || r.Objective < 0 || r.GapObjective < 0 {
		i.add(Error, "negative_time", Routes, n, r.Name, "a time is negative")
		return
	}
	if r.Timeout > 0 && r.Objective > r.Timeout {
		i.add(Error, "objective_over_timeout", Routes, n, r.Name, "objective %v is longer than the timeout %v", r.Objective, r.Timeout)
	}
	if r.Timeout > 0 && r.GapObjective > r.Timeout {
		i.add(Warning, "gap_over_timeout", Routes, n, r.Name, "objective %v between events is longer than the timeout %v", r.GapObjective, r.Timeout)
	}
	for _, t := range r.Targets {
		s := i.services[t.Service]
		if s == nil || s.Engine == nil {
			continue
		}
		first, gap, whole := usualTimes(s.Engine)
		if r.Timeout > 0 && whole > r.Timeout {
			i.add(Error, "timeout_under_usual_work", Routes, n, r.Name, "a usual request takes %v on an idle server of %s, longer than the timeout %v", whole, t.Service, r.Timeout)
		}
		if r.Objective > 0 && first > r.Objective {
			i.add(Warning, "objective_under_usual_work", Routes, n, r.Name, "the first event takes %v on an idle server of %s, longer than the objective %v", first, t.Service, r.Objective)
		}
		if r.GapObjective > 0 && gap > r.GapObjective {
			i.add(Warning, "gap_under_usual_work", Routes, n, r.Name, "events are %v apart on an idle server of %s, longer than the objective %v", gap, t.Service, r.GapObjective)
		}
	}
}

// usualTimes returns the times of a usual request that has an engine for itself: to its
// first event, between two events, and in all.
func usualTimes(e *holder.Engine) (first, gap, whole time.Duration) {
	const resolution = 100 * time.Microsecond
	step := e.Pass + e.PerRequest
	gap = step * time.Duration(max(e.TokensPerEvent, 1))
	first = gap
	if e.PrefillRate > 0 {
		first += time.Duration(float64(e.UsualPrompt) / e.PrefillRate * float64(time.Second))
	}
	whole = first + step*time.Duration(max(e.UsualAnswer-max(e.TokensPerEvent, 1), 0))
	return first.Round(resolution), gap.Round(resolution), whole.Round(resolution)
}

// checkAttempts compares the attempts of a route with the retries that the fleet may make.
func (i *inspection) checkAttempts(n int, r *holder.Route) {
	if r.MaxAttempts < 1 {
		i.add(Warning, "no_attempts", Routes, n, r.Name, "allows %d attempts, which is taken as one", r.MaxAttempts)
	}
	if i.retryRatio != nil && *i.retryRatio <= 0 && r.MaxAttempts > 1 {
		i.add(Warning, "attempts_over_retry_bound", Routes, n, r.Name, "allows %d attempts, but the fleet may make no retries", r.MaxAttempts)
	}
}
