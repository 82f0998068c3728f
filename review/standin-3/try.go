//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// tryConnection sends a request on a new connection and reports whether an answer came.
func (s *site) tryConnection(addr, id string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		s.record("no answer", id, err.Error())
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	_, err = fmt.Fprintf(c, "GET /status/x HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2500\r\nAuthorization: Token key-of-hule930\r\n\r\n", id)
	if err != nil {
		s.record("no answer", id, err.Error())
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.record("no answer", id, err.Error())
		return false
	}
	s.record("answered", id, resp.Status)
	return true
}
