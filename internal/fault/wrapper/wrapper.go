// Package wrapper adds to errors the step that failed and the peer involved.
package wrapper

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Step is the name of the operation in which an error occurred, in snake_case.
type Step string

// Error is an error with the step and the peer at which it occurred.
type Error struct {
	// Step is never empty.
	Step Step
	// Peer is an instance name or an address; empty means this process.
	Peer string
	// Err is never nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s at %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// At wraps err with step and peer; a nil err stays nil.
func At(step Step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: err}
}

// New returns a new error with a stack trace, step and peer.
func New(step Step, peer, text string) error {
	return &Error{Step: step, Peer: peer, Err: eris.New(text)}
}

// GetStep returns the innermost step of err and its peer, or empty strings if
// err carries none.
func GetStep(err error) (Step, string) {
	var step Step
	var peer string
	for err != nil {
		var e *Error
		if !errors.As(err, &e) {
			break
		}
		step, peer = e.Step, e.Peer
		err = e.Err
	}
	return step, peer
}
