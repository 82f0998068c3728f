// Package encoder holds the wire messages and writes them as bounded,
// length-delimited frames.
package encoder

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// Version of the protocol, told in Hello.
const Version = 1

// MaxFrame is the largest frame accepted, in bytes.
const MaxFrame = 8 << 20

// readBuffer is the size of a Reader's buffer, in bytes.
const readBuffer = 1 << 10

// Reader reads frames from one stream. It is used by one goroutine.
type Reader struct {
	r *bufio.Reader
}

// NewReader returns a Reader over r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBuffer)}
}

// Read decodes the next frame into m. A frame above MaxFrame is an error.
func (r *Reader) Read(m proto.Message) error {
	opts := protodelim.UnmarshalOptions{MaxSize: MaxFrame}
	return opts.UnmarshalFrom(r.r, m)
}

// Write encodes m as one frame with one call of w.Write.
func Write(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return err
}
