package forwarder

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"siskinfall/internal/backend/limiter"
)

// Sizes of the buffer for events in bytes.
const (
	// eventBufferBytes is the initial size. Most events are smaller.
	eventBufferBytes = 1 << 10
	// maxKeptBufferBytes is the size up to which a grown buffer is kept, so that one long
	// event does not occupy memory until its stream ends.
	maxKeptBufferBytes = 64 << 10
)

// dataField starts a line with the data of an event, and idField the one with its number.
var dataField, idField = []byte("data:"), []byte("id:")

// hasData reports whether an event has data. Others, such as the comments that keep a
// connection alive, mean nothing to a caller.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, dataField) {
			return true
		}
	}
	return false
}

// eventReader reads a stream event by event. Events are returned in its buffer, without
// being copied; one that outgrows the buffer is copied once, as the buffer doubles.
type eventReader struct {
	r   io.Reader
	src limiter.Source
	// buf[start:end] is read from r, but not yet returned.
	buf        []byte
	start, end int
}

func newEventReader(r io.Reader, src limiter.Source) *eventReader {
	return &eventReader{r: r, src: src, buf: make([]byte, eventBufferBytes)}
}

// next reads one event, up to the blank line that ends it, and returns its number, 0 if it
// has none. The event is valid until the next call. At the end of the stream, next returns
// io.EOF, or io.ErrUnexpectedEOF if the stream ends within an event. It returns
// limiter.ErrTooLarge for an event over limiter.MaxEventBytes.
func (r *eventReader) next() (event []byte, id int, err error) {
	if r.start == r.end {
		r.start, r.end = 0, 0
		if len(r.buf) > maxKeptBufferBytes {
			r.buf = make([]byte, eventBufferBytes)
		}
	}
	for size := 0; ; {
		n, err := r.findLine(size)
		if errors.Is(err, io.EOF) && r.start < r.end {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, 0, err
		}
		event = r.buf[r.start : r.start+n]
		line := bytes.TrimRight(event[size:], "\r\n")
		size = n
		if len(line) == 0 {
			r.start += size
			return event, id, nil
		}
		if text, ok := bytes.CutPrefix(line, idField); ok {
			if n, err := strconv.Atoi(string(bytes.TrimSpace(text))); err == nil {
				id = n
			}
		}
	}
}

// findLine returns the size of the event including the line that begins at an offset of
// it, and reads that line if necessary.
func (r *eventReader) findLine(offset int) (int, error) {
	for {
		unread := r.buf[r.start:r.end]
		n := bytes.IndexByte(unread[offset:], '\n')
		size := offset + n + 1
		if n < 0 {
			size = len(unread) + 1
		}
		if size > limiter.MaxEventBytes {
			limiter.Report(r.src, limiter.MaxEventBytes)
			return 0, limiter.ErrTooLarge
		}
		if n >= 0 {
			return size, nil
		}
		offset = len(unread)
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
}

// fill reads at least one byte into the buffer.
func (r *eventReader) fill() error {
	if r.end == len(r.buf) {
		r.makeRoom()
	}
	n, err := r.r.Read(r.buf[r.end:])
	r.end += n
	if n > 0 {
		// An error is returned by the next read again.
		return nil
	}
	return err
}

// makeRoom moves the unread bytes to the start of the buffer, or of one of twice its size
// if they occupy more than half of it.
func (r *eventReader) makeRoom() {
	buf := r.buf
	if r.end-r.start > len(r.buf)/2 {
		buf = make([]byte, 2*len(r.buf))
	}
	r.end = copy(buf, r.buf[r.start:r.end])
	r.start = 0
	r.buf = buf
}
