package guard

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"

	"siskinfall/internal/check/asserter"
	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/store/storer"
)

// Owner identifies the process that runs requests.
type Owner struct {
	Instance string
	// Incarnation distinguishes a restarted process from its predecessor.
	Incarnation uint64
}

// Request asks for permission to run a request.
type Request struct {
	ID
	Attempt    string
	Digest     []byte
	Generation uint64
	Retention  time.Duration
	// OnWait, if set, is called once before waiting for the outcome of another run.
	OnWait func()
}

func (r *Request) notifyWait() {
	if r.OnWait != nil {
		r.OnWait()
		r.OnWait = nil
	}
}

// Decision is the result of Begin: a *Permit, *Replay or *Denial.
type Decision interface{ sealed() }

// Replay holds the answer of an earlier run.
type Replay struct{ Answer *Answer }

// Denial is a refusal to run the request.
type Denial struct {
	Reason Reason
	// Generation is the closed generation if Reason is ReasonClosed.
	Generation uint64
}

// Reason is the reason for a Denial, and the code of the refusal sent to callers.
type Reason string

// Reasons for a Denial. Only with ReasonOutcomeUnknown may the request have run.
const (
	ReasonStoreUnavailable Reason = "store_unavailable"
	ReasonKeyReused        Reason = "key_reused"
	ReasonClosed           Reason = "generation_closed"
	ReasonOutcomeUnknown   Reason = "outcome_unknown"
)

func (*Permit) sealed() {}
func (*Replay) sealed() {}
func (*Denial) sealed() {}

// Guard grants permits to one agent; it is safe for concurrent use.
type Guard struct {
	platform storer.Platform
	owner    Owner
	mu       sync.Mutex
	// running holds the permits in use by this process by row key.
	running map[string]*Permit
	wg      sync.WaitGroup
	ctx     context.Context //nolint:containedctx // bounds background writes
}

// New returns a Guard; ctx bounds its background writes.
func New(ctx context.Context, p storer.Platform, owner Owner) *Guard {
	return &Guard{platform: p, owner: owner, running: make(map[string]*Permit), ctx: ctx}
}

// Wait waits for the background writes, at most until ctx ends.
func (g *Guard) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		g.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// maxInsertAttempts bounds the attempts to insert a row for one request.
const maxInsertAttempts = 4

// Begin asks for permission to run a request. If the request is already running, it
// waits for the outcome.
func (g *Guard) Begin(ctx context.Context, r Request) (Decision, error) {
	if p := g.getRunning(r.ID); p != nil {
		return g.joinRun(ctx, p, r)
	}
	row := storer.Row{}
	for attempt := range maxInsertAttempts {
		exec := g.newExecution(r)
		exec.Until, _ = ctx.Deadline()
		txn, err := exec.newWrite(r.ID, row.Version)
		if err != nil {
			return nil, err
		}
		err = g.platform.Commit(ctx, txn)
		if err == nil {
			return g.newPermit(ctx, r)
		}
		isConflict := storer.IsErrConflict(err)
		current, exec, err := g.read(ctx, r.ID)
		switch {
		case err != nil:
			return g.denyUnreadable(r, isConflict && attempt == 0), nil
		case exec == nil:
			row = storer.Row{}
		case exec.isOwnedBy(g.owner, r.Attempt) && exec.State == StateRunning:
			return g.newPermit(ctx, r)
		case exec.canTakeOver(r.Generation):
			row = current
		default:
			return g.pollRow(ctx, r, exec)
		}
	}
	g.closeRefused(r)
	return &Denial{Reason: ReasonStoreUnavailable}, nil
}

// denyUnreadable refuses a request whose row cannot be read. Unless noEffect says
// that no insert can have succeeded, it closes the row in the background.
func (g *Guard) denyUnreadable(r Request, noEffect bool) Decision {
	if !noEffect {
		g.closeRefused(r)
	}
	return &Denial{Reason: ReasonStoreUnavailable}
}

func (g *Guard) newExecution(r Request) *Execution {
	return &Execution{
		Generation: max(r.Generation, 1), State: StateRunning, Digest: r.Digest,
		Agent: g.owner.Instance, Incarnation: g.owner.Incarnation, Attempt: r.Attempt,
		Expires: time.Now().Add(r.Retention).UTC(),
	}
}

// read returns the row and its execution, which is nil if there is no row.
func (g *Guard) read(ctx context.Context, id ID) (storer.Row, *Execution, error) {
	row, err := g.platform.GetRow(ctx, id.RowKey())
	if storer.IsErrRowNotExist(err) {
		return storer.Row{}, nil, nil
	}
	if err != nil {
		return storer.Row{}, nil, err
	}
	e, err := decodeRow(row)
	return row, e, err
}

// minPollInterval is the initial backoff between two reads of a row that another
// agent owns.
const minPollInterval = 50 * time.Millisecond

// ownerGracePeriod is how long after the deadline of a run its owner may record the
// outcome; it allows for clock skew.
const ownerGracePeriod = 3 * time.Second

// pollRow reads the row until the execution is no longer running, its owner is
// presumed to have failed, or ctx ends.
func (g *Guard) pollRow(ctx context.Context, r Request, exec *Execution) (Decision, error) {
	interval := backoff.NewExponentialBackOff()
	interval.InitialInterval = minPollInterval
	for {
		if exec != nil && !exec.matchesDigest(r.Digest) {
			return &Denial{Reason: ReasonKeyReused}, nil
		}
		if exec == nil {
			return &Denial{Reason: ReasonStoreUnavailable}, nil
		}
		switch exec.State {
		case StateAnswered:
			return g.replay(ctx, exec)
		case StateUnknown:
			return &Denial{Reason: ReasonOutcomeUnknown}, nil
		case StateClosed:
			return &Denial{Reason: ReasonClosed, Generation: exec.Generation}, nil
		case StateRunning:
			if !exec.Until.IsZero() && time.Since(exec.Until) > ownerGracePeriod {
				return &Denial{Reason: ReasonOutcomeUnknown}, nil
			}
		}
		r.notifyWait()
		select {
		case <-ctx.Done():
			return &Denial{Reason: ReasonOutcomeUnknown}, nil
		case <-time.After(interval.NextBackOff()):
		}
		_, latest, err := g.read(ctx, r.ID)
		if err == nil {
			exec = latest
		}
	}
}

func (g *Guard) replay(ctx context.Context, exec *Execution) (Decision, error) {
	a := *exec.Answer
	if a.Object == "" {
		return &Replay{Answer: &a}, nil
	}
	body, err := g.platform.GetObject(ctx, a.Object)
	if err != nil {
		return nil, wrapper.At("read_answer", "platform", err)
	}
	a.Body = body
	return &Replay{Answer: &a}, nil
}

func (g *Guard) getRunning(id ID) *Permit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running[id.RowKey()]
}

// joinRun waits for the outcome of a run in this process.
func (g *Guard) joinRun(ctx context.Context, p *Permit, r Request) (Decision, error) {
	if !p.exec.matchesDigest(r.Digest) {
		return &Denial{Reason: ReasonKeyReused}, nil
	}
	r.notifyWait()
	select {
	case <-p.done:
	case <-ctx.Done():
		return &Denial{Reason: ReasonOutcomeUnknown}, nil
	}
	switch {
	case p.answer != nil:
		return &Replay{Answer: p.answer}, nil
	case p.handedOver:
		return &Denial{Reason: ReasonOutcomeUnknown}, nil
	}
	return &Denial{Reason: ReasonClosed, Generation: p.exec.Generation}, nil
}

// newPermit registers a run after this attempt's row was written or read back.
func (g *Guard) newPermit(ctx context.Context, r Request) (Decision, error) {
	p := &Permit{guard: g, request: r, exec: g.newExecution(r), done: make(chan struct{})}
	if ctx.Err() != nil {
		g.closeRefused(r)
		return &Denial{Reason: ReasonStoreUnavailable}, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if other := g.running[r.RowKey()]; other != nil {
		err := asserter.Holds(false, asserter.RuleOwnRow, "two permits for %s", r.RowKey())
		return nil, err
	}
	p.rowHeld = true
	g.running[r.RowKey()] = p
	return p, nil
}

// closeRefused closes, in the background, the generation of a request that this
// process has refused, so that an insert still in flight cannot block the key.
func (g *Guard) closeRefused(r Request) {
	g.update(r, func(e *Execution) error {
		if !e.isOwnedBy(g.owner, r.Attempt) {
			return ErrBadTransition
		}
		return e.setClosed()
	}, true)
}

// update changes the row of a request in the background. It retries until the write
// succeeds, the change no longer applies, the retention period has passed, or the
// context of the Guard ends. With closeIfAbsent, it writes a closed execution if
// there is no row.
func (g *Guard) update(r Request, change func(*Execution) error, closeIfAbsent bool) {
	g.wg.Go(func() {
		_, err := backoff.Retry(g.ctx, func() (struct{}, error) {
			return struct{}{}, g.tryUpdate(g.ctx, r, change, closeIfAbsent)
		}, backoff.WithMaxElapsedTime(r.Retention))
		if err != nil {
			log.Warn("execution not updated", "step", "update_execution", "row", r.RowKey(), "error", err)
		}
	})
}

func (g *Guard) tryUpdate(ctx context.Context, r Request, change func(*Execution) error, closeIfAbsent bool) error {
	row, exec, err := g.read(ctx, r.ID)
	if err != nil {
		return err
	}
	switch {
	case exec == nil && closeIfAbsent:
		exec = g.newExecution(r)
		exec.State = StateClosed
	case exec == nil:
		return backoff.Permanent(storer.ErrRowNotExist)
	default:
		if err := change(exec); err != nil {
			return backoff.Permanent(err)
		}
	}
	txn, err := exec.newWrite(r.ID, row.Version)
	if err != nil {
		return backoff.Permanent(err)
	}
	return g.platform.Commit(ctx, txn)
}
