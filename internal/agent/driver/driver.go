// Package driver speaks to the backend server of an agent: a model engine or a
// plain service. It tells exactly whether a request may have reached it.
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

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/wire/encoder"
)

// ErrNotSent says that no byte of the request reached the backend server.
var ErrNotSent = errors.New("request did not reach the backend server")

// IsErrNotSent reports whether err says that nothing was sent.
func IsErrNotSent(err error) bool { return errors.Is(err, ErrNotSent) }

// Call is one request to the backend server.
type Call struct {
	AttemptID string
	Method    string
	Path      string
	Headers   []*encoder.Header
	Body      []byte
	// Idempotent calls may use a kept connection and be sent again by the
	// transport; others get a connection of their own and are sent once.
	Idempotent bool
	// ResumePrefix is the part of the answer that the caller already has.
	ResumePrefix []byte
}

// Answer is the backend server's answer; the caller closes Body.
type Answer struct {
	Status  int
	Headers []*encoder.Header
	Body    io.ReadCloser
	// Length is that of the body, -1 if it is not known before its end.
	Length int64
	// Stream says that the answer is a stream of server-sent events.
	Stream bool
}

// Health is what the backend server tells of itself.
type Health struct {
	// Boot changes with each start of the backend server.
	Boot string `json:"boot"`
	// Prefixes are hashes of cached prompt prefixes.
	Prefixes []uint64 `json:"prefixes"`
}

// Driver sends calls to one backend server.
type Driver struct {
	addr netip.AddrPort
	// kept reuses connections; fresh never does, so that the transport cannot
	// send a request a second time by itself.
	kept, fresh *http.Transport
}

// NewDriver returns a Driver for the backend server at addr.
func NewDriver(addr netip.AddrPort) *Driver {
	return &Driver{
		addr:  addr,
		kept:  &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
		fresh: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}
}

// Do sends a call and returns when the answer's head has arrived.
func (d *Driver) Do(ctx context.Context, c *Call) (*Answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := d.newRequest(httptrace.WithClientTrace(ctx, trace), c)
	if err != nil {
		return nil, wrapper.At("backend_request", d.addr.String(), errors.Join(ErrNotSent, err))
	}
	transport := d.fresh
	if c.Idempotent {
		transport = d.kept
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
	req.Header.Set("X-Attempt-Id", c.AttemptID)
	return req, nil
}

// ResumeBody asks an engine to go on behind a prefix of its answer.
type ResumeBody struct {
	Request []byte `json:"request"`
	Prefix  []byte `json:"prefix"`
}

func newAnswer(resp *http.Response) *Answer {
	a := &Answer{Status: resp.StatusCode, Body: resp.Body, Length: resp.ContentLength}
	for _, name := range []string{"Content-Type", "Location", "Etag", "Cache-Control", "X-Attempt-Id"} {
		if v := resp.Header.Get(name); v != "" {
			a.Headers = append(a.Headers, &encoder.Header{Name: name, Value: v})
		}
	}
	a.Stream = resp.Header.Get("Content-Type") == "text/event-stream"
	return a
}

// healthTimeout bounds one health check.
const healthTimeout = time.Second

// GetHealth asks the backend server for its health.
func (d *Driver) GetHealth(ctx context.Context) (Health, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	var h Health
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.addr.String()+"/health", nil)
	if err != nil {
		return h, wrapper.At("backend_health", d.addr.String(), err)
	}
	resp, err := d.kept.RoundTrip(req)
	if err != nil {
		return h, wrapper.At("backend_health", d.addr.String(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	err = json.NewDecoder(resp.Body).Decode(&h)
	return h, wrapper.At("backend_health", d.addr.String(), err)
}
