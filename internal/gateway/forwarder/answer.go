package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"siskinfall/internal/check/asserter"
	"siskinfall/internal/gateway/placer"
	"siskinfall/internal/process/accountant"
)

// maxBufferedBytes is the size up to which an answer is buffered before it is relayed,
// so that a truncated one can be replaced by a retry.
const maxBufferedBytes = 256 << 10

// relayAnswer relays an answer that is not an event stream.
func (x *exchange) relayAnswer(ctx context.Context, p *placer.Placed, a *answered) nextAction {
	var buffered bytes.Buffer
	err := x.bufferAnswer(&buffered, a.resp.Body)
	if err != nil && !errors.Is(err, io.EOF) {
		a.release(false, x.pool)
		return x.handleUnknown(ctx, p, err)
	}
	whole := errors.Is(err, io.EOF)
	if whole && x.isRetryableFailure(a.resp.StatusCode) {
		a.release(true, x.pool)
		p.Finish(placer.Failed, time.Now())
		x.mayHaveRun = true
		x.logAttempt(p, "failed by the backend server", nil)
		return retry{sent: true, fallback: failure{status: a.resp.StatusCode, buffered: &bufferedAnswer{resp: a.resp, body: buffered.Bytes()}}}
	}
	if !whole && x.isRetryableFailure(a.resp.StatusCode) && (a.resp.ContentLength < 0 || x.mayRetry(time.Now())) {
		return x.abandonFailure(p, a)
	}
	if err := x.writeHead(a.resp, whole, buffered.Len()); err != nil {
		return x.finishAnswer(p, a, 0, err)
	}
	n, err := x.w.Write(buffered.Bytes())
	written := int64(n)
	if err == nil && !whole {
		var rest int64
		rest, err = io.Copy(x.w, a.resp.Body)
		written += rest
	}
	return x.finishAnswer(p, a, written, err)
}

// bufferAnswer reads the first part of an answer, less of it while callers hold the memory for
// answers. The error is io.EOF if that is all of it.
func (x *exchange) bufferAnswer(buffered *bytes.Buffer, body io.Reader) error {
	_, err := io.CopyN(buffered, body, accountant.FreeAnswerBytes)
	if err != nil || !x.memory.Reserve(accountant.Answer, maxBufferedBytes, time.Now()) {
		return err
	}
	_, err = io.CopyN(buffered, body, maxBufferedBytes-accountant.FreeAnswerBytes)
	return err
}

// isRetryableFailure reports whether a failure of a backend server calls for a retry;
// the caller gets this failure if no retry is possible.
func (x *exchange) isRetryableFailure(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout && x.route.IsRepeatable()
}

// writeBuffered relays a failure that a backend server answered.
func (x *exchange) writeBuffered(b *bufferedAnswer) {
	err := x.writeHead(b.resp, true, len(b.body))
	if err == nil {
		_, err = x.w.Write(b.body)
	}
	if err == nil {
		x.w.setComplete()
	}
	x.logEnd(b.resp.StatusCode, "failed by the backend server", 0)
}

// checkLength asserts that an answer was relayed completely, if its length is known.
func (x *exchange) checkLength(resp *http.Response, written int64) error {
	whole := x.r.Method == http.MethodHead || resp.ContentLength < 0 || resp.ContentLength == written
	return asserter.Holds(whole, asserter.RuleWholeAnswer, "request %s: %d of %d bytes", x.ID, written, resp.ContentLength)
}

// finishAnswer ends a relayed answer, which is complete if err is nil.
func (x *exchange) finishAnswer(p *placer.Placed, a *answered, written int64, err error) nextAction {
	if err == nil {
		err = x.checkLength(a.resp, written)
	}
	a.release(err == nil, x.pool)
	if err != nil {
		p.Finish(placer.Cancelled, time.Now())
		x.logEnd(a.resp.StatusCode, "answer broke off", 0)
		return done{}
	}
	x.w.setComplete()
	outcome := placer.Served
	if a.resp.StatusCode >= http.StatusInternalServerError {
		outcome = placer.Failed
	} else {
		x.addServed()
	}
	p.Finish(outcome, time.Now())
	x.logEnd(a.resp.StatusCode, "answered", 0)
	return done{}
}

// writeHead relays status and headers, with the length of the body if it is known. If
// whole is set, length is that of the body.
func (x *exchange) writeHead(resp *http.Response, whole bool, length int) error {
	h := x.w.Header()
	connection := h.Get("Connection")
	for name, values := range copyHeaders(resp.Header) {
		h[name] = values
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
	switch {
	case x.r.Method == http.MethodHead:
	case whole:
		h.Set("Content-Length", strconv.Itoa(length))
	case resp.ContentLength >= 0:
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	default:
		h.Del("Content-Length")
	}
	if h.Get("Content-Type") == "" {
		// A nil value keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
	return x.w.sendHead(resp.StatusCode)
}

var errEventOrder = errors.New("number of an event does not rise")

// relayStream relays an event stream event by event. The head is held back until the
// first event, so that a stream that never begins can be retried elsewhere.
func (x *exchange) relayStream(ctx context.Context, p *placer.Placed, a *answered) nextAction {
	events := newEventReader(a.resp.Body, x.sourceOf(a.conn, "read_event"))
	resumedAfter := x.lastEvent
	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) && len(event) == 0 {
			if resumedAfter == 0 || x.attemptEvents > 0 {
				return x.finishStream(p, a)
			}
			// Nothing shows that this server had the rest of the stream.
			err = errNotContinued
		}
		skip := false
		if err == nil {
			skip, err = x.checkOrder(event, id, resumedAfter)
		}
		switch {
		case errors.Is(err, errNotContinued):
			return x.handleFailedResumption(p, a, err)
		case err != nil:
			a.release(false, x.pool)
			return x.handleUnknown(ctx, p, err)
		case skip:
			continue
		}
		if err := x.relayEvent(a.resp, event, id); err != nil {
			a.release(false, x.pool)
			p.Finish(placer.Cancelled, time.Now())
			reason := "caller left"
			if asserter.IsViolation(err) {
				reason = "answer broke off: " + err.Error()
			}
			x.logEnd(http.StatusOK, reason, 0)
			return done{}
		}
		if err := x.recordProgress(a, event); err != nil {
			a.release(false, x.pool)
			return x.handleUnknown(ctx, p, err)
		}
	}
}

// recordProgress counts a relayed event and extends the deadline of the next one. A comment is
// no progress of the stream.
func (x *exchange) recordProgress(a *answered, event []byte) error {
	if !hasData(event) {
		return nil
	}
	if x.attemptEvents++; x.attemptEvents > beginningEvents {
		x.addPartsServed()
	}
	x.extendEventDeadline(time.Now())
	return a.conn.SetReadDeadline(x.eventDeadline)
}

// checkOrder checks an event of a stream that was resumed after an event, 0 for none. It
// returns true for an event that the caller has, with which a resumed stream may begin.
func (x *exchange) checkOrder(event []byte, id, resumedAfter int) (skip bool, err error) {
	switch {
	case id > 0 && id <= resumedAfter:
		return true, nil
	case id > 0 && id <= x.lastEvent:
		return false, errEventOrder
	case id == 0 && resumedAfter > 0 && resumedAfter == x.lastEvent && hasData(event):
		// No number has shown yet that the stream goes on where the caller is.
		return false, errNotContinued
	}
	return false, nil
}

// relayEvent relays one event. Within one answer, including its resumptions on other
// servers, no event is relayed twice.
func (x *exchange) relayEvent(resp *http.Response, event []byte, id int) error {
	if err := asserter.Holds(id == 0 || id > x.lastEvent, asserter.RuleWholeAnswer, "request %s: event %d after %d", x.ID, id, x.lastEvent); err != nil {
		return err
	}
	if !x.w.hasBegun() {
		resp.ContentLength = -1
		if err := x.writeHead(resp, false, 0); err != nil {
			return err
		}
		firstEventSeconds.Update(time.Since(x.start).Seconds())
	}
	if _, err := x.w.Write(event); err != nil {
		return err
	}
	if id > 0 {
		x.lastEvent = id
	} else if hasData(event) {
		x.unnumbered = true
	}
	return http.NewResponseController(x.w).Flush()
}

func (x *exchange) finishStream(p *placer.Placed, a *answered) nextAction {
	if !x.w.hasBegun() {
		a.resp.ContentLength = -1
		if err := x.writeHead(a.resp, false, 0); err != nil {
			return x.finishAnswer(p, a, 0, err)
		}
	}
	x.w.setComplete()
	a.release(true, x.pool)
	p.Finish(placer.Served, time.Now())
	x.addServed()
	x.logEnd(a.resp.StatusCode, "answered", 0)
	return done{}
}
