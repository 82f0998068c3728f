// Package limiter bounds how much of one answer is read, so that a backend server, or
// another process at its address, can't occupy memory, a connection or a caller with
// bytes that never end. Its Transport also rejects answers with a malformed head.
package limiter

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// Bounds of an answer in bytes.
const (
	// MaxHeadBytes bounds the head: eight times the 8 KiB up to which servers commonly
	// accept one.
	MaxHeadBytes = 64 << 10
	// MaxAnswerBytes bounds the body: four times the 16 MiB of a stream of 128,000 tokens,
	// each in an event of 128 bytes.
	MaxAnswerBytes = 64 << 20
	// MaxEventBytes bounds one event of a stream: the default limit of a request's body,
	// which an event that repeats its request may contain.
	MaxEventBytes = 1 << 20
)

// ErrTooLarge is returned when an answer exceeds its bound.
var ErrTooLarge = errors.New("answer exceeds the size limit")

// Source identifies an answer in logs.
type Source struct {
	// Request is empty if the answer belongs to no caller's request.
	Request string
	// Server is the ID of the backend server, or its address.
	Server string
	// Step is the name, in snake_case, of the operation that reads the answer.
	Step string
}

// Report logs and counts an answer, or a request of an engine, that exceeds a bound in bytes.
func Report(src Source, bound int64) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskinfall_answers_too_large_total{step=%q}`, src.Step)).Inc()
	log.Warn("size limit exceeded", "event", "answer_too_large", "request", src.Request, "server", src.Server, "step", src.Step, "bytes", bound)
}

// ReportMalformed logs and counts an answer whose head is malformed.
func ReportMalformed(src Source, err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskinfall_answers_malformed_total{step=%q}`, src.Step)).Inc()
	log.Warn("answer rejected", "event", "answer_malformed", "request", src.Request, "server", src.Server, "step", src.Step, "error", err)
}
