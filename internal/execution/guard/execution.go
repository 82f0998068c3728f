// Package guard makes non-idempotent work run at most once. A row of the
// platform's table is the only permission to run: whoever inserted it runs the
// request, everybody else joins, replays the recorded answer, or refuses.
package guard

import (
	"bytes"
	"encoding/json"
	"errors"
	"time"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/store/storer"
	"siskinfall/internal/wire/encoder"
)

// State is the state of an execution's row.
type State string

// The states. A row goes from running to one of the others; closed goes back to
// running at the next generation only.
const (
	StateRunning  State = "running"
	StateAnswered State = "answered"
	// StateUnknown: handed over, but the outcome was lost.
	StateUnknown State = "unknown"
	// StateClosed: this generation and the ones before it never run.
	StateClosed State = "closed"
)

// ID names an execution.
type ID struct {
	Account string
	Service string
	// Key is the caller's idempotency key, or one made from the request id.
	Key string
}

const rowPath = "execution/"

// RowKey returns the key of the execution's row.
func (id ID) RowKey() string {
	return rowPath + id.Account + "/" + id.Service + "/" + id.Key
}

// Answer is a recorded answer.
type Answer struct {
	Status  int               `json:"status"`
	Headers []*encoder.Header `json:"headers,omitempty"`
	// Body is empty when Object names where it is kept.
	Body   []byte `json:"body,omitempty"`
	Object string `json:"object,omitempty"`
}

// Execution is the aggregate behind a row.
type Execution struct {
	// Generation is at least 1 and never falls.
	Generation uint64 `json:"generation"`
	State      State  `json:"state"`
	// Digest identifies the request; the same key with another one is refused.
	Digest      []byte `json:"digest,omitempty"`
	Agent       string `json:"agent,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Attempt     string `json:"attempt,omitempty"`
	// Until is when the run ends at the latest; an owner that has not answered by
	// then is gone.
	Until time.Time `json:"until,omitzero"`
	// Answer is set exactly when State is StateAnswered.
	Answer    *Answer   `json:"answer,omitempty"`
	SettledBy string    `json:"settled_by,omitempty"`
	Expires   time.Time `json:"expires"`
}

// ErrBadTransition says that a state cannot follow the present one.
var ErrBadTransition = errors.New("execution cannot change to this state")

// isOwn reports whether the row was written by this attempt of this process.
func (e *Execution) isOwn(owner Owner, attempt string) bool {
	return e.Agent == owner.Instance && e.Incarnation == owner.Incarnation && e.Attempt == attempt
}

// canRun reports whether a request of a generation may take the row over.
func (e *Execution) canRun(generation uint64) bool {
	return e.State == StateClosed && generation > e.Generation
}

// answer moves a running or unknown execution to answered.
func (e *Execution) answer(a *Answer) error {
	if e.State != StateRunning && e.State != StateUnknown {
		return ErrBadTransition
	}
	e.State, e.Answer = StateAnswered, a
	return nil
}

// close makes the execution's generation one that never runs.
func (e *Execution) close() error {
	if e.State != StateRunning {
		return ErrBadTransition
	}
	e.State = StateClosed
	return nil
}

// settle records an operator's word on an execution whose outcome was lost.
func (e *Execution) settle(ran bool, operator string) error {
	if e.State != StateUnknown && e.State != StateRunning {
		return ErrBadTransition
	}
	e.SettledBy = operator
	if ran {
		return e.answer(&Answer{Status: settledStatus})
	}
	e.State = StateClosed
	return nil
}

// settledStatus is answered for an execution that an operator settled as run.
const settledStatus = 204

func (e *Execution) sameRequest(digest []byte) bool {
	return len(e.Digest) == 0 || bytes.Equal(e.Digest, digest)
}

func decodeRow(row storer.Row) (*Execution, error) {
	e := &Execution{}
	err := json.Unmarshal(row.Value, e)
	return e, wrapper.At("decode_execution", "platform", err)
}

// newWrite returns a transaction that sets the row if its version is still the
// given one.
func (e *Execution) newWrite(id ID, version uint64) (storer.Txn, error) {
	body, err := json.Marshal(e)
	if err != nil {
		return storer.Txn{}, wrapper.At("encode_execution", "", err)
	}
	return storer.Txn{
		Conditions: []storer.Condition{{Key: id.RowKey(), Version: version}},
		Writes:     []storer.Write{{Key: id.RowKey(), Value: body}},
	}, nil
}
