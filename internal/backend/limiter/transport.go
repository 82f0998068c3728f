package limiter

import (
	"errors"
	"net/http"
	"strings"
)

// Transport is an http.RoundTripper that bounds the answers it returns.
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

// NewTransport returns a Transport over base. It bounds heads by MaxHeadBytes and bodies by
// maxBodyBytes. The step identifies its answers in logs.
func NewTransport(base *http.Transport, step string, maxBodyBytes int64, opts ...TransportOption) *Transport {
	base.MaxResponseHeaderBytes = MaxHeadBytes
	t := &Transport{Transport: base, step: step, maxBodyBytes: maxBodyBytes}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// RoundTrip implements http.RoundTripper. It returns ErrTooLarge for a head over its bound,
// and so does reading the body.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	src := Source{Server: req.URL.Host, Step: t.step}
	if t.idHeader != "" {
		src.Request = req.Header.Get(t.idHeader)
	}
	resp, err := t.Transport.RoundTrip(req)
	if isHeadTooLarge(err) {
		Report(src, MaxHeadBytes)
		return nil, errors.Join(ErrTooLarge, err)
	}
	if err != nil {
		return nil, err
	}
	resp.Body = NewReader(resp.Body, t.maxBodyBytes, src)
	return resp, nil
}

// isHeadTooLarge reports whether http.Transport gave up a head over its bound. The error
// has no type or value to test for.
func isHeadTooLarge(err error) bool {
	return err != nil && strings.Contains(err.Error(), "server response headers exceeded")
}
