package server

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"siskinfall/internal/process/accountant"
	"siskinfall/internal/process/receiver"
	"siskinfall/internal/wire/encoder"
)

// bodyReader reads the body of a request with a bounded time, in total and between two
// parts. After an error the read deadline of the connection stays as it is, since
// net/http reads the rest of the body before it sends the response.
type bodyReader struct {
	io.ReadCloser
	rc    *http.ResponseController
	pause time.Duration
	// deadline is the end of the total time.
	deadline time.Time
	// account is that of the connection, nil without bounds.
	account *accountant.Account
}

// boundBodies bounds the time to read the bodies of the requests to a handler.
func (s *Server) boundBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			b := s.newBodyReader(w, r)
			r.Body = b
			// A request that is refused before its body is read has the time of one part.
			if err := b.setReadDeadline(); err != nil {
				log.Warn("failed to set read deadline", "step", "read_body", "peer", r.RemoteAddr, "error", err)
			}
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) newBodyReader(w http.ResponseWriter, r *http.Request) *bodyReader {
	return &bodyReader{
		ReadCloser: r.Body, rc: http.NewResponseController(w), pause: s.cfg.Entry.BodyPause,
		deadline: time.Now().Add(s.cfg.Entry.BodyTimeout), account: accountant.FromContext(r.Context()),
	}
}

func (b *bodyReader) setReadDeadline() error {
	next := time.Now().Add(b.pause)
	if b.deadline.Before(next) {
		next = b.deadline
	}
	return b.rc.SetReadDeadline(next)
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	if err := b.setReadDeadline(); err != nil {
		return 0, err
	}
	if b.account.IsEvicted() {
		// The deadline that ends the wait may have been replaced.
		return 0, receiver.ErrNoRoom
	}
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := b.rc.SetReadDeadline(time.Time{}); err != nil {
		return n, err
	}
	return n, io.EOF
}

// noRoomRetryAfter is sent while callers hold the memory for bodies.
const noRoomRetryAfter = time.Second

var timedOutBodies = metrics.NewCounter("siskinfall_request_bodies_timed_out_total")

// readBody reads a body of up to limit bytes. id is the request ID in the log.
func readBody(w http.ResponseWriter, r *http.Request, limit int, id string) ([]byte, *Problem) {
	start := time.Now()
	src := receiver.Body{
		Reader: http.MaxBytesReader(w, r.Body, int64(limit)), Length: r.ContentLength, Limit: int64(limit),
		Account: accountant.FromContext(r.Context()), SetDeadline: func(int, time.Time) error { return nil },
	}
	body, err := src.ReadAll()
	if err == nil {
		return body, nil
	}
	p := newBodyProblem(err)
	if p.Code == encoder.CodeBodyTimeout {
		timedOutBodies.Inc()
		log.Info("request body timed out", "request_id", id, "received_bytes", len(body), "expected_bytes", r.ContentLength, "waited", time.Since(start))
	}
	if p.Code != encoder.CodeBadRequest {
		// The rest of the body is not read.
		w.Header().Set("Connection", "close")
	}
	return nil, p
}

func newBodyProblem(err error) *Problem {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return newProblem(http.StatusRequestEntityTooLarge, encoder.CodeTooLarge, "read_body", "the body is too large")
	case errors.Is(err, receiver.ErrNoRoom):
		p := newProblem(http.StatusServiceUnavailable, encoder.CodeBusy, "read_body", "no memory for the body")
		p.RetryAfter = noRoomRetryAfter
		return p
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newProblem(http.StatusRequestTimeout, encoder.CodeBodyTimeout, "read_body", "the body did not arrive in time")
	}
	return newProblem(http.StatusBadRequest, encoder.CodeBadRequest, "read_body", "the body could not be read")
}
