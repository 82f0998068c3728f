// Package guard ensures that non-idempotent requests run at most once. Each
// request has a row in the platform's table, keyed by its idempotency key. Only the
// attempt that inserted the row may run the request; every other attempt waits for
// its outcome, replays the recorded answer, or refuses.
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

// State is the state of an execution.
type State string

// States of an execution. A running execution changes to one of the others, and an
// unknown one to answered or closed. A closed execution changes back to running only
// at a higher generation.
const (
	StateRunning  State = "running"
	StateAnswered State = "answered"
	// StateUnknown means that the request was handed over to the backend server, but
	// the outcome was lost.
	StateUnknown State = "unknown"
	// StateClosed means that this generation and all lower ones never run.
	StateClosed State = "closed"
)

// ID identifies an execution.
type ID struct {
	Account string
	Service string
	// Key is the caller's idempotency key, or one derived from the request ID.
	Key string
}

const rowPrefix = "execution/"

// RowKey returns the key of the execution's row, of the form
// execution/ACCOUNT/SERVICE/KEY.
func (id ID) RowKey() string {
	return rowPrefix + id.Account + "/" + id.Service + "/" + id.Key
}

// Answer is the backend server's answer to a request.
type Answer struct {
	Status  int               `json:"status"`
	Headers []*encoder.Header `json:"headers,omitempty"`
	// Body is empty in a row if the body is stored as Object.
	Body   []byte `json:"body,omitempty"`
	Object string `json:"object,omitempty"`
}

// Execution is the value of a row.
type Execution struct {
	// Generation is at least 1 and never decreases.
	Generation uint64 `json:"generation"`
	State      State  `json:"state"`
	// Digest identifies the content of the request. A request with the same key and
	// another digest is refused.
	Digest      []byte `json:"digest,omitempty"`
	Agent       string `json:"agent,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Attempt     string `json:"attempt,omitempty"`
	// Until is the deadline of the run. An owner that has not recorded the outcome by
	// then, plus ownerGracePeriod, is presumed to have failed.
	Until time.Time `json:"until,omitzero"`
	// Answer is set if and only if State is StateAnswered.
	Answer    *Answer   `json:"answer,omitempty"`
	SettledBy string    `json:"settled_by,omitempty"`
	Expires   time.Time `json:"expires"`
}

// ErrBadTransition is returned for a change that the current state does not allow.
var ErrBadTransition = errors.New("execution cannot change to this state")

// isOwnedBy reports whether the row was written by the given attempt of owner.
func (e *Execution) isOwnedBy(owner Owner, attempt string) bool {
	return e.Agent == owner.Instance && e.Incarnation == owner.Incarnation && e.Attempt == attempt
}

// canTakeOver reports whether a request of the given generation may take over the
// row.
func (e *Execution) canTakeOver(generation uint64) bool {
	return e.State == StateClosed && generation > e.Generation
}

// setAnswered changes a running or unknown execution to answered.
func (e *Execution) setAnswered(a *Answer) error {
	if e.State != StateRunning && e.State != StateUnknown {
		return ErrBadTransition
	}
	e.State, e.Answer = StateAnswered, a
	return nil
}

// setClosed changes a running execution to closed, so that its generation never
// runs.
func (e *Execution) setClosed() error {
	if e.State != StateRunning {
		return ErrBadTransition
	}
	e.State = StateClosed
	return nil
}

// settle records an operator's decision whether an execution without a known
// outcome has run.
func (e *Execution) settle(hasRun bool, operator string) error {
	if e.State != StateUnknown && e.State != StateRunning {
		return ErrBadTransition
	}
	e.SettledBy = operator
	if hasRun {
		return e.setAnswered(&Answer{Status: settledAnswerStatus})
	}
	e.State = StateClosed
	return nil
}

// settledAnswerStatus is the HTTP status of the answer for an execution that an
// operator settled as run.
const settledAnswerStatus = 204

func (e *Execution) matchesDigest(digest []byte) bool {
	return len(e.Digest) == 0 || bytes.Equal(e.Digest, digest)
}

func decodeRow(row storer.Row) (*Execution, error) {
	e := &Execution{}
	err := json.Unmarshal(row.Value, e)
	return e, wrapper.At("decode_execution", "platform", err)
}

// newWrite returns a transaction that sets the row if it still has the given
// version.
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
