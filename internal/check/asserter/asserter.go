// Package asserter checks invariants at run time. A violated invariant is logged,
// counted and returned as an error, so that the current operation stops instead
// of continuing with a wrong state.
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
	// RuleOneMap: all ranks of a model group use the same expert map in a pass.
	RuleOneMap Rule = "one_map_per_step"
	// RuleOwnRow: a non-idempotent request is sent to a backend server only by the
	// attempt that owns its row in the platform's table.
	RuleOwnRow Rule = "own_row_before_hand_over"
	// RuleNotRun: a request is reported as not run only if no byte of it reached
	// a backend server.
	RuleNotRun Rule = "not_run_is_true"
	// RuleOnce: a non-idempotent request is sent again only if no backend server
	// may have run it.
	RuleOnce Rule = "not_run_twice"
	// RuleOwnAnswer: an answer goes to the request whose attempt ID it carries.
	RuleOwnAnswer Rule = "answer_matches_attempt"
	// RuleWholeAnswer: an answer ends cleanly only when it is complete.
	RuleWholeAnswer Rule = "answer_is_whole"
	// RuleNoNewWork: a leaving backend server receives no new work.
	RuleNoNewWork Rule = "leaving_gets_no_work"
	// RuleMonotone: the number of a configured entity, or of the catalog, in force
	// never decreases.
	RuleMonotone Rule = "configuration_is_monotone"
	// RuleEpoch: an order of an older epoch is never executed.
	RuleEpoch Rule = "epoch_is_monotone"
	// RuleDrained: a graceful shutdown aborts no request in flight.
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

// Violations returns the number of violations in this process.
func Violations() int64 { return violations.Load() }

// Holds returns nil if ok; otherwise it logs and counts the violation and returns
// a ViolationError. The detail is formatted only on a violation.
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
