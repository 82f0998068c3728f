// Package asserter checks invariants while the program runs. A violated
// invariant is logged, counted and returned as an error, so that the operation
// at hand stops instead of going on with a wrong state.
package asserter

import (
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// Rule names an invariant, in snake_case.
type Rule string

// The invariants of the system.
const (
	// RuleOneMap: all ranks of a group use the same expert map in a step.
	RuleOneMap Rule = "one_map_per_step"
	// RuleOwnRow: a non-idempotent request is handed over only with an own row.
	RuleOwnRow Rule = "own_row_before_hand_over"
	// RuleNotRun: a request is reported as not run only if no byte of it reached
	// a backend server.
	RuleNotRun Rule = "not_run_is_true"
	// RuleOnce: work that is not repeatable is handed over again only if no
	// backend server may have run it.
	RuleOnce Rule = "not_run_twice"
	// RuleOwnAnswer: an answer goes to the request whose attempt id it carries.
	RuleOwnAnswer Rule = "answer_matches_attempt"
	// RuleWholeAnswer: an answer ends cleanly only when it is complete.
	RuleWholeAnswer Rule = "answer_is_whole"
	// RuleNoNewWork: a leaving backend server receives no new work.
	RuleNoNewWork Rule = "leaving_gets_no_work"
	// RuleMonotone: the number of a thing in force never falls.
	RuleMonotone Rule = "configuration_is_monotone"
	// RuleEpoch: an order of an older epoch is never carried out.
	RuleEpoch Rule = "epoch_is_monotone"
	// RuleDrained: a graceful shutdown cuts off no request in flight.
	RuleDrained Rule = "shutdown_is_drained"
)

// ViolationError reports a violated invariant.
type ViolationError struct {
	Rule   Rule
	Detail string
}

// Error implements error.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", e.Rule, e.Detail)
}

// IsViolation reports whether err comes from a violated invariant.
func IsViolation(err error) bool {
	var v *ViolationError
	return errors.As(err, &v)
}

var violations atomic.Int64

// Violations returns how many violations this process has seen.
func Violations() int64 { return violations.Load() }

// Holds returns nil if ok, and otherwise a ViolationError after logging and
// counting it. Detail is built only on violation.
func Holds(ok bool, rule Rule, format string, args ...any) error {
	if ok {
		return nil
	}
	violations.Add(1)
	detail := fmt.Sprintf(format, args...)
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskinfall_invariant_violations_total{rule=%q}`, rule)).Inc()
	log.Error("invariant violated", "rule", rule, "detail", detail)
	return &ViolationError{Rule: rule, Detail: detail}
}
