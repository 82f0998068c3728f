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
	// Incarnation tells a restarted process from its predecessor.
	Incarnation uint64
}

// Request asks for the permission to run.
type Request struct {
	ID
	Attempt    string
	Digest     []byte
	Generation uint64
	Retention  time.Duration
	// OnWait, if set, is called once before a wait for another run.
	OnWait func()
}

func (r *Request) waits() {
	if r.OnWait != nil {
		r.OnWait()
		r.OnWait = nil
	}
}

// Decision is what Begin decided.
type Decision interface{ sealed() }

// Replay gives an answer that is already known.
type Replay struct{ Answer *Answer }

// Denial refuses the request; Reason says how.
type Denial struct {
	Reason Reason
	// Generation is the closed one when Reason is ReasonClosed.
	Generation uint64
}

// Reason says why a request was denied.
type Reason string

// The reasons. Only ReasonLost leaves open whether the key's request ran.
const (
	ReasonStore  Reason = "store_unavailable"
	ReasonReused Reason = "key_reused"
	ReasonClosed Reason = "generation_closed"
	ReasonLost   Reason = "outcome_unknown"
)

func (*Permit) sealed() {}
func (*Replay) sealed() {}
func (*Denial) sealed() {}

// Guard gives permissions for one agent; it is safe for concurrent use.
type Guard struct {
	platform storer.Platform
	owner    Owner
	mu       sync.Mutex
	// running holds the permits of this process by row key.
	running map[string]*Permit
	wg      sync.WaitGroup
	ctx     context.Context //nolint:containedctx // bounds background writes
}

// New returns a Guard; ctx bounds its background writes.
func New(ctx context.Context, p storer.Platform, owner Owner) *Guard {
	return &Guard{platform: p, owner: owner, running: make(map[string]*Permit), ctx: ctx}
}

// Wait waits for the background writes, until ctx ends.
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

// insertTries bounds the writes for one permission.
const insertTries = 4

// Begin asks for the permission to run a request, waiting for the outcome of
// the same request where it runs already.
func (g *Guard) Begin(ctx context.Context, r Request) (Decision, error) {
	if p := g.getRunning(r.ID); p != nil {
		return g.join(ctx, p, r)
	}
	row := storer.Row{}
	for try := range insertTries {
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
		conflict := storer.IsErrConflict(err)
		cur, exec, err := g.read(ctx, r.ID)
		switch {
		case err != nil:
			return g.denyUnread(r, conflict && try == 0), nil
		case exec == nil:
			row = storer.Row{}
		case exec.isOwn(g.owner, r.Attempt) && exec.State == StateRunning:
			return g.newPermit(ctx, r)
		case exec.canRun(r.Generation):
			row = cur
		default:
			return g.follow(ctx, r, exec)
		}
	}
	g.cleanUp(r)
	return &Denial{Reason: ReasonStore}, nil
}

// denyUnread refuses a request whose row cannot be read. Unless none of its
// inserts can have had an effect, the row is cleaned up later.
func (g *Guard) denyUnread(r Request, noEffect bool) Decision {
	if !noEffect {
		g.cleanUp(r)
	}
	return &Denial{Reason: ReasonStore}
}

func (g *Guard) newExecution(r Request) *Execution {
	return &Execution{
		Generation: max(r.Generation, 1), State: StateRunning, Digest: r.Digest,
		Agent: g.owner.Instance, Incarnation: g.owner.Incarnation, Attempt: r.Attempt,
		Expires: time.Now().Add(r.Retention).UTC(),
	}
}

// read returns the row and its execution, nil if there is none.
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

// followInterval is the first wait between two reads of a row that another
// agent holds.
const followInterval = 50 * time.Millisecond

// ownerGrace is how long after its end a run's owner may take to tell the
// outcome; it covers differences between clocks.
const ownerGrace = 3 * time.Second

// follow reads the row until it is no longer running or ctx ends.
func (g *Guard) follow(ctx context.Context, r Request, exec *Execution) (Decision, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = followInterval
	for {
		if exec != nil && !exec.sameRequest(r.Digest) {
			return &Denial{Reason: ReasonReused}, nil
		}
		if exec == nil {
			return &Denial{Reason: ReasonStore}, nil
		}
		switch exec.State {
		case StateAnswered:
			return g.replay(ctx, exec)
		case StateUnknown:
			return &Denial{Reason: ReasonLost}, nil
		case StateClosed:
			return &Denial{Reason: ReasonClosed, Generation: exec.Generation}, nil
		case StateRunning:
			if !exec.Until.IsZero() && time.Since(exec.Until) > ownerGrace {
				return &Denial{Reason: ReasonLost}, nil
			}
		}
		r.waits()
		select {
		case <-ctx.Done():
			return &Denial{Reason: ReasonLost}, nil
		case <-time.After(wait.NextBackOff()):
		}
		_, next, err := g.read(ctx, r.ID)
		if err == nil {
			exec = next
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

// join waits for a run of this process.
func (g *Guard) join(ctx context.Context, p *Permit, r Request) (Decision, error) {
	if !p.exec.sameRequest(r.Digest) {
		return &Denial{Reason: ReasonReused}, nil
	}
	r.waits()
	select {
	case <-p.done:
	case <-ctx.Done():
		return &Denial{Reason: ReasonLost}, nil
	}
	switch {
	case p.answer != nil:
		return &Replay{Answer: p.answer}, nil
	case p.handedOver:
		return &Denial{Reason: ReasonLost}, nil
	}
	return &Denial{Reason: ReasonClosed, Generation: p.exec.Generation}, nil
}

// newPermit registers the run of a request whose row is known to be the own.
func (g *Guard) newPermit(ctx context.Context, r Request) (Decision, error) {
	p := &Permit{guard: g, request: r, exec: g.newExecution(r), done: make(chan struct{})}
	if ctx.Err() != nil {
		g.cleanUp(r)
		return &Denial{Reason: ReasonStore}, nil
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

// cleanUp closes, in the background, the generation of a request that this
// process has refused, so that an insert still under way cannot block the key.
func (g *Guard) cleanUp(r Request) {
	g.update(r, func(e *Execution) error {
		if !e.isOwn(g.owner, r.Attempt) {
			return ErrBadTransition
		}
		return e.close()
	}, true)
}

// update changes the row of a request in the background until it succeeds or
// the change no longer applies. With closeAbsent, an absent row is closed too.
func (g *Guard) update(r Request, change func(*Execution) error, closeAbsent bool) {
	g.wg.Go(func() {
		_, err := backoff.Retry(g.ctx, func() (struct{}, error) {
			return struct{}{}, g.tryUpdate(g.ctx, r, change, closeAbsent)
		}, backoff.WithMaxElapsedTime(r.Retention))
		if err != nil {
			log.Warn("execution not updated", "step", "update_execution", "row", r.RowKey(), "error", err)
		}
	})
}

func (g *Guard) tryUpdate(ctx context.Context, r Request, change func(*Execution) error, closeAbsent bool) error {
	row, exec, err := g.read(ctx, r.ID)
	if err != nil {
		return err
	}
	switch {
	case exec == nil && closeAbsent:
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
