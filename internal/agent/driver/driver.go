// Package driver sends requests to the backend server of an agent: a model engine
// or a plain service. Its errors distinguish requests that may have reached the
// backend server from those that did not.
package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"siskinfall/internal/backend/limiter"
	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/wire/encoder"
)

// ErrNotSent is returned when no byte of the request reached the backend server.
var ErrNotSent = errors.New("request did not reach the backend server")

// IsErrNotSent reports whether err is or wraps ErrNotSent.
func IsErrNotSent(err error) bool { return errors.Is(err, ErrNotSent) }

// Call is one request to the backend server.
type Call struct {
	AttemptID string
	Method    string
	Path      string
	Headers   []*encoder.Header
	Body      []byte
	// Idempotent calls may use a pooled connection and be resent by the transport.
	// Other calls get a new connection and are sent once.
	Idempotent bool
	// ResumePrefix is the part of the answer that the caller already has.
	ResumePrefix []byte
}

// Answer is the backend server's answer; the caller closes Body.
type Answer struct {
	Status  int
	Headers []*encoder.Header
	Body    io.ReadCloser
	// Length is the length of the body in bytes, -1 if it is not known in advance.
	Length int64
	// Stream is true if the answer is a stream of server-sent events.
	Stream bool
}

// Health is the reply to a health check of the backend server.
type Health struct {
	// Boot changes with each start of the backend server.
	Boot string `json:"boot"`
	// Prefixes are hashes of cached prompt prefixes.
	Prefixes []uint64 `json:"prefixes"`
}

// Driver sends calls to one backend server.
type Driver struct {
	addr netip.AddrPort
	// pooled reuses connections. singleUse never does, so that the transport cannot
	// resend a request by itself.
	pooled, singleUse *limiter.Transport
}

// NewDriver returns a Driver for the backend server at addr.
func NewDriver(addr netip.AddrPort) *Driver {
	return &Driver{
		addr:      addr,
		pooled:    newTransport(&http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}),
		singleUse: newTransport(&http.Transport{DisableKeepAlives: true, DisableCompression: true}),
	}
}

func newTransport(base *http.Transport) *limiter.Transport {
	return limiter.NewTransport(base, "backend_call", limiter.MaxAnswerBytes, limiter.WithRequestID(encoder.HeaderAttemptID))
}

// Do sends a call and returns when the response headers have been received. The
// error wraps ErrNotSent if the request could not be built or no connection was
// obtained.
func (d *Driver) Do(ctx context.Context, c *Call) (*Answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := d.newRequest(httptrace.WithClientTrace(ctx, trace), c)
	if err != nil {
		return nil, wrapper.At("backend_request", d.addr.String(), errors.Join(ErrNotSent, err))
	}
	transport := d.singleUse
	if c.Idempotent {
		transport = d.pooled
	}
	resp, err := transport.RoundTrip(req) //nolint:bodyclose // the caller closes Answer.Body
	if err != nil && !connected.Load() {
		return nil, wrapper.At("backend_connect", d.addr.String(), errors.Join(ErrNotSent, err))
	}
	if err != nil {
		return nil, wrapper.At("backend_call", d.addr.String(), err)
	}
	return newAnswer(resp), nil
}

func (d *Driver) newRequest(ctx context.Context, c *Call) (*http.Request, error) {
	body := c.Body
	path := c.Path
	if len(c.ResumePrefix) > 0 {
		var err error
		body, err = json.Marshal(ResumeBody{Request: c.Body, Prefix: c.ResumePrefix})
		if err != nil {
			return nil, err
		}
		path = "/v1/resume"
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+d.addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for _, h := range c.Headers {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	req.Header.Set(encoder.HeaderAttemptID, c.AttemptID)
	return req, nil
}

// ResumeBody is the request to an engine to continue its answer after Prefix.
type ResumeBody struct {
	Request []byte `json:"request"`
	Prefix  []byte `json:"prefix"`
}

func newAnswer(resp *http.Response) *Answer {
	a := &Answer{Status: resp.StatusCode, Body: resp.Body, Length: resp.ContentLength}
	for _, name := range []string{"Content-Type", "Location", "Etag", "Cache-Control", encoder.HeaderAttemptID} {
		if v := resp.Header.Get(name); v != "" {
			a.Headers = append(a.Headers, &encoder.Header{Name: name, Value: v})
		}
	}
	a.Stream = encoder.IsEventStream(resp.Header.Get("Content-Type")) && encoder.HasBody(resp.Request.Method, resp.StatusCode)
	return a
}

// Bounds of one health check.
const (
	healthTimeout = time.Second
	// maxHealthBytes is the size of a reply with 50,000 prefixes.
	maxHealthBytes = 1 << 20
)

// GetHealth performs one health check of the backend server.
func (d *Driver) GetHealth(ctx context.Context) (Health, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	var h Health
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.addr.String()+"/health", nil)
	if err != nil {
		return h, wrapper.At("backend_health", d.addr.String(), err)
	}
	resp, err := d.pooled.RoundTrip(req)
	if err != nil {
		return h, wrapper.At("backend_health", d.addr.String(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	body := limiter.NewReader(resp.Body, maxHealthBytes, limiter.Source{Server: d.addr.String(), Step: "backend_health"})
	err = json.NewDecoder(body).Decode(&h)
	return h, wrapper.At("backend_health", d.addr.String(), err)
}
