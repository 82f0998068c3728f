package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"siskinfall/internal/backend/dialer"
	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
	"siskinfall/internal/gateway/budgeter"
	"siskinfall/internal/gateway/placer"
	"siskinfall/internal/gateway/quarantiner"
)

// pipeCodec carries the request ID only.
type pipeCodec struct{ emptyCodec }

func (pipeCodec) DecodeRequest(h http.Header) Request { return Request{ID: h.Get("Id")} }
func (pipeCodec) DecodeAnswer(_ int, h http.Header) Answer {
	return Answer{RequestID: h.Get("Id"), Signed: true}
}

// pipeServer is a backend server at the other end of pipes.
type pipeServer struct {
	mu sync.Mutex
	// delay is the time until the answer to the nth run, connect that until a connection.
	// Calls of delay don't overlap.
	delay, connect func(n int) time.Duration
	status         int
	isStream       bool
	// malformed holds lines of the head that are no HTTP.
	malformed string
	// gap is the time between the two events of a stream.
	gap       time.Duration
	runs, cut int
}

func (s *pipeServer) counts() (runs, cut int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs, s.cut
}

func (s *pipeServer) serve(id string, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	r, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	s.mu.Lock()
	delay := s.delay(s.runs)
	s.runs++
	s.mu.Unlock()
	gone := make(chan struct{})
	go func() { _, _ = br.ReadByte(); close(gone) }()
	select {
	case <-gone:
		s.mu.Lock()
		s.cut++
		s.mu.Unlock()
		return
	case <-time.After(delay):
	}
	parts := [2]string{id + " ran " + r.Header.Get("Id"), ""}
	if s.isStream {
		parts = [2]string{"id: 1\ndata: " + id + "\n\n", "id: 2\ndata: end of " + id + "\n\n"}
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nId: %s\r\nServer-Id: %s\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		s.status, r.Header.Get("Id"), id, s.malformed, len(parts[0])+len(parts[1]), parts[0])
	if s.isStream {
		time.Sleep(s.gap)
		_, _ = conn.Write([]byte(parts[1]))
	}
	<-gone
}

func always(d time.Duration) func(int) time.Duration { return func(int) time.Duration { return d } }

// hedgeFixture is a gateway before pipe servers, named s0 and so on.
type hedgeFixture struct {
	*Forwarder
	servers []*pipeServer
	route   *holder.Route
}

const (
	testObjective = 200 * time.Millisecond
	quickAnswer   = 20 * time.Millisecond
)

func newHedgeFixture(c *qt.C, ratio float64, servers ...*pipeServer) *hedgeFixture {
	log.SetOutput(io.Discard)
	f := &hedgeFixture{servers: servers}
	catalog := &holder.Catalog{
		Version: 1, Services: []holder.Service{{Name: "desk", MaxConnections: 4000}},
		Routes: []holder.Route{{
			Name: "r", Host: "example.com", Prefix: "/", Kind: holder.Idempotent, Resumable: true, Objective: testObjective, Timeout: 4 * time.Second, MaxAttempts: 3, Public: true,
			Targets: []holder.Target{{Service: "desk", Weight: 1}},
		}},
	}
	f.route = &catalog.Routes[0]
	catalog.Index()
	h := holder.New()
	h.ApplyIfNewer(catalog, "test")
	h.Confirm(time.Now())
	all := make([]lister.Server, 0, len(servers))
	for i, s := range servers {
		s.status = http.StatusOK
		all = append(all, lister.Server{ID: fmt.Sprint("s", i), Service: "desk", Zone: "a", Addr: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)), Slots: 6})
	}
	p := placer.New(placer.WithRandom(rand.NewPCG(48, uint64(len(servers)))))
	p.SetServers(all)
	pool := dialer.NewPool(dialer.WithConnect(func(ctx context.Context, key dialer.Key) (net.Conn, error) {
		s := servers[key.Addr.Port()-1]
		if s.connect != nil {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(s.connect(0)):
			}
		}
		near, far := net.Pipe()
		go s.serve(key.ID, far)
		return near, nil
	}))
	budget := budgeter.New(budgeter.Bound{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, time.Now().Add(-time.Minute))
	f.Forwarder = New(h, p, budget, pool, quarantiner.New(1), pipeCodec{}, "a", WithSecondAttempts(ratio))
	c.Assert(f.hedger != nil, qt.Equals, ratio > 0)
	return f
}

// get sends a request and returns its answer and the time until then.
func (f *hedgeFixture) get(ctx context.Context, id string) (w *httptest.ResponseRecorder, took time.Duration) {
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil)
	r.Header.Set("Id", id)
	w = httptest.NewRecorder()
	start := time.Now()
	defer func() {
		took = time.Since(start)
		if e := recover(); e != nil && e != any(http.ErrAbortHandler) {
			panic(e)
		}
	}()
	f.ServeHTTP(w, r)
	return w, took
}

// earn sends enough requests, answered by a quick server only, for one second attempt.
func (f *hedgeFixture) earn() {
	for range 100 {
		f.hedger.AddRequest("desk")
	}
}

// counts returns how often the servers ran a request, and how many runs were cut off.
func (f *hedgeFixture) counts() (runs, cut int) {
	synctest.Wait()
	for _, s := range f.servers {
		r, n := s.counts()
		runs, cut = runs+r, cut+n
	}
	return runs, cut
}

// placeOn makes the next request go to a server first: the others get a request beside it.
func (f *hedgeFixture) placeOn(i int) func() {
	held := make([]*placer.Placed, 0, len(f.servers))
	exclude := append(make([]string, 0, len(f.servers)), fmt.Sprint("s", i))
	for range len(f.servers) - 1 {
		p := f.placer.Place(placer.Work{Route: "r", Service: "desk", Zone: "a", Exclude: exclude}, time.Now()).(*placer.Placed)
		exclude = append(exclude, p.ID)
		held = append(held, p)
	}
	return func() {
		for _, p := range held {
			p.Finish(placer.Cancelled, time.Now())
		}
	}
}

// load sends requests at a steady rate to all gateways in turn and returns their times, sorted.
func load(gateways []*hedgeFixture, n int, interval time.Duration) []time.Duration {
	times := make([]time.Duration, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { _, times[i] = gateways[i%len(gateways)].get(context.Background(), fmt.Sprint("r", i)) })
		time.Sleep(interval)
	}
	wg.Wait()
	slices.Sort(times)
	return times
}
