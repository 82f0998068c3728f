// Package checker sends load to entry instances and compares what callers were
// told with what the backend servers ran.
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

// The kinds.
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
	// Payload is unique to a logical request; a resend has the same.
	Payload string
	// Key is the idempotency key of an order.
	Key    string
	Tokens int
	Class  string
}

// Told is what a caller was told.
type Told struct {
	Call
	RequestID string
	Status    int
	// Execution and Code are set for refusals.
	Execution string
	Code      string
	Body      string
	// Whole says that the answer ended cleanly.
	Whole bool
	// Err is set when the connection broke.
	Err       error
	FirstByte time.Duration
	Elapsed   time.Duration
	RetryIn   time.Duration
}

// IsAnswered reports whether the caller has a whole answer.
func (t *Told) IsAnswered() bool { return t.Whole && t.Status == http.StatusOK }

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

// Do sends a call to an entry instance.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, call Call) *Told {
	t := &Told{Call: call}
	req, err := newRequest(ctx, addr, call)
	if err != nil {
		t.Err = err
		return t
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		t.Err = err
		return t
	}
	defer func() { _ = resp.Body.Close() }()
	t.FirstByte = time.Since(start)
	t.Status = resp.StatusCode
	t.RequestID = resp.Header.Get("X-Request-Id")
	body, err := io.ReadAll(resp.Body)
	t.Elapsed = time.Since(start)
	t.Body, t.Err, t.Whole = string(body), err, err == nil
	t.readProblem(resp)
	return t
}

// problem is the part of a refusal that a caller reads.
type problem struct {
	Code       string `json:"code"`
	Execution  string `json:"execution"`
	RetryAfter int    `json:"retry_after"`
}

func (t *Told) readProblem(resp *http.Response) {
	if resp.Header.Get("Content-Type") != "application/problem+json" {
		return
	}
	var p problem
	if err := json.Unmarshal([]byte(t.Body), &p); err != nil {
		t.Err = errors.Join(t.Err, err)
		return
	}
	t.Code, t.Execution, t.RetryIn = p.Code, p.Execution, time.Duration(p.RetryAfter)*time.Second
}

// Messages is the messages field of a chat request.
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

// attemptOf returns the request id of an attempt id.
func attemptOf(attempt string) string {
	i := strings.LastIndex(attempt, ".")
	if i < 0 {
		return attempt
	}
	return attempt[:i]
}
