package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"siskinfall/internal/check/asserter"
	"siskinfall/internal/gateway/placer"
)

// heldBytes bounds the answers that are read whole before any of them is passed
// on, so that one that breaks off can be replaced.
const heldBytes = 256 << 10

// passWhole passes on an answer that is no event stream.
func (x *exchange) passWhole(ctx context.Context, p *placer.Placed, a *answered) next {
	var held bytes.Buffer
	_, err := io.CopyN(&held, a.resp.Body, heldBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		a.release(false, x.pool)
		return x.handleUnknown(ctx, p, err)
	}
	whole := errors.Is(err, io.EOF)
	if whole && x.isWorthAnother(a.resp.StatusCode) {
		a.release(true, x.pool)
		p.Finish(placer.Failed, time.Now())
		x.mayHaveRun = true
		x.logAttempt(p, "failed by the backend server", nil)
		return again{sent: true, fail: failure{status: a.resp.StatusCode, held: &heldAnswer{resp: a.resp, body: held.Bytes()}}}
	}
	x.writeHead(a.resp, whole, held.Len())
	n, err := x.w.Write(held.Bytes())
	passed := int64(n)
	if err == nil && !whole {
		var rest int64
		rest, err = io.Copy(x.w, a.resp.Body)
		passed += rest
	}
	return x.finishAnswer(p, a, passed, err)
}

// isWorthAnother reports whether a failure of a backend server should be tried
// elsewhere; the caller gets this failure if that is not possible.
func (x *exchange) isWorthAnother(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout && x.route.IsRepeatable()
}

// writeHeld passes on a failure that a backend server answered.
func (x *exchange) writeHeld(h *heldAnswer) {
	x.writeHead(h.resp, true, len(h.body))
	_, err := x.w.Write(h.body)
	x.logEnd(h.resp.StatusCode, "failed by the backend server", 0)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// checkWhole asserts that all of an answer was passed on, as far as it told its length.
func (x *exchange) checkWhole(resp *http.Response, passed int64) error {
	whole := x.r.Method == http.MethodHead || resp.ContentLength < 0 || resp.ContentLength == passed
	return asserter.Holds(whole, asserter.RuleWholeAnswer, "request %s: %d of %d bytes", x.ID, passed, resp.ContentLength)
}

// finishAnswer ends an answer of which some bytes were passed on; one that broke off
// must not look complete.
func (x *exchange) finishAnswer(p *placer.Placed, a *answered, passed int64, err error) next {
	if err == nil {
		err = x.checkWhole(a.resp, passed)
	}
	a.release(err == nil, x.pool)
	if err != nil {
		p.Finish(placer.Cancelled, time.Now())
		x.logEnd(a.resp.StatusCode, "answer broke off", 0)
		panic(http.ErrAbortHandler)
	}
	outcome := placer.Served
	if a.resp.StatusCode >= http.StatusInternalServerError {
		outcome = placer.Failed
	}
	p.Finish(outcome, time.Now())
	x.logEnd(a.resp.StatusCode, "answered", 0)
	return done{}
}

// writeHead passes on status and headers. A length is told if it is known.
func (x *exchange) writeHead(resp *http.Response, whole bool, n int) {
	h := x.w.Header()
	closing := h.Get("Connection")
	for name, values := range copyHeaders(resp.Header) {
		h[name] = values
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	switch {
	case x.r.Method == http.MethodHead:
	case whole:
		h.Set("Content-Length", strconv.Itoa(n))
	case resp.ContentLength >= 0:
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	default:
		h.Del("Content-Length")
	}
	if h.Get("Content-Type") == "" {
		// A nil value keeps the library from guessing.
		h["Content-Type"] = nil
	}
	x.w.WriteHeader(resp.StatusCode)
}

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

var errLongEvent = errors.New("event is too long")

// passStream passes on an event stream, event by event. The head waits for the
// first event, so that a stream that never begins can be replaced.
func (x *exchange) passStream(ctx context.Context, p *placer.Placed, a *answered) next {
	br := bufio.NewReaderSize(a.resp.Body, eventBuffer)
	for {
		event, id, err := readEvent(br)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			return x.finishStream(p, a)
		}
		if err != nil {
			a.release(false, x.pool)
			return x.handleUnknown(ctx, p, err)
		}
		if id > 0 && id <= x.lastEvent {
			// A resumed stream may begin with what the caller has.
			continue
		}
		x.expectEvent(time.Now())
		if err := a.conn.SetReadDeadline(x.eventBy); err != nil {
			a.release(false, x.pool)
			return x.handleUnknown(ctx, p, err)
		}
		if err := x.passEvent(a.resp, event, id); err != nil {
			a.release(false, x.pool)
			p.Finish(placer.Cancelled, time.Now())
			reason := "caller left"
			if asserter.IsViolation(err) {
				reason = "answer broke off: " + err.Error()
			}
			x.logEnd(http.StatusOK, reason, 0)
			panic(http.ErrAbortHandler)
		}
	}
}

// eventBuffer is the size of the buffer for events, in bytes.
const eventBuffer = 1 << 10

// passEvent passes on one event. Within one answer, also one that was resumed, no event
// comes twice.
func (x *exchange) passEvent(resp *http.Response, event []byte, id int) error {
	if err := asserter.Holds(id == 0 || id > x.lastEvent, asserter.RuleWholeAnswer, "request %s: event %d after %d", x.ID, id, x.lastEvent); err != nil {
		return err
	}
	if !x.passed {
		x.passed = true
		resp.ContentLength = -1
		x.writeHead(resp, false, 0)
		firstSeconds.Update(time.Since(x.start).Seconds())
	}
	if _, err := x.w.Write(event); err != nil {
		return err
	}
	if id > 0 {
		x.lastEvent = id
	}
	return http.NewResponseController(x.w).Flush()
}

func (x *exchange) finishStream(p *placer.Placed, a *answered) next {
	if !x.passed {
		x.passed = true
		a.resp.ContentLength = -1
		x.writeHead(a.resp, false, 0)
	}
	a.release(true, x.pool)
	p.Finish(placer.Served, time.Now())
	x.logEnd(a.resp.StatusCode, "answered", 0)
	return done{}
}

// idField begins the line with an event's number.
var idField = []byte("id:")

// readEvent reads up to the blank line that ends an event, and the event's
// number, 0 if it has none. At the end of the stream it returns io.EOF with what
// was left over; an event that is not ended is no event.
func readEvent(br *bufio.Reader) (event []byte, id int, err error) {
	for {
		line, err := br.ReadSlice('\n')
		event = append(event, line...)
		if err != nil {
			if errors.Is(err, io.EOF) && len(event) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event, 0, err
		}
		if len(event) > maxEvent {
			return nil, 0, errLongEvent
		}
		trimmed := bytes.TrimRight(line, "\r\n")
		if len(trimmed) == 0 {
			return event, id, nil
		}
		if text, ok := bytes.CutPrefix(trimmed, idField); ok {
			if n, err := strconv.Atoi(string(bytes.TrimSpace(text))); err == nil {
				id = n
			}
		}
	}
}
