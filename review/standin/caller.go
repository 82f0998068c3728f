//go:build review

package main

import (
	"bufio"
	"errors"
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
	// expect is the ID of the engine that the request is sent to directly, empty for others.
	expect string
}

// outcome is what a caller got.
type outcome struct {
	status int
	header http.Header
	body   string
	// err is set if the answer is missing or not whole.
	err error
	// longestGap is the longest time between two parts of the body, endGap that between the
	// last part and the end.
	longestGap, endGap time.Duration
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("status %d, %d bytes, then %v", o.status, len(o.body), o.err)
	}
	return fmt.Sprintf("status %d, whole, %d bytes, longest gap %v", o.status, len(o.body), o.longestGap.Round(time.Millisecond))
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
	if c.expect != "" {
		head += fmt.Sprintf("X-Expect-Instance: %s\r\n", c.expect)
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
	o := outcome{status: resp.StatusCode, header: resp.Header}
	o.readBody(resp.Body)
	return f.end(c, o)
}

// readBody reads the body and measures its gaps.
func (o *outcome) readBody(body io.Reader) {
	last := time.Now()
	buf := make([]byte, 4096)
	for {
		n, err := body.Read(buf)
		gap := time.Since(last)
		if n > 0 {
			o.body += string(buf[:n])
			o.longestGap, last = max(o.longestGap, gap), time.Now()
		}
		if err != nil {
			o.endGap = gap
			if !errors.Is(err, io.EOF) {
				o.err = err
			}
			return
		}
	}
}

func (f *fleet) end(c call, o outcome) outcome {
	f.add("caller of %s gets %v", c.id, o)
	return o
}

// doDirect sends a request to an engine.
func (f *fleet) doDirect(r *rank, c call) outcome {
	conn, err := net.DialTimeout("tcp", r.addr.String(), time.Second)
	if err != nil {
		return f.end(c, outcome{err: err})
	}
	defer func() { _ = conn.Close() }()
	c.expect = r.id
	return f.send(conn, c)
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
