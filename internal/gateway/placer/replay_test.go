package placer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"siskinfall/internal/admission/admitter"
	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/fleet/lister"
)

// replayEngine describes the engines of a replay.
var replayEngine = holder.Engine{
	Slots: 10, MemoryTokens: 233333, TokensPerEvent: 5, Pass: 4550 * time.Microsecond, PerRequest: 1090 * time.Microsecond,
	PerContext: 22 * time.Microsecond, PrefillRate: 61400, UsualPrompt: 868, UsualAnswer: 97,
}

// readPerPass is the number of prompt tokens that an engine reads in one pass at most.
const readPerPass = 2560

// replayKind is a kind of requests in a replay.
type replayKind struct {
	name                string
	priority            int
	perSecond           float64
	meanPrompt          float64
	objective, gap      time.Duration
	timeout             time.Duration
	burstFrom, burstEnd time.Duration
	burstFactor         float64
	// largestAccount is the share of the demand of the first of replayAccounts accounts.
	largestAccount float64
	// impatient is the share of callers that repeat at once when they are refused.
	impatient float64
}

const replayAccounts = 24

// replayRequest is a request of a replay.
type replayRequest struct {
	kind           *replayKind
	account        int
	prompt, answer int
	sent           time.Time
	unread, left   int
	firstAt        time.Time
	lastAt         time.Time
	longestGap     time.Duration
	placed         *Placed
	placedAt       time.Time
	ended          bool
	refusedAt      time.Time
	refusals       int
	// isImpatient is set if the caller does not wait as it is told.
	isImpatient bool
	ticket      *admitter.Ticket
	gateway     int
}

// cost is the size of a request in prompt tokens.
func (r *replayRequest) cost() int { return r.prompt + 10*r.answer }

func (r *replayRequest) deadline() time.Time { return r.sent.Add(r.kind.timeout) }

// isInTime reports whether the answer is complete and kept the objectives of its kind.
func (r *replayRequest) isInTime() bool {
	return r.ended && r.firstAt.Sub(r.sent) <= r.kind.objective && r.longestGap <= r.kind.gap && !r.lastAt.After(r.deadline())
}

// isServed reports whether the answer is complete within the deadline.
func (r *replayRequest) isServed() bool { return r.ended && !r.lastAt.After(r.deadline()) }

// replayRank is one engine of a replay.
type replayRank struct {
	running, waiting []*replayRequest
	slowness         float64
}

func (e *replayRank) memory() int {
	n := 0
	for _, r := range e.running {
		n += r.prompt - r.unread
	}
	return n
}

// replay is a model group and the gateways that place requests at it, in virtual time.
type replay struct {
	kinds     []replayKind
	gateways  int
	engines   int
	length    time.Duration
	reportLag time.Duration
	// skew returns by which factor the map of experts lengthens the passes.
	skew func(at time.Duration) float64
	// change alters engines as time goes on, nil for none.
	change func(at time.Duration, ranks []*replayRank)
	opts   []Option
	// patience is how long a gateway waits for the first event of an answer, 0 for as long
	// as it takes.
	patience time.Duration
	// isOrdered is set if engines know the priority of requests.
	isOrdered bool
	// admits is set if gateways admit requests by their room, and not by places alone.
	admits bool
	seed   uint64
	// onDecision is called with each decision, nil for none.
	onDecision func(at time.Duration, r *replayRequest, d Decision)

	random    *rand.Rand
	placers   []*Placer
	admitters []*admitter.Admitter
	// asking holds the requests that wait at each gateway.
	asking   [][]*replayRequest
	ranks    []*replayRank
	lastPass time.Duration
	requests []*replayRequest
	// due holds callers that return after a refusal.
	due     []*replayRequest
	reports []replayReport
}

type replayReport struct {
	at   time.Time
	rank int
	load Load
}

// newPlacers returns the placers of the gateways.
func (f *replay) newPlacers() []*Placer {
	engine := replayEngine
	catalog := &holder.Catalog{Services: []holder.Service{{Name: "llm", Engine: &engine}}}
	for _, k := range f.kinds {
		catalog.Routes = append(catalog.Routes, holder.Route{
			Name: k.name, Kind: holder.Streaming, Objective: k.objective, GapObjective: k.gap, Targets: []holder.Target{{Service: "llm", Weight: 1}},
		})
	}
	all := make([]lister.Server, 0, f.engines)
	for i := range f.engines {
		all = append(all, lister.Server{ID: fmt.Sprintf("e%03d", i), Service: "llm", Addr: addr(i), Zone: "a", Slots: engine.Slots})
	}
	out := make([]*Placer, f.gateways)
	f.asking = make([][]*replayRequest, f.gateways)
	for i := range out {
		f.admitters = append(f.admitters, admitter.New(admitter.WithRandom(rand.NewPCG(f.seed, uint64(i)))))
		opts := append([]Option{WithRandom(rand.NewPCG(f.seed, uint64(i)))}, f.opts...)
		out[i] = New(opts...)
		out[i].SetCatalog(catalog)
		out[i].SetServers(all)
		out[i].SetGateways(f.gateways)
	}
	return out
}

// run plays the whole replay and returns its requests.
func (f *replay) run() []*replayRequest {
	f.random = rand.New(rand.NewPCG(f.seed, 1<<32))
	f.placers = f.newPlacers()
	for range f.engines {
		f.ranks = append(f.ranks, &replayRank{slowness: 1})
	}
	due := make([]float64, len(f.kinds))
	passEnd, nextReport := start, start
	const tick = 2 * time.Millisecond
	for now := start; now.Sub(start) < f.length; now = now.Add(tick) {
		at := now.Sub(start)
		if f.change != nil {
			f.change(at, f.ranks)
		}
		if !now.Before(passEnd) {
			f.endPass(now)
			f.abandon(now)
			passEnd = now.Add(f.beginPass(at))
		}
		if !now.Before(nextReport) {
			f.report(now)
			nextReport = now.Add(100 * time.Millisecond)
		}
		f.deliverReports(now)
		f.decideWaiting(now)
		f.sendReturning(now)
		for i := range f.kinds {
			k := &f.kinds[i]
			rate := k.perSecond
			if at >= k.burstFrom && at < k.burstEnd {
				rate *= k.burstFactor
			}
			for due[i] += rate * tick.Seconds(); due[i] >= 1; due[i]-- {
				r := f.newRequest(k, now)
				f.requests = append(f.requests, r)
				f.place(r, now)
			}
		}
	}
	return f.requests
}

func (f *replay) newRequest(k *replayKind, now time.Time) *replayRequest {
	account := f.random.IntN(replayAccounts)
	if f.random.Float64() < k.largestAccount {
		account = 0
	}
	prompt := min(int(f.random.ExpFloat64()*k.meanPrompt)+40, 3*int(k.meanPrompt))
	answer := min(max(int(f.random.ExpFloat64()*97), 5), 242)
	return &replayRequest{kind: k, account: account, prompt: prompt, answer: answer, sent: now, unread: prompt, left: (answer + 4) / 5, isImpatient: k.impatient > 0 && f.random.Float64() < k.impatient}
}

func (f *replay) sendReturning(now time.Time) {
	f.due = slices.DeleteFunc(f.due, func(r *replayRequest) bool {
		if now.Before(r.refusedAt) {
			return false
		}
		f.place(r, now)
		return true
	})
}

// place lets a random gateway decide on a request.
func (f *replay) place(r *replayRequest, now time.Time) {
	r.gateway = f.random.IntN(f.gateways)
	if !f.admits {
		f.decide(r, f.newWork(r, now), now)
		return
	}
	p, a := f.placers[r.gateway], f.admitters[r.gateway]
	if a.NeedsRoom(now) {
		room, gateways := p.GetRoom("llm", now)
		a.SetRoom(room, gateways, now)
	}
	r.ticket = a.Ask(admitter.Request{
		Kind: r.kind.name, Priority: r.kind.priority, Account: strconv.Itoa(r.account), Size: r.cost(), Bytes: r.prompt, Objective: r.kind.objective,
		Deadline: r.deadline(), Timeout: r.deadline().Sub(now),
	}, now)
	f.asking[r.gateway] = append(f.asking[r.gateway], r)
	f.decideWaiting(now)
}

// decideWaiting places the requests that were granted a place, and lets those return that
// were refused.
func (f *replay) decideWaiting(now time.Time) {
	for g := range f.asking {
		f.asking[g] = slices.DeleteFunc(f.asking[g], func(r *replayRequest) bool {
			if !now.Before(r.ticket.LatestStart()) {
				f.admitters[g].Expire(r.ticket, now)
			}
			switch v := f.admitters[g].GetDecision(r.ticket).(type) {
			case *admitter.Granted:
				w := f.newWork(r, now)
				w.Admitted = true
				f.decide(r, w, now)
				return true
			case *admitter.Refused:
				f.refuse(r, v.RetryAfter, now)
				return true
			}
			return false
		})
	}
}

func (f *replay) newWork(r *replayRequest, now time.Time) Work {
	return Work{
		Route: r.kind.name, Service: "llm", Zone: "a", Priority: r.kind.priority, EstimatedAnswerTokens: r.answer, MaxAnswerTokens: r.answer,
		CallerTimeout: r.deadline().Sub(now), Patience: 2 * time.Second, Deadline: r.deadline(),
	}
}

// impatientRepeats is how often an impatient caller repeats, impatientPause how soon.
const (
	impatientRepeats = 6
	impatientPause   = 20 * time.Millisecond
)

// refuse lets the caller return once, or at once and often.
func (f *replay) refuse(r *replayRequest, after time.Duration, now time.Time) {
	r.refusals++
	most := 1
	if r.isImpatient {
		most, after = impatientRepeats, impatientPause
	}
	if r.refusals <= most {
		r.refusedAt = now.Add(after)
		f.due = append(f.due, r)
	}
}

func (f *replay) decide(r *replayRequest, w Work, now time.Time) {
	d := f.placers[r.gateway].Place(w, now)
	if f.onDecision != nil {
		f.onDecision(now.Sub(start), r, d)
	}
	switch v := d.(type) {
	case *Refused:
		f.release(r, now)
		f.refuse(r, v.RetryAfter, now)
	case *Placed:
		r.placed, r.placedAt = v, now
		i, _ := strconv.Atoi(v.ID[1:])
		f.ranks[i].waiting = append(f.ranks[i].waiting, r)
		if !f.isOrdered {
			return
		}
		slices.SortStableFunc(f.ranks[i].waiting, func(a, b *replayRequest) int { return cmp.Compare(a.kind.priority, b.kind.priority) })
	}
}

func (f *replay) release(r *replayRequest, now time.Time) {
	if r.ticket != nil {
		f.admitters[r.gateway].Release(r.ticket, now)
	}
}

// abandon removes the requests whose first event is overdue.
func (f *replay) abandon(now time.Time) {
	isOverdue := func(r *replayRequest) bool {
		if !r.firstAt.IsZero() || f.patience == 0 || now.Sub(r.placedAt) < f.patience {
			return false
		}
		r.placed.Finish(Cancelled, now)
		f.release(r, now)
		return true
	}
	for _, e := range f.ranks {
		e.waiting = slices.DeleteFunc(e.waiting, isOverdue)
		e.running = slices.DeleteFunc(e.running, isOverdue)
	}
}

// beginPass admits waiting requests and returns the duration of the pass, which is that of
// the slowest rank.
func (f *replay) beginPass(at time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, e := range f.ranks {
		for len(e.waiting) > 0 && len(e.running) < replayEngine.Slots {
			e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
		}
		reading, writers := readPerPass, 0
		for _, r := range e.running {
			if r.unread == 0 {
				writers++
				continue
			}
			reading -= min(r.unread, reading)
		}
		d := 5 * (replayEngine.Pass + time.Duration(writers)*replayEngine.PerRequest + time.Duration(e.memory()/1000)*replayEngine.PerContext)
		d += time.Duration(float64(readPerPass-reading) / replayEngine.PrefillRate * float64(time.Second))
		longest = max(longest, time.Duration(e.slowness*float64(d)))
	}
	if f.skew != nil {
		const expertShare = 0.85
		longest = time.Duration(float64(longest) * (1 - expertShare + expertShare*f.skew(at)))
	}
	f.lastPass = longest
	return longest
}

// endPass reads prompts and sends one event of each stream.
func (f *replay) endPass(now time.Time) {
	for _, e := range f.ranks {
		budget := readPerPass
		for _, r := range e.running {
			if r.unread > 0 {
				n := min(r.unread, budget)
				r.unread, budget = r.unread-n, budget-n
				if r.unread > 0 {
					continue
				}
			}
			if r.firstAt.IsZero() {
				r.firstAt = now
			} else {
				r.longestGap = max(r.longestGap, now.Sub(r.lastAt))
			}
			r.lastAt = now
			r.left--
		}
		e.running = slices.DeleteFunc(e.running, func(r *replayRequest) bool {
			if r.left > 0 {
				return false
			}
			r.ended = true
			r.placed.Finish(Served, now)
			f.release(r, now)
			return true
		})
	}
}

func (f *replay) report(now time.Time) {
	for i, e := range f.ranks {
		f.reports = append(f.reports, replayReport{at: now.Add(f.reportLag), rank: i, load: Load{
			Running: len(e.running), Waiting: len(e.waiting), Memory: e.memory(), Pass: f.lastPass, Slowness: e.slowness, At: now.Add(f.reportLag),
		}})
	}
}

func (f *replay) deliverReports(now time.Time) {
	for len(f.reports) > 0 && !f.reports[0].at.After(now) {
		for _, p := range f.placers {
			p.SetEngineLoad(addr(f.reports[0].rank), time.Time{}, f.reports[0].load)
		}
		f.reports = f.reports[1:]
	}
}
