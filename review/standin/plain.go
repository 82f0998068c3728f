//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// plainSlots is the number of requests that a plain server runs at once.
const plainSlots = 6

// plainServer is a stand-in of a server that is not an engine.
type plainServer struct {
	*fleet
	id      string
	service string
	addr    netip.AddrPort
	mu      sync.Mutex
	// workTime returns how long a request takes.
	workTime func(r *http.Request) time.Duration
	// ran lists the requests that it ran.
	ran []ranRequest
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
		workTime: func(*http.Request) time.Duration { return 60 * time.Millisecond },
	}
	go func() { _ = http.Serve(ln, http.HandlerFunc(s.serve)) }()
	return s, nil
}

func (s *plainServer) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", s.id)
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.ran = append(s.ran, ranRequest{id, r.Method, r.RequestURI, r.Host})
	work := s.workTime(r)
	s.mu.Unlock()
	s.add("server %s runs %s: %s %s, Host: %s", s.id, id, r.Method, r.RequestURI, r.Host)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		s.add("server %s drops %s: its connection is closed", s.id, id)
		return
	}
	w.Header().Set("X-Response-Stamp", "s."+s.id+"."+id)
	_, _ = io.WriteString(w, "done "+id+"\n")
	s.add("server %s has answered %s", s.id, id)
}
