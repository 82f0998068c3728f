//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// answer is what a client has seen of one request.
type answer struct {
	status int
	body   string
	header http.Header
	// closed is set if the connection ended without a complete answer.
	closed bool
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer after %v: %v", a.took.Round(time.Millisecond), a.err)
	}
	return fmt.Sprintf("status %d after %v", a.status, a.took.Round(time.Millisecond))
}

// newHead returns the head of a request without its end.
func newHead(method, path, id string, deadline time.Duration, more ...string) string {
	lines := append([]string{
		method + " " + path + " HTTP/1.1", "Host: " + host, "X-Request-Id: " + id, fmt.Sprintf("X-Deadline-Ms: %d", deadline.Milliseconds()),
		"Authorization: Token " + key,
	}, more...)
	return strings.Join(lines, "\r\n") + "\r\n"
}

// send sends one request on a new connection and reads the answer. A connection has a second to
// be established, as for the clients of the pages.
func send(addr, method, path, id, body string, deadline time.Duration, more ...string) answer {
	start := time.Now()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err, took: time.Since(start)}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(start.Add(deadline + 500*time.Millisecond))
	if method != http.MethodGet {
		more = append(more, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	if _, err := io.WriteString(conn, newHead(method, path, id, deadline, more...)+"\r\n"+body); err != nil {
		return answer{err: err, closed: true, took: time.Since(start)}
	}
	a := readAnswer(bufio.NewReader(conn), method)
	a.took = time.Since(start)
	return a
}

// readAnswer reads one answer.
func readAnswer(br *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, closed: isClosed(err)}
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err, closed: isClosed(err)}
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data)}
}

func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
