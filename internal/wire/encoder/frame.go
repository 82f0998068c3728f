// Package encoder defines the wire messages and encodes them as length-delimited
// frames of bounded size.
package encoder

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// Version is the protocol version, sent in Hello.
const Version = 1

// MaxFrame is the largest frame accepted, in bytes.
const MaxFrame = 8 << 20

// readBufferSize is the size of a Reader's buffer, in bytes.
const readBufferSize = 1 << 10

// Reader reads frames from one stream. It is not safe for concurrent use.
type Reader struct {
	r *bufio.Reader
}

// NewReader returns a Reader over r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBufferSize)}
}

// Read decodes the next frame into m. A frame above MaxFrame is an error.
func (r *Reader) Read(m proto.Message) error { return r.ReadLimited(m, MaxFrame) }

// ReadLimited is Read with a limit of its own.
func (r *Reader) ReadLimited(m proto.Message, limit int64) error {
	opts := protodelim.UnmarshalOptions{MaxSize: limit}
	return opts.UnmarshalFrom(r.r, m)
}

// Write encodes m as one frame with one call of w.Write.
func Write(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return err
}
