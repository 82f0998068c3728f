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

// maxInline is the largest answer kept in a row, in bytes.
const maxInline = 16 << 10

// recordTimeout bounds the write of an answer before it goes on in the
// background.
const recordTimeout = 2 * time.Second

// Permit is the permission to run one request once. It is used by one
// goroutine; done, answer and handedOver are read by others after done closes.
type Permit struct {
	guard   *Guard
	request Request
	exec    *Execution
	// rowHeld is true only after the own row was written or read back.
	rowHeld bool
	// handedOver is set before the first byte goes to the backend server.
	handedOver bool
	// answer is set before done is closed, or never.
	answer *Answer
	done   chan struct{}
}

// HandOver must be called just before the request goes to the backend server.
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

// Withdraw says that no byte of the request reached the backend server.
func (p *Permit) Withdraw() {
	p.handedOver = false
}

// Answer gives the answer to those who joined. Record must follow.
func (p *Permit) Answer(a *Answer) {
	p.answer = a
	p.finish()
}

// Record writes the answer to the row, in the background after a while.
func (p *Permit) Record(ctx context.Context) error {
	a, err := p.storeLarge(ctx)
	if err != nil {
		a = &Answer{Status: p.answer.Status, Headers: p.answer.Headers, Body: p.answer.Body}
	}
	change := func(e *Execution) error {
		if !e.isOwn(p.guard.owner, p.request.Attempt) {
			return ErrBadTransition
		}
		return e.answer(a)
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

func (p *Permit) storeLarge(ctx context.Context) (*Answer, error) {
	a := *p.answer
	if len(a.Body) <= maxInline {
		return &a, nil
	}
	key := "answer/" + p.request.RowKey()
	if err := p.guard.platform.PutObject(ctx, key, a.Body); err != nil {
		return nil, err
	}
	a.Object, a.Body = key, nil
	return &a, nil
}

// Fail ends a run without an answer: unknown if the request was handed over,
// closed otherwise.
func (p *Permit) Fail() {
	handedOver := p.handedOver
	p.finish()
	p.guard.update(p.request, func(e *Execution) error {
		if !e.isOwn(p.guard.owner, p.request.Attempt) || e.State != StateRunning {
			return ErrBadTransition
		}
		if !handedOver {
			return e.close()
		}
		e.State = StateUnknown
		return nil
	}, false)
	if handedOver {
		log.Warn("outcome lost", "step", "run", "row", p.request.RowKey(), "attempt", p.request.Attempt)
	}
}

// finish lets those who joined go on.
func (p *Permit) finish() {
	p.guard.mu.Lock()
	defer p.guard.mu.Unlock()
	select {
	case <-p.done:
	default:
		close(p.done)
		delete(p.guard.running, p.request.RowKey())
	}
}
