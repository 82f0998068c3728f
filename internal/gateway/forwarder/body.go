package forwarder

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/process/accountant"
	"siskinfall/internal/process/receiver"
)

const (
	// maxBodyPause bounds the pause between two parts of a body.
	maxBodyPause = 10 * time.Second
	// bodyGrace and minBodyRate bound the time of a body: the grace, and a second more for each
	// minBodyRate bytes. Links of 8 Mbit/s carry sixty times as much.
	bodyGrace   = 10 * time.Second
	minBodyRate = 16 << 10
	// refusedBodyTime bounds the wait for the body of a request that is refused before.
	refusedBodyTime = time.Second
	// noRoomRetryAfter is sent while callers hold the memory of the instance.
	noRoomRetryAfter = time.Second
)

// Refuse answers a request for which there is no room.
func (f *Forwarder) Refuse(w http.ResponseWriter, r *http.Request) {
	x := f.newExchange(w, r)
	x.fail(http.StatusServiceUnavailable, "too many requests in progress", noRoomRetryAfter)
	x.w.end()
}

// readBody reads the whole request body, so that the request can be retried. It answers
// and reports false if the body is too large or too slow, or if there is no room for it, and
// only reports false if it breaks off. After an error the read deadline stays as it is, since
// net/http reads on for a while.
func (x *exchange) readBody() bool {
	if x.r.ContentLength == 0 {
		x.hasBody = true
		return true
	}
	limit := x.snapshot.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	rc := http.NewResponseController(x.w.ResponseWriter)
	src := receiver.Body{
		Reader: http.MaxBytesReader(x.w.ResponseWriter, x.r.Body, limit), Length: x.r.ContentLength, Limit: limit, Account: x.memory,
		SetDeadline: func(received int, now time.Time) error {
			return ignoreNotSupported(rc.SetReadDeadline(x.getBodyDeadline(received, now)))
		},
	}
	body, err := src.ReadAll()
	if err == nil {
		err = ignoreNotSupported(rc.SetReadDeadline(time.Time{}))
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		x.body, x.hasBody = body, true
		return true
	case errors.As(err, &tooLarge):
		x.fail(http.StatusRequestEntityTooLarge, "body too large", 0)
	case errors.Is(err, receiver.ErrNoRoom):
		x.fail(http.StatusServiceUnavailable, "no room for the request body", noRoomRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.fail(http.StatusRequestTimeout, "request body too slow", 0)
	default:
		log.Info("reading the request body failed", "event", "ended", "request", x.ID, "step", "read_body", "error", err)
	}
	return false
}

// ignoreNotSupported returns nil for a connection without deadlines.
func ignoreNotSupported(err error) error {
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// getBodyDeadline returns when the next part of the body is due.
func (x *exchange) getBodyDeadline(received int, now time.Time) time.Time {
	deadline := x.start.Add(bodyGrace + time.Duration(received)*time.Second/minBodyRate)
	for _, t := range []time.Time{now.Add(maxBodyPause), x.deadline} {
		if t.Before(deadline) {
			deadline = t
		}
	}
	return deadline
}

// abandonBody prepares for an answer before the end of the body. net/http reads the rest of a
// short one, so that the connection can be reused; on all others it closes the connection after
// the caller had time to read the answer.
func (x *exchange) abandonBody() {
	if x.hasBody || x.r.ContentLength == 0 {
		return
	}
	if n := x.r.ContentLength; n < 0 || n > accountant.FreeBodyBytes || x.w.Header().Get("Connection") != "" {
		x.w.Header().Set("Connection", "close")
	}
	if x.memory.IsEvicted() {
		// Its read deadline has passed.
		return
	}
	rc := http.NewResponseController(x.w.ResponseWriter)
	if err := ignoreNotSupported(rc.SetReadDeadline(time.Now().Add(refusedBodyTime))); err != nil {
		log.Info("setting the deadline for a refused body failed", "event", "abort", "request", x.ID, "error", err)
	}
}
