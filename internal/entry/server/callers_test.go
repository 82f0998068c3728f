package server

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"siskinfall/internal/config/registrar"
	"siskinfall/internal/routing/tracker"
	"siskinfall/internal/settings/loader"
	"siskinfall/internal/standin/keeper"
	"siskinfall/internal/store/storer"
	"siskinfall/internal/wire/connector"
	"siskinfall/internal/wire/encoder"
	"siskinfall/internal/wire/resetter"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	os.Exit(m.Run())
}

const (
	testKey      = "key"
	statusPeriod = 20 * time.Millisecond
)

// script is how the scripted agent answers an attempt.
type script func(req *encoder.RunRequest, st *connector.Stream)

// testEntry is an entry instance with one scripted agent and a stand-in platform.
type testEntry struct {
	*Server
	callers *httptest.Server
}

func newTestEntry(c *qt.C, kind registrar.ServiceKind, answer script, opts ...func(*loader.Entry)) *testEntry {
	ctx, cancel := context.WithCancel(context.Background())
	platform := httptest.NewServer(keeper.New().Handler())
	cfg := loader.NewSettings()
	cfg.Instance, cfg.Zone = "entry", "z"
	for _, opt := range opts {
		opt(&cfg.Entry)
	}
	client := storer.NewClient(netip.MustParseAddrPort(platform.Listener.Addr().String()), storer.WithTimeout(time.Second))
	e := &testEntry{Server: New(ctx, cfg, 1, client)}
	e.activeConfig.Apply(newEntities(c, kind))
	e.learnSuspects(ctx)
	e.setConfigured("test")
	agent := startAgent(ctx, c, answer)
	e.tracker.SetInstances(ctx, []storer.Instance{agent})
	e.callers = httptest.NewUnstartedServer(e.CallersHandler())
	e.callers.Config.ConnContext = resetter.WithConn
	e.callers.Start()
	c.Cleanup(func() { cancel(); e.callers.Close(); e.pool.Close(); e.tracker.Wait(); platform.Close() })
	waitFor(c, func() bool { return len(e.tracker.GetService("svc").Backends) == 1 })
	return e
}

func newEntities(c *qt.C, kind registrar.ServiceKind) []*encoder.Entity {
	sum := sha256.Sum256([]byte(testKey))
	ticket := &registrar.Ticket{
		Number:   1,
		Accounts: []*registrar.ClientAccount{{Name: "acc", KeyHashes: []string{hex.EncodeToString(sum[:])}, Weight: 1}},
		Services: []*registrar.Service{{
			Name: "svc", Kind: kind, PathPrefix: "/svc/", Timeout: time.Minute, MaxAttempts: 1, Retention: time.Hour,
		}},
	}
	entities, err := ticket.Entities()
	c.Assert(err, qt.IsNil)
	return entities
}

func startAgent(ctx context.Context, c *qt.C, answer script) storer.Instance {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	handle := func(ctx context.Context, _ *encoder.Hello, open *encoder.Open, st *connector.Stream) {
		switch k := open.GetKind().(type) {
		case *encoder.Open_Watch:
			tick := time.NewTicker(statusPeriod)
			defer tick.Stop()
			for st.Send(&encoder.AgentStatus{Instance: "agent", Service: "svc", Ready: true, Concurrency: 4}) == nil {
				select {
				case <-tick.C:
				case <-ctx.Done():
					return
				}
			}
		case *encoder.Open_Run:
			answer(k.Run, st)
		}
	}
	a := connector.NewAcceptor(&encoder.Hello{Version: encoder.Version, Instance: "agent"}, handle)
	go func() { _ = a.Serve(ctx, ln) }()
	return storer.Instance{Name: "agent", Role: tracker.RoleAgent, Zone: "z", Address: netip.MustParseAddrPort(ln.Addr().String())}
}

// waitFor polls until ok returns true, and fails the test when its context ends.
func waitFor(c *qt.C, ok func() bool) {
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-tick.C:
		case <-c.Context().Done():
			c.Fatal("condition not met")
		}
	}
}

func sendHead(req *encoder.RunRequest, st *connector.Stream, headers ...*encoder.Header) {
	head := &encoder.Head{Status: http.StatusOK, Headers: headers}
	_ = st.Send(&encoder.RunEvent{AttemptId: req.GetAttemptId(), Kind: &encoder.RunEvent_Head{Head: head}})
}

func sendChunk(req *encoder.RunRequest, st *connector.Stream, offset uint64, data string) {
	chunk := &encoder.Chunk{Offset: offset, Data: []byte(data)}
	_ = st.Send(&encoder.RunEvent{AttemptId: req.GetAttemptId(), Kind: &encoder.RunEvent_Chunk{Chunk: chunk}})
}

func sendEnd(req *encoder.RunRequest, st *connector.Stream, data string) {
	end := &encoder.End{Length: uint64(len(data)), Checksum: xxhash.Sum64String(data)}
	_ = st.Send(&encoder.RunEvent{AttemptId: req.GetAttemptId(), Kind: &encoder.RunEvent_End{End: end}})
}

var eventStream = &encoder.Header{Name: "Content-Type", Value: "text/event-stream"}

// send writes a request to a new connection.
func (e *testEntry) send(c *qt.C, request string) *net.TCPConn {
	conn, err := net.Dial("tcp", e.callers.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, request)
	c.Assert(err, qt.IsNil)
	return conn.(*net.TCPConn)
}

const (
	chatBody   = `{"model":"svc"}`
	chatHTTP11 = "POST /v1/chat/completions HTTP/1.1" + chatRest
	chatHTTP10 = "POST /v1/chat/completions HTTP/1.0" + chatRest
	chatRest   = "\r\nHost: entry\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 15\r\n\r\n" + chatBody
)

// readAnswer reads an answer and returns its body up to the end or to an error.
func readAnswer(conn net.Conn) (body string, err error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

func TestWholeAnswerIsCompleted(t *testing.T) {
	c := qt.New(t)
	e := newTestEntry(c, registrar.ServiceModel, func(req *encoder.RunRequest, st *connector.Stream) {
		sendHead(req, st, eventStream)
		sendChunk(req, st, 0, "whole")
		sendEnd(req, st, "whole")
	})
	body, err := readAnswer(e.send(c, chatHTTP11))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "whole")
}

// A caller that has closed only its sending side still reads the answer.
func TestAnswerToHalfClosedCallerIsNotCompletedEarly(t *testing.T) {
	c := qt.New(t)
	began := make(chan struct{})
	e := newTestEntry(c, registrar.ServiceModel, func(req *encoder.RunRequest, st *connector.Stream) {
		sendHead(req, st, eventStream)
		sendChunk(req, st, 0, "part")
		close(began)
		_ = st.Receive(&encoder.Open{})
	})
	conn := e.send(c, chatHTTP11)
	<-began
	c.Assert(conn.CloseWrite(), qt.IsNil)
	body, err := readAnswer(conn)
	c.Assert(err, qt.IsNotNil, qt.Commentf("complete answer with body %q", body))
}

// Without a head, a handler that returns sends an empty 200.
func TestHalfClosedCallerGetsNoEmptyAnswer(t *testing.T) {
	c := qt.New(t)
	began := make(chan struct{})
	e := newTestEntry(c, registrar.ServiceModel, func(_ *encoder.RunRequest, st *connector.Stream) {
		close(began)
		_ = st.Receive(&encoder.Open{})
	})
	conn := e.send(c, chatHTTP11)
	<-began
	c.Assert(conn.CloseWrite(), qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNotNil, qt.Commentf("%v", resp))
}

// The writer refuses data beyond the declared length while the connection lives.
func TestAnswerLongerThanItsLengthIsNotCompleted(t *testing.T) {
	c := qt.New(t)
	e := newTestEntry(c, registrar.ServiceModel, func(req *encoder.RunRequest, st *connector.Stream) {
		sendHead(req, st, &encoder.Header{Name: "Content-Length", Value: "4"})
		sendChunk(req, st, 0, "part")
		sendChunk(req, st, 4, " and more")
		sendEnd(req, st, "part and more")
	})
	body, err := readAnswer(e.send(c, chatHTTP11))
	c.Assert(err, qt.IsNotNil, qt.Commentf("complete answer with body %q", body))
}

// An answer to an HTTP/1.0 caller ends with its connection, so that only a reset
// shows the caller that it broke off.
func TestBrokenAnswerToHTTP10CallerEndsWithReset(t *testing.T) {
	c := qt.New(t)
	e := newTestEntry(c, registrar.ServiceModel, func(req *encoder.RunRequest, st *connector.Stream) {
		sendHead(req, st, eventStream)
		sendChunk(req, st, 0, "part")
	})
	body, err := readAnswer(e.send(c, chatHTTP10))
	c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("body %q, error %v", body, err))
}

// Closing the server must not end an answer that is in progress as a whole one.
func TestServerCloseResetsAnswerToHTTP10Caller(t *testing.T) {
	c := qt.New(t)
	e := newTestEntry(c, registrar.ServiceModel, func(req *encoder.RunRequest, st *connector.Stream) {
		sendHead(req, st, eventStream)
		sendChunk(req, st, 0, "part")
		_ = st.Receive(&encoder.Open{})
	})
	conn := e.send(c, chatHTTP10)
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	c.Assert(err, qt.IsNil)
	part := make([]byte, len("part"))
	_, err = io.ReadFull(resp.Body, part)
	c.Assert(err, qt.IsNil)
	c.Assert(e.callers.Config.Close(), qt.IsNil)
	_, err = io.ReadAll(resp.Body)
	c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("error %v", err))
}

func TestWholeAnswerToHTTP10CallerIsCompleted(t *testing.T) {
	c := qt.New(t)
	e := newTestEntry(c, registrar.ServiceModel, func(req *encoder.RunRequest, st *connector.Stream) {
		sendHead(req, st, eventStream)
		sendChunk(req, st, 0, "whole")
		sendEnd(req, st, "whole")
	})
	body, err := readAnswer(e.send(c, chatHTTP10))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "whole")
}

// Where an answer has no body, the head is all of it and must not be sent before the end.
func TestBrokenAnswerWithoutBodyIsNotSent(t *testing.T) {
	c := qt.New(t)
	for _, tc := range []struct {
		name, method string
		status       uint32
		headers      []*encoder.Header
	}{
		{"head", http.MethodHead, http.StatusOK, nil},
		{"head of stream", http.MethodHead, http.StatusOK, []*encoder.Header{eventStream}},
		{"no content", http.MethodGet, http.StatusNoContent, nil},
		{"no content in stream", http.MethodGet, http.StatusNoContent, []*encoder.Header{eventStream}},
	} {
		c.Run(tc.name, func(c *qt.C) {
			e := newTestEntry(c, registrar.ServicePlain, func(req *encoder.RunRequest, st *connector.Stream) {
				head := &encoder.Head{Status: tc.status, Headers: tc.headers}
				_ = st.Send(&encoder.RunEvent{AttemptId: req.GetAttemptId(), Kind: &encoder.RunEvent_Head{Head: head}})
			})
			conn := e.send(c, tc.method+" /svc/x HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer "+testKey+"\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: tc.method})
			c.Assert(err, qt.IsNotNil, qt.Commentf("%v", resp))
		})
	}
}

// The caller has the head in each of these cases, so that only an abort shows the end.
func TestRefusalAfterHeadAbortsAnswer(t *testing.T) {
	c := qt.New(t)
	for name, end := range map[string]script{
		"broken": func(*encoder.RunRequest, *connector.Stream) {},
		"refused": func(req *encoder.RunRequest, st *connector.Stream) {
			refusal := &encoder.Refusal{Code: encoder.CodeCrashed, Step: "test", Execution: encoder.Execution_EXECUTION_UNKNOWN}
			_ = st.Send(&encoder.RunEvent{AttemptId: req.GetAttemptId(), Kind: &encoder.RunEvent_Refusal{Refusal: refusal}})
		},
		"deadline": func(_ *encoder.RunRequest, st *connector.Stream) { _ = st.Receive(&encoder.Open{}) },
	} {
		for kind, headers := range map[string][]*encoder.Header{"stream": {eventStream}, "plain": nil} {
			c.Run(name+" "+kind, func(c *qt.C) {
				e := newTestEntry(c, registrar.ServiceModel, func(req *encoder.RunRequest, st *connector.Stream) {
					sendHead(req, st, headers...)
					sendChunk(req, st, 0, "part")
					end(req, st)
				})
				request := strings.Replace(chatHTTP11, "Host: entry", "Host: entry\r\n"+headerTimeout+": 1s", 1)
				body, err := readAnswer(e.send(c, request))
				c.Assert(err, qt.IsNotNil, qt.Commentf("complete answer with body %q", body))
			})
		}
	}
}
