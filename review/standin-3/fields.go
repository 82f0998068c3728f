//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// maxHeadBytes is max_header_bytes of the configuration. The heads stay below it by spareBytes.
	maxHeadBytes = 16384
	spareBytes   = 64
	// fieldRequests are sent; DENIED allows 5 and one in 500 of all.
	fieldRequests = 40
	maxDenied     = 5
)

// newHead returns the head of a proper request: it has almost max_header_bytes, in many short
// fields or in few long ones.
func newHead(id string, short bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "GET /status/x HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2500\r\nAuthorization: Token key-of-hule930\r\n", id)
	for n := 0; ; n++ {
		field := fmt.Sprintf("x-%03x:1\r\n", n)
		if !short {
			field = fmt.Sprintf("x-%03x:%s\r\n", n, strings.Repeat("1", 1000))
		}
		if b.Len()+len(field)+2 > maxHeadBytes-spareBytes {
			break
		}
		b.WriteString(field)
	}
	b.WriteString("\r\n")
	return b.String()
}

// runFields sends proper requests whose heads are made of many short fields.
func runFields(s *site) (int, error) {
	if err := s.build(1, 1, 2, 3); err != nil {
		return failed, err
	}
	if !s.awaitReady() {
		return failed, errNotReady
	}
	time.Sleep(contact + time.Second)
	denied, served := 0, 0
	for n := range fieldRequests {
		id := fmt.Sprint("fields-", n)
		head := newHead(id, s.trouble)
		s.record("sent", id, fmt.Sprintf("head of %d bytes, %d allowed, in %d lines", len(head), maxHeadBytes, strings.Count(head, "\n")))
		status, err := exchangeRaw(fmt.Sprintf("%s:%d", s.gateways[0].host, frontPort), head)
		if err != nil {
			return failed, err
		}
		s.record("answered", id, fmt.Sprint(status))
		switch {
		case status == http.StatusOK:
			served++
		case status >= 300 && status < 500 && status != 408 && status != 421 && status != 429:
			denied++
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.record("count", "", fmt.Sprintf("%d of %d requests served, %d denied, %d are allowed", served, fieldRequests, denied, maxDenied))
	if served+denied == 0 {
		return failed, fmt.Errorf("no request was served or denied")
	}
	if denied > maxDenied {
		return broken, nil
	}
	return held, nil
}

func exchangeRaw(addr, head string) (int, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	if _, err := io.WriteString(c, head); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}
