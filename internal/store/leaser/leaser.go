// Package leaser provides leases with fencing tokens, stored as rows of the platform's
// table, so that one holder at a time, for instance a gateway, performs a task.
package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/store/storer"
)

const rowPrefix = "lease/"

// ErrHeld says that another holder has the lease. A holder is an instance in one run, or
// a model group for the lease of a copy lane; the text, which is shown in the history of
// map changes, says instance for both.
var ErrHeld = errors.New("lease is held by another instance")

// ErrLapsed says that the lease has expired.
var ErrLapsed = errors.New("lease has expired")

// IsErrHeld reports whether err says that another holder has the lease.
func IsErrHeld(err error) bool { return errors.Is(err, ErrHeld) }

// leaseRow is the stored value of a lease.
type leaseRow struct {
	Holder  string    `json:"holder"`
	Fence   uint64    `json:"fence"`
	Expires time.Time `json:"expires"`
}

// Lease is a lease held until its deadline. It is for one goroutine.
type Lease struct {
	table  storer.Table
	name   string
	holder string
	ttl    time.Duration
	// fence is the fencing token, higher than that of every earlier holder.
	fence uint64
	// version is the version of the row as last read.
	version uint64
	// deadline is measured from before the write that acquired or renewed the lease, on
	// the monotonic clock, so a pause of this process can only shorten the lease.
	deadline time.Time
}

// Acquire takes a lease that is free, has expired or is held by holder itself. It returns
// ErrHeld if another holder has it.
func Acquire(ctx context.Context, table storer.Table, name, holder string, ttl time.Duration) (*Lease, error) {
	l := &Lease{table: table, name: name, holder: holder, ttl: ttl}
	row, err := table.GetRow(ctx, rowPrefix+name)
	if err != nil && !storer.IsErrRowNotExist(err) {
		return nil, wrapper.At("read_lease", "platform", err)
	}
	var current leaseRow
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &current); err != nil {
			return nil, wrapper.At("decode_lease", "platform", err)
		}
	}
	if current.Holder != holder && time.Now().Before(current.Expires) {
		return nil, wrapper.At("acquire_lease", current.Holder, ErrHeld)
	}
	l.fence = current.Fence + 1
	l.version = row.Version
	return l, l.write(ctx)
}

// Renew extends the lease and keeps its fencing token. It returns ErrLapsed once the
// lease has expired.
func (l *Lease) Renew(ctx context.Context) error {
	if err := l.Check(); err != nil {
		return err
	}
	return l.write(ctx)
}

// Release ends the lease before its deadline. After an error, other holders may have to
// wait until it expires.
func (l *Lease) Release(ctx context.Context) error {
	l.ttl = 0
	return l.write(ctx)
}

func (l *Lease) write(ctx context.Context) error {
	start := time.Now()
	body, err := json.Marshal(leaseRow{Holder: l.holder, Fence: l.fence, Expires: start.Add(l.ttl).UTC()})
	if err != nil {
		return wrapper.At("encode_lease", "", err)
	}
	err = l.table.Commit(ctx, storer.Txn{
		Conditions: []storer.Condition{{Key: rowPrefix + l.name, Version: l.version}},
		Writes:     []storer.Write{{Key: rowPrefix + l.name, Value: body}},
	})
	if err != nil {
		return wrapper.At("write_lease", "platform", err)
	}
	row, err := l.table.GetRow(ctx, rowPrefix+l.name)
	if err != nil {
		return wrapper.At("read_lease", "platform", err)
	}
	var current leaseRow
	if err := json.Unmarshal(row.Value, &current); err != nil {
		return wrapper.At("decode_lease", "platform", err)
	}
	if current.Holder != l.holder || current.Fence != l.fence {
		return wrapper.At("acquire_lease", current.Holder, ErrHeld)
	}
	l.version = row.Version
	l.deadline = start.Add(l.ttl)
	return nil
}

// Check returns ErrLapsed once the deadline has passed. Call it before each operation
// under the lease, and send the fencing token with the operation.
func (l *Lease) Check() error {
	if time.Now().After(l.deadline) {
		return wrapper.At("check_lease", l.name, ErrLapsed)
	}
	return nil
}

// Fence returns the fencing token.
func (l *Lease) Fence() uint64 { return l.fence }
