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
	errFence  = errors.New("fence was set too close")
	errStaged = errors.New("weights were not staged in time")
)

// rebalance plans from the members' counts and changes the map if that pays.
func (c *Coordinator) rebalance(ctx context.Context) error {
	replies, err := c.callAll(ctx, func(member string) *encoder.GroupOrder {
		// The first member is this process: its map costs no message.
		return &encoder.GroupOrder{Kind: encoder.OrderKind_ORDER_ASK, WithCounts: true, WithMaps: member == c.group.Members[0]}
	})
	if err != nil {
		return err
	}
	present := replies[0].GetMap()
	if present == nil || replies[0].GetPreparedVersion() != 0 {
		return nil
	}
	skew := c.observe(replies)
	c.finishHistory(skew)
	m := follower.DecodeMap(present)
	d := c.decideMap(m)
	ch := Change{Time: time.Now().UTC(), Version: m.Version, Decision: d, SkewBefore: skew, Outcome: "staying"}
	if d.Moved == 0 {
		c.addHistory(ch)
		return nil
	}
	if isFieldLate(replies) {
		ch.Outcome = "postponed: field work is late"
		c.addHistory(ch)
		return nil
	}
	ch.Bytes = int64(d.Moved) * c.group.ExpertBytes
	leave, err := c.enterLane(ctx, c.moveTime(ch.Bytes))
	if err != nil {
		ch.Outcome = "postponed: " + err.Error()
		c.addHistory(ch)
		return nil
	}
	defer leave()
	next := &planner.Map{Version: c.newVersion(), Layers: d.Layers}
	ch.Version = next.Version
	hold, err := c.change(ctx, next)
	ch.Outcome, ch.Hold = "in_force", hold
	if err != nil {
		ch.Outcome = err.Error()
	}
	c.addHistory(ch)
	log.Info("expert map changed", "group", c.group.Name, "version", next.Version, "outcome", ch.Outcome, "moves", d.Moved,
		"predicted_skew_before", d.Before, "predicted_skew_after", d.After, "reason", d.Reason)
	return err
}

// observe feeds the planner and returns the skew that the engines measured.
func (c *Coordinator) observe(replies []*encoder.GroupReply) float64 {
	const milli = 1000
	rows := make([][]float64, c.group.Layers)
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
			if rows[layer] == nil {
				rows[layer] = make([]float64, c.group.Experts)
			}
			rows[layer][i%c.group.Experts] += float64(n)
		}
	}
	c.planner.Observe(rows)
	if len(speeds) == c.shape.Ranks {
		c.planner.SetSpeeds(speeds)
	}
	return skew
}

// finishHistory notes the skew measured since the latest change.
func (c *Coordinator) finishHistory(skew float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.history); n > 0 && c.history[n-1].SkewAfter == 0 {
		c.history[n-1].SkewAfter = skew
	}
}

// change brings a new map into force: staged in the background first, then
// prepared with a fence, then decided. It returns the time from PREPARE to the
// decision.
func (c *Coordinator) change(ctx context.Context, m *planner.Map) (time.Duration, error) {
	wire := follower.EncodeMap(m)
	replies, err := c.stage(ctx, wire)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	fence := c.newFence(replies)
	replies, err = c.callAll(ctx, func(string) *encoder.GroupOrder {
		return &encoder.GroupOrder{Kind: encoder.OrderKind_ORDER_PREPARE, Version: m.Version, FenceStep: fence, Map: wire}
	})
	if errors.Is(err, ErrSuperseded) {
		return 0, err
	}
	prepared := err == nil && allAccepted(replies)
	if err == nil && !prepared {
		c.fenceFactor = min(c.fenceFactor*2, maxFenceFactor)
		err = wrapper.New("prepare", c.group.Name, errFence.Error()+describe(replies))
	}
	c.insist(ctx, m.Version, prepared)
	return time.Since(start), err
}

// maxFenceFactor bounds how far ahead the fence is set.
const maxFenceFactor = 64

// insist tells a decision until every member has heard it or a newer
// coordinator has taken over. The decision stands from the first call on.
func (c *Coordinator) insist(ctx context.Context, version uint64, commit bool) {
	const insistFor = 5 * time.Second
	const pause = 20 * time.Millisecond
	for deadline := time.Now().Add(insistFor); ctx.Err() == nil && time.Now().Before(deadline); {
		err := c.decide(ctx, version, commit)
		if err == nil || errors.Is(err, ErrSuperseded) {
			return
		}
		sleeper.Sleep(ctx, pause)
	}
}

// stage lets every member copy what it needs, and waits.
func (c *Coordinator) stage(ctx context.Context, wire *encoder.ExpertMap) ([]*encoder.GroupReply, error) {
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	told := make(map[string]bool, len(c.group.Members))
	for {
		replies, err := c.callAll(ctx, func(member string) *encoder.GroupOrder {
			if told[member] {
				return &encoder.GroupOrder{Kind: encoder.OrderKind_ORDER_ASK}
			}
			return &encoder.GroupOrder{Kind: encoder.OrderKind_ORDER_STAGE, Version: wire.GetVersion(), Map: wire}
		})
		for _, r := range replies {
			told[r.GetInstance()] = r.GetStagingVersion() == wire.GetVersion()
		}
		if errors.Is(err, ErrSuperseded) {
			return nil, err
		}
		if err == nil && allStaged(replies, wire.GetVersion()) {
			return replies, nil
		}
		if sleeper.Sleep(ctx, c.pause/2); ctx.Err() != nil {
			return nil, wrapper.At("stage", c.group.Name, errStaged)
		}
	}
}

// moveTime bounds the time of a move: twice that of its bytes at the budget, and
// some for the decision.
func (c *Coordinator) moveTime(size int64) time.Duration {
	const decision = 30 * time.Second
	return decision + time.Duration(2*float64(size)/float64(c.group.CopyRate)*float64(time.Second))
}

// decideMap plans from a map, or anew for a group whose shape has changed.
func (c *Coordinator) decideMap(m *planner.Map) *planner.Decision {
	if c.fits(m) {
		return c.planner.Decide(m.Layers)
	}
	d := &planner.Decision{Reason: "the shape of the group has changed", Moved: c.group.Layers * c.shape.Slots()}
	for range c.group.Layers {
		d.Layers = append(d.Layers, planner.Contiguous(c.shape))
	}
	return d
}

// fits reports whether a map has the group's present shape.
func (c *Coordinator) fits(m *planner.Map) bool {
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

// isFieldLate reports whether copies would slow work that waits already.
func isFieldLate(replies []*encoder.GroupReply) bool {
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

// newFence is far enough ahead that no member has begun it when PREPARE comes.
func (c *Coordinator) newFence(replies []*encoder.GroupReply) uint64 {
	var step uint64
	stepTime := time.Duration(0)
	for _, r := range replies {
		step = max(step, r.GetStep())
		stepTime = max(stepTime, time.Duration(r.GetStepTimeMicros())*time.Microsecond)
	}
	ahead := uint64(minFence)
	if stepTime > 0 {
		ahead = max(ahead, uint64(fenceDelay/stepTime))
	}
	return step + ahead*c.fenceFactor
}
