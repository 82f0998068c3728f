package connector

import (
	"net"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/wire/encoder"
)

// Message is a wire message.
type Message = proto.Message

// Send writes one message.
func (s *Stream) Send(m Message) error {
	return wrapper.At("send_frame", s.peer, encoder.Write(s.conn, m))
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

// GetStats returns the bytes that all sessions of the process have moved.
func GetStats() Stats {
	return Stats{Sent: sent.Load(), Received: received.Load()}
}

// countedConn counts the bytes of a session.
type countedConn struct {
	net.Conn
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	sent.Add(uint64(n))
	return n, err
}
