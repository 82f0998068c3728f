package keeper

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"siskinfall/internal/store/storer"
)

// ErrUnavailable is the error of a fault.
var ErrUnavailable = errors.New("platform unavailable")

// Chances are the probabilities of faults of a Direct.
type Chances struct {
	// Fail is that of a call without effect.
	Fail float64
	// Lose is that of a commit with an effect whose answer is lost.
	Lose float64
	// Late is that of a commit whose effect comes after its error.
	Late float64
}

// Direct is a Keeper without a network, for tests under a fake clock; it is safe
// for concurrent use.
type Direct struct {
	*Keeper
	mu      sync.Mutex
	rng     *rand.Rand
	chances Chances
	// MaxDelay bounds the time of a call.
	MaxDelay time.Duration
}

// NewDirect returns a Direct with a seed of its own.
func NewDirect(seed uint64) *Direct {
	return &Direct{Keeper: New(), rng: rand.New(rand.NewPCG(seed, 3)), MaxDelay: 20 * time.Millisecond}
}

// SetChances replaces the probabilities of faults.
func (d *Direct) SetChances(c Chances) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.chances = c
}

// fate is how one call goes.
type fate struct {
	fail, lose, late bool
	before, after    time.Duration
}

func (d *Direct) draw() fate {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.rng.Float64()
	c := d.chances
	return fate{
		fail: p < c.Fail, lose: p >= c.Fail && p < c.Fail+c.Lose, late: p >= c.Fail+c.Lose && p < c.Fail+c.Lose+c.Late,
		before: time.Duration(d.rng.Int64N(int64(d.MaxDelay))), after: time.Duration(d.rng.Int64N(int64(50 * d.MaxDelay))),
	}
}

// begin waits as long as the call takes to arrive.
func (d *Direct) begin(ctx context.Context) (fate, error) {
	f := d.draw()
	select {
	case <-time.After(f.before):
	case <-ctx.Done():
		return f, ctx.Err()
	}
	if f.fail {
		return f, ErrUnavailable
	}
	return f, nil
}

// GetRow implements storer.Table.
func (d *Direct) GetRow(ctx context.Context, key string) (storer.Row, error) {
	if _, err := d.begin(ctx); err != nil {
		return storer.Row{}, err
	}
	d.Keeper.mu.Lock()
	defer d.Keeper.mu.Unlock()
	row, ok := d.rows[key]
	if !ok {
		return row, storer.ErrRowNotExist
	}
	return row, nil
}

// ListRows implements storer.Table.
func (d *Direct) ListRows(ctx context.Context, prefix, after string, n int) ([]storer.Row, error) {
	if _, err := d.begin(ctx); err != nil {
		return nil, err
	}
	return d.list(prefix, after, n), nil
}

// Commit implements storer.Table.
func (d *Direct) Commit(ctx context.Context, txn storer.Txn) error {
	f, err := d.begin(ctx)
	if err != nil {
		return err
	}
	if f.late {
		time.AfterFunc(f.after, func() { d.apply(txn) })
		return ErrUnavailable
	}
	ok, _ := d.apply(txn)
	switch {
	case f.lose:
		return ErrUnavailable
	case !ok:
		return storer.ErrConflict
	}
	return nil
}

// GetObject implements storer.Objects.
func (d *Direct) GetObject(ctx context.Context, key string) ([]byte, error) {
	if _, err := d.begin(ctx); err != nil {
		return nil, err
	}
	d.Keeper.mu.Lock()
	defer d.Keeper.mu.Unlock()
	data, ok := d.objs[key]
	if !ok {
		return nil, storer.ErrObjectNotExist
	}
	return data, nil
}

// PutObject implements storer.Objects.
func (d *Direct) PutObject(ctx context.Context, key string, data []byte) error {
	if _, err := d.begin(ctx); err != nil {
		return err
	}
	d.Keeper.mu.Lock()
	defer d.Keeper.mu.Unlock()
	d.objs[key] = data
	return nil
}

// ListInstances implements storer.Instances.
func (d *Direct) ListInstances(ctx context.Context) ([]storer.Instance, error) {
	if _, err := d.begin(ctx); err != nil {
		return nil, err
	}
	return d.listed(), nil
}

// list returns rows in order of their keys.
func (k *Keeper) list(prefix, after string, n int) []storer.Row {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads++
	rows := []storer.Row{}
	for key, row := range k.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(n, len(rows))]
}

// listed returns the instance list by name.
func (k *Keeper) listed() []storer.Instance {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := slices.Collect(maps.Values(k.inst))
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
