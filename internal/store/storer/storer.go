// Package storer is the interface to the platform: its transactional table, its object
// store and its instance list. The adapter in this package uses the protocol of the
// stand-in; another platform needs only another adapter.
package storer

import (
	"context"
	"errors"
	"net/netip"
)

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version grows with each write of the row and is never 0.
	Version uint64 `json:"version"`
}

// Condition requires a version of a row; 0 requires that the row does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is an atomic transaction over several rows, applied if all conditions hold.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Instance is one entry of the platform's instance list.
type Instance struct {
	Name    string         `json:"name"`
	Role    string         `json:"role"`
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
	Leaving bool           `json:"leaving"`
}

// Table is the platform's transactional table.
type Table interface {
	// GetRow returns a row, or ErrRowNotExist.
	GetRow(ctx context.Context, key string) (Row, error)
	// ListRows returns the first n rows, in ascending order of their keys, whose key has
	// the prefix and is greater than after.
	ListRows(ctx context.Context, prefix, after string, n int) ([]Row, error)
	// Commit applies txn. ErrConflict means that it had no effect; after any other error
	// it may have taken effect or may still do so.
	Commit(ctx context.Context, txn Txn) error
}

// Objects is the platform's object store.
type Objects interface {
	// GetObject returns an object, or ErrObjectNotExist.
	GetObject(ctx context.Context, key string) ([]byte, error)
	PutObject(ctx context.Context, key string, data []byte) error
}

// Instances is the platform's list of instances, which is eventually consistent.
type Instances interface {
	ListInstances(ctx context.Context) ([]Instance, error)
}

// Platform combines all interfaces of the platform.
type Platform interface {
	Table
	Objects
	Instances
}

// Errors that report a definite result.
var (
	ErrRowNotExist    = errors.New("row does not exist")
	ErrObjectNotExist = errors.New("object does not exist")
	ErrConflict       = errors.New("transaction condition not met")
)

// IsErrRowNotExist reports whether err says that the row does not exist.
func IsErrRowNotExist(err error) bool { return errors.Is(err, ErrRowNotExist) }

// IsErrObjectNotExist reports whether err says that the object does not exist.
func IsErrObjectNotExist(err error) bool { return errors.Is(err, ErrObjectNotExist) }

// IsErrConflict reports whether err says that a condition of a transaction was not met.
func IsErrConflict(err error) bool { return errors.Is(err, ErrConflict) }
