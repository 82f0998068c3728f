//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Dimensions of the model group, as on the users' sheet.
const (
	rankSlots     = 12
	layerSets     = 4
	expertCount   = 72
	placesPerRank = 8
	maxNewExperts = 3
	// stride is the number of tokens in one event.
	stride = 5
	// passTime is the time of one pass, copyTime that of one expert's copy.
	passTime = 60 * time.Millisecond
	copyTime = 35 * time.Millisecond
	// tokensPerPass is what one request of a rank adds to its counts in a pass.
	tokensPerPass = 400
)

// group is a stand-in of a model group. Its ranks run all passes together, begin none while
// one of them holds it, and check orders as the users' page says, and no stricter.
type group struct {
	*fleet
	born  int64
	mu    sync.Mutex
	ranks []*rank
	epoch uint64
	step  uint64
	// work is signalled when a request arrives or a hold ends.
	work *sync.Cond
	// onOrder decides what becomes of an order; nil carries it out and answers it.
	onOrder func(r *rank, o order) fate
	// onCarriedOut is called, without the lock, after an order was carried out.
	onCarriedOut func(r *rank, o order, status int)
	// ran holds the requests that a rank has run.
	ran map[string]bool
	// preemptions holds, by request, the number of the event before which a request is
	// preempted once, and for how long.
	preemptions map[string]preemption
	// broken is set once a pass has begun under two maps.
	broken string
}

// preemption is a request's loss of its place in a rank's memory.
type preemption struct {
	beforeEvent int
	length      time.Duration
}

// fate is what becomes of an order that arrives.
type fate int

const (
	// answered orders are carried out at once.
	answered fate = iota
	// late orders get no answer and are carried out later, or when released by the case.
	late
)

// rank is a stand-in of one engine.
type rank struct {
	*group
	id   string
	i    int
	addr netip.AddrPort
	// experts are those of the map in force, by layer set.
	version  uint64
	experts  [][]int
	highest  uint64
	sequence uint64
	busy     bool
	prepared *mapBody
	armed    *armedBody
	held     *uint64
	counts   []uint64
	requests []*generation
}

type mapBody struct {
	Version uint64  `json:"version"`
	Experts [][]int `json:"experts"`
}

type armedBody struct {
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
}

// order is the body of POST /order.
type order struct {
	Op      string    `json:"op"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Epoch   *uint64   `json:"epoch"`
	Mapping [][][]int `json:"mapping"`
	// Sequence is the expected sequence of the rank.
	Sequence *uint64 `json:"expected_revision"`
}

func (o order) String() string {
	switch o.Op {
	case "prepare":
		return fmt.Sprintf("prepare %d", o.Version)
	case "arm":
		return fmt.Sprintf("arm %d for pass %d", o.Version, o.Step)
	}
	return fmt.Sprintf("%s pass %d", o.Op, o.Step)
}

// generation is a request that a rank runs.
type generation struct {
	id string
	// events is the number of events still to be made, next the number of the next one.
	events, next int
	// begun is set after the pass that reads the prompt.
	begun bool
	// resumeAt is until when the request is preempted, zero if it is not.
	resumeAt time.Time
	out      chan int
	gone     bool
}

func newGroup(f *fleet) (*group, error) {
	g := &group{fleet: f, epoch: 1, born: time.Now().UnixMilli(), ran: make(map[string]bool), preemptions: make(map[string]preemption)}
	g.work = sync.NewCond(&g.mu)
	for i := range rankCount {
		ln, err := net.Listen("tcp", f.addr(rankBlock, i, 0).String())
		if err != nil {
			return nil, err
		}
		r := &rank{group: g, id: fmt.Sprintf("i-model-%d", i), i: i, addr: netip.MustParseAddrPort(ln.Addr().String()), counts: make([]uint64, layerSets*expertCount)}
		for range layerSets {
			var list []int
			for e := i; e < expertCount; e += rankCount {
				list = append(list, e)
			}
			r.experts = append(r.experts, list)
		}
		g.ranks = append(g.ranks, r)
		mux := http.NewServeMux()
		mux.HandleFunc("GET /report", r.serveReport)
		mux.HandleFunc("GET /picked", r.servePicked)
		mux.HandleFunc("POST /order", r.serveOrder)
		mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", r.id) })
		mux.HandleFunc(streamPrefix, r.serveRequest)
		go func() { _ = http.Serve(ln, mux) }()
	}
	go g.run()
	return g, nil
}

// run begins passes while there is work and no rank holds the next one.
func (g *group) run() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		for !g.hasWork() || g.isHeld() {
			g.work.Wait()
		}
		g.beginPass()
		g.mu.Unlock()
		time.Sleep(passTime)
		g.mu.Lock()
		g.endPass()
	}
}

func (g *group) hasWork() bool {
	return slices.ContainsFunc(g.ranks, func(r *rank) bool { return len(r.requests) > 0 })
}

func (g *group) isHeld() bool {
	return slices.ContainsFunc(g.ranks, func(r *rank) bool { return r.held != nil && *r.held <= g.step+1 })
}

// beginPass brings armed maps into force and checks that all ranks have the same one.
func (g *group) beginPass() {
	g.step++
	for _, r := range g.ranks {
		if r.armed != nil && r.armed.Step <= g.step {
			r.version, r.experts = r.armed.Version, r.prepared.Experts
			r.armed, r.prepared = nil, nil
		}
	}
	versions := make(map[uint64][]int)
	for _, r := range g.ranks {
		versions[r.version] = append(versions[r.version], r.i)
	}
	if len(versions) == 1 {
		g.add("pass %d begins, all ranks with map %d", g.step, g.ranks[0].version)
		return
	}
	text := fmt.Sprintf("pass %d begins under %d maps (version: ranks): %v", g.step, len(versions), versions)
	g.add("%s", text)
	if g.broken == "" {
		g.broken = text
	}
}

// endPass makes the tokens of a pass. Most of them choose one expert of each layer set.
func (g *group) endPass() {
	for _, r := range g.ranks {
		kept := r.requests[:0]
		for _, q := range r.requests {
			for set := range layerSets {
				for e := range expertCount {
					r.counts[set*expertCount+e] += 1
				}
				r.counts[set*expertCount+hotExpert] += tokensPerPass
			}
			switch {
			case q.gone:
				continue
			case time.Now().Before(q.resumeAt):
				// A preempted request makes no tokens, and its prompt is read again.
				q.begun = false
			case !q.begun:
				q.begun = true
			default:
				q.out <- q.next
				q.next++
				q.events--
				r.preempt(q)
			}
			if q.events > 0 {
				kept = append(kept, q)
			} else {
				close(q.out)
			}
		}
		r.requests = kept
	}
}

// preempt takes the place of a request if that is due before its next event.
func (r *rank) preempt(q *generation) {
	if p, ok := r.preemptions[q.id]; ok && p.beforeEvent == q.next {
		delete(r.preemptions, q.id)
		q.resumeAt = time.Now().Add(p.length)
		r.add("rank %d preempts %s for %v after its event %d", r.i, q.id, p.length, q.next-1)
	}
}

// hotExpert is the expert that most tokens choose.
const hotExpert = 5

func (r *rank) serveReport(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := map[string]any{
		"stage": "prefill_decode", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": r.busy,
		"sequence": r.sequence, "queued": 0, "active": len(r.requests), "kv_used": 0, "kv_total": 372000, "handles": 0, "born": r.born,
		"pace": 1, "size": rankCount, "step": r.step, "mapping": r.version,
		"group": map[string]any{"name": "g", "epoch": r.epoch, "rank": r.i, "state": "open"},
	}
	if r.prepared != nil {
		b["prepared"] = r.prepared.Version
	}
	if r.armed != nil {
		b["armed"] = r.armed
	}
	if r.held != nil {
		b["held"] = *r.held
	}
	writeJSON(w, b)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(mustJSON(v))
}

func (r *rank) servePicked(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !req.URL.Query().Has("lists") {
		writeJSON(w, map[string]any{"step": r.step, "epoch": r.epoch, "counts": r.counts})
		return
	}
	b := map[string]any{"step": r.step, "epoch": r.epoch, "mapping": mapBody{r.version, r.experts}}
	if r.prepared != nil {
		b["prepared"] = r.prepared
	}
	writeJSON(w, b)
}

// serveOrder carries out an order, or leaves it without an answer.
func (r *rank) serveOrder(w http.ResponseWriter, req *http.Request) {
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	onOrder := r.onOrder
	r.mu.Unlock()
	if onOrder != nil && onOrder(r, o) == late {
		r.add("rank %d leaves %v without an answer", r.i, o)
		<-req.Context().Done()
		return
	}
	status := r.carryOut(o, "")
	w.WriteHeader(status)
}

// carryOut carries out an order and returns the status of the answer.
func (r *rank) carryOut(o order, remark string) int {
	r.mu.Lock()
	status := r.apply(o)
	onCarriedOut := r.onCarriedOut
	r.mu.Unlock()
	r.add("rank %d %d to %v%s", r.i, status, o, remark)
	if onCarriedOut != nil {
		onCarriedOut(r, o, status)
	}
	return status
}

func (r *rank) apply(o order) int {
	const accepted, holds, conflict = http.StatusAccepted, http.StatusOK, http.StatusConflict
	if o.Epoch != nil && *o.Epoch != r.epoch || o.Sequence != nil && *o.Sequence != r.sequence {
		return conflict
	}
	switch o.Op {
	case "prepare":
		return r.prepare(o)
	case "arm":
		switch {
		case r.armed != nil && *r.armed == armedBody{o.Version, o.Step}:
			return holds
		case r.prepared == nil || r.prepared.Version != o.Version || o.Step <= r.step || r.armed != nil:
			return conflict
		}
		r.armed = &armedBody{o.Version, o.Step}
		return accepted
	case "disarm":
		if r.version == o.Version {
			return conflict
		}
		r.armed = nil
		return holds
	case "hold":
		switch {
		case r.held != nil && *r.held == o.Step:
			return holds
		case o.Step <= r.step || r.held != nil:
			return conflict
		}
		step := o.Step
		r.held = &step
		return accepted
	case "go":
		if r.held != nil && *r.held == o.Step {
			r.held = nil
			r.work.Broadcast()
			return accepted
		}
		return holds
	}
	return http.StatusBadRequest
}

// prepare begins to copy the experts of a map that are new to the rank.
func (r *rank) prepare(o order) int {
	if o.Version <= r.highest || r.armed != nil || len(o.Mapping) != layerSets {
		return http.StatusConflict
	}
	next := &mapBody{Version: o.Version}
	copies := 0
	for set, ranks := range o.Mapping {
		added := 0
		for _, e := range ranks[r.i] {
			if !slices.Contains(r.experts[set], e) {
				added++
			}
		}
		if added > maxNewExperts || len(ranks[r.i]) > placesPerRank {
			return http.StatusConflict
		}
		copies += added
		next.Experts = append(next.Experts, ranks[r.i])
	}
	r.highest, r.busy, r.prepared = o.Version, true, nil
	r.sequence++
	time.AfterFunc(time.Duration(copies)*copyTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.highest == next.Version {
			r.busy, r.prepared = false, next
		}
	})
	return http.StatusAccepted
}

// serveRequest runs a request and streams its events.
func (r *rank) serveRequest(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", r.id)
	w.Header().Set("X-Request-Id", id)
	if req.Header.Get("X-Expect-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, text, _ := strings.Cut(req.Header.Get("X-Token-Counts"), ",")
	tokens, _ := strconv.Atoi(text)
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	events := (tokens + stride - 1) / stride
	q := &generation{id: id, events: events - after, next: after + 1, out: make(chan int, events+1)}
	r.mu.Lock()
	r.ran[id] = true
	r.requests = append(r.requests, q)
	r.work.Broadcast()
	r.mu.Unlock()
	r.add("rank %d runs %s (%d events)", r.i, id, q.events)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Stamp", fmt.Sprintf("s.%s.%s", r.id, id))
	rc := http.NewResponseController(w)
	for {
		select {
		case n, ok := <-q.out:
			if !ok {
				r.add("rank %d has answered %s", r.i, id)
				return
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", n, id, n); err != nil {
				return
			}
			_ = rc.Flush()
		case <-req.Context().Done():
			r.mu.Lock()
			q.gone = true
			r.mu.Unlock()
			r.add("rank %d drops %s: its connection is closed", r.i, id)
			return
		}
	}
}
