package server

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/charmbracelet/log"

	"siskinfall/internal/agent/driver"
	"siskinfall/internal/check/asserter"
	"siskinfall/internal/execution/guard"
	"siskinfall/internal/wire/encoder"
)

// Sizes of answers, in bytes.
const (
	// chunkSize is the most data in one frame.
	chunkSize = 32 << 10
	// maxAnswer is the largest answer to a request that must not run twice.
	maxAnswer = 4 << 20
	// maxEvent is the largest server-sent event.
	maxEvent = 1 << 20
)

// doneEvent ends a whole stream.
const doneEvent = "data: [DONE]"

var (
	errTruncated = errors.New("stream ended without its end marker")
	errTooLarge  = errors.New("answer is too large")
)

// send writes an event, behind those that were buffered.
func (a *attempt) send(ev *encoder.RunEvent) {
	ev.AttemptId = a.req.GetAttemptId()
	switch ev.GetKind().(type) {
	case *encoder.RunEvent_End, *encoder.RunEvent_Refusal:
		load := a.queue.GetLoad()
		ev.Load = &encoder.Load{Running: uint32(load.Running), Queued: uint32(load.Waiting)}
		ev.QueuedMicros = a.queued.Microseconds()
		ev.RowState = a.row
	}
	if err := a.st.Send(ev); err != nil {
		log.Debug("event not sent", "error", err)
	}
}

// buffer keeps an event back until the next send.
func (a *attempt) buffer(ev *encoder.RunEvent) {
	ev.AttemptId = a.req.GetAttemptId()
	if err := a.st.Buffer(ev); err != nil {
		log.Debug("event not sent", "error", err)
	}
}

// refuse ends the attempt without an answer.
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

// bufferHead is sent together with what follows it.
func (a *attempt) bufferHead(h *encoder.Head) {
	a.buffer(&encoder.RunEvent{Kind: &encoder.RunEvent_Head{Head: h}})
}

// sendChunk passes data on; with more to come at once it may be kept back.
func (a *attempt) sendChunk(data []byte, more bool) {
	ev := &encoder.RunEvent{Kind: &encoder.RunEvent_Chunk{Chunk: &encoder.Chunk{Offset: a.offset, Data: data}}}
	if more {
		a.buffer(ev)
	} else {
		a.send(ev)
	}
	a.offset += uint64(len(data))
	_, _ = a.sum.Write(data)
}

func (a *attempt) sendEnd() {
	a.send(&encoder.RunEvent{Kind: &encoder.RunEvent_End{End: &encoder.End{Length: a.offset, Checksum: a.sum.Sum64()}}})
}

// sendWhole sends an answer that is complete.
func (a *attempt) sendWhole(answer *guard.Answer, replayed bool) {
	a.bufferHead(&encoder.Head{Status: uint32(answer.Status), Headers: answer.Headers, Replayed: replayed})
	for rest := answer.Body; len(rest) > 0; {
		n := min(len(rest), chunkSize)
		a.sendChunk(rest[:n], true)
		rest = rest[n:]
	}
	a.sendEnd()
}

// copyBody passes the answer on as it arrives, a stream by whole events.
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

// copyEvents passes server-sent events on, several in a frame when they are
// there already, and demands the end marker.
func (a *attempt) copyEvents(r *bufio.Reader) error {
	var event []byte
	done := false
	start := 0
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEvent {
			return errTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return endOfStream(done)
		}
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		done = bytes.HasPrefix(event[start:], []byte(doneEvent))
		start = len(event)
		if r.Buffered() == 0 || done || len(event) >= chunkSize {
			a.sendChunk(event, done)
			event, start = event[:0], 0
		}
	}
}

func endOfStream(done bool) error {
	if done {
		return nil
	}
	return errTruncated
}

func readBounded(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxAnswer {
		return nil, errTooLarge
	}
	return data, nil
}
