package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/backend/dialer"
	"siskinfall/internal/backend/limiter"
	"siskinfall/internal/backend/validator"
	"siskinfall/internal/check/asserter"
	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/gateway/placer"
)

// outcome is the result of an attempt at one backend server.
type outcome interface{ outcome() }

// answered holds the head of an answer. The connection is in use until the body is
// read.
type answered struct {
	Answer
	resp *http.Response
	conn *dialer.Conn
	// stop ends the watch that aborts the connection when the request's context
	// ends. It reports false if that has already happened.
	stop func() bool
}

// notSent means that no byte of the request was sent.
type notSent struct{ err error }

// notRun means that the server rejected the request without running it.
type notRun struct {
	Answer
	status int
}

// unknown means that the request may have run and that no usable answer arrives.
type unknown struct{ err error }

func (*answered) outcome() {}
func (*notSent) outcome()  {}
func (*notRun) outcome()   {}
func (*unknown) outcome()  {}

var (
	errUnsigned = errors.New("answer is not signed by a backend server")
	errUnmarked = errors.New("status says not run, but the server did not mark the answer so")
	// errUnidentified: a rejection without a request ID came on a connection that was used
	// before. It may be an earlier one, once more, while the server runs this request.
	errUnidentified = errors.New("rejection without a request ID on a used connection")
	errStrayAnswer  = errors.New("answer belongs to another request")
	errClosed       = errors.New("backend server takes no requests any more")
)

// maxStrayAnswers is the number of late answers to other requests that are skipped on
// one connection.
const maxStrayAnswers = 2

// maxStrayBytes bounds the body of such an answer, and that of any other that is not
// relayed.
const maxStrayBytes = 64 << 10

// hopHeaders are hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// copyHeaders returns a copy without hop-by-hop headers.
func copyHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for name := range bytes.SplitSeq([]byte(list), []byte(",")) {
			out.Del(string(bytes.TrimSpace(name)))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// connectionLimit returns the number of connections that this gateway may open to a
// server.
func (x *exchange) connectionLimit() int {
	s := x.snapshot.GetService(x.service)
	if s == nil {
		return minConnections
	}
	return max(int(float64(s.MaxConnections)*connectionShare), minConnections)
}

// attempt sends the request to a placed server and reads the head of the answer.
func (x *exchange) attempt(ctx context.Context, p *placer.Placed) outcome {
	f := &flight{placed: p, number: x.attempts + 1}
	out := x.send(ctx, f)
	x.recordFlight(f)
	return out
}

// flight is an attempt under way. Two of one exchange may be at the same time, so that send
// changes nothing else.
type flight struct {
	placed *placer.Placed
	// number counts the attempts of the exchange from 1.
	number int
	// sentAt is when the request was written, zero before.
	sentAt time.Time
	// cancel ends one of two attempts, nil for an attempt without another beside it.
	cancel context.CancelFunc
}

// recordFlight makes an attempt the latest one of the exchange. It is called in the exchange's
// goroutine only.
func (x *exchange) recordFlight(f *flight) {
	x.placed = f.placed
	if f.sentAt.IsZero() {
		return
	}
	x.attempts++
	x.sentAt = f.sentAt
	x.attemptEvents = 0
	x.tried = append(x.tried, f.placed.ID)
}

// send sends the request of an attempt and reads the head of the answer.
func (x *exchange) send(ctx context.Context, f *flight) outcome {
	p := f.placed
	getConn := x.pool.Get
	if !x.route.IsRepeatable() {
		getConn = x.pool.GetTrusted
	}
	conn, err := getConn(ctx, dialer.Key{ID: p.ID, Addr: p.Addr}, x.connectionLimit())
	if err != nil {
		return &notSent{err: err}
	}
	if reason := p.BeginSend(time.Now()); reason != "" {
		// Another answer has closed the server since the request was placed.
		x.pool.Put(conn)
		return &notSent{err: wrapper.At("check_server", p.ID, fmt.Errorf("%w: %s", errClosed, reason))}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Abort() })
	maySend := x.route.IsRepeatable() || !x.mayHaveRun
	if err := asserter.Holds(maySend, asserter.RuleOnce, "request %s again, to %s", x.ID, p.ID); err != nil {
		stop()
		_ = conn.Close()
		return &notSent{err: err}
	}
	f.sentAt = time.Now()
	req := x.newRequest(p)
	if err := x.writeRequest(conn, req); err != nil {
		stop()
		_ = conn.Close()
		return &unknown{err: wrapper.At("send_request", p.ID, err)}
	}
	err = x.awaitAnswer(conn, f.number)
	var a *answered
	if err == nil {
		a, err = x.readHead(conn, req, p)
	}
	if err != nil {
		stop()
		_ = conn.Close()
		return &unknown{err: wrapper.At("read_answer", p.ID, err)}
	}
	a.stop = stop
	if err := x.checkRequestID(a); err != nil {
		a.release(false, x.pool)
		return &unknown{err: wrapper.At("check_answer", p.ID, err)}
	}
	return x.classify(a, p)
}

// checkRequestID asserts that an answer belongs to this request. A rejection may lack
// the request ID.
func (x *exchange) checkRequestID(a *answered) error {
	matches := a.RequestID == x.ID || a.NotRun
	return asserter.Holds(matches, asserter.RuleOwnAnswer, "answer to %s for %s", a.RequestID, x.ID)
}

// classify returns the outcome that the head of an answer stands for, and updates the
// load of the server and the keep-alive time of the connection from it.
func (x *exchange) classify(a *answered, p *placer.Placed) outcome {
	a.conn.SetKeepAlive(a.KeepAlive)
	if a.Load != nil {
		x.placer.SetLoad(p.ID, placer.Load{Running: a.Load.Running, Waiting: a.Load.Waiting, At: time.Now()})
	}
	if a.NotRun && a.RequestID == "" {
		x.pool.MarkUnidentified(a.conn)
	}
	switch {
	case a.NotRun && a.RequestID == "" && a.conn.Reused && !x.route.IsRepeatable():
		a.release(false, x.pool)
		return &unknown{err: wrapper.At("check_answer", p.ID, errUnidentified)}
	case a.NotRun:
		out := &notRun{Answer: a.Answer, status: a.resp.StatusCode}
		// Once more on a kept connection, a rejection without an ID would be taken for the
		// answer to the next request.
		a.release(x.discardRejection(a) == nil && a.RequestID != "", x.pool)
		return out
	case !a.Signed && a.resp.StatusCode < http.StatusBadRequest:
		a.release(false, x.pool)
		return &unknown{err: wrapper.At("check_answer", p.ID, errUnsigned)}
	case promisesNotRun(a.resp.StatusCode) && !x.route.IsRepeatable():
		a.release(false, x.pool)
		return &unknown{err: wrapper.At("check_answer", p.ID, errUnmarked)}
	}
	if err := x.limitBody(a); err != nil {
		a.release(false, x.pool)
		return &unknown{err: wrapper.At("check_answer", p.ID, err)}
	}
	return a
}

// release returns the connection to the pool if the answer was read completely, and
// closes it otherwise.
func (a *answered) release(whole bool, pool *dialer.Pool) {
	stopped := a.stop()
	if whole && stopped && !a.resp.Close {
		pool.Put(a.conn)
		return
	}
	_ = a.conn.Close()
}

// maxEnginePriority is the least urgent priority that engines know.
const maxEnginePriority = 9

// newRequest returns the request to be sent to the server.
func (x *exchange) newRequest(p *placer.Placed) *http.Request {
	h := copyHeaders(x.r.Header)
	out := Outbound{ServerID: p.ID, Timeout: time.Until(x.deadline), LastEventID: x.getLastEventID(), Priority: -1}
	if x.account != nil {
		out.Account = x.account.Name
	}
	if x.gates != nil && p.IsEngine() {
		out.Priority = min(max(x.getPriority(), 0), maxEnginePriority)
	}
	x.codec.EncodeRequest(h, out)
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		h["User-Agent"] = []string{""}
	}
	req := &http.Request{
		Method: x.r.Method, URL: &url.URL{Scheme: "http", Host: x.r.Host, Path: "/"}, Host: x.r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: h,
		ContentLength: int64(len(x.body)),
	}
	if len(x.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(x.body))
	}
	return req
}

// getLastEventID returns the number after which a server is to go on. The caller's own
// applies until this answer has an event: its server may not have honoured it.
func (x *exchange) getLastEventID() int {
	if x.lastEvent > 0 {
		return x.lastEvent
	}
	return x.LastEventID
}

// writeRequest sends the request in a single write.
func (x *exchange) writeRequest(conn *dialer.Conn, req *http.Request) error {
	var buf bytes.Buffer
	buf.Grow(len(x.body) + 1024)
	if err := appendRequest(&buf, req, x.r.RequestURI); err != nil {
		return err
	}
	_, err := conn.Write(buf.Bytes())
	return err
}

// awaitAnswer waits for the first byte of an answer. An attempt at a repeatable request
// is abandoned after maxSilentObjectives times its objective, while another server may
// still answer in time, unless all servers are in broken or stalled groups.
func (x *exchange) awaitAnswer(conn *dialer.Conn, number int) error {
	if x.route.IsRepeatable() && x.route.Objective > 0 && number < x.route.MaxAttempts {
		if err := conn.SetReadDeadline(time.Now().Add(maxSilentObjectives * x.route.Objective)); err != nil {
			return err
		}
		_, err := conn.Reader.Peek(1)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || x.placer.IsRunning(x.service, time.Now()) {
			return errors.Join(err, conn.SetReadDeadline(x.eventDeadline))
		}
	}
	if err := conn.SetReadDeadline(x.eventDeadline); err != nil {
		return err
	}
	_, err := conn.Reader.Peek(1)
	return err
}

// maxSilentObjectives is how long an attempt at a repeatable request may wait for the
// first byte before another server is tried, as a multiple of the route's objective.
const maxSilentObjectives = 3

// recordWishes records whether the server leaves or wants a pause, which any of its answers may
// say, also a late or an interim one.
func (x *exchange) recordWishes(a *answered, p *placer.Placed) {
	if a.resp.StatusCode == http.StatusMisdirectedRequest {
		// Another server has this address now.
		return
	}
	if a.Cold > 0 {
		x.placer.SetCold(p.Server, a.Cold, time.Now())
	}
	if a.Leaving {
		x.placer.SetLeaving(p.Server, time.Now())
	}
	if a.Pause > 0 {
		x.placer.SetPause(p.Server, a.Pause, time.Now())
	}
}

// readHead reads the head of this request's answer. It skips late answers to other
// requests on the connection.
func (x *exchange) readHead(conn *dialer.Conn, req *http.Request, p *placer.Placed) (*answered, error) {
	for range maxStrayAnswers + 1 {
		resp, err := conn.ReadAnswer(req) //nolint:bodyclose // the body ends with the connection
		switch {
		case errors.Is(err, limiter.ErrTooLarge):
			limiter.Report(x.sourceOf(conn, "read_head"), limiter.MaxHeadBytes)
		case errors.Is(err, validator.ErrMalformed):
			limiter.ReportMalformed(x.sourceOf(conn, "read_head"), err)
		}
		if err != nil {
			return nil, err
		}
		a := &answered{Answer: x.codec.DecodeAnswer(resp.StatusCode, resp.Header), resp: resp, conn: conn}
		x.recordWishes(a, p)
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if a.RequestID == x.ID || a.RequestID == "" && a.NotRun {
			return a, nil
		}
		log.Warn("discarded answer to another request", "event", "stray_answer", "request", x.ID, "answered", a.RequestID,
			"server", conn.RemoteAddr(), "status", resp.StatusCode)
		if err := x.discardBody(conn, resp); err != nil || resp.Close {
			return nil, errStrayAnswer
		}
	}
	return nil, errStrayAnswer
}
