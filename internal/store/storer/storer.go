// Package storer is the border to the platform: its transactional table, its
// object store, its instance list and its weight store. The adapter here speaks
// the protocol of the stand-in; another platform needs another adapter only.
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

// Condition demands a row's version; 0 demands that the row is absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets a row, or deletes it.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a conditional transaction over several rows: all of it or nothing.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Instance is one line of the platform's instance list.
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
	// ListRows returns up to n rows with the prefix and a key above after.
	ListRows(ctx context.Context, prefix, after string, n int) ([]Row, error)
	// Commit applies txn. ErrConflict means it had no effect; any other error
	// leaves open whether it had, or will still have, its effect.
	Commit(ctx context.Context, txn Txn) error
}

// Objects is the platform's object store.
type Objects interface {
	// GetObject returns an object, or ErrObjectNotExist.
	GetObject(ctx context.Context, key string) ([]byte, error)
	PutObject(ctx context.Context, key string, data []byte) error
}

// Instances is the platform's lagging list of instances.
type Instances interface {
	ListInstances(ctx context.Context) ([]Instance, error)
}

// Platform joins what the platform offers.
type Platform interface {
	Table
	Objects
	Instances
}

// Errors with a definite meaning.
var (
	ErrRowNotExist    = errors.New("row does not exist")
	ErrObjectNotExist = errors.New("object does not exist")
	ErrConflict       = errors.New("transaction condition not met")
)

// IsErrRowNotExist reports whether err says that the row does not exist.
func IsErrRowNotExist(err error) bool { return errors.Is(err, ErrRowNotExist) }

// IsErrObjectNotExist reports whether err says that the object does not exist.
func IsErrObjectNotExist(err error) bool { return errors.Is(err, ErrObjectNotExist) }

// IsErrConflict reports whether err says that a transaction had no effect.
func IsErrConflict(err error) bool { return errors.Is(err, ErrConflict) }
