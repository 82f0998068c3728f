package explainer

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
)

func TestExplainMatchesGoldenFile(t *testing.T) {
	c := qt.New(t)
	f, err := os.Open("testdata/lines.txt")
	c.Assert(err, qt.IsNil)
	defer func() { _ = f.Close() }()
	lines, err := Read(f)
	c.Assert(err, qt.IsNil)
	var b strings.Builder
	for _, id := range []string{"aa01", "aa02", "aa03", "aa04", "aa05", "aa06"} {
		s, ok := Explain(lines, id)
		c.Assert(ok, qt.IsTrue)
		fmt.Fprintf(&b, "request %s\n", id)
		for _, step := range s.Steps {
			fmt.Fprintf(&b, "  %s %s: %s\n", step.Time.Format("05.000"), step.Instance, step.Text)
		}
		fmt.Fprintf(&b, "  cause: %s\n", s.Cause)
	}
	goldie.New(t).Assert(t, "stories", []byte(b.String()))
	_, ok := Explain(lines, "unknown")
	c.Assert(ok, qt.IsFalse)
}
