package bencher

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinfall/internal/config/registrar"
	"siskinfall/internal/expert/evaluator"
	"siskinfall/internal/expert/follower"
	"siskinfall/internal/expert/planner"
	"siskinfall/internal/expert/tracer"
	"siskinfall/internal/wire/encoder"
)

// writeTables writes the measured part of the capacity page as Markdown.
func writeTables(w io.Writer, series []Series) {
	_, _ = fmt.Fprintf(w, "\nMeasured with a heartbeat of %s and a sync interval of %s.\n\n",
		defaultSettings.Entry.Heartbeat, defaultSettings.Entry.SyncInterval)
	_, _ = fmt.Fprintln(w, "| role | size | of a core | memory | sent | received |\n|---|---|---|---|---|---|")
	for _, s := range series {
		for _, p := range s.Points {
			_, _ = fmt.Fprintf(w, "| %s | %.0f × %s | %.2f %% | %.1f MB | %.0f B/s | %.0f B/s |\n",
				s.Role, p.Size, s.Unit, 100*p.cpu, p.memory/1e6, p.sent, p.received)
		}
	}
	_, _ = fmt.Fprintln(w, "\nThe line through each series, as base + slope for each unit:")
	_, _ = fmt.Fprintln(w, "\n| role | unit | of a core | memory | sent | received |\n|---|---|---|---|---|---|")
	for _, s := range series {
		cpu := s.fit(func(r rates) float64 { return r.cpu })
		memory := s.fit(func(r rates) float64 { return r.memory })
		sent := s.fit(func(r rates) float64 { return r.sent })
		received := s.fit(func(r rates) float64 { return r.received })
		_, _ = fmt.Fprintf(w, "| %s | %s | %.3f %% + %.5f %% | %.1f MB + %.1f KB | %.0f + %.1f B/s | %.0f + %.1f B/s |\n", s.Role, s.Unit,
			100*cpu.Base, 100*cpu.Slope, memory.Base/1e6, memory.Slope/1e3, sent.Base, sent.Slope, received.Base, received.Slope)
	}
	writeMessageSizes(w)
	writePlannerTimes(w)
}

// writeMessageSizes writes the encoded sizes of typical messages.
func writeMessageSizes(w io.Writer) {
	_, _ = fmt.Fprintln(w, "\n| message | bytes |\n|---|---|")
	row := func(name string, m proto.Message) { _, _ = fmt.Fprintf(w, "| %s | %d |\n", name, proto.Size(m)) }
	ticket := &registrar.Ticket{Number: 12345, Accounts: []*registrar.ClientAccount{newAccount(7)}, Groups: []*registrar.Group{newTargetGroup()}}
	entities, err := ticket.Entities()
	if err != nil {
		return
	}
	row("whole state of a client account", entities[0])
	row("whole state of a model group of 4 members", entities[1])
	row("operation on one field of an account, 1 writer in its timestamp", newOperation(1))
	row("operation on one field of an account, 330 writers in its timestamp", newOperation(targetEntries))
	row("report of an agent", &encoder.AgentStatus{
		Instance: "agent-bc-coast-a-017", Incarnation: uint64(time.Now().UnixNano()), Zone: "bc-coast-a", Service: "assistant-llm",
		Group: "assistant-group-03", Ready: true, Running: 17, Queued: 2, Concurrency: 32, ServiceTimeMicros: 412345, Sequence: 100000,
	})
	for _, n := range []int{10, 60, 600} {
		row(fmt.Sprintf("report of the use of %d client accounts", n), newShareReport(n))
	}
	for _, n := range []int{4, 16, 60} {
		row(fmt.Sprintf("expert map of %d layers, 160 slots", n), newTargetMap(n))
	}
	for _, n := range []int{100, 1000, 2450} {
		row(fmt.Sprintf("numbers of %d configured things", n), newEntityNumbers(n))
	}
	row("a suspect", &encoder.Suspect{Digest: make([]byte, 32), Instance: "agent-bc-coast-a-017/abc", Crash: 2, ExpiresMicros: time.Now().UnixMicro()})
}

// targetEntries is the number of entry instances in the target fleet.
const targetEntries = 330

// newOperation returns an operation with a vector timestamp of the given number of
// writers, as an operation-based CRDT would send it. It is used only to compare
// its size with that of a whole state.
func newOperation(writers int) *encoder.ConfigSync {
	op := &encoder.ConfigSync{Entities: []*encoder.Entity{{
		Kind: string(registrar.KindClientAccount), Name: "account-0007", Number: 12345, Body: []byte(`{"requests_per_second":12}`),
	}}}
	for i := range writers {
		op.Numbers = append(op.Numbers, &encoder.EntityNumber{Name: fmt.Sprintf("entry-%03d", i), Number: uint64(100 + i)})
	}
	return op
}

func newShareReport(n int) *encoder.ShareReport {
	r := &encoder.ShareReport{Instance: "entry-bc-coast-a-01", Zone: "bc-coast-a"}
	for i := range n {
		r.Uses = append(r.Uses, &encoder.AccountUse{ClientAccount: newAccount(i).Name, DemandMilli: 1234})
	}
	return r
}

func newEntityNumbers(n int) *encoder.ConfigSync {
	s := &encoder.ConfigSync{Instance: "entry-bc-coast-a-01", Digest: 1 << 60}
	for i := range n {
		s.Numbers = append(s.Numbers, &encoder.EntityNumber{Kind: string(registrar.KindClientAccount), Name: newAccount(i).Name, Number: uint64(10000 + i)})
	}
	return s
}

func newTargetMap(layers int) *encoder.ExpertMap {
	m := &planner.Map{Version: 1 << 30}
	for range layers {
		m.Layers = append(m.Layers, planner.Contiguous(evaluator.Shape))
	}
	return follower.EncodeMap(m)
}

func newTargetGroup() *registrar.Group {
	return &registrar.Group{
		Name: "assistant-group-03", Service: "assistant-llm", RanksPerMember: 8, Experts: 128, Layers: 60, SlotsPerRank: 5,
		Members:     []string{"agent-bc-coast-a-017", "agent-bc-coast-a-018", "agent-bc-coast-a-019", "agent-bc-coast-a-020"},
		ExpertBytes: 44 << 20, StepSkewWeight: 1, RebalanceCostWeight: 0.02, RebalanceInterval: 30 * time.Second, CopyRate: 1 << 30,
	}
}

// writePlannerTimes measures and writes the planner's times by the shape of the
// group and the number of layers.
func writePlannerTimes(w io.Writer) {
	_, _ = fmt.Fprintln(w, "\n| ranks | experts | slots a rank | layers | decision on drifting counts | full plan of a layer |\n|---|---|---|---|---|---|")
	for _, c := range []struct{ ranks, experts, slots, layers int }{{8, 32, 5, 15}, {16, 64, 5, 30}, {32, 128, 5, 15}, {32, 128, 5, 30}, {32, 128, 5, 60}} {
		decision, full := timePlanner(planner.Shape{Ranks: c.ranks, SlotsPerRank: c.slots, Experts: c.experts}, c.layers)
		_, _ = fmt.Fprintf(w, "| %d | %d | %d | %d | %s | %s |\n", c.ranks, c.experts, c.slots, c.layers, decision, full)
	}
	body, err := json.Marshal(newTargetGroup())
	if err == nil {
		_, _ = fmt.Fprintf(w, "\nA model group's aggregate has %d bytes as JSON.\n", len(body))
	}
}

// plannerWindows is the number of timed decisions, and of timed full plans.
const plannerWindows = 12

// timePlanner returns the mean time of a decision about all layers on drifting
// counts, and of a full plan of one layer. The first decision is not timed.
func timePlanner(shape planner.Shape, layers int) (decision, full time.Duration) {
	p := planner.New(shape, layers, evaluator.LowCopyCost)
	traces := make([]*tracer.Trace, layers)
	placement := make([]planner.Layer, layers)
	for i := range traces {
		traces[i] = tracer.New(tracer.Drift, shape.Experts, 0.8, uint64(i))
		placement[i] = planner.Contiguous(shape)
	}
	for window := range plannerWindows + 1 {
		rows := make([][]float64, layers)
		for i, tr := range traces {
			rows[i] = tr.Sample(tr.Next(), 2e6)
		}
		p.Observe(rows)
		start := time.Now()
		placement = p.Decide(placement).Layers
		if window > 0 {
			decision += time.Since(start) / plannerWindows
		}
	}
	l := &planner.Load{Shape: shape, Tokens: traces[0].Next(), Speeds: planner.EvenSpeeds(shape.Ranks)}
	start := time.Now()
	for i := range plannerWindows {
		planner.Replan(l, newRand(uint64(i)))
	}
	return decision.Round(10 * time.Microsecond), (time.Since(start) / plannerWindows).Round(10 * time.Microsecond)
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }
