package evaluator

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// testWindows is short, since the race detector slows down the evaluation.
const testWindows = 60

func findCase(c *qt.C, name string) Case {
	for _, candidate := range Cases() {
		if candidate.Name == name {
			return candidate
		}
	}
	c.Fatalf("no case %q", name)
	return Case{}
}

func TestLowCopyCostKeepsSkewNearLowerBound(t *testing.T) {
	c := qt.New(t)
	r := Evaluate(findCase(c, "slow drift zipf 0.6, late and gappy"), CostBased{Costs: LowCopyCost}, testWindows, 1)
	c.Assert(r.MeanSkew <= 1.02*r.MeanBound, qt.IsTrue, qt.Commentf("mean skew %v", r.MeanSkew))
}

func TestHighCopyCostMovesFewBytes(t *testing.T) {
	c := qt.New(t)
	drift := findCase(c, "slow drift zipf 1.0, late and gappy")
	r := Evaluate(drift, CostBased{Costs: HighCopyCost}, testWindows, 1)
	baseline := Evaluate(drift, Replan{}, testWindows, 1)
	c.Assert(r.MeanSkew <= 1.10, qt.IsTrue, qt.Commentf("mean skew %v", r.MeanSkew))
	c.Assert(4*r.Bytes <= baseline.Bytes, qt.IsTrue, qt.Commentf("%d of %d bytes", r.Bytes, baseline.Bytes))
}

func TestSkewStaysNearLowerBoundWithSlowRank(t *testing.T) {
	c := qt.New(t)
	r := Evaluate(findCase(c, "slow rank at 0.7, zipf 0.8"), CostBased{Costs: LowCopyCost}, testWindows, 1)
	c.Assert(r.MeanSkew <= 1.05*r.MeanBound, qt.IsTrue, qt.Commentf("mean skew %v", r.MeanSkew))
}

func TestTopicChangeIsFollowed(t *testing.T) {
	c := qt.New(t)
	topic := findCase(c, "topic change zipf 0.8")
	r := Evaluate(topic, CostBased{Costs: LowCopyCost}, testWindows, 1)
	never := Evaluate(topic, Never{}, testWindows, 1)
	c.Assert(r.MeanSkew < never.MeanSkew/2, qt.IsTrue, qt.Commentf("mean skew %v", r.MeanSkew))
}
