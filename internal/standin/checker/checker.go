package checker

import (
	"fmt"
	"strings"
	"sync"

	"siskinfall/internal/standin/responder"
)

// Checker compares the outcomes that callers saw with what backend servers ran. It
// is safe for concurrent use.
type Checker struct {
	mu       sync.Mutex
	outcomes []*Outcome
}

// Add records the outcome of a call.
func (c *Checker) Add(o *Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// Summary counts the outcomes of calls.
type Summary struct {
	// Broken counts calls with neither a complete answer nor an execution of not_run
	// or unknown.
	Requests, Answered, NotRun, Unknown, Broken int
	// Codes counts refusals by code.
	Codes map[string]int
}

// GetSummary returns the counts of the outcomes so far.
func (c *Checker) GetSummary() Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Summary{Codes: make(map[string]int)}
	for _, o := range c.outcomes {
		s.Requests++
		switch {
		case o.IsAnswered():
			s.Answered++
		case o.Execution == "not_run":
			s.NotRun++
		case o.Execution == "unknown":
			s.Unknown++
		default:
			s.Broken++
		}
		if o.Code != "" {
			s.Codes[o.Code]++
		}
	}
	return s
}

// Backend is the record that a stand-in backend server keeps of its requests.
type Backend interface {
	// GetRuns returns what the plain service has run.
	GetRuns() []responder.Run
	// GetAttempts returns how often each attempt arrived, by attempt id.
	GetAttempts() map[string]int
}

// Check returns a description of every violated guarantee: an order runs at most
// once, an answered order has run and has only one answer, a request refused as
// not_run never reached a backend server, and a complete answer of a model or to an
// order is the one that belongs to the request.
func (c *Checker) Check(backends []Backend) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	arrived, runs := collect(backends)
	var violations []string
	add := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	for key, attempts := range runs {
		if len(attempts) > 1 {
			add("order %s ran %d times: %v", key, len(attempts), attempts)
		}
	}
	answers := make(map[string]string)
	for _, o := range c.outcomes {
		if o.Execution == "not_run" && arrived[o.RequestID] > 0 {
			add("request %s was told not_run (%s) and ran", o.RequestID, o.Code)
		}
		if text := checkAnswer(o); text != "" {
			add("request %s: %s", o.RequestID, text)
		}
		if o.Kind != KindOrder || !o.IsAnswered() {
			continue
		}
		if len(runs[o.Key]) == 0 {
			add("order %s was answered and never ran", o.Key)
		}
		if earlier, ok := answers[o.Key]; ok && earlier != o.Body {
			add("order %s got two answers: %q and %q", o.Key, earlier, o.Body)
		}
		answers[o.Key] = o.Body
	}
	return violations
}

// collect returns how often each request reached a backend server, by request id,
// and the attempts that ran each order, by idempotency key.
func collect(backends []Backend) (arrived map[string]int, runs map[string][]string) {
	arrived, runs = make(map[string]int), make(map[string][]string)
	for _, b := range backends {
		for attempt, n := range b.GetAttempts() {
			arrived[requestIDOf(attempt)] += n
		}
		for _, run := range b.GetRuns() {
			if run.Key != "" {
				runs[run.Key] = append(runs[run.Key], run.Attempt)
			}
		}
	}
	return arrived, runs
}

// checkAnswer returns what is wrong with a complete answer, or the empty string.
func checkAnswer(o *Outcome) string {
	if !o.IsAnswered() {
		return ""
	}
	switch o.Kind {
	case KindStream:
		if want := responder.ExpectedStream(Messages(o.Payload), o.Tokens); o.Body != want {
			return fmt.Sprintf("stream of %d bytes is not the whole own answer of %d", len(o.Body), len(want))
		}
	case KindWhole:
		if !strings.Contains(o.Body, responder.ExpectedWhole(Messages(o.Payload), o.Tokens)) {
			return "answer is not the own one"
		}
	case KindOrder:
		if !strings.Contains(o.Body, o.Payload) {
			return "answer does not carry the own order"
		}
	case KindLookup:
	}
	return ""
}
