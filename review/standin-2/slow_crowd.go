//go:build review

package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slow-crowd"] = playSlowCrowd }

// smallest is the smallest entry instance of ccbmg-siskin-grown.
var smallest = machine{memory: 184, descriptors: 4100, repeatSlack: 244}

const (
	// crowdSize is the number of clients that send slowly, crowdPause the pause between two
	// bytes of a body, and crowdRest the pause before the next connection.
	crowdSize  = 1700
	crowdPause = 500 * time.Millisecond
	crowdRest  = 100 * time.Millisecond
	// crowdTime is how long the crowd goes on.
	crowdTime = 20 * time.Second
	// contact is contact_ms of the site.
	contact = 4 * time.Second
	// ordinaryClients try at the same time; the rule asks for seven.
	ordinaryClients = 10
	// ordinaryPause is the pause of an ordinary client between two requests.
	ordinaryPause = 200 * time.Millisecond
)

// doorWatch records what ordinary clients and readiness checks see.
type doorWatch struct {
	mu sync.Mutex
	// since is the latest moment at which a connection was taken or a readiness check failed.
	since time.Time
	// trying holds the clients that have tried since then.
	trying map[int]bool
	// worst is the longest time without either in which seven clients tried.
	worst   time.Duration
	results map[string]int
}

const minTrying = 7

func (d *doorWatch) note(client int, a answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.err != nil {
		d.results["closed without an answer"]++
		d.trying[client] = true
		if len(d.trying) >= minTrying {
			d.worst = max(d.worst, time.Since(d.since))
		}
		return
	}
	d.results[strconv.Itoa(a.status)]++
	d.reset()
}

func (d *doorWatch) reset() { d.since, d.trying = time.Now(), make(map[int]bool) }

func (d *doorWatch) noteReady(ready bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.results[fmt.Sprintf("ready %v", ready)]++
	if !ready {
		d.reset()
	}
}

func playSlowCrowd(l *lab) (bool, error) {
	l.store.put("op", "config", catalog(1,
		deskRoute("status", "/status/", "idempotent", 2), streamRoute("notes", "/notes/", "assistant-llm")))
	for i := range 3 {
		r, err := newRunner(fmt.Sprintf("i-%d", i), "member-desk", "bc-coast-a", 6, 24)
		if err != nil {
			return false, err
		}
		l.store.put("servers", r.id, r.entry(time.Now()))
	}
	g, err := l.startGateway("frontend-bc-coast-a-1", "bc-coast-a", smallest)
	if err != nil {
		return false, err
	}
	if err := l.awaitServed(g, http.MethodGet, "/status/x", ""); err != nil {
		return false, err
	}
	time.Sleep(contact)
	end := time.Now().Add(crowdTime)
	var open, connections atomic.Int64
	var all sync.WaitGroup
	size := crowdSize
	if text := os.Getenv("CROWD"); text != "" {
		size, _ = strconv.Atoi(text)
	}
	if !l.trouble {
		size = 0
	}
	for n := range size {
		all.Go(func() { sendSlowly(g.callers, fmt.Sprintf("slow-%d", n), end, &open, &connections) })
	}
	d := &doorWatch{results: make(map[string]int)}
	d.reset()
	for n := range ordinaryClients {
		all.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				d.note(n, send(g.callers, "GET", "/status/x", fmt.Sprintf("o%d-%d", n, i), "", 2500*time.Millisecond))
				time.Sleep(ordinaryPause)
			}
		})
	}
	all.Go(func() {
		for time.Now().Before(end) {
			d.noteReady(g.isReady())
			time.Sleep(250 * time.Millisecond)
		}
	})
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		d.mu.Lock()
		l.note("slow clients connected %d (%d connections so far); ordinary clients so far: %v; none taken for %v; resident memory %d MB",
			open.Load(), connections.Load(), d.results, time.Since(d.since).Round(time.Millisecond), g.readMemory("VmRSS"))
		d.mu.Unlock()
	}
	all.Wait()
	if g.hasExited() {
		return false, errors.New("the gateway has ended")
	}
	l.note("longest time in which the gateway was ready, %d clients or more tried and none was taken: %v; bound %v", minTrying, d.worst.Round(time.Millisecond), contact)
	return d.worst <= contact, nil
}

// sendSlowly sends bodies byte by byte, on one connection after the other.
func sendSlowly(addr, id string, end time.Time, open, connections *atomic.Int64) {
	for n := 0; time.Now().Before(end); n++ {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err == nil {
			open.Add(1)
			connections.Add(1)
			sendBody(conn, newHead("POST", "/notes/x", fmt.Sprintf("%s-%d", id, n), 8*time.Second, "Content-Length: 700")+"\r\n", end)
			open.Add(-1)
			_ = conn.Close()
		}
		time.Sleep(crowdRest)
	}
}

// sendBody sends a head with the beginning of a body, and then single bytes until the gateway
// answers or closes. It reports whether the gateway has answered.
func sendBody(conn net.Conn, head string, end time.Time) bool {
	_, err := io.WriteString(conn, head)
	for err == nil && time.Now().Before(end) {
		_ = conn.SetReadDeadline(time.Now().Add(crowdPause))
		n, err := conn.Read(make([]byte, 1))
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n > 0
		}
		if _, err := io.WriteString(conn, "x"); err != nil {
			return false
		}
	}
	return false
}
