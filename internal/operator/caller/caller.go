// Package caller is a client of the admin interface of an entry instance.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"siskinfall/internal/backend/limiter"
	"siskinfall/internal/fault/wrapper"
)

// callTimeout bounds one HTTP call.
const callTimeout = time.Minute

// ProblemError is a refusal by the entry instance.
type ProblemError struct {
	Status    int    `json:"status"`
	Code      string `json:"code"`
	Step      string `json:"step"`
	Execution string `json:"execution"`
	Detail    string `json:"detail"`
}

// Error implements error.
func (e *ProblemError) Error() string {
	return fmt.Sprintf("%s at %s (execution %s): %s", e.Code, e.Step, e.Execution, e.Detail)
}

// IsProblem reports whether err is a refusal by the entry instance.
func IsProblem(err error) bool {
	var p *ProblemError
	return errors.As(err, &p)
}

// Client calls the admin interface of one entry instance.
type Client struct {
	addr netip.AddrPort
	key  string
	http *http.Client
}

// NewClient returns a Client for the admin listener at addr. An empty key sends no
// bearer key.
func NewClient(addr netip.AddrPort, key string) *Client {
	transport := limiter.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment}, "admin_call", limiter.MaxAnswerBytes)
	c := &Client{addr: addr, key: key, http: transport.NewClient()}
	c.http.Timeout = callTimeout
	return c
}

// Get requests path and decodes the JSON answer into out; a *[]byte receives the
// answer as it is. A refusal is returned as a ProblemError.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, out)
}

// Post sends body to path and decodes the answer into out as Get does.
func (c *Client) Post(ctx context.Context, path string, body []byte, out any) error {
	return c.call(ctx, http.MethodPost, path, body, out)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return wrapper.At("admin_request", c.addr.String(), err)
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return wrapper.At("admin_call", c.addr.String(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return wrapper.At("admin_read", c.addr.String(), err)
	}
	if resp.StatusCode != http.StatusOK {
		problem := &ProblemError{Status: resp.StatusCode, Code: "unexpected_answer", Detail: string(data)}
		_ = json.Unmarshal(data, problem)
		return wrapper.At("admin_call", c.addr.String(), problem)
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = data
		return nil
	}
	return wrapper.At("admin_decode", c.addr.String(), json.Unmarshal(data, out))
}
