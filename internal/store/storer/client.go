package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"siskinfall/internal/backend/limiter"
	"siskinfall/internal/fault/wrapper"
)

// Client calls the platform with JSON over HTTP.
type Client struct {
	base   string
	client *http.Client
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of each call.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.client.Timeout = d }
}

// NewClient returns a Client for the platform at addr.
func NewClient(addr netip.AddrPort, opts ...Option) *Client {
	transport := limiter.NewTransport(&http.Transport{MaxIdleConnsPerHost: 64}, "platform_call", limiter.MaxAnswerBytes)
	c := &Client{base: "http://" + addr.String(), client: transport.NewClient()}
	c.client.Timeout = 2 * time.Second
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// GetRow implements Table.
func (c *Client) GetRow(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.call(ctx, http.MethodGet, "/table/row?key="+url.QueryEscape(key), nil, &row, ErrRowNotExist)
	return row, err
}

// ListRows implements Table.
func (c *Client) ListRows(ctx context.Context, prefix, after string, n int) ([]Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "n": {strconv.Itoa(n)}}
	var rows []Row
	err := c.call(ctx, http.MethodGet, "/table/rows?"+q.Encode(), nil, &rows, ErrRowNotExist)
	return rows, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, txn Txn) error {
	body, err := json.Marshal(txn)
	if err != nil {
		return wrapper.At("encode_transaction", "", err)
	}
	return c.call(ctx, http.MethodPost, "/table/commit", body, nil, ErrRowNotExist)
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	var data []byte
	err := c.call(ctx, http.MethodGet, "/objects?key="+url.QueryEscape(key), nil, &data, ErrObjectNotExist)
	return data, err
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, key string, data []byte) error {
	return c.call(ctx, http.MethodPut, "/objects?key="+url.QueryEscape(key), data, nil, ErrObjectNotExist)
}

// ListInstances implements Instances.
func (c *Client) ListInstances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := c.call(ctx, http.MethodGet, "/instances", nil, &list, ErrObjectNotExist)
	return list, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any, errNotExist error) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return wrapper.At("platform_request", c.base, err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return wrapper.At("platform_call", c.base, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return wrapper.At("platform_read", c.base, err)
	}
	return decodeReply(resp.StatusCode, data, out, errNotExist, c.base)
}

func decodeReply(status int, data []byte, out any, errNotExist error, peer string) error {
	switch status {
	case http.StatusOK:
	case http.StatusNotFound:
		return wrapper.At("platform_read", peer, errNotExist)
	case http.StatusConflict:
		return wrapper.At("platform_commit", peer, ErrConflict)
	default:
		return wrapper.At("platform_call", peer, fmt.Errorf("status %d", status))
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = data
		return nil
	}
	if out == nil {
		return nil
	}
	return wrapper.At("platform_decode", peer, json.Unmarshal(data, out))
}
