package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/backend/dialer"
	"siskinfall/internal/check/asserter"
	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/gateway/placer"
)

// outcome is what became of handing a request to one backend server.
type outcome interface{ outcome() }

// answered has an answer's head; the connection is in use until the body is read.
type answered struct {
	Answer
	resp *http.Response
	conn *dialer.Conn
	// stop ends the watch on the caller's context.
	stop func() bool
}

// notSent says that no byte of the request left.
type notSent struct{ err error }

// notRun says that the server refused the request without running it.
type notRun struct {
	Answer
	status int
}

// unknown says that the request may have run, and that no answer will come.
type unknown struct{ err error }

func (*answered) outcome() {}
func (*notSent) outcome()  {}
func (*notRun) outcome()   {}
func (*unknown) outcome()  {}

var (
	errUnsigned = errors.New("answer is not signed by a backend server")
	errBadFrame = errors.New("answer of another request")
)

// maxStray bounds the answers to other requests that are read past on one
// connection.
const maxStray = 2

// strayBytes bounds the body of such an answer.
const strayBytes = 64 << 10

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// copyHeaders returns the headers that are passed on.
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

// connectionLimit is the most connections that this gateway opens to a server.
func (x *exchange) connectionLimit() int {
	s := x.current.GetService(x.service)
	if s == nil {
		return leastConnections
	}
	return max(int(float64(s.MaxConnections)*connectionShare), leastConnections)
}

// attempt hands the request to a placed server and reads the answer's head.
func (x *exchange) attempt(ctx context.Context, p *placer.Placed) outcome {
	conn, err := x.pool.Get(ctx, dialer.Key{ID: p.ID, Addr: p.Addr}, x.connectionLimit())
	if err != nil {
		return &notSent{err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Abort() })
	once := !x.mayHaveRun || x.route.IsRepeatable()
	if err := asserter.Holds(once, asserter.RuleOnce, "request %s again, to %s", x.ID, p.ID); err != nil {
		stop()
		_ = conn.Close()
		return &notSent{err: err}
	}
	x.sent++
	x.tried = append(x.tried, p.ID)
	req := x.newRequest(p)
	if err := x.write(conn, req); err != nil {
		stop()
		_ = conn.Close()
		return &unknown{err: wrapper.At("send_request", p.ID, err)}
	}
	err = x.awaitAnswer(conn)
	var a *answered
	if err == nil {
		a, err = x.readHead(conn, req)
	}
	if err != nil {
		stop()
		_ = conn.Close()
		return &unknown{err: wrapper.At("read_answer", p.ID, err)}
	}
	a.stop = stop
	if err := x.checkOwn(a); err != nil {
		a.release(false, x.pool)
		return &unknown{err: wrapper.At("check_answer", p.ID, err)}
	}
	return x.judge(a, p)
}

// checkOwn asserts that an answer is to this request. What has not run may be told
// without its id.
func (x *exchange) checkOwn(a *answered) error {
	own := a.RequestID == x.ID || a.NotRun
	return asserter.Holds(own, asserter.RuleOwnAnswer, "answer to %s for %s", a.RequestID, x.ID)
}

// judge sorts an answer out by what it promises.
func (x *exchange) judge(a *answered, p *placer.Placed) outcome {
	a.conn.SetKeepAlive(a.KeepAlive)
	if a.Load != nil {
		x.placer.SetLoad(p.ID, placer.Load{Running: a.Load.Running, Waiting: a.Load.Waiting, At: time.Now()})
	}
	switch {
	case a.NotRun:
		out := &notRun{Answer: a.Answer, status: a.resp.StatusCode}
		_, err := io.Copy(io.Discard, io.LimitReader(a.resp.Body, strayBytes))
		a.release(err == nil, x.pool)
		return out
	case !a.Signed && a.resp.StatusCode < http.StatusBadRequest:
		a.release(false, x.pool)
		return &unknown{err: wrapper.At("check_answer", p.ID, errUnsigned)}
	}
	return a
}

// release puts the connection back if the answer was read whole, and otherwise
// closes it.
func (a *answered) release(whole bool, pool *dialer.Pool) {
	stopped := a.stop()
	if whole && stopped && !a.resp.Close {
		pool.Put(a.conn)
		return
	}
	_ = a.conn.Close()
}

// newRequest returns the request as the server gets it.
func (x *exchange) newRequest(p *placer.Placed) *http.Request {
	h := copyHeaders(x.r.Header)
	out := Outbound{ServerID: p.ID, Wait: time.Until(x.until), AfterEvent: max(x.lastEvent, x.AfterEvent), Urgency: -1}
	if x.account != nil {
		out.Account = x.account.Name
	}
	x.codec.EncodeRequest(h, out)
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps the library from adding its own.
		h["User-Agent"] = []string{""}
	}
	u := &url.URL{Scheme: "http", Host: x.r.Host, Opaque: x.r.RequestURI}
	req := &http.Request{
		Method: x.r.Method, URL: u, Host: x.r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: h,
		ContentLength: int64(len(x.body)),
	}
	if len(x.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(x.body))
	}
	return req
}

// write sends the request in one piece.
func (x *exchange) write(conn *dialer.Conn, req *http.Request) error {
	var buf bytes.Buffer
	buf.Grow(len(x.body) + 1024)
	if err := req.Write(&buf); err != nil {
		return err
	}
	_, err := conn.Write(buf.Bytes())
	return err
}

// awaitAnswer waits for the first byte of an answer. A repeatable request that is
// silent for several times its objective is given up while another server may
// still answer it in time, unless all servers stand still.
func (x *exchange) awaitAnswer(conn *dialer.Conn) error {
	if x.route.IsRepeatable() && x.route.Objective > 0 && x.sent < x.route.MaxAttempts {
		if err := conn.SetReadDeadline(time.Now().Add(silentObjectives * x.route.Objective)); err != nil {
			return err
		}
		_, err := conn.Reader.Peek(1)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || x.placer.IsRunning(x.service, time.Now()) {
			return errors.Join(err, conn.SetReadDeadline(x.eventBy))
		}
	}
	if err := conn.SetReadDeadline(x.eventBy); err != nil {
		return err
	}
	_, err := conn.Reader.Peek(1)
	return err
}

// silentObjectives is how many objectives a repeatable request may be silent
// before it is handed to another server.
const silentObjectives = 3

// readHead reads the head of this request's answer, past late answers to other
// requests.
func (x *exchange) readHead(conn *dialer.Conn, req *http.Request) (*answered, error) {
	for range maxStray + 1 {
		resp, err := conn.ReadAnswer(req) //nolint:bodyclose // the body ends with the connection
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		a := &answered{Answer: x.codec.DecodeAnswer(resp.StatusCode, resp.Header), resp: resp, conn: conn}
		if a.RequestID == x.ID || a.RequestID == "" && a.NotRun {
			return a, nil
		}
		log.Warn("answer of another request", "event", "stray_answer", "request", x.ID, "answered", a.RequestID,
			"server", conn.RemoteAddr(), "status", resp.StatusCode)
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, strayBytes))
		if err != nil || n == strayBytes || resp.Close {
			return nil, errBadFrame
		}
	}
	return nil, errBadFrame
}
