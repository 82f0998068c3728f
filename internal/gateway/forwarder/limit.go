package forwarder

import (
	"io"
	"net/http"
	"time"

	"siskinfall/internal/backend/dialer"
	"siskinfall/internal/backend/limiter"
	"siskinfall/internal/gateway/placer"
)

// maxRejectionTime bounds the wait for the body of a rejection. Servers send a rejection in
// one packet, and opening another connection takes a few milliseconds.
const maxRejectionTime = 100 * time.Millisecond

// discardRejection reads the body of a rejection, so that the connection can be reused. It
// gives up early, since another server can have the request meanwhile.
func (x *exchange) discardRejection(a *answered) error {
	if err := a.conn.SetReadDeadline(time.Now().Add(maxRejectionTime)); err != nil {
		return err
	}
	return x.discardBody(a.conn, a.resp)
}

// discardBody reads the body of an answer that is not relayed, so that the connection can
// be reused. It returns limiter.ErrTooLarge for one that reaches maxStrayBytes.
func (x *exchange) discardBody(conn *dialer.Conn, resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
	if err == nil && n == maxStrayBytes {
		limiter.Report(x.sourceOf(conn, "discard_body"), maxStrayBytes)
		err = limiter.ErrTooLarge
	}
	return err
}

// sourceOf identifies an answer on conn in logs.
func (x *exchange) sourceOf(conn *dialer.Conn, step string) limiter.Source {
	return limiter.Source{Request: x.ID, Server: conn.ServerID(), Step: step}
}

// limitBody bounds the body of an answer that is relayed. It returns limiter.ErrTooLarge
// if the head announces a longer one.
func (x *exchange) limitBody(a *answered) error {
	src := x.sourceOf(a.conn, "read_answer")
	if a.resp.Body != http.NoBody && a.resp.ContentLength > limiter.MaxAnswerBytes {
		limiter.Report(src, limiter.MaxAnswerBytes)
		return limiter.ErrTooLarge
	}
	a.resp.Body = limiter.NewReader(a.resp.Body, limiter.MaxAnswerBytes, src)
	return nil
}

// abandonFailure gives up a retryable failure of a server that is too long to be kept for
// the case that the retry fails, or that may not end.
func (x *exchange) abandonFailure(p *placer.Placed, a *answered) nextAction {
	limiter.Report(x.sourceOf(a.conn, "read_failure"), maxBufferedBytes)
	a.release(false, x.pool)
	p.Finish(placer.Failed, time.Now())
	x.mayHaveRun = true
	x.logAttempt(p, "failed by the backend server", limiter.ErrTooLarge)
	return retry{sent: true, fallback: failure{status: http.StatusBadGateway, reason: "failure of the backend server exceeds the size limit", retryAfter: failureRetryAfter}}
}
