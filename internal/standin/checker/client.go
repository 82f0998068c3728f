// Package checker sends load to entry instances and compares the outcomes that
// callers saw with what the backend servers ran.
package checker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// Kind is a kind of request.
type Kind int

// Kinds of requests: a streamed or whole answer of a model, and a lookup or an
// order at a plain service. Only an order carries an idempotency key.
const (
	KindStream Kind = iota
	KindWhole
	KindLookup
	KindOrder
)

// Call is one request that a caller sends.
type Call struct {
	Kind Kind
	// Service is the model, or the path prefix of a plain service.
	Service string
	// Payload is unique to a logical request; a client retry has the same one.
	Payload string
	// Key is the idempotency key of an order.
	Key    string
	Tokens int
	Class  string
}

// Outcome is the outcome of a call as the caller saw it.
type Outcome struct {
	Call
	RequestID string
	Status    int
	// Execution and Code are those of a refusal.
	Execution string
	Code      string
	Body      string
	// Whole reports that the body was read to a clean end.
	Whole bool
	// Err is set when the connection broke or a refusal could not be decoded.
	Err error
	// FirstByte is the time until the headers of the answer.
	FirstByte time.Duration
	// Elapsed is the time until the end of the answer, 0 without an answer.
	Elapsed time.Duration
	// RetryAfter is the time after which a refusal invites a client retry.
	RetryAfter time.Duration
}

// IsAnswered reports whether the caller has a complete answer with status 200.
func (o *Outcome) IsAnswered() bool { return o.Whole && o.Status == http.StatusOK }

// Client is a caller; it is safe for concurrent use.
type Client struct {
	http *http.Client
	key  string
}

// NewClient returns a Client with a bearer key.
func NewClient(key string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}
	return &Client{http: &http.Client{Transport: transport}, key: key}
}

// Do sends a call to the entry instance at addr and reads the whole answer.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, call Call) *Outcome {
	o := &Outcome{Call: call}
	req, err := newRequest(ctx, addr, call)
	if err != nil {
		o.Err = err
		return o
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		o.Err = err
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	o.FirstByte = time.Since(start)
	o.Status = resp.StatusCode
	o.RequestID = resp.Header.Get("X-Request-Id")
	body, err := io.ReadAll(resp.Body)
	o.Elapsed = time.Since(start)
	o.Body, o.Err, o.Whole = string(body), err, err == nil
	o.readProblem(resp)
	return o
}

// problem is the part of a refusal's body that the client reads.
type problem struct {
	Code       string `json:"code"`
	Execution  string `json:"execution"`
	RetryAfter int    `json:"retry_after"`
}

func (o *Outcome) readProblem(resp *http.Response) {
	if resp.Header.Get("Content-Type") != "application/problem+json" {
		return
	}
	var p problem
	if err := json.Unmarshal([]byte(o.Body), &p); err != nil {
		o.Err = errors.Join(o.Err, err)
		return
	}
	o.Code, o.Execution, o.RetryAfter = p.Code, p.Execution, time.Duration(p.RetryAfter)*time.Second
}

// Messages returns the messages field of a chat request, as JSON.
func Messages(payload string) string {
	return fmt.Sprintf(`[{"role":"user","content":%q}]`, payload)
}

func newRequest(ctx context.Context, addr netip.AddrPort, c Call) (*http.Request, error) {
	base := "http://" + addr.String()
	method, url, body := http.MethodPost, base+"/v1/chat/completions", ""
	switch c.Kind {
	case KindStream, KindWhole:
		body = fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":%d,"messages":%s}`, c.Service, c.Kind == KindStream, c.Tokens, Messages(c.Payload))
	case KindLookup:
		method, url = http.MethodGet, base+c.Service+"status/"+c.Payload
	case KindOrder:
		url, body = base+c.Service+"orders", c.Payload
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	if c.Kind == KindOrder {
		req.Header.Set("Idempotency-Key", c.Key)
	}
	if c.Class != "" {
		req.Header.Set("X-Siskinfall-Class", c.Class)
	}
	return req, nil
}

// requestIDOf returns the request id of an attempt id, which is the part before its
// last dot.
func requestIDOf(attempt string) string {
	i := strings.LastIndex(attempt, ".")
	if i < 0 {
		return attempt
	}
	return attempt[:i]
}
