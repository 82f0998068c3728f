//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// backAfter is how long a runner that has crashed stays away.
const backAfter = 3 * time.Second

// runner is a server of a service. A plain one has no group.
type runner struct {
	site    *site
	service string
	zone    string
	addr    string
	group   *group
	rank    int
	mu      sync.Mutex
	number  int
	born    int64
	up      bool
	ln      net.Listener
	conns   map[net.Conn]bool
	active  int
}

// group is a model group of runners that run each pass together. It is guarded by the mutex of
// the site.
type group struct {
	name  string
	ranks []*runner
	epoch uint64
	open  bool
	step  uint64
}

func (r *runner) id() string {
	return fmt.Sprintf("i-%s-%d-%d", r.service, r.rank, r.number)
}

// start begins an incarnation and registers it.
func (r *runner) start() error {
	ln, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.addr = ln.Addr().String()
	r.number++
	r.born, r.up, r.ln, r.conns, r.active = time.Now().UnixMilli(), true, ln, map[net.Conn]bool{}, 0
	id := r.id()
	r.mu.Unlock()
	go r.accept(ln)
	r.site.store.put("servers", id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":12,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d}`, r.service, r.addr, r.zone, r.born))
	return nil
}

// crash ends the incarnation: all its connections are reset. It is back after backAfter.
func (r *runner) crash(why string) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	id := r.id()
	_ = r.ln.Close()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	r.mu.Unlock()
	r.site.record("crash", id, why)
	if r.group != nil {
		r.site.breakGroup(r.group)
	}
	go func() {
		time.Sleep(backAfter)
		r.site.store.put("servers", id, "")
		if err := r.start(); err != nil {
			r.site.record("error", id, err.Error())
			r.site.fail(err.Error())
			return
		}
		r.site.record("back", r.id(), "")
		if r.group != nil {
			r.site.formGroup(r.group)
		}
	}()
}

func (r *runner) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if !r.up || r.ln != ln {
			r.mu.Unlock()
			_ = c.Close()
			continue
		}
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *runner) serve(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		// What is longer than this is read and not kept.
		body, err := io.ReadAll(io.LimitReader(req.Body, 4096))
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		if err != nil {
			return
		}
		if !r.handle(c, req, string(body)) {
			return
		}
	}
}

// write writes an answer with a body, and more lines of the head.
func write(c net.Conn, status int, body string, head ...string) bool {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for _, line := range head {
		text += line + "\r\n"
	}
	_, err := io.WriteString(c, text+"\r\n"+body)
	return err == nil
}

func (r *runner) handle(c net.Conn, req *http.Request, body string) bool {
	r.mu.Lock()
	id, born, active := r.id(), r.born, r.active
	r.mu.Unlock()
	switch {
	case req.URL.Path == "/report":
		return write(c, 200, r.report(born, active), "Content-Type: application/json")
	case req.URL.Path == "/picked":
		return write(c, 200, r.picked(req.FormValue("lists") != ""), "Content-Type: application/json")
	case req.URL.Path == "/order":
		return write(c, 409, "{}", "Content-Type: application/json")
	case req.URL.Path == "/healthz":
		return write(c, 200, "", "X-Instance-Id: "+id)
	}
	requestID := req.Header.Get("X-Request-Id")
	idLine := "X-Request-Id: " + requestID
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != id {
		return write(c, 421, "", idLine, "X-Instance-Id: "+id)
	}
	r.site.record("arrived", id, requestID+" "+req.URL.Path+" parts "+req.Header.Get("X-Prompt-Prefix"))
	if r.site.arrived != nil {
		r.site.arrived(req)
	}
	if r.group != nil && !r.site.awaitOpen(r.group) {
		// The group stands still: the request has not begun.
		return write(c, 503, "", idLine, "X-Not-Run: 1", "At-Server: "+id)
	}
	r.mu.Lock()
	r.active++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.active--
		r.mu.Unlock()
	}()
	time.Sleep(r.site.workTime)
	if r.group != nil && !r.site.isOpen(r.group) {
		if !r.site.awaitOpen(r.group) {
			return write(c, 503, "", idLine, "X-Not-Run: 1", "At-Server: "+id)
		}
	}
	if r.site.isDeadly(req, body) {
		r.site.record("run", id, requestID)
		r.crash(requestID)
		return false
	}
	r.site.record("run", id, requestID)
	stamp := "X-Response-Stamp: s-" + requestID
	if !strings.HasPrefix(req.URL.Path, "/talk/") {
		return write(c, 200, "whole answer to "+requestID, idLine, stamp, "X-Instance-Id: "+id)
	}
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"+idLine+"\r\n"+stamp+"\r\n\r\n"); err != nil {
		return false
	}
	for n := 1; n <= 5; n++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, requestID)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(10 * time.Millisecond)
		if r.group != nil && !r.site.isOpen(r.group) && !r.site.awaitOpen(r.group) {
			// After the stall, work in progress is cut off.
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func (r *runner) report(born int64, active int) string {
	out := map[string]any{
		"stage": "prefill_decode", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
		"queued": 0, "active": active, "kv_used": 0, "kv_total": 372000, "handles": 0, "born": born, "pace": 1.0,
	}
	if g := r.group; g != nil {
		r.site.mu.Lock()
		state := "broken"
		if g.open {
			state = "open"
			g.step++
		}
		out["group"] = map[string]any{"name": g.name, "epoch": g.epoch, "rank": r.rank % len(g.ranks), "state": state}
		out["size"], out["step"], out["mapping"] = len(g.ranks), g.step, 0
		r.site.mu.Unlock()
	}
	text, _ := json.Marshal(out)
	return string(text)
}

// Dimensions of the expert maps in the catalog.
const (
	layerSets = 1
	experts   = 4
)

func (r *runner) picked(lists bool) string {
	out := map[string]any{"step": 1, "epoch": 1}
	if g := r.group; g != nil {
		r.site.mu.Lock()
		out["epoch"], out["step"] = g.epoch, g.step
		r.site.mu.Unlock()
	}
	if lists {
		out["mapping"] = map[string]any{"version": 0, "experts": [][]int{{0, 1}}}
	} else {
		out["counts"] = make([]uint64, layerSets*experts)
	}
	text, _ := json.Marshal(out)
	return string(text)
}
