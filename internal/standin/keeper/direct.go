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

// ErrUnavailable is the error of a call that an injected fault hit. Whether the
// call takes effect depends on the fault.
var ErrUnavailable = errors.New("platform unavailable")

// FaultProbabilities holds the probabilities of the faults of a Direct.
type FaultProbabilities struct {
	// Fail is the probability that a call fails without effect.
	Fail float64
	// Lose is the probability that a commit takes effect and its answer is lost.
	Lose float64
	// Late is the probability that a commit fails and takes effect afterwards.
	Late float64
}

// Direct is a Platform without a network, for tests under a fake clock; it is safe
// for concurrent use.
type Direct struct {
	*Platform
	mu            sync.Mutex
	rng           *rand.Rand
	probabilities FaultProbabilities
	// MaxDelay bounds the time until a call arrives. The effect of a late commit
	// comes up to 50 times MaxDelay after its error.
	MaxDelay time.Duration
}

// NewDirect returns an empty Direct whose faults and delays are drawn from seed.
func NewDirect(seed uint64) *Direct {
	return &Direct{Platform: New(), rng: rand.New(rand.NewPCG(seed, 3)), MaxDelay: 20 * time.Millisecond}
}

// SetFaultProbabilities replaces the probabilities of faults.
func (d *Direct) SetFaultProbabilities(c FaultProbabilities) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.probabilities = c
}

// callFaults holds the faults and delays of one call.
type callFaults struct {
	fail, lose, late bool
	// delay is the time until the call arrives; lateDelay is the time between the
	// error of a late commit and its effect.
	delay, lateDelay time.Duration
}

func (d *Direct) drawFaults() callFaults {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.rng.Float64()
	c := d.probabilities
	return callFaults{
		fail: p < c.Fail, lose: p >= c.Fail && p < c.Fail+c.Lose, late: p >= c.Fail+c.Lose && p < c.Fail+c.Lose+c.Late,
		delay: time.Duration(d.rng.Int64N(int64(d.MaxDelay))), lateDelay: time.Duration(d.rng.Int64N(int64(50 * d.MaxDelay))),
	}
}

// begin waits until the call arrives, and returns an error if it fails without
// effect.
func (d *Direct) begin(ctx context.Context) (callFaults, error) {
	f := d.drawFaults()
	select {
	case <-time.After(f.delay):
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
	d.Platform.mu.Lock()
	defer d.Platform.mu.Unlock()
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
	return d.selectRows(prefix, after, n), nil
}

// Commit implements storer.Table.
func (d *Direct) Commit(ctx context.Context, txn storer.Txn) error {
	f, err := d.begin(ctx)
	if err != nil {
		return err
	}
	if f.late {
		time.AfterFunc(f.lateDelay, func() { d.apply(txn) })
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
	d.Platform.mu.Lock()
	defer d.Platform.mu.Unlock()
	data, ok := d.objects[key]
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
	d.Platform.mu.Lock()
	defer d.Platform.mu.Unlock()
	d.objects[key] = data
	return nil
}

// ListInstances implements storer.Instances.
func (d *Direct) ListInstances(ctx context.Context) ([]storer.Instance, error) {
	if _, err := d.begin(ctx); err != nil {
		return nil, err
	}
	return d.sortedInstances(), nil
}

// selectRows returns up to n rows whose key has the prefix and is greater than
// after, sorted by key.
func (p *Platform) selectRows(prefix, after string, n int) []storer.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	rows := []storer.Row{}
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(n, len(rows))]
}

// sortedInstances returns the instance list, sorted by name.
func (p *Platform) sortedInstances() []storer.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := slices.Collect(maps.Values(p.instances))
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
