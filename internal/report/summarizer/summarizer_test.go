package summarizer

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"siskinfall/internal/report/explainer"
)

// TestReportMatchesGoldenFiles summarizes the lines of two gateways and a leader.
func TestReportMatchesGoldenFiles(t *testing.T) {
	c := qt.New(t)
	f, err := os.Open("testdata/lines.txt")
	c.Assert(err, qt.IsNil)
	defer func() { _ = f.Close() }()
	lines, err := explainer.Read(f)
	c.Assert(err, qt.IsNil)
	s := New(lines)
	var text, html bytes.Buffer
	c.Assert(s.WriteText(&text), qt.IsNil)
	c.Assert(s.WriteHTML(&html), qt.IsNil)
	data, err := json.MarshalIndent(s, "", "  ")
	c.Assert(err, qt.IsNil)
	g := goldie.New(t)
	g.Assert(t, "report_text", text.Bytes())
	g.Assert(t, "report_html", html.Bytes())
	g.Assert(t, "report_json", data)
}

// TestWriteHTMLAcceptsEmptySummary guards against scaling plots by an empty range.
func TestWriteHTMLAcceptsEmptySummary(t *testing.T) {
	c := qt.New(t)
	var html bytes.Buffer
	s := New(nil)
	c.Assert(s.WriteHTML(&html), qt.IsNil)
	c.Assert(s.Endings, qt.HasLen, 0)
}
