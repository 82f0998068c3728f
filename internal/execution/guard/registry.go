package guard

import (
	"context"
	"errors"
	"time"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/store/storer"
)

// ErrMayRun says that a generation could not be closed because its request
// runs or has run.
var ErrMayRun = errors.New("request runs or has run")

// ErrExecutionNotExist says that there is no such execution.
var ErrExecutionNotExist = errors.New("execution does not exist")

// IsErrExecutionNotExist reports whether err says that there is no execution.
func IsErrExecutionNotExist(err error) bool { return errors.Is(err, ErrExecutionNotExist) }

// Registry closes, shows and settles executions; it needs no permission to run.
type Registry struct {
	platform storer.Platform
}

// NewRegistry returns a Registry.
func NewRegistry(p storer.Platform) *Registry { return &Registry{platform: p} }

// Close makes it certain that a generation never runs. Any error but ErrMayRun
// leaves open whether it was closed.
func (g *Registry) Close(ctx context.Context, id ID, generation uint64, retention time.Duration) error {
	row, exec, err := g.get(ctx, id)
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
	return g.platform.Commit(ctx, txn)
}

// GetExecution returns an execution, or ErrExecutionNotExist.
func (g *Registry) GetExecution(ctx context.Context, id ID) (*Execution, error) {
	_, exec, err := g.get(ctx, id)
	if err == nil && exec == nil {
		err = wrapper.At("read_execution", "platform", ErrExecutionNotExist)
	}
	return exec, err
}

// Settle records an operator's word on an execution whose outcome was lost.
func (g *Registry) Settle(ctx context.Context, id ID, ran bool, operator string) error {
	row, exec, err := g.get(ctx, id)
	if err != nil {
		return err
	}
	if exec == nil {
		return wrapper.At("settle_execution", "platform", ErrExecutionNotExist)
	}
	if err := exec.settle(ran, operator); err != nil {
		return wrapper.At("settle_execution", string(exec.State), err)
	}
	txn, err := exec.newWrite(id, row.Version)
	if err != nil {
		return err
	}
	return g.platform.Commit(ctx, txn)
}

func (g *Registry) get(ctx context.Context, id ID) (storer.Row, *Execution, error) {
	helper := &Guard{platform: g.platform}
	return helper.read(ctx, id)
}

// sweepBatch is the number of rows deleted by one transaction.
const sweepBatch = 100

// Sweep deletes expired rows of one page that begins behind after. It returns
// where the next page begins, "" at the end, and how many rows it deleted.
func (g *Registry) Sweep(ctx context.Context, after string, now time.Time) (string, int, error) {
	if after == "" {
		after = rowPath
	}
	rows, err := g.platform.ListRows(ctx, rowPath, after, sweepBatch)
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
	if len(rows) == sweepBatch {
		next = rows[len(rows)-1].Key
	}
	if len(txn.Writes) == 0 {
		return next, 0, nil
	}
	return next, len(txn.Writes), g.platform.Commit(ctx, txn)
}
