package guard

import (
	"context"
	"errors"
	"time"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/store/storer"
)

// ErrMayRun is returned for a generation that cannot be closed because the request
// is running or may have run.
var ErrMayRun = errors.New("request runs or has run")

// ErrExecutionNotExist is returned for an execution that has no row.
var ErrExecutionNotExist = errors.New("execution does not exist")

// IsErrExecutionNotExist reports whether err is ErrExecutionNotExist.
func IsErrExecutionNotExist(err error) bool { return errors.Is(err, ErrExecutionNotExist) }

// Registry closes, reads, settles and deletes executions, without permission to run
// them.
type Registry struct {
	platform storer.Platform
}

// NewRegistry returns a Registry of the platform's table.
func NewRegistry(p storer.Platform) *Registry { return &Registry{platform: p} }

// Close closes a generation, so that it and all lower ones never run. After any
// error other than ErrMayRun, the generation may or may not be closed.
func (r *Registry) Close(ctx context.Context, id ID, generation uint64, retention time.Duration) error {
	row, exec, err := r.get(ctx, id)
	if err != nil {
		return err
	}
	switch {
	case exec == nil:
	case exec.State != StateClosed:
		return wrapper.At("close_execution", "platform", ErrMayRun)
	case exec.Generation >= generation:
		return nil
	}
	closed := &Execution{Generation: generation, State: StateClosed, Expires: time.Now().Add(retention).UTC()}
	txn, err := closed.newWrite(id, row.Version)
	if err != nil {
		return err
	}
	return r.platform.Commit(ctx, txn)
}

// GetExecution returns an execution, or ErrExecutionNotExist.
func (r *Registry) GetExecution(ctx context.Context, id ID) (*Execution, error) {
	_, exec, err := r.get(ctx, id)
	if err == nil && exec == nil {
		err = wrapper.At("read_execution", "platform", ErrExecutionNotExist)
	}
	return exec, err
}

// Settle records an operator's decision whether an execution without a known outcome
// has run. It returns ErrBadTransition if the outcome is known.
func (r *Registry) Settle(ctx context.Context, id ID, hasRun bool, operator string) error {
	row, exec, err := r.get(ctx, id)
	if err != nil {
		return err
	}
	if exec == nil {
		return wrapper.At("settle_execution", "platform", ErrExecutionNotExist)
	}
	if err := exec.settle(hasRun, operator); err != nil {
		return wrapper.At("settle_execution", string(exec.State), err)
	}
	txn, err := exec.newWrite(id, row.Version)
	if err != nil {
		return err
	}
	return r.platform.Commit(ctx, txn)
}

func (r *Registry) get(ctx context.Context, id ID) (storer.Row, *Execution, error) {
	reader := &Guard{platform: r.platform}
	return reader.read(ctx, id)
}

// sweepBatchSize is the maximum number of rows read, and deleted by one transaction.
const sweepBatchSize = 100

// Sweep deletes the expired rows of the page that starts after the key after, or of
// the first page if after is empty. It returns the key after which the next page
// starts, empty at the end, and the number of deleted rows.
func (r *Registry) Sweep(ctx context.Context, after string, now time.Time) (string, int, error) {
	if after == "" {
		after = rowPrefix
	}
	rows, err := r.platform.ListRows(ctx, rowPrefix, after, sweepBatchSize)
	if err != nil {
		return after, 0, err
	}
	var txn storer.Txn
	for _, row := range rows {
		e, err := decodeRow(row)
		if err != nil || now.Before(e.Expires) {
			continue
		}
		txn.Conditions = append(txn.Conditions, storer.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, storer.Write{Key: row.Key, Delete: true})
	}
	next := ""
	if len(rows) == sweepBatchSize {
		next = rows[len(rows)-1].Key
	}
	if len(txn.Writes) == 0 {
		return next, 0, nil
	}
	return next, len(txn.Writes), r.platform.Commit(ctx, txn)
}
