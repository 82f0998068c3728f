package balancer

import (
	"time"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/group/shifter"
)

// bounds returns the bounds of the next plan.
func (b *Balancer) bounds(engine *holder.Engine) shifter.Bounds {
	slowness := make([]float64, 0, len(b.snapshot))
	for _, s := range b.snapshot {
		slowness = append(slowness, s.Slowness)
	}
	return shifter.Bounds{MaxExperts: engine.SlotsPerRank, MaxNewExperts: engine.MaxNewExperts, Slowness: slowness}
}

// copyTime estimates how long the copies of a plan take: the sum, over the layer sets, of
// the largest number of copies that one rank makes for the set, at the rate of a link. It
// is 0 if that rate is not known.
func (b *Balancer) copyTime(p shifter.Plan, engine *holder.Engine) time.Duration {
	if engine.LinkRate <= 0 {
		return 0
	}
	return time.Duration(float64(p.MaxRankCopies) * float64(engine.ExpertBytes) / engine.LinkRate * float64(time.Second))
}

// isLasting reports whether a skew is worth a change. A minor skew has to be seen twice: it is
// also what the first sample after a change of demand shows, which holds little of the new
// demand. A plan for that sample would be in force when the next one shows the rest.
func (b *Balancer) isLasting(skew float64) bool {
	switch {
	case skew < 1+minSkewGain:
		b.minorSkewAt = time.Time{}
		return false
	case skew >= 1+urgentSkewGain || b.canPlanOpening():
		return true
	case b.minorSkewAt.IsZero():
		b.minorSkewAt = b.observedAt
	}
	return b.observedAt.After(b.minorSkewAt)
}
