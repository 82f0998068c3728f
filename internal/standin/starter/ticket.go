package starter

import (
	"fmt"
	"time"
)

// Services holds the settings of a ticket for tests and measurements, which
// configures one client account with DemoKey, the model assistant-llm and the plain
// service member-desk.
type Services struct {
	// ModelTimeout and DeskTimeout bound requests to the two services.
	ModelTimeout, DeskTimeout time.Duration
	Attempts                  int
	// RetryBudget is the number of retries allowed per new request.
	RetryBudget float64
	// RequireKey refuses orders without an idempotency key.
	RequireKey bool
}

// Ticket returns the first ticket of a fleet, as YAML.
func (s Services) Ticket() string {
	return fmt.Sprintf(`number: 1
author: test
client_accounts:
  - {name: caller, key_sha256: [%s], class: field, weight: 1}
services:
  - name: assistant-llm
    kind: model
    timeout: %s
    attempts: %d
    retry_budget: %g
    execution_retention: 1h
    objective: {availability: 0.99, first_byte: 1s}
  - name: member-desk
    kind: plain
    path_prefix: /desk/
    require_key: %v
    timeout: %s
    attempts: %d
    retry_budget: %g
    execution_retention: 1h
    objective: {availability: 0.99, first_byte: 1s}
`, HashKey(DemoKey), s.ModelTimeout, s.Attempts, s.RetryBudget, s.RequireKey, s.DeskTimeout, s.Attempts, s.RetryBudget)
}
