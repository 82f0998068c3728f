package server

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/config/registrar"
	"siskinfall/internal/settings/loader"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
)

const (
	stalledCallers = 50
	normalCallers  = 20
)

// Callers whose bodies stop half-way are refused and hold up no others.
func TestStalledBodiesAreRefusedBesideNormalCallers(t *testing.T) {
	c := qt.New(t)
	var runs atomic.Int64
	e := newTestEntry(c, registrar.ServiceModel, func(req *encoder.RunRequest, st *connector.Stream) {
		runs.Add(1)
		sendHead(req, st)
		sendChunk(req, st, 0, "whole")
		sendEnd(req, st, "whole")
	}, func(cfg *loader.Entry) { cfg.BodyPause = 500 * time.Millisecond })
	const head = "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
	known := head + "Authorization: Bearer " + testKey + "\r\n"
	stalled := []struct {
		request string
		status  int
	}{
		{known + "Content-Length: 15\r\n\r\n{", http.StatusRequestTimeout},
		{known + "Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n", http.StatusRequestTimeout},
		{known + "Content-Length: 15\r\n\r\n", http.StatusRequestTimeout},
		// An unknown key is refused before the body is read.
		{head + "Content-Length: 15\r\n\r\n{", http.StatusUnauthorized},
	}
	before := timedOutBodies.Get()
	readers := make([]*bufio.Reader, 0, stalledCallers)
	for i := range stalledCallers {
		readers = append(readers, bufio.NewReader(e.send(c, stalled[i%len(stalled)].request)))
	}
	for range normalCallers {
		body, err := readAnswer(e.send(c, chatHTTP11))
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "whole")
	}
	var timedOut uint64
	for i, r := range readers {
		resp, err := http.ReadResponse(r, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, stalled[i%len(stalled)].status)
		c.Assert(resp.Close, qt.IsTrue)
		if resp.StatusCode == http.StatusRequestTimeout {
			timedOut++
		}
		var p Problem
		c.Assert(json.NewDecoder(resp.Body).Decode(&p), qt.IsNil)
		c.Assert(p.Execution, qt.Equals, "not_run")
	}
	c.Assert(runs.Load(), qt.Equals, int64(normalCallers))
	c.Assert(timedOutBodies.Get(), qt.Equals, before+timedOut)
}

// net/http reads the body of a request before it answers, on unknown paths too.
func TestStalledBodiesOfOperatorsAreRefused(t *testing.T) {
	c := qt.New(t)
	e := newTestEntry(c, registrar.ServiceModel, nil, func(cfg *loader.Entry) { cfg.BodyPause = 50 * time.Millisecond })
	admin := httptest.NewServer(e.AdminHandler())
	c.Cleanup(admin.Close)
	for path, status := range map[string]int{"/v1/tickets": http.StatusRequestTimeout, "/unknown": http.StatusNotFound} {
		c.Run(path, func(c *qt.C) {
			conn, err := net.Dial("tcp", admin.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = conn.Close() })
			_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: entry\r\nContent-Length: 15\r\n\r\n{")
			c.Assert(err, qt.IsNil)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.StatusCode, qt.Equals, status)
		})
	}
}

// startUpload sends a body of n bytes with a pause after each, in a bubble of synctest,
// and returns what the server made of it.
func startUpload(c *qt.C, cfg loader.Entry, n int, pause time.Duration) *http.Response {
	s := &Server{cfg: &loader.Settings{Entry: cfg}}
	ln := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	srv := &http.Server{Handler: s.boundBodies(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, problem := readBody(w, r, cfg.MaxBody, "id")
		if problem != nil {
			problem.write(w, "id")
			return
		}
		_, _ = w.Write(body)
	}))}
	go func() { _ = srv.Serve(ln) }()
	callerEnd, serverEnd := net.Pipe()
	ln.conns <- serverEnd
	var upload sync.WaitGroup
	upload.Go(func() {
		_, err := fmt.Fprintf(callerEnd, "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n\r\n", n)
		for i := 0; i < n && err == nil; i++ {
			time.Sleep(pause)
			_, err = io.WriteString(callerEnd, "x")
		}
	})
	resp, err := http.ReadResponse(bufio.NewReader(callerEnd), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(srv.Close(), qt.IsNil)
	_ = callerEnd.Close()
	upload.Wait()
	return resp
}

// pipeListener accepts the connections of conns until it is closed.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A slow body that keeps moving is read, also when it takes many times the pause.
func TestSlowBodyThatKeepsMovingIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := loader.Entry{MaxBody: 1024, BodyPause: 10 * time.Second, BodyTimeout: time.Minute}
		resp := startUpload(qt.New(t), cfg, 6, 9*time.Second)
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
	})
}

// A body that moves too slowly to end in time is refused.
func TestEndlessBodyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := loader.Entry{MaxBody: 1024, BodyPause: 10 * time.Second, BodyTimeout: time.Minute}
		resp := startUpload(qt.New(t), cfg, 8, 9*time.Second)
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusRequestTimeout)
	})
}
