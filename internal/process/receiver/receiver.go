// Package receiver reads the bodies of callers' requests as far as there is memory for them.
//
// Load pattern: crowds whose bodies are large, or slow, or stop before their end.
package receiver

import (
	"errors"
	"io"
	"net/http"
	"time"

	"siskinfall/internal/process/accountant"
)

// ErrNoRoom is returned if callers hold the memory for bodies.
var ErrNoRoom = errors.New("no room for the request body")

// firstBuffer is the size of the first buffer for a body of unknown length, in bytes.
const firstBuffer = 512

// Body is a body that is to be read.
type Body struct {
	io.Reader
	// Length is negative if it is unknown.
	Length int64
	// Limit bounds the body in bytes. Reader returns http.MaxBytesError beyond it.
	Limit int64
	// Account is that of the connection, nil without bounds.
	Account *accountant.Account
	// SetDeadline is called before each part is read, with the bytes received so far.
	SetDeadline func(received int, now time.Time) error
}

// ReadAll returns the whole body. Memory is charged before it is taken. It returns ErrNoRoom if
// there is none, or if the body made no progress and had to give way.
func (b *Body) ReadAll() ([]byte, error) {
	data, err := b.read()
	if !b.Account.Resume(time.Now()) {
		return nil, ErrNoRoom
	}
	return data, err
}

func (b *Body) read() ([]byte, error) {
	if b.Length > b.Limit {
		return nil, &http.MaxBytesError{Limit: b.Limit}
	}
	var data []byte
	for {
		now := time.Now()
		b.Account.Enter(accountant.Unfinished, now)
		if len(data) == cap(data) {
			size := b.nextSize(cap(data))
			if more := int64(size - max(cap(data), accountant.FreeBodyBytes)); more > 0 && !b.Account.Reserve(accountant.Body, more, now) {
				return nil, ErrNoRoom
			}
			data = append(make([]byte, 0, size), data...)
		}
		if err := b.SetDeadline(len(data), now); err != nil {
			return nil, err
		}
		// An account that gives way from now on has its deadline set after this one.
		if b.Account.IsEvicted() {
			return nil, ErrNoRoom
		}
		n, err := b.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}

// nextSize returns the size of the buffer that follows one that is full, at most that of the
// body if it is known.
func (b *Body) nextSize(size int) int {
	last := int(b.Limit) + 1
	if n := int(b.Length); n > size {
		last = n
		if n <= accountant.FreeBodyBytes {
			return n
		}
	}
	return min(max(2*size, firstBuffer), last)
}
