package summarizer

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"siskinfall/internal/fault/wrapper"
)

const timeFormat = "15:04:05.000"

// WriteText writes the report as tables.
func (s *Summary) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(tw, "%d lines, %d dropped by their processes\n\n", s.Lines, s.Dropped)
	_, _ = fmt.Fprintln(tw, "REQUESTS\tSTATUS\tREASON\tSERVICE\tFIRST\tLAST\tEXAMPLE")
	for _, e := range s.Endings {
		_, _ = fmt.Fprintf(tw, "%d\t%d\t%s\t%s\t%s\t%s\t%s\n", e.Count, e.Status, e.Reason, e.Service,
			e.First.Format(timeFormat), e.Last.Format(timeFormat), e.Example)
	}
	_, _ = fmt.Fprintln(tw, "\nMAP CHANGE\tGROUP\tLEADER\tSKEW BEFORE\tAFTER\tCOPIES\tTOOK\tERROR")
	for _, c := range s.Changes {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%.2f\t%.2f\t%d\t%s\t%s\n", c.Time.Format(timeFormat), c.Group, c.Instance,
			c.SkewBefore, c.SkewAfter, c.Copies, c.Took.Round(time.Millisecond), c.Error)
	}
	return wrapper.At("write_report", "", tw.Flush())
}

// Size of a plot, in pixels.
const (
	plotWidth  = 760
	plotHeight = 110
)

// timeRange returns the start and length of the time that the plots cover, at least
// a second.
func (s *Summary) timeRange() (from time.Time, length time.Duration) {
	var to time.Time
	extend := func(t time.Time) {
		if from.IsZero() || t.Before(from) {
			from = t
		}
		if t.After(to) {
			to = t
		}
	}
	for _, sec := range s.Seconds {
		extend(sec.Time)
	}
	for _, c := range s.Changes {
		extend(c.Time)
	}
	return from, max(to.Sub(from), time.Second)
}

// polylinePoints returns the points attribute of an SVG polyline over n values,
// scaled to the largest of them but at least 1.
func (s *Summary) polylinePoints(n int, pointAt func(int) (time.Time, float64)) string {
	from, length := s.timeRange()
	maxValue := 1.0
	for i := range n {
		_, v := pointAt(i)
		maxValue = max(maxValue, v)
	}
	points := make([]string, 0, n)
	for i := range n {
		t, v := pointAt(i)
		points = append(points, fmt.Sprintf("%.1f,%.1f", float64(t.Sub(from))/float64(length)*plotWidth, plotHeight*(1-v/maxValue)))
	}
	return strings.Join(points, " ")
}

// pointsBySecond returns the points of a plot of one count of each second.
func (s *Summary) pointsBySecond(count func(Second) int) string {
	return s.polylinePoints(len(s.Seconds), func(i int) (time.Time, float64) { return s.Seconds[i].Time, float64(count(s.Seconds[i])) })
}

// Answered returns the points of the plot of answered requests by second.
func (s *Summary) Answered() string {
	return s.pointsBySecond(func(sec Second) int { return sec.Answered })
}

// Refused returns the points of the plot of refused requests by second.
func (s *Summary) Refused() string {
	return s.pointsBySecond(func(sec Second) int { return sec.Refused })
}

// Failed returns the points of the plot of failed requests by second.
func (s *Summary) Failed() string {
	return s.pointsBySecond(func(sec Second) int { return sec.Failed })
}

// Skew returns the points of the plot of skew: a step from SkewBefore to SkewAfter at
// each map change.
func (s *Summary) Skew() string {
	return s.polylinePoints(2*len(s.Changes), func(i int) (time.Time, float64) {
		c := s.Changes[i/2]
		if i%2 == 0 {
			return c.Time, c.SkewBefore
		}
		return c.Time, c.SkewAfter
	})
}

var page = template.Must(template.New("summary").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Requests and maps</title>
<style>
body{font:15px/1.5 sans-serif;margin:2rem auto;max-width:62rem;color:#222}
table{border-collapse:collapse;margin:.5rem 0}
td,th{padding:.2rem .7rem;text-align:left;border-bottom:1px solid #ddd}
svg{background:#f7f7f7}
</style></head><body>
<h1>Requests and maps</h1>
<p>{{.Lines}} lines, {{.Dropped}} dropped by their processes.</p>
<h2>Requests by second: <span style="color:#1b7837">answered</span>, <span style="color:#b00020">refused</span>, <span style="color:#555">failed</span>, each to its own scale</h2>
<svg width="760" height="120" viewBox="0 0 760 120" role="img" aria-label="requests by second">
<polyline fill="none" stroke="#1b7837" stroke-width="2" points="{{.Answered}}"/>
<polyline fill="none" stroke="#b00020" stroke-width="2" points="{{.Refused}}"/>
<polyline fill="none" stroke="#555" stroke-width="2" points="{{.Failed}}"/></svg>
<table><tr><th>requests</th><th>status</th><th>reason</th><th>service</th><th>first</th><th>last</th><th>example</th></tr>
{{range .Endings}}<tr><td>{{.Count}}</td><td>{{.Status}}</td><td>{{.Reason}}</td><td>{{.Service}}</td><td>{{.First.Format "15:04:05.000"}}</td><td>{{.Last.Format "15:04:05.000"}}</td><td>{{.Example}}</td></tr>
{{end}}</table>
<h2>Skew of the most loaded rank, by map change</h2>
<svg width="760" height="120" viewBox="0 0 760 120" role="img" aria-label="skew by map change">
<polyline fill="none" stroke="#2166ac" stroke-width="2" points="{{.Skew}}"/></svg>
<table><tr><th>time</th><th>group</th><th>leader</th><th>before</th><th>after</th><th>copies</th><th>took</th><th>error</th></tr>
{{range .Changes}}<tr><td>{{.Time.Format "15:04:05.000"}}</td><td>{{.Group}}</td><td>{{.Instance}}</td><td>{{printf "%.2f" .SkewBefore}}</td><td>{{printf "%.2f" .SkewAfter}}</td><td>{{.Copies}}</td><td>{{.Took}}</td><td>{{.Error}}</td></tr>
{{end}}</table>
</body></html>
`))

// WriteHTML writes the report as a self-contained HTML page.
func (s *Summary) WriteHTML(w io.Writer) error {
	return wrapper.At("write_report", "", page.Execute(w, s))
}
