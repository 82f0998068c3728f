package server

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/charmbracelet/log"

	"siskinfall/internal/agent/driver"
	"siskinfall/internal/backend/limiter"
	"siskinfall/internal/check/asserter"
	"siskinfall/internal/execution/guard"
	"siskinfall/internal/wire/encoder"
)

// Sizes of answers.
const (
	// chunkSize is the maximum size of a chunk in bytes, except that events are sent
	// whole: they are sent once this many bytes have been collected.
	chunkSize = 32 << 10
	// maxAnswerBytes bounds the answer to a non-idempotent request.
	maxAnswerBytes = 4 << 20
)

var (
	errTruncated = errors.New("stream ended without its end marker")
	// errDataAfterEnd is returned for a stream that continues after its end marker.
	errDataAfterEnd = errors.New("stream continues after its end marker")
)

// send writes an event after the buffered ones. The last event of an attempt also
// carries the load, the time in the queue and the row state.
func (a *attempt) send(ev *encoder.RunEvent) {
	ev.AttemptId = a.req.GetAttemptId()
	switch ev.GetKind().(type) {
	case *encoder.RunEvent_End, *encoder.RunEvent_Refusal:
		load := a.queue.GetLoad()
		ev.Load = &encoder.Load{Running: uint32(load.Running), Queued: uint32(load.Waiting)}
		ev.QueuedMicros = a.queued.Microseconds()
		ev.RowState = a.rowState
	}
	if err := a.st.Send(ev); err != nil {
		log.Debug("failed to send event", "error", err)
	}
}

// buffer writes an event to the buffer, which the next send flushes.
func (a *attempt) buffer(ev *encoder.RunEvent) {
	ev.AttemptId = a.req.GetAttemptId()
	if err := a.st.Buffer(ev); err != nil {
		log.Debug("failed to buffer event", "error", err)
	}
}

// refuse ends the attempt with a refusal. If the request was handed over, an
// execution of NOT_RUN is an invariant violation and is reported as UNKNOWN.
func (a *attempt) refuse(code, step string, execution encoder.Execution, detail string) {
	if execution == encoder.Execution_EXECUTION_NOT_RUN {
		err := asserter.Holds(!a.handedOver, asserter.RuleNotRun, "%s refused as not run at %s", a.req.GetAttemptId(), step)
		if err != nil {
			execution = encoder.Execution_EXECUTION_UNKNOWN
		}
	}
	a.send(&encoder.RunEvent{Kind: &encoder.RunEvent_Refusal{Refusal: &encoder.Refusal{
		Code: code, Step: step, Execution: execution, Detail: detail, RetryAfterMicros: a.queue.GetLoad().ServiceTime.Microseconds(),
	}}})
}

// bufferHead buffers the head, which is sent together with the next event.
func (a *attempt) bufferHead(h *encoder.Head) {
	a.buffer(&encoder.RunEvent{Kind: &encoder.RunEvent_Head{Head: h}})
}

// sendChunk sends a part of the answer, or buffers it if more is set because another
// event follows immediately.
func (a *attempt) sendChunk(data []byte, more bool) {
	ev := &encoder.RunEvent{Kind: &encoder.RunEvent_Chunk{Chunk: &encoder.Chunk{Offset: a.offset, Data: data}}}
	if more {
		a.buffer(ev)
	} else {
		a.send(ev)
	}
	a.offset += uint64(len(data))
	_, _ = a.checksum.Write(data)
}

func (a *attempt) sendEnd() {
	a.send(&encoder.RunEvent{Kind: &encoder.RunEvent_End{End: &encoder.End{Length: a.offset, Checksum: a.checksum.Sum64()}}})
}

// sendAnswer sends a complete answer.
func (a *attempt) sendAnswer(answer *guard.Answer, replayed bool) {
	a.bufferHead(&encoder.Head{Status: uint32(answer.Status), Headers: answer.Headers, Replayed: replayed})
	for rest := answer.Body; len(rest) > 0; {
		n := min(len(rest), chunkSize)
		a.sendChunk(rest[:n], true)
		rest = rest[n:]
	}
	a.sendEnd()
}

// copyBody forwards the answer as it arrives. A stream is forwarded in whole events.
func (a *attempt) copyBody(answer *driver.Answer) error {
	if answer.Stream {
		return a.copyEvents(bufio.NewReaderSize(answer.Body, chunkSize), a.sendChunk)
	}
	buf := make([]byte, chunkSize)
	for total := int64(0); ; {
		n, err := answer.Body.Read(buf)
		total += int64(n)
		if n > 0 {
			a.sendChunk(buf[:n], total == answer.Length)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// copyEvents calls send with whole server-sent events, together with others that have
// arrived; more is set for the last ones. A stream without the end marker is an error.
func (a *attempt) copyEvents(r *bufio.Reader, send func(events []byte, more bool)) error {
	var events []byte
	// lastStart and lineStart are the positions of the current event and of its
	// current line.
	lastStart, lineStart := 0, 0
	for {
		part, err := r.ReadSlice('\n')
		events = append(events, part...)
		switch {
		case len(events)-lastStart > limiter.MaxEventBytes:
			limiter.Report(a.newSource("read_event"), limiter.MaxEventBytes)
			return limiter.ErrTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return errTruncated
		case err != nil:
			return err
		}
		isBlank := len(trimLineEnds(events[lineStart:])) == 0
		lineStart = len(events)
		if !isBlank {
			continue
		}
		if marker := trimLineEnds(events[lastStart:]); bytes.HasPrefix(marker, []byte(encoder.EndMarker)) {
			return copyLastEvents(r, events, marker, send)
		}
		lastStart = len(events)
		if r.Buffered() == 0 || len(events) >= chunkSize {
			send(events, false)
			events, lastStart, lineStart = events[:0], 0, 0
		}
	}
}

func trimLineEnds(data []byte) []byte { return bytes.Trim(data, "\r\n") }

// copyLastEvents sends the events up to the end marker once the answer has ended. Only
// blank lines may follow the marker, in its event and after it.
func copyLastEvents(r io.Reader, events, marker []byte, send func(events []byte, more bool)) error {
	rest, err := io.ReadAll(io.LimitReader(r, chunkSize))
	if err != nil {
		return err
	}
	if len(marker) > len(encoder.EndMarker) || len(trimLineEnds(rest)) > 0 || len(rest) == chunkSize {
		return errDataAfterEnd
	}
	send(append(events, rest...), true)
	return nil
}

// newSource identifies the backend server's answer to this attempt in logs.
func (a *attempt) newSource(step string) limiter.Source {
	return limiter.Source{Request: a.req.GetAttemptId(), Server: a.cfg.Agent.Backend.String(), Step: step}
}

// readAnswer reads a complete answer to a non-idempotent request.
func (a *attempt) readAnswer(answer *driver.Answer) ([]byte, error) {
	body, err := io.ReadAll(limiter.NewReader(answer.Body, maxAnswerBytes, a.newSource("record_answer")))
	if err != nil || !answer.Stream {
		return body, err
	}
	return body, a.copyEvents(bufio.NewReader(bytes.NewReader(body)), func([]byte, bool) {})
}
