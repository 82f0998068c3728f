// Package resetter makes the end of a caller's connection tell a whole answer from a part
// of one. An answer of unknown length to a caller of HTTP/1.0 ends with its connection, so
// that a part of it looks whole unless the connection is reset.
package resetter

import (
	"context"
	"errors"
	"net"
	"net/http"
)

// ErrNoReset says that the connection of a request can't be reset, because its server
// lacks WithConn or it is no TCP connection.
var ErrNoReset = errors.New("connection cannot be reset")

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// WithConn adds a connection to the context of its requests. It is the ConnContext of an
// http.Server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// lingerer is the part of net.TCPConn that selects what closing the connection does.
type lingerer interface{ SetLinger(sec int) error }

// Arguments of SetLinger.
const (
	lingerReset   = 0
	lingerDefault = -1
)

// Resetter is for one answer. It does nothing for HTTP/1.1, which frames every answer.
type Resetter struct {
	// endsWithConn says that nothing but the end of the connection ends the answer.
	endsWithConn bool
	// conn is nil if the connection cannot be reset.
	conn lingerer
}

// New returns the Resetter of the answer to r.
func New(r *http.Request) *Resetter {
	conn, _ := r.Context().Value(connKey{}).(lingerer)
	return &Resetter{endsWithConn: !r.ProtoAtLeast(1, 1), conn: conn}
}

// Arm makes every close of the connection reset it, also one by the server or by the end of
// the process. It is called before the head is written.
func (s *Resetter) Arm() error {
	switch {
	case !s.endsWithConn:
		return nil
	case s.conn == nil:
		return ErrNoReset
	}
	return s.conn.SetLinger(lingerReset)
}

// Disarm flushes an answer that was written completely, and lets its connection close
// regularly.
func (s *Resetter) Disarm(w http.ResponseWriter) error {
	switch {
	case !s.endsWithConn:
		return nil
	case s.conn == nil:
		return ErrNoReset
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return err
	}
	return s.conn.SetLinger(lingerDefault)
}
