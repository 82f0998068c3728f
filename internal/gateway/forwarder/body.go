package forwarder

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/process/accountant"
)

// Load pattern: crowds whose bodies are large, or slow, or stop before their end.
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
	// firstBodyBuffer is the size of the buffer for a body of unknown length, in bytes.
	firstBodyBuffer = 512
)

var errNoRoom = errors.New("no room for the request")

// Refuse answers a request for which there is no room.
func (f *Forwarder) Refuse(w http.ResponseWriter, r *http.Request) {
	x := f.newExchange(w, r)
	x.fail(http.StatusServiceUnavailable, "too many requests in progress", noRoomRetryAfter)
	x.w.end()
}

// readBody reads the whole request body, so that the request can be retried. It answers
// and reports false if the body is too large or too slow, or if there is no room for it, and
// only reports false if it breaks off.
func (x *exchange) readBody() bool {
	if x.r.ContentLength == 0 {
		x.hasBody = true
		return true
	}
	limit := x.snapshot.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := x.receiveBody(limit)
	if !x.memory.Resume(time.Now()) {
		err = errNoRoom
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		x.body, x.hasBody = body, true
		return true
	case errors.As(err, &tooLarge):
		x.fail(http.StatusRequestEntityTooLarge, "body too large", 0)
	case errors.Is(err, errNoRoom):
		x.fail(http.StatusServiceUnavailable, "no room for the request body", noRoomRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.fail(http.StatusRequestTimeout, "request body too slow", 0)
	default:
		log.Info("reading the request body failed", "event", "ended", "request", x.ID, "step", "read_body", "error", err)
	}
	return false
}

// receiveBody reads the body as it arrives, and charges the account before it takes memory for
// more. After an error the read deadline stays as it is, since net/http reads on for a while.
func (x *exchange) receiveBody(limit int64) ([]byte, error) {
	if x.r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	rc := http.NewResponseController(x.w.ResponseWriter)
	src := http.MaxBytesReader(x.w.ResponseWriter, x.r.Body, limit)
	var body []byte
	for {
		now := time.Now()
		x.memory.Enter(accountant.Unfinished, now)
		if len(body) == cap(body) {
			size := x.nextBodySize(cap(body), limit)
			if more := int64(size - max(cap(body), accountant.FreeBodyBytes)); more > 0 && !x.memory.Reserve(accountant.Body, more, now) {
				return nil, errNoRoom
			}
			body = append(make([]byte, 0, size), body...)
		}
		if err := rc.SetReadDeadline(x.getBodyDeadline(len(body), now)); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return nil, err
		}
		if x.memory.IsEvicted() {
			return nil, errNoRoom
		}
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			err = rc.SetReadDeadline(time.Time{})
			if errors.Is(err, http.ErrNotSupported) {
				err = nil
			}
			return body, err
		}
		if err != nil {
			return nil, err
		}
	}
}

// nextBodySize returns the size of the next buffer for the body, at most that of the body if
// it is known.
func (x *exchange) nextBodySize(size int, limit int64) int {
	last := int(limit) + 1
	if n := int(x.r.ContentLength); n > size {
		last = n
		if n <= accountant.FreeBodyBytes {
			return n
		}
	}
	return min(max(2*size, firstBodyBuffer), last)
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
	err := http.NewResponseController(x.w.ResponseWriter).SetReadDeadline(time.Now().Add(refusedBodyTime))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		log.Info("setting the deadline for a refused body failed", "event", "abort", "request", x.ID, "error", err)
	}
}
