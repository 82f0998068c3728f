//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// plainSlots is the number of requests that a plain server runs at once. It rejects others.
const plainSlots = 6

// refusal is the answer of a server that is full, as the platform's pages show it.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

// plainServer is a stand-in of a server that is not an engine.
type plainServer struct {
	*fleet
	id      string
	service string
	addr    netip.AddrPort
	// workTime is how long a request takes.
	workTime time.Duration
	mu       sync.Mutex
	running  int
	// ran lists the requests that it ran, refused those that it rejected.
	ran     []ranRequest
	refused map[string]bool
	// writesRefusal decides whether a refusal that was sent before is written once more, on a
	// kept connection, before the answer to a request; nil for never.
	writesRefusal func() bool
}

// ranRequest is a request as a server got it.
type ranRequest struct{ id, method, target, host string }

func newPlainServer(f *fleet, i int) (*plainServer, error) {
	ln, err := net.Listen("tcp", f.addr(plainBlock, i, 0).String())
	if err != nil {
		return nil, err
	}
	service := plainService
	if i == plainCount-1 {
		service = archiveService
	}
	s := &plainServer{
		fleet: f, id: fmt.Sprintf("i-%s-%d", service, i), service: service, addr: netip.MustParseAddrPort(ln.Addr().String()),
		workTime: 60 * time.Millisecond, refused: make(map[string]bool),
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// serve answers the requests of one connection, one at a time.
func (s *plainServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, s.answer(r, conn, n > 0)); err != nil {
			return
		}
	}
}

// answer runs a request, unless it is for another server or there is no slot, and returns the
// answer.
func (s *plainServer) answer(r *http.Request, conn net.Conn, isKept bool) string {
	id := r.Header.Get("X-Request-Id")
	if r.Header.Get("X-Expect-Instance") != s.id {
		return "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + s.id + "\r\nContent-Length: 0\r\n\r\n"
	}
	s.mu.Lock()
	if s.running >= plainSlots {
		s.refused[id] = true
		s.mu.Unlock()
		s.add("server %s is full and refuses %s on the connection from %s", s.id, id, conn.RemoteAddr())
		return refusal
	}
	s.running++
	s.ran = append(s.ran, ranRequest{id, r.Method, r.RequestURI, r.Host})
	writes := isKept && len(s.refused) > 0 && s.writesRefusal != nil && s.writesRefusal()
	s.mu.Unlock()
	s.add("server %s runs %s: %s %s, Host: %s", s.id, id, r.Method, r.RequestURI, r.Host)
	if writes {
		s.add("server %s writes an earlier refusal once more on the connection from %s", s.id, conn.RemoteAddr())
		_, _ = io.WriteString(conn, refusal)
	}
	time.Sleep(s.workTime)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	s.add("server %s has answered %s", s.id, id)
	body := "done " + id + "\n"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Request-Id: %s\r\nX-Response-Stamp: s.%s.%s\r\nContent-Length: %d\r\n\r\n%s", s.id, id, s.id, id, len(body), body)
}
