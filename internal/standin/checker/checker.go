package checker

import (
	"fmt"
	"strings"
	"sync"

	"siskinfall/internal/standin/responder"
)

// Checker compares what callers were told with what was run.
type Checker struct {
	mu   sync.Mutex
	told []*Told
}

// Add takes in what a caller was told.
func (c *Checker) Add(t *Told) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = append(c.told, t)
}

// Summary counts what callers were told.
type Summary struct {
	Requests, Answered, NotRun, Unknown, Broken int
	// Codes counts refusals by code.
	Codes map[string]int
}

// GetSummary returns the counts.
func (c *Checker) GetSummary() Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Summary{Codes: make(map[string]int)}
	for _, t := range c.told {
		s.Requests++
		switch {
		case t.IsAnswered():
			s.Answered++
		case t.Execution == "not_run":
			s.NotRun++
		case t.Execution == "unknown":
			s.Unknown++
		default:
			s.Broken++
		}
		if t.Code != "" {
			s.Codes[t.Code]++
		}
	}
	return s
}

// Backend tells what a backend server has run.
type Backend interface {
	GetRuns() []responder.Run
	GetAttempts() map[string]int
}

// Check returns every promise that was broken.
func (c *Checker) Check(backends []Backend) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ran, runs := collect(backends)
	var broken []string
	add := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	for key, list := range runs {
		if len(list) > 1 {
			add("order %s ran %d times: %v", key, len(list), list)
		}
	}
	answers := make(map[string]string)
	for _, t := range c.told {
		if t.Execution == "not_run" && ran[t.RequestID] > 0 {
			add("request %s was told not_run (%s) and ran", t.RequestID, t.Code)
		}
		if text := checkAnswer(t); text != "" {
			add("request %s: %s", t.RequestID, text)
		}
		if t.Kind != KindOrder || !t.IsAnswered() {
			continue
		}
		if len(runs[t.Key]) == 0 {
			add("order %s was answered and never ran", t.Key)
		}
		if first, ok := answers[t.Key]; ok && first != t.Body {
			add("order %s got two answers: %q and %q", t.Key, first, t.Body)
		}
		answers[t.Key] = t.Body
	}
	return broken
}

// collect returns how often each request reached a backend server, and the
// attempts that ran each order.
func collect(backends []Backend) (ran map[string]int, runs map[string][]string) {
	ran, runs = make(map[string]int), make(map[string][]string)
	for _, b := range backends {
		for attempt, n := range b.GetAttempts() {
			ran[attemptOf(attempt)] += n
		}
		for _, run := range b.GetRuns() {
			if run.Key != "" {
				runs[run.Key] = append(runs[run.Key], run.Attempt)
			}
		}
	}
	return ran, runs
}

// checkAnswer returns what is wrong with an answer that ended cleanly.
func checkAnswer(t *Told) string {
	if !t.IsAnswered() {
		return ""
	}
	switch t.Kind {
	case KindStream:
		if want := responder.ExpectedStream(Messages(t.Payload), t.Tokens); t.Body != want {
			return fmt.Sprintf("stream of %d bytes is not the whole own answer of %d", len(t.Body), len(want))
		}
	case KindWhole:
		if !strings.Contains(t.Body, responder.ExpectedWhole(Messages(t.Payload), t.Tokens)) {
			return "answer is not the own one"
		}
	case KindOrder:
		if !strings.Contains(t.Body, t.Payload) {
			return "answer does not carry the own order"
		}
	case KindLookup:
	}
	return ""
}
