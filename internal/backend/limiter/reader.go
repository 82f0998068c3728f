package limiter

import "io"

// Reader reads a body up to a bound.
type Reader struct {
	io.ReadCloser
	src   Source
	bound int64
	// left is the number of bytes that may still be read, -1 once the bound is exceeded.
	left int64
}

// NewReader returns a Reader of body. After bound bytes, it returns ErrTooLarge unless the
// body ends there, and reports that once.
func NewReader(body io.ReadCloser, bound int64, src Source) *Reader {
	return &Reader{ReadCloser: body, src: src, bound: bound, left: bound}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.left < 0 {
		return 0, ErrTooLarge
	}
	if int64(len(p)) > r.left+1 {
		// One byte beyond the bound shows that the body does not end there.
		p = p[:r.left+1]
	}
	n, err := r.ReadCloser.Read(p)
	r.left -= int64(n)
	if r.left < 0 {
		Report(r.src, r.bound)
		return n - 1, ErrTooLarge
	}
	return n, err
}
