//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["large-bodies"] = playLargeBodies }

const (
	// smallBodies clients send bodies that stop just short of their end and go on slowly, and
	// fieldClients do the same with heads of very many short fields. largeBodies clients send
	// whole bodies of the largest legal size in chunks. All numbers are for one entry instance.
	smallBodies  = 1600
	fieldClients = 12
	largeBodies  = 7
	// smallBody is the size of a small body, prefixBytes that of the header with the parts of its
	// prompt, and manyFields that of a head of very many short fields.
	smallBody   = 2100
	prefixBytes = 4400
	manyFields  = 15500
	// largeBody is max_body_bytes, chunk the size of a chunk of it.
	largeBody = 4194304
	chunk     = 64 << 10
	// cycle is the time from one body of a client to the next, as long as the deadline. A large
	// body is sent in even pieces until largeTime, and its last piece then: with all else that is
	// sent, just under 40 Mbit/s, what the link of the machine carries.
	cycle     = 8 * time.Second
	largeTime = 7 * time.Second
	// bodiesTime is how long the crowd goes on.
	bodiesTime = 60 * time.Second
	// restartDelay is the pause before the platform starts a process again.
	restartDelay = time.Second
	// ordinary clients send orders at each entry instance, with orderPause between two.
	ordinary   = 12
	orderPause = 30 * time.Millisecond
	// maxLost is the number of requests that a machine may lose by the rule.
	maxLost = 3
)

// killer does what the platform does with a process that exceeds its memory.
type killer struct {
	*gateway
	l     *lab
	limit int
	mu    sync.Mutex
	ends  int
	// peak is the highest memory in megabytes.
	peak int
}

// watch kills the process above the limit and starts it again.
func (k *killer) watch(end time.Time) {
	for ; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		// As the tests of the project measure it.
		n := k.readMemory("VmRSS")
		k.mu.Lock()
		k.peak = max(k.peak, n)
		k.mu.Unlock()
		if !k.hasExited() && n <= k.limit {
			continue
		}
		k.l.note("%s has %d MB of %d: the platform kills it", k.name, n, k.limit)
		k.kill()
		k.mu.Lock()
		k.ends++
		k.mu.Unlock()
		time.Sleep(restartDelay)
		if err := k.start(k.l.binary); err != nil {
			k.l.note("%s does not start: %v", k.name, err)
			return
		}
	}
}

func (k *killer) get() (ends, peak int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ends, k.peak
}

func playLargeBodies(l *lab) (bool, error) {
	l.store.put("op", "config", catalog(1,
		deskRoute("orders", "/orders/", "non_idempotent", 1), streamRoute("notes", "/notes/", "assistant-llm")))
	var runners []*runner
	for i := range 3 {
		r, err := newRunner(fmt.Sprintf("i-%d", i), "member-desk", "bc-coast-a", 6, 24)
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
		l.store.put("servers", r.id, r.entry(time.Now()))
	}
	for i := range 12 {
		r, err := newRunner(fmt.Sprintf("l-%d", i), "assistant-llm", "bc-coast-a", 12, 24)
		if err != nil {
			return false, err
		}
		r.events = 28
		l.store.put("servers", r.id, r.entry(time.Now()))
	}
	var killers []*killer
	for i := range 2 {
		g, err := l.startGateway(fmt.Sprintf("frontend-bc-coast-a-%d", i+1), "bc-coast-a", smallest)
		if err != nil {
			return false, err
		}
		if err := l.awaitServed(g, http.MethodPost, "/orders/x", "an order"); err != nil {
			return false, err
		}
		killers = append(killers, &killer{gateway: g, l: l, limit: smallest.memory})
	}
	time.Sleep(time.Second)
	started := time.Now()
	end := started.Add(bodiesTime)
	var all sync.WaitGroup
	var slow, large tally
	orders := make([]orderLog, len(killers))
	prefix, fields := newPrefix()+"\r\n", newFields()
	for i, k := range killers {
		all.Go(func() { k.watch(end) })
		for n := range ordinary {
			all.Go(func() { sendOrders(k.callers, runners, fmt.Sprintf("o%d-%d", i, n), end, &orders[i]) })
		}
		for n := range crowdOf(l, smallBodies) {
			all.Go(func() { sendSmallBodies(k.callers, fmt.Sprintf("s%d-%d", i, n), prefix, end, &slow) })
		}
		for n := range crowdOf(l, fieldClients) {
			all.Go(func() { sendSmallBodies(k.callers, fmt.Sprintf("f%d-%d", i, n), fields, end, &slow) })
		}
		for n := range crowdOf(l, largeBodies) {
			all.Go(func() { sendLargeBodies(k.callers, fmt.Sprintf("l%d-%d", i, n), started, end, &large) })
		}
	}
	report := func() {
		for i, k := range killers {
			ends, peak := k.get()
			l.note("%s: peak %d MB of %d, killed %d times; orders %v", k.name, peak, k.limit, ends, &orders[i])
		}
	}
	for time.Now().Before(end) {
		time.Sleep(10 * time.Second)
		report()
	}
	all.Wait()
	report()
	l.note("crowd: connections with small bodies %v, answers to large bodies %v", &slow, &large)
	held := true
	for i, k := range killers {
		l.note("%s: passed on %d orders from kept connections and closed these without an answer; bound %d", k.name, orders[i].lost.Load(), maxLost)
		held = held && orders[i].lost.Load() <= maxLost
	}
	return held, nil
}

// crowdOf returns the size of a crowd, 0 without the disruption.
func crowdOf(l *lab, n int) int {
	if l.trouble {
		return n
	}
	return 0
}

// tally counts results.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(result string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = make(map[string]int)
	}
	t.counts[result]++
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.TrimPrefix(fmt.Sprint(t.counts), "map")
}

// orderLog counts, for one entry instance, what became of the orders of ordinary clients.
type orderLog struct {
	tally
	// lost counts orders on kept connections that have run and whose connections were closed
	// without an answer.
	lost atomic.Int64
}

// sendOrders is an ordinary client with orders, one after the other on a kept connection.
func sendOrders(addr string, runners []*runner, id string, end time.Time, log *orderLog) {
	var conn net.Conn
	var br *bufio.Reader
	isKept := false
	for n := 0; time.Now().Before(end); n++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", addr, time.Second); err != nil {
				log.add("no connection")
				conn = nil
				time.Sleep(orderPause)
				continue
			}
			br, isKept = bufio.NewReader(conn), false
		}
		own := fmt.Sprintf("%s-%d", id, n)
		const order = "an order"
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		_, err := io.WriteString(conn, newHead(http.MethodPost, "/orders/x", own, 2500*time.Millisecond, fmt.Sprintf("Content-Length: %d", len(order)))+"\r\n"+order)
		a := answer{err: err}
		if err == nil {
			a = readAnswer(br, http.MethodPost)
		}
		switch {
		case a.err == nil:
			log.add(strconv.Itoa(a.status))
		case countRuns(runners, own) > 0 && isKept:
			log.add("run, and its kept connection closed without an answer")
			log.lost.Add(1)
		case countRuns(runners, own) > 0:
			log.add("run, and its new connection closed without an answer")
		default:
			log.add("closed, not run")
		}
		isKept = true
		if a.err != nil || a.header.Get("Connection") == "close" {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(orderPause)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

func countRuns(runners []*runner, id string) int {
	n := 0
	for _, r := range runners {
		n += r.countRuns(id)
	}
	return n
}

// sendSmallBodies sends bodies that stop just short of their end and go on slowly, with more in
// the head.
func sendSmallBodies(addr, id, more string, end time.Time, results *tally) {
	// The crowd comes evenly, also after a restart.
	pause := rand.N(cycle)
	for n := 0; ; n++ {
		time.Sleep(pause)
		if !time.Now().Before(end) {
			return
		}
		pause = rand.N(cycle)
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue
		}
		results.add("connections")
		head := newHead(http.MethodPost, "/notes/x", fmt.Sprintf("%s-%d", id, n), cycle, "Transfer-Encoding: chunked")
		if sendBody(conn, head+more+"\r\n"+fmt.Sprintf("%x\r\n", smallBody)+strings.Repeat("x", smallBody-100), end) {
			pause = time.Second
		}
		_ = conn.Close()
	}
}

// newPrefix returns the header of a prompt of very many short parts, of prefixBytes bytes.
func newPrefix() string {
	var b strings.Builder
	b.WriteString("X-Prompt-Prefix: 1:1")
	for i := 2; b.Len() < prefixBytes; i++ {
		fmt.Fprintf(&b, ",%x:1", i)
	}
	return b.String()
}

// newFields returns very many short fields.
func newFields() string {
	var b strings.Builder
	for i := 0; b.Len() < manyFields; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// sendLargeBodies sends whole bodies in chunks, all of them at the same pace. They stop just short
// of their end and end at the same time.
func sendLargeBodies(addr, id string, started, end time.Time, results *tally) {
	piece := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("b", chunk))
	const pieces = largeBody / chunk
	for n := 0; ; n++ {
		at := started.Add(time.Duration(n+1) * cycle)
		time.Sleep(time.Until(at))
		if !time.Now().Before(end) {
			return
		}
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(at.Add(cycle + time.Second))
		_, err = io.WriteString(conn, newHead(http.MethodPost, "/notes/x", fmt.Sprintf("%s-%d", id, n), cycle, "Transfer-Encoding: chunked")+"\r\n")
		for i := 1; err == nil && i <= pieces; i++ {
			time.Sleep(time.Until(at.Add(largeTime * time.Duration(i) / pieces)))
			text := piece
			if i == pieces {
				text += "0\r\n\r\n"
			}
			_, err = io.WriteString(conn, text)
		}
		// A refusal may be there also if the body could not be sent to its end.
		if a := readAnswer(bufio.NewReader(conn), http.MethodPost); a.err == nil {
			results.add(strconv.Itoa(a.status))
		} else {
			results.add("closed")
		}
		_ = conn.Close()
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
