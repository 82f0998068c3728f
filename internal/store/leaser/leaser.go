// Package leaser lets one instance act alone for a while, with a fencing number
// from the platform's table.
package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/store/storer"
)

const rowPath = "lease/"

// ErrHeld says that another instance holds the lease.
var ErrHeld = errors.New("lease is held by another instance")

// ErrLapsed says that the lease has run out.
var ErrLapsed = errors.New("lease has lapsed")

// IsErrHeld reports whether err says that the lease is held elsewhere.
func IsErrHeld(err error) bool { return errors.Is(err, ErrHeld) }

// record is the row of a lease.
type record struct {
	Holder  string    `json:"holder"`
	Fence   uint64    `json:"fence"`
	Expires time.Time `json:"expires"`
}

// Lease is held until its deadline passes. It is used by one goroutine.
type Lease struct {
	table  storer.Table
	name   string
	holder string
	ttl    time.Duration
	// fence is higher than that of every earlier holder.
	fence uint64
	// version is that of the own row.
	version uint64
	// deadline is measured from before the write that got the lease, on the
	// monotonic clock, so a pause of this process can only shorten the lease.
	deadline time.Time
}

// Acquire takes a lease that is free or has run out.
func Acquire(ctx context.Context, table storer.Table, name, holder string, ttl time.Duration) (*Lease, error) {
	l := &Lease{table: table, name: name, holder: holder, ttl: ttl}
	row, err := table.GetRow(ctx, rowPath+name)
	if err != nil && !storer.IsErrRowNotExist(err) {
		return nil, wrapper.At("read_lease", "platform", err)
	}
	var cur record
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &cur); err != nil {
			return nil, wrapper.At("decode_lease", "platform", err)
		}
	}
	if cur.Holder != holder && time.Now().Before(cur.Expires) {
		return nil, wrapper.At("acquire_lease", cur.Holder, ErrHeld)
	}
	l.fence = cur.Fence + 1
	l.version = row.Version
	return l, l.write(ctx)
}

// Renew extends the lease and keeps its fencing number.
func (l *Lease) Renew(ctx context.Context) error {
	if err := l.Check(); err != nil {
		return err
	}
	return l.write(ctx)
}

// Release gives the lease up before its time. An error only means that others
// wait until it lapses.
func (l *Lease) Release(ctx context.Context) error {
	l.ttl = 0
	return l.write(ctx)
}

func (l *Lease) write(ctx context.Context) error {
	start := time.Now()
	body, err := json.Marshal(record{Holder: l.holder, Fence: l.fence, Expires: start.Add(l.ttl).UTC()})
	if err != nil {
		return wrapper.At("encode_lease", "", err)
	}
	err = l.table.Commit(ctx, storer.Txn{
		Conditions: []storer.Condition{{Key: rowPath + l.name, Version: l.version}},
		Writes:     []storer.Write{{Key: rowPath + l.name, Value: body}},
	})
	if err != nil {
		return wrapper.At("write_lease", "platform", err)
	}
	row, err := l.table.GetRow(ctx, rowPath+l.name)
	if err != nil {
		return wrapper.At("read_lease", "platform", err)
	}
	var cur record
	if err := json.Unmarshal(row.Value, &cur); err != nil {
		return wrapper.At("decode_lease", "platform", err)
	}
	if cur.Holder != l.holder || cur.Fence != l.fence {
		return wrapper.At("acquire_lease", cur.Holder, ErrHeld)
	}
	l.version = row.Version
	l.deadline = start.Add(l.ttl)
	return nil
}

// Check returns ErrLapsed once the deadline has passed. Call it before each
// act, and send the fence with the act.
func (l *Lease) Check() error {
	if time.Now().After(l.deadline) {
		return wrapper.At("check_lease", l.name, ErrLapsed)
	}
	return nil
}

// Fence returns the fencing number.
func (l *Lease) Fence() uint64 { return l.fence }
