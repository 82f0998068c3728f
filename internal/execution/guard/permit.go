package guard

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"

	"siskinfall/internal/check/asserter"
	"siskinfall/internal/fault/wrapper"
)

// maxInlineBytes is the maximum size of an answer's body that is stored in the row;
// larger ones are stored as an object.
const maxInlineBytes = 16 << 10

// recordTimeout bounds the first attempt to write an answer to its row; after that
// it is retried in the background.
const recordTimeout = 2 * time.Second

// Permit is the permission to run one request once. It is used by one goroutine;
// others may read done, answer and handedOver, the latter two after done is closed.
type Permit struct {
	guard   *Guard
	request Request
	exec    *Execution
	// rowHeld is true only after this attempt's row was written or read back.
	rowHeld bool
	// handedOver is set before the first byte is sent to the backend server.
	handedOver bool
	// answer is set before done is closed, or never set.
	answer *Answer
	done   chan struct{}
}

// HandOver marks the request as handed over, which means that the backend server
// may have received it. It must be called just before the request is sent, and fails
// if the row is not held or the request was already handed over.
func (p *Permit) HandOver() error {
	if err := asserter.Holds(p.rowHeld, asserter.RuleOwnRow, "hand-over of %s without a row", p.request.RowKey()); err != nil {
		return err
	}
	if err := asserter.Holds(!p.handedOver, asserter.RuleOwnRow, "second hand-over of %s", p.request.RowKey()); err != nil {
		return err
	}
	p.handedOver = true
	return nil
}

// RevertHandOver reverts HandOver. It may be called only if no byte of the request
// reached the backend server.
func (p *Permit) RevertHandOver() {
	p.handedOver = false
}

// PublishAnswer passes the answer to the attempts that wait for this run. The caller
// must call RecordAnswer afterwards.
func (p *Permit) PublishAnswer(a *Answer) {
	p.answer = a
	p.endRun()
}

// RecordAnswer writes the answer to the row. If the write fails or exceeds
// recordTimeout, it returns the error and retries in the background.
func (p *Permit) RecordAnswer(ctx context.Context) error {
	a, err := p.storeLargeBody(ctx)
	if err != nil {
		a = &Answer{Status: p.answer.Status, Headers: p.answer.Headers, Body: p.answer.Body}
	}
	change := func(e *Execution) error {
		if !e.isOwnedBy(p.guard.owner, p.request.Attempt) {
			return ErrBadTransition
		}
		return e.setAnswered(a)
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err = p.guard.tryUpdate(ctx, p.request, change, false)
	var permanent *backoff.PermanentError
	if err != nil && !errors.As(err, &permanent) {
		p.guard.update(p.request, change, false)
	}
	return wrapper.At("record_answer", "platform", err)
}

func (p *Permit) storeLargeBody(ctx context.Context) (*Answer, error) {
	a := *p.answer
	if len(a.Body) <= maxInlineBytes {
		return &a, nil
	}
	key := "answer/" + p.request.RowKey()
	if err := p.guard.platform.PutObject(ctx, key, a.Body); err != nil {
		return nil, err
	}
	a.Object, a.Body = key, nil
	return &a, nil
}

// Fail ends a run without an answer. In the background it sets the execution to
// unknown if the request was handed over, and to closed otherwise.
func (p *Permit) Fail() {
	handedOver := p.handedOver
	p.endRun()
	p.guard.update(p.request, func(e *Execution) error {
		if !e.isOwnedBy(p.guard.owner, p.request.Attempt) || e.State != StateRunning {
			return ErrBadTransition
		}
		if !handedOver {
			return e.setClosed()
		}
		e.State = StateUnknown
		return nil
	}, false)
	if handedOver {
		log.Warn("outcome of execution lost", "step", "run", "row", p.request.RowKey(), "attempt", p.request.Attempt)
	}
}

// endRun unregisters the run and wakes the attempts that wait for it.
func (p *Permit) endRun() {
	p.guard.mu.Lock()
	defer p.guard.mu.Unlock()
	select {
	case <-p.done:
	default:
		close(p.done)
		delete(p.guard.running, p.request.RowKey())
	}
}
