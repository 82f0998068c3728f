package placer

import (
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// replayMinute returns, by second, the counts and the digest of all decisions in a minute.
func replayMinute(factor float64) string {
	type second struct {
		placed, refused int
		lines           strings.Builder
	}
	seconds := make([]second, 60)
	f := &replay{
		kinds: newReplayKinds(factor), gateways: 3, engines: 6, length: time.Minute, reportLag: 200 * time.Millisecond, seed: 45, isOrdered: true,
		skew: func(at time.Duration) float64 {
			if at%(10*time.Second) < 1500*time.Millisecond {
				return 3
			}
			return 1.2
		},
		onDecision: func(at time.Duration, _ *replayRequest, d Decision) {
			s := &seconds[at/time.Second]
			switch v := d.(type) {
			case *Placed:
				s.placed++
				fmt.Fprintln(&s.lines, at, v.ID, v.Estimate)
			case *Refused:
				s.refused++
				fmt.Fprintln(&s.lines, at, v.Reason, v.RetryAfter)
			}
		},
	}
	f.run()
	var out strings.Builder
	for i := range seconds {
		h := fnv.New64a()
		_, _ = h.Write([]byte(seconds[i].lines.String()))
		fmt.Fprintf(&out, "%d placed %d refused %d digest %016x\n", i, seconds[i].placed, seconds[i].refused, h.Sum64())
	}
	return out.String()
}

// newReplayKinds returns three kinds of requests whose demand is a factor of what six
// engines bear.
func newReplayKinds(factor float64) []replayKind {
	return []replayKind{
		{name: "urgent", priority: 0, perSecond: 9 * factor, meanPrompt: 674, objective: 500 * time.Millisecond, gap: 150 * time.Millisecond, timeout: 8 * time.Second},
		{name: "usual", priority: 1, perSecond: 12 * factor, meanPrompt: 960, objective: 500 * time.Millisecond, gap: 150 * time.Millisecond, timeout: 8 * time.Second},
		{name: "background", priority: 2, perSecond: 4 * factor, meanPrompt: 787, objective: time.Second, gap: 150 * time.Millisecond, timeout: 8 * time.Second},
	}
}

// TestDecisionsWithoutAdmissionAreUnchanged guards deployments without the admission
// settings against any change of a decision.
func TestDecisionsWithoutAdmissionAreUnchanged(t *testing.T) {
	for name, factor := range map[string]float64{"calm": 0.5, "busy": 2.2} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			path := "testdata/decisions_" + name + ".golden"
			got := replayMinute(factor)
			if *update {
				c.Assert(os.MkdirAll("testdata", 0o755), qt.IsNil)
				c.Assert(os.WriteFile(path, []byte(got), 0o600), qt.IsNil)
			}
			want, err := os.ReadFile(path)
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.Equals, string(want))
		})
	}
}
