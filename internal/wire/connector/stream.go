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

// Send writes one message, behind those that were buffered.
func (s *Stream) Send(m Message) error {
	if err := s.Buffer(m); err != nil {
		return err
	}
	return wrapper.At("send_frame", s.peer, s.writer.Flush())
}

// Buffer keeps a message back until the next Send.
func (s *Stream) Buffer(m Message) error {
	return wrapper.At("send_frame", s.peer, encoder.Write(s.writer, m))
}

// Receive reads one message. After an error the stream is closed.
func (s *Stream) Receive(m Message) error {
	err := s.reader.Read(m)
	if err != nil {
		_ = s.conn.Close()
	}
	return wrapper.At("receive_frame", s.peer, err)
}

var sent, received atomic.Uint64

var (
	_ = metrics.NewGauge(`siskinfall_session_bytes_total{direction="sent"}`, func() float64 { return float64(sent.Load()) })
	_ = metrics.NewGauge(`siskinfall_session_bytes_total{direction="received"}`, func() float64 { return float64(received.Load()) })
)

// GetStats returns the bytes that all sessions of the process have moved.
func GetStats() Stats {
	return Stats{Sent: sent.Load(), Received: received.Load()}
}
