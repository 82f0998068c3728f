//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// callerTimeout bounds a caller's wait for an answer.
const callerTimeout = 8 * time.Second

// call is a caller's request.
type call struct {
	id, method, target string
	// tokens is the length of the answer of a stream.
	tokens  int
	timeout time.Duration
}

// outcome is what a caller got.
type outcome struct {
	status int
	header http.Header
	body   string
	// err is set if the answer is missing or not whole.
	err error
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("status %d, %d bytes, then %v", o.status, len(o.body), o.err)
	}
	return fmt.Sprintf("status %d, whole, %d bytes", o.status, len(o.body))
}

// connect opens a connection to a gateway.
func (f *fleet) connect(gateway int) (net.Conn, error) {
	return net.DialTimeout("tcp", f.addr(gatewayBlock, gateway, f.callers).String(), time.Second)
}

// send sends a request on a connection and reads the answer.
func (f *fleet) send(conn net.Conn, c call) outcome {
	timeout := c.timeout
	if timeout == 0 {
		timeout = callerTimeout
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nAuthorization: Token %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.target, routeHost, c.id, accountKey, timeout.Milliseconds())
	if c.tokens > 0 {
		head += fmt.Sprintf("X-Model: m\r\nX-Token-Counts: 700,%d\r\nX-Prompt-Prefix: 5c1e07a2:40,%x:660\r\n", c.tokens, len(c.id)*7919+int(c.id[len(c.id)-1]))
	}
	body := ""
	if c.method == http.MethodPost {
		body = "work of " + c.id
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	f.add("caller sends %s: %s %s", c.id, c.method, c.target)
	_ = conn.SetDeadline(time.Now().Add(timeout + time.Second))
	if _, err := io.WriteString(conn, head+"\r\n"+body); err != nil {
		return f.end(c, outcome{err: err})
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		return f.end(c, outcome{err: err})
	}
	data, err := io.ReadAll(resp.Body)
	return f.end(c, outcome{status: resp.StatusCode, header: resp.Header, body: string(data), err: err})
}

func (f *fleet) end(c call, o outcome) outcome {
	f.add("caller of %s gets %v", c.id, o)
	return o
}

// do sends a request on a new connection.
func (f *fleet) do(gateway int, c call) outcome {
	conn, err := f.connect(gateway)
	if err != nil {
		return f.end(c, outcome{err: err})
	}
	defer func() { _ = conn.Close() }()
	return f.send(conn, c)
}
