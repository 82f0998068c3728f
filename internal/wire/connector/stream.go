package connector

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/wire/encoder"
)

// Message is a wire message.
type Message = proto.Message

// Send writes one message after the buffered ones, and flushes the buffer.
func (s *Stream) Send(m Message) error {
	if err := s.Buffer(m); err != nil {
		return err
	}
	return wrapper.At("send_frame", s.peer, s.writer.Flush())
}

// Buffer writes a message to the buffer. It is sent with the next Send, or before that
// when the buffer is full.
func (s *Stream) Buffer(m Message) error {
	return wrapper.At("send_frame", s.peer, encoder.Write(s.writer, m))
}

// Receive reads one message. After an error the stream is closed.
func (s *Stream) Receive(m Message) error {
	err := s.reader.Read(m)
	if err != nil {
		_ = s.Close()
	}
	return wrapper.At("receive_frame", s.peer, err)
}

var sentBytes, receivedBytes atomic.Uint64

var (
	_ = metrics.NewGauge(`siskinfall_session_bytes_total{direction="sent"}`, func() float64 { return float64(sentBytes.Load()) })
	_ = metrics.NewGauge(`siskinfall_session_bytes_total{direction="received"}`, func() float64 { return float64(receivedBytes.Load()) })
)

// GetStats returns the byte counts of all sessions of the process.
func GetStats() Stats {
	return Stats{Sent: sentBytes.Load(), Received: receivedBytes.Load()}
}
