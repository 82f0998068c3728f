package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/expert/follower"
	"siskinfall/internal/expert/planner"
	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/wire/encoder"
)

var (
	errFenceTooClose = errors.New("fence was set too close")
	errStageTimeout  = errors.New("weights were not staged in time")
)

// rebalance plans a map from the members' token counts and changes to it if the
// predicted gain exceeds the cost of the copies.
func (c *Coordinator) rebalance(ctx context.Context) error {
	replies, err := c.callAll(ctx, func(member string) *encoder.GroupOrder {
		// The first member is this process, so its map is not sent over the network.
		return &encoder.GroupOrder{Kind: encoder.OrderKind_ORDER_ASK, WithCounts: true, WithMaps: member == c.group.Members[0]}
	})
	if err != nil {
		return err
	}
	active := replies[0].GetMap()
	if active == nil || replies[0].GetPreparedVersion() != 0 {
		return nil
	}
	skew := c.observe(replies)
	c.recordSkewAfter(skew)
	m := follower.DecodeMap(active)
	d := c.planMap(m)
	ch := Change{Time: time.Now().UTC(), Version: m.Version, Decision: d, SkewBefore: skew, Outcome: "staying"}
	if d.Moves == 0 {
		c.addHistory(ch)
		return nil
	}
	if hasBacklog(replies) {
		ch.Outcome = "postponed: field work is late"
		c.addHistory(ch)
		return nil
	}
	ch.Bytes = int64(d.Moves) * c.group.ExpertBytes
	release, err := c.acquireLane(ctx, c.maxCopyTime(ch.Bytes))
	if err != nil {
		ch.Outcome = "postponed: " + err.Error()
		c.addHistory(ch)
		return nil
	}
	defer release()
	next := &planner.Map{Version: c.newVersion(), Layers: d.Layers}
	ch.Version = next.Version
	hold, err := c.changeMap(ctx, next)
	ch.Outcome, ch.Hold = "in_force", hold
	if err != nil {
		ch.Outcome = err.Error()
	}
	c.addHistory(ch)
	log.Info("expert map changed", "group", c.group.Name, "version", next.Version, "outcome", ch.Outcome, "moves", d.Moves,
		"predicted_skew_before", d.SkewBefore, "predicted_skew_after", d.SkewAfter, "reason", d.Reason)
	return err
}

// observe passes the reported token counts and speeds to the planner and returns
// the highest skew that the engines measured.
func (c *Coordinator) observe(replies []*encoder.GroupReply) float64 {
	const milli = 1000
	counts := make([][]float64, c.group.Layers)
	var speeds []float64
	skew := 0.0
	for _, r := range replies {
		skew = max(skew, float64(r.GetSkewMilli())/milli)
		for _, v := range r.GetSpeedsMilli() {
			speeds = append(speeds, float64(v)/milli)
		}
		if len(r.GetTokenCounts()) != c.group.Layers*c.group.Experts {
			continue
		}
		for i, n := range r.GetTokenCounts() {
			layer := i / c.group.Experts
			if counts[layer] == nil {
				counts[layer] = make([]float64, c.group.Experts)
			}
			counts[layer][i%c.group.Experts] += float64(n)
		}
	}
	c.planner.Observe(counts)
	if len(speeds) == c.shape.Ranks {
		c.planner.SetSpeeds(speeds)
	}
	return skew
}

// recordSkewAfter sets SkewAfter of the latest history entry if it is not set.
func (c *Coordinator) recordSkewAfter(skew float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.history); n > 0 && c.history[n-1].SkewAfter == 0 {
		c.history[n-1].SkewAfter = skew
	}
}

// changeMap changes the group to a new map: the members first stage it in the
// background, then prepare it with a fence, then receive the decision. It returns
// the time from sending PREPARE until delivery of the decision ended.
func (c *Coordinator) changeMap(ctx context.Context, m *planner.Map) (time.Duration, error) {
	encoded := follower.EncodeMap(m)
	replies, err := c.stage(ctx, encoded)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	fence := c.newFence(replies)
	replies, err = c.callAll(ctx, func(string) *encoder.GroupOrder {
		return &encoder.GroupOrder{Kind: encoder.OrderKind_ORDER_PREPARE, Version: m.Version, FenceStep: fence, Map: encoded}
	})
	if errors.Is(err, ErrSuperseded) {
		return 0, err
	}
	prepared := err == nil && allAccepted(replies)
	if err == nil && !prepared {
		c.fenceFactor = min(c.fenceFactor*2, maxFenceFactor)
		err = wrapper.New("prepare", c.group.Name, errFenceTooClose.Error()+formatNotAccepted(replies))
	}
	c.deliverDecision(ctx, m.Version, prepared)
	return time.Since(start), err
}

// maxFenceFactor is the maximum factor on the distance of the fence.
const maxFenceFactor = 64

// deliverDecision sends a decision until every member has replied, a newer
// coordinator has taken over, or deliveryTimeout has passed. The decision is
// final from the first call on.
func (c *Coordinator) deliverDecision(ctx context.Context, version uint64, commit bool) {
	const deliveryTimeout = 5 * time.Second
	const retryInterval = 20 * time.Millisecond
	for deadline := time.Now().Add(deliveryTimeout); ctx.Err() == nil && time.Now().Before(deadline); {
		err := c.decide(ctx, version, commit)
		if err == nil || errors.Is(err, ErrSuperseded) {
			return
		}
		sleeper.Sleep(ctx, retryInterval)
	}
}

// stage makes every member copy the weights that a map needs, and waits until all
// have done so.
func (c *Coordinator) stage(ctx context.Context, encoded *encoder.ExpertMap) ([]*encoder.GroupReply, error) {
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	staging := make(map[string]bool, len(c.group.Members))
	for {
		replies, err := c.callAll(ctx, func(member string) *encoder.GroupOrder {
			if staging[member] {
				return &encoder.GroupOrder{Kind: encoder.OrderKind_ORDER_ASK}
			}
			return &encoder.GroupOrder{Kind: encoder.OrderKind_ORDER_STAGE, Version: encoded.GetVersion(), Map: encoded}
		})
		for _, r := range replies {
			staging[r.GetInstance()] = r.GetStagingVersion() == encoded.GetVersion()
		}
		if errors.Is(err, ErrSuperseded) {
			return nil, err
		}
		if err == nil && allStaged(replies, encoded.GetVersion()) {
			return replies, nil
		}
		if sleeper.Sleep(ctx, c.roundInterval/2); ctx.Err() != nil {
			return nil, wrapper.At("stage", c.group.Name, errStageTimeout)
		}
	}
}

// maxCopyTime returns the maximum time for which a change may hold the copy lane:
// twice the time that its bytes take at the copy rate, and decisionTime.
func (c *Coordinator) maxCopyTime(size int64) time.Duration {
	const decisionTime = 30 * time.Second
	return decisionTime + time.Duration(2*float64(size)/float64(c.group.CopyRate)*float64(time.Second))
}

// planMap plans from the active map, or returns the initial placement if the map
// does not have the group's shape.
func (c *Coordinator) planMap(m *planner.Map) *planner.Decision {
	if c.matchesShape(m) {
		return c.planner.Decide(m.Layers)
	}
	d := &planner.Decision{Reason: "the shape of the group has changed", Moves: c.group.Layers * c.shape.Slots()}
	for range c.group.Layers {
		d.Layers = append(d.Layers, planner.Contiguous(c.shape))
	}
	return d
}

// matchesShape reports whether a map has the group's configured shape.
func (c *Coordinator) matchesShape(m *planner.Map) bool {
	if len(m.Layers) != c.group.Layers {
		return false
	}
	for _, layer := range m.Layers {
		if len(layer) != c.shape.Slots() {
			return false
		}
		for _, e := range layer {
			if int(e) >= c.shape.Experts {
				return false
			}
		}
	}
	return true
}

// hasBacklog reports whether a member has a backlog of work of the highest
// priority class, which copies would slow down further.
func hasBacklog(replies []*encoder.GroupReply) bool {
	for _, r := range replies {
		if r.GetFieldLate() {
			return true
		}
	}
	return false
}

func allStaged(replies []*encoder.GroupReply, version uint64) bool {
	for _, r := range replies {
		if r.GetStagedVersion() != version || !r.GetJoined() {
			return false
		}
	}
	return true
}

func allAccepted(replies []*encoder.GroupReply) bool {
	for _, r := range replies {
		if !r.GetAccepted() {
			return false
		}
	}
	return true
}

// newFence returns a step that is far enough ahead that no member should have
// begun it when PREPARE arrives.
func (c *Coordinator) newFence(replies []*encoder.GroupReply) uint64 {
	var step uint64
	stepTime := time.Duration(0)
	for _, r := range replies {
		step = max(step, r.GetStep())
		stepTime = max(stepTime, time.Duration(r.GetStepTimeMicros())*time.Microsecond)
	}
	distance := uint64(minFenceDistance)
	if stepTime > 0 {
		distance = max(distance, uint64(minFenceDelay/stepTime))
	}
	return step + distance*c.fenceFactor
}
