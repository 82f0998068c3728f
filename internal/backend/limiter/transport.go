package limiter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"siskinfall/internal/backend/validator"
)

// Transport is an http.RoundTripper that bounds the answers it returns and checks their heads,
// interim ones included.
type Transport struct {
	*http.Transport
	step         string
	maxBodyBytes int64
	idHeader     string
}

// TransportOption configures a Transport.
type TransportOption func(*Transport)

// WithRequestID names the header that identifies a request in logs.
func WithRequestID(header string) TransportOption {
	return func(t *Transport) { t.idHeader = header }
}

// NewTransport returns a Transport over base, which it changes. It bounds heads by MaxHeadBytes
// and bodies by maxBodyBytes. The step identifies its answers in logs.
func NewTransport(base *http.Transport, step string, maxBodyBytes int64, opts ...TransportOption) *Transport {
	base.MaxResponseHeaderBytes = MaxHeadBytes
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return validator.NewConn(conn), nil
	}
	t := &Transport{Transport: base, step: step, maxBodyBytes: maxBodyBytes}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// NewClient returns a client over t without a timeout. It returns redirects as answers. A client
// that followed them would take the answer of another process, or to a GET, for that of the
// process that got the request.
func (t *Transport) NewClient() *http.Client {
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// errUnsolicited is returned in place of an answer that came before its request.
var errUnsolicited = fmt.Errorf("%w: it came before the request", validator.ErrMalformed)

// RoundTrip implements http.RoundTripper. It returns ErrTooLarge for a head over its bound,
// and so does reading the body. For a malformed head, or an answer that came before its request,
// it returns an error that wraps validator.ErrMalformed.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	src := Source{Server: req.URL.Host, Step: t.step}
	if t.idHeader != "" {
		src.Request = req.Header.Get(t.idHeader)
	}
	// net/http may use another connection after a reused one broke.
	var latest atomic.Pointer[validator.Conn]
	// isUnsolicited is whether the answer was read before the request was sent. net/http
	// closes a connection for such bytes, but not if a request takes it first.
	var isUnsolicited atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*validator.Conn); ok {
				latest.Store(conn)
				// The transport finds an error when it reads.
				_ = conn.ExpectHead(nil)
			}
		},
		GotFirstResponseByte: func() {
			if conn := latest.Load(); conn != nil {
				isUnsolicited.Store(!conn.HasBegun())
			}
		},
	}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if isUnsolicited.Load() {
		ReportMalformed(src, errUnsolicited)
		if err == nil {
			err = resp.Body.Close()
		}
		return nil, errors.Join(errUnsolicited, err, latest.Load().Reject(errUnsolicited))
	}
	if err == nil {
		resp.Body = NewReader(resp.Body, t.maxBodyBytes, src)
		return resp, nil
	}
	if isHeadTooLarge(err) {
		Report(src, MaxHeadBytes)
		return nil, errors.Join(ErrTooLarge, err)
	}
	if conn := latest.Load(); conn != nil && conn.GetFault() != nil {
		ReportMalformed(src, conn.GetFault())
		return nil, errors.Join(conn.GetFault(), err)
	}
	return nil, err
}

// isHeadTooLarge reports whether http.Transport gave up a head over its bound. The error
// has no type or value to test for.
func isHeadTooLarge(err error) bool {
	return err != nil && strings.Contains(err.Error(), "server response headers exceeded")
}
