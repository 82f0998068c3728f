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

// doneEvent is the end marker of a complete stream.
const doneEvent = "data: [DONE]"

var errTruncated = errors.New("stream ended without its end marker")

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
		return a.copyEvents(bufio.NewReaderSize(answer.Body, chunkSize))
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

// copyEvents forwards server-sent events. Events that have arrived together are sent
// in one frame. A stream without the end marker is an error.
func (a *attempt) copyEvents(r *bufio.Reader) error {
	var events []byte
	done := false
	lastStart, lineStart := 0, 0
	for {
		part, err := r.ReadSlice('\n')
		events = append(events, part...)
		if len(events)-lastStart > limiter.MaxEventBytes {
			limiter.Report(a.newSource("read_event"), limiter.MaxEventBytes)
			return limiter.ErrTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return checkStreamEnd(done)
		}
		if err != nil {
			return err
		}
		line := events[lineStart:]
		lineStart = len(events)
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		done = bytes.HasPrefix(events[lastStart:], []byte(doneEvent))
		lastStart = len(events)
		if r.Buffered() == 0 || done || len(events) >= chunkSize {
			a.sendChunk(events, done)
			events, lastStart, lineStart = events[:0], 0, 0
		}
	}
}

// newSource identifies the backend server's answer to this attempt in logs.
func (a *attempt) newSource(step string) limiter.Source {
	return limiter.Source{Request: a.req.GetAttemptId(), Server: a.cfg.Agent.Backend.String(), Step: step}
}

func checkStreamEnd(done bool) error {
	if done {
		return nil
	}
	return errTruncated
}

// readWhole reads an answer that is to be recorded.
func (a *attempt) readWhole(body io.ReadCloser) ([]byte, error) {
	return io.ReadAll(limiter.NewReader(body, maxAnswerBytes, a.newSource("record_answer")))
}
