package forwarder

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/backend/dialer"
	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/check/asserter"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/gateway/placer"
)

// Each test here sets up a state that the code before an assertion never produces, so
// that it fails if the assertion is removed.

type emptyCodec struct{}

func (emptyCodec) DecodeRequest(http.Header) Request                { return Request{} }
func (emptyCodec) EncodeRequest(http.Header, Outbound)              {}
func (emptyCodec) DecodeAnswer(int, http.Header) Answer             { return Answer{} }
func (emptyCodec) EncodeRefusal(http.Header, string, time.Duration) {}

func newExchange(t *testing.T, kind holder.Kind) (*exchange, *httptest.ResponseRecorder) {
	t.Helper()
	catalog := &holder.Catalog{Version: 1, Services: []holder.Service{{Name: "desk", MaxConnections: 40}}}
	catalog.Index()
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil)
	return &exchange{
		Forwarder: New(holder.New(), placer.New(), nil, dialer.NewPool(), nil, emptyCodec{}, "zone-a"),
		Request:   Request{ID: "r1"}, w: newReply(w, r, "r1"), r: r, start: time.Now(),
		snapshot: catalog, route: &holder.Route{Name: "r", Kind: kind, MaxAttempts: 2}, service: "desk", deadline: time.Now().Add(time.Minute),
	}, w
}

// violatesOnce runs f and reports whether exactly one invariant violation was counted.
func violatesOnce(f func()) bool {
	before := asserter.Violations()
	f()
	return asserter.Violations() == before+1
}

func TestFailAnswersBadGatewayWhenRequestMayHaveRun(t *testing.T) {
	c := qt.New(t)
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		x, w := newExchange(t, holder.NonIdempotent)
		x.mayHaveRun = true
		c.Assert(violatesOnce(func() { x.fail(status, "test", 0) }), qt.IsTrue)
		c.Assert(w.Code, qt.Equals, http.StatusBadGateway)
	}
}

func TestRelayEventRejectsRepeatedEvent(t *testing.T) {
	c := qt.New(t)
	x, w := newExchange(t, holder.Streaming)
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
	c.Assert(x.relayEvent(resp, []byte("id: 5\n\n"), 5), qt.IsNil)
	for _, id := range []int{5, 4} {
		c.Assert(violatesOnce(func() { c.Assert(x.relayEvent(resp, []byte("again\n\n"), id), qt.IsNotNil) }), qt.IsTrue)
	}
	c.Assert(w.Body.String(), qt.Equals, "id: 5\n\n")
}

// listen accepts one connection, reads at most one byte and closes it. It sends the
// number of bytes read to the channel.
func listen(c *qt.C) (netip.AddrPort, chan int) {
	ln, err := (&net.ListenConfig{}).Listen(c.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	bytesRead := make(chan int, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		n, _ := conn.Read(make([]byte, 1))
		_ = conn.Close()
		bytesRead <- n
	}()
	return netip.MustParseAddrPort(ln.Addr().String()), bytesRead
}

// TestTruncatedAnswerAbortsConnection finishes an answer that lacks one byte.
func TestTruncatedAnswerAbortsConnection(t *testing.T) {
	c := qt.New(t)
	x, _ := newExchange(t, holder.Idempotent)
	addr, _ := listen(c)
	x.placer.SetServers([]lister.Server{{ID: "i-1", Service: "desk", Addr: addr, Slots: 4}})
	p, ok := x.placer.Place(x.newWork(), time.Now()).(*placer.Placed)
	c.Assert(ok, qt.IsTrue)
	conn, err := x.pool.Get(c.Context(), dialer.Key{ID: "i-1", Addr: addr}, 4)
	c.Assert(err, qt.IsNil)
	a := &answered{conn: conn, resp: &http.Response{StatusCode: http.StatusOK, ContentLength: 10, Body: http.NoBody}, stop: func() bool { return true }}
	c.Assert(violatesOnce(func() {
		x.finishAnswer(p, a, 9, nil)
	}), qt.IsTrue)
	c.Assert(x.w.end, qt.PanicMatches, http.ErrAbortHandler.Error())
}

// TestSecondHeadDoesNotReplaceAnswer answers a request again after its answer has begun.
func TestSecondHeadDoesNotReplaceAnswer(t *testing.T) {
	second := map[string]func(x *exchange){
		"refusal": func(x *exchange) { x.fail(http.StatusBadGateway, "test", 0) },
		"buffered failure": func(x *exchange) {
			x.writeBuffered(&bufferedAnswer{resp: &http.Response{StatusCode: http.StatusInternalServerError}, body: []byte("failed")})
		},
	}
	for name, answer := range second {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			x, w := newExchange(t, holder.Streaming)
			resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
			c.Assert(x.relayEvent(resp, []byte("id: 5\n\n"), 5), qt.IsNil)
			c.Assert(violatesOnce(func() { answer(x) }), qt.IsTrue)
			c.Assert(w.Body.String(), qt.Equals, "id: 5\n\n")
			c.Assert(x.w.end, qt.PanicMatches, http.ErrAbortHandler.Error())
		})
	}
}

// TestAnswerToAnotherRequestIsDiscarded checks an answer with the ID of another request.
func TestAnswerToAnotherRequestIsDiscarded(t *testing.T) {
	c := qt.New(t)
	x, _ := newExchange(t, holder.Idempotent)
	c.Assert(violatesOnce(func() { c.Assert(x.checkRequestID(&answered{Answer: Answer{RequestID: "r2"}}), qt.IsNotNil) }), qt.IsTrue)
	c.Assert(x.checkRequestID(&answered{Answer: Answer{RequestID: "r1"}}), qt.IsNil)
}

func TestNonIdempotentRequestIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	addr, bytesRead := listen(c)
	x, _ := newExchange(t, holder.NonIdempotent)
	x.mayHaveRun = true
	x.placer.SetServers([]lister.Server{{ID: "i-1", Service: "desk", Addr: addr, Slots: 1}})
	p, ok := x.placer.Place(x.newWork(), time.Now()).(*placer.Placed)
	c.Assert(ok, qt.IsTrue)
	c.Assert(violatesOnce(func() {
		_, wasNotSent := x.attempt(c.Context(), p).(*notSent)
		c.Assert(wasNotSent, qt.IsTrue)
	}), qt.IsTrue)
	c.Assert(<-bytesRead, qt.Equals, 0)
}
