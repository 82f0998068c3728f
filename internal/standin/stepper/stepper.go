// Package stepper runs the forward passes of a group of stand-in engines in
// lockstep: it asks each engine's agent for the expert map of the next step, has
// one agent confirm that all use the same map, and reports token counts that follow
// an expert popularity trace.
package stepper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	agent "siskinfall/internal/agent/server"
	"siskinfall/internal/expert/follower"
	"siskinfall/internal/expert/planner"
	"siskinfall/internal/expert/tracer"
	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/standin/responder"
)

const (
	// balancedPassTime is the duration of a perfectly balanced pass.
	balancedPassTime = 5 * time.Millisecond
	// stepsPerSample is the number of steps between two samples.
	stepsPerSample = 20
	// activationsPerSample is the number of expert activations of a layer in one
	// sample, over all members.
	activationsPerSample = 200000
	// beginTimeout bounds the request for the expert map of a step.
	beginTimeout = 5 * time.Second
)

// Member is one engine with the admin address of its agent.
type Member struct {
	Engine *responder.Responder
	Agent  netip.AddrPort
}

// Stepper runs the passes of one group.
type Stepper struct {
	shape   planner.Shape
	members []Member
	// traces holds the expert popularity of each layer.
	traces      []*tracer.Trace
	client      *http.Client
	steps       atomic.Uint64
	unconfirmed atomic.Uint64
}

// New returns a Stepper for a group of the given shape and number of layers.
func New(shape planner.Shape, layers int, members []Member) *Stepper {
	s := &Stepper{shape: shape, members: members, client: &http.Client{}}
	for i := range layers {
		s.traces = append(s.traces, tracer.New(tracer.Drift, shape.Experts, 0.8, uint64(i+1)))
	}
	return s
}

// GetSteps returns the number of passes that the group has completed.
func (s *Stepper) GetSteps() uint64 { return s.steps.Load() }

// GetUnconfirmed returns how often a step was not confirmed, because the maps
// differed or the request failed.
func (s *Stepper) GetUnconfirmed() uint64 { return s.unconfirmed.Load() }

// Run runs passes until ctx ends. A step that fails is run again.
func (s *Stepper) Run(ctx context.Context) {
	for step := uint64(1); ctx.Err() == nil; {
		if s.runPass(ctx, step) {
			step++
		}
	}
}

// runPass runs the pass of step n and reports whether it was completed.
func (s *Stepper) runPass(ctx context.Context, n uint64) bool {
	assignments := make([]follower.Assignment, len(s.members))
	var failed atomic.Bool
	var wg sync.WaitGroup
	for i, m := range s.members {
		wg.Go(func() {
			a, err := s.begin(ctx, m, n)
			assignments[i] = a
			if err != nil {
				failed.Store(true)
			}
		})
	}
	wg.Wait()
	if failed.Load() {
		sleeper.Sleep(ctx, balancedPassTime)
		return false
	}
	if err := s.post(ctx, s.members[0].Agent, agent.PathConfirmStep, assignments, nil); err != nil {
		s.unconfirmed.Add(1)
		log.Error("step not confirmed", "step", "confirm_step", "error", err)
		return false
	}
	skew := s.simulate(ctx, n)
	if n%stepsPerSample == 0 {
		s.reportSample(ctx, skew)
	}
	s.steps.Store(n)
	return true
}

// begin asks a member's agent for the expert map of step n and begins the step at
// its engine.
func (s *Stepper) begin(ctx context.Context, m Member, n uint64) (follower.Assignment, error) {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	var reply agent.BeginReply
	req := agent.BeginRequest{Step: n, KnownVersion: m.Engine.GetVersion()}
	if err := s.post(ctx, m.Agent, agent.PathBeginStep, req, &reply); err != nil {
		return follower.Assignment{}, err
	}
	if !m.Engine.BeginStep(reply.Incarnation, n, reply.Version, reply.Layers) {
		return follower.Assignment{}, fmt.Errorf("grant of an older incarnation of the agent")
	}
	return reply.Assignment, nil
}

// simulate waits for the duration of a pass. In a step with a sample that is the
// slowest rank's time, and the mean skew over the layers is returned; other steps
// are taken as balanced, and 0 is returned.
func (s *Stepper) simulate(ctx context.Context, n uint64) float64 {
	skew := 0.0
	layers := s.members[0].Engine.GetLayers()
	if len(layers) != len(s.traces) || n%stepsPerSample != 0 {
		sleeper.Sleep(ctx, balancedPassTime)
		return 0
	}
	for i, tr := range s.traces {
		l := &planner.Load{Shape: s.shape, Tokens: tr.Next(), Speeds: planner.EvenSpeeds(s.shape.Ranks)}
		skew += planner.Skew(l, layers[i]) / float64(len(s.traces))
	}
	sleeper.Sleep(ctx, time.Duration(skew*float64(balancedPassTime)))
	return skew
}

// reportSample reports the token counts of one member's share of a sample, the same
// to each member's agent.
func (s *Stepper) reportSample(ctx context.Context, skew float64) {
	var counts []uint64
	for _, tr := range s.traces {
		for _, v := range tr.Sample(tr.Next(), activationsPerSample/float64(len(s.members))) {
			counts = append(counts, uint64(v))
		}
	}
	sample := follower.Sample{
		Counts: counts, Speeds: planner.EvenSpeeds(s.shape.Ranks / len(s.members)), StepTime: balancedPassTime, Skew: skew,
	}
	for _, m := range s.members {
		if err := s.post(ctx, m.Agent, agent.PathSample, sample, nil); err != nil {
			log.Debug("sample not reported", "error", err)
		}
	}
}

// post sends in as JSON to an agent and decodes the answer into out, if that is not
// nil.
func (s *Stepper) post(ctx context.Context, addr netip.AddrPort, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
