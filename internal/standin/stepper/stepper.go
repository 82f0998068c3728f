// Package stepper drives the lock-step of a group of stand-in engines: it asks
// each engine's agent for the map of the next step, has the agents confirm that
// it is one and the same, and reports token counts of a popularity trace.
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

// Constants of the stand-in's steps.
const (
	// stepTime is the time of a perfectly balanced step.
	stepTime = 5 * time.Millisecond
	// sampleEvery is the number of steps between two samples.
	sampleEvery = 20
	// sampleTokens is the number of expert activations a layer counts in a sample.
	sampleTokens = 200000
	beginTimeout = 5 * time.Second
)

// Member is one engine with the admin address of its agent.
type Member struct {
	Engine *responder.Responder
	Agent  netip.AddrPort
}

// Stepper drives one group.
type Stepper struct {
	shape   planner.Shape
	members []Member
	traces  []*tracer.Trace
	client  *http.Client
	steps   atomic.Uint64
	clashes atomic.Uint64
}

// New returns a Stepper for a group of the given shape and number of layers.
func New(shape planner.Shape, layers int, members []Member) *Stepper {
	s := &Stepper{shape: shape, members: members, client: &http.Client{}}
	for i := range layers {
		s.traces = append(s.traces, tracer.New(tracer.Drift, shape.Experts, 0.8, uint64(i+1)))
	}
	return s
}

// GetSteps returns how many steps the group has made.
func (s *Stepper) GetSteps() uint64 { return s.steps.Load() }

// GetClashes returns how many steps were refused because maps differed.
func (s *Stepper) GetClashes() uint64 { return s.clashes.Load() }

// Run makes steps until ctx ends.
func (s *Stepper) Run(ctx context.Context) {
	for step := uint64(1); ctx.Err() == nil; {
		if s.step(ctx, step) {
			step++
		}
	}
}

// step makes one step and reports whether all members made it.
func (s *Stepper) step(ctx context.Context, n uint64) bool {
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
		sleeper.Sleep(ctx, stepTime)
		return false
	}
	if err := s.post(ctx, s.members[0].Agent, agent.PathConfirmStep, assignments, nil); err != nil {
		s.clashes.Add(1)
		log.Error("step refused", "step", "confirm_step", "error", err)
		return false
	}
	skew := s.work(ctx, n)
	if n%sampleEvery == 0 {
		s.sample(ctx, skew)
	}
	s.steps.Store(n)
	return true
}

// begin asks a member's agent for the map of a step.
func (s *Stepper) begin(ctx context.Context, m Member, n uint64) (follower.Assignment, error) {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	var reply agent.BeginReply
	req := agent.BeginRequest{Step: n, KnownVersion: m.Engine.GetVersion()}
	if err := s.post(ctx, m.Agent, agent.PathBeginStep, req, &reply); err != nil {
		return follower.Assignment{}, err
	}
	if !m.Engine.TakeGrant(reply.Incarnation, n, reply.Version, reply.Layers) {
		return follower.Assignment{}, fmt.Errorf("grant of an older agent")
	}
	return reply.Assignment, nil
}

// work lasts as long as the slowest rank takes, and returns the mean skew.
func (s *Stepper) work(ctx context.Context, n uint64) float64 {
	skew := 0.0
	layers := s.members[0].Engine.GetLayers()
	if len(layers) != len(s.traces) || n%sampleEvery != 0 {
		sleeper.Sleep(ctx, stepTime)
		return 0
	}
	for i, tr := range s.traces {
		l := &planner.Load{Shape: s.shape, Tokens: tr.Next(), Speeds: planner.EvenSpeeds(s.shape.Ranks)}
		skew += planner.Skew(l, layers[i]) / float64(len(s.traces))
	}
	sleeper.Sleep(ctx, time.Duration(skew*float64(stepTime)))
	return skew
}

// sample reports counts, split over the members.
func (s *Stepper) sample(ctx context.Context, skew float64) {
	var counts []uint64
	for _, tr := range s.traces {
		for _, v := range tr.Sample(tr.Next(), sampleTokens/float64(len(s.members))) {
			counts = append(counts, uint64(v))
		}
	}
	sample := follower.Sample{
		Counts: counts, Speeds: planner.EvenSpeeds(s.shape.Ranks / len(s.members)), StepTime: stepTime, Skew: skew,
	}
	for _, m := range s.members {
		if err := s.post(ctx, m.Agent, agent.PathSample, sample, nil); err != nil {
			log.Debug("sample not taken", "error", err)
		}
	}
}

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
