package burner

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"

	"siskinfall/internal/fault/wrapper"
)

// WriteText writes the report as a table.
func (r *Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "SERVICE\tCLASS\tOBJECTIVE\tWINDOW\tTOTAL\tBAD\tBAD %\tBURN RATE\tBUDGET LEFT")
	for _, b := range r.Burns {
		for _, win := range b.Windows {
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%.3f%%\t%s\t%d\t%d\t%.3f\t%.2f\t%.1f%%\n",
				b.Service, b.Class, 100*b.Objective, win.Window, win.Total, win.Bad, 100*win.BadFraction, win.BurnRate, 100*b.BudgetLeft)
		}
	}
	_, _ = fmt.Fprintf(tw, "reached: %s\n", strings.Join(r.Reached, " "))
	if len(r.Missing) > 0 {
		_, _ = fmt.Fprintf(tw, "MISSING: %s\n", strings.Join(r.Missing, " "))
	}
	return wrapper.At("write_report", "", tw.Flush())
}

// Size of a plot, in pixels.
const (
	plotWidth  = 720
	plotHeight = 90
)

// polylinePoints returns the points attribute of an SVG polyline over the hourly
// bad fractions, scaled to the largest of them.
func polylinePoints(hourly []float64) string {
	maxFraction := 0.0
	for _, v := range hourly {
		maxFraction = max(maxFraction, v)
	}
	points := make([]string, 0, len(hourly))
	for i, v := range hourly {
		y := float64(plotHeight)
		if maxFraction > 0 {
			y -= v / maxFraction * (plotHeight - 10)
		}
		points = append(points, fmt.Sprintf("%d,%.1f", i*plotWidth/max(len(hourly)-1, 1), y))
	}
	return strings.Join(points, " ")
}

func percent(v float64) string { return fmt.Sprintf("%.3f", 100*v) }

var page = template.Must(template.New("burn").Funcs(template.FuncMap{"plot": polylinePoints, "percent": percent}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:15px/1.5 sans-serif;margin:2rem auto;max-width:60rem;color:#222}
table{border-collapse:collapse;margin:.5rem 0}
td,th{padding:.2rem .8rem;text-align:right;border-bottom:1px solid #ddd}
svg{background:#f7f7f7}
.hot{color:#b00020;font-weight:bold}
</style></head><body>
<h1>Service-level burn</h1>
<p>{{.Time.Format "2006-01-02 15:04:05"}} UTC. Reached: {{range .Reached}}{{.}} {{end}}
{{if .Missing}}<span class="hot">Missing: {{range .Missing}}{{.}} {{end}}</span>{{end}}</p>
{{range .Burns}}
<h2>{{.Service}}, {{.Class}}</h2>
<p>Objective {{percent .Objective}} %, budget left {{percent .BudgetLeft}} %.</p>
<table><tr><th>window</th><th>requests</th><th>bad</th><th>bad %</th><th>burn rate</th></tr>
{{range .Windows}}<tr><td>{{.Window}}</td><td>{{.Total}}</td><td>{{.Bad}}</td><td>{{percent .BadFraction}}</td>
<td{{if gt .BurnRate 1.0}} class="hot"{{end}}>{{printf "%.2f" .BurnRate}}</td></tr>{{end}}</table>
<p>Bad fraction by hour, the last 72 hours:</p>
<svg width="720" height="100" viewBox="0 0 720 100" role="img" aria-label="bad fraction by hour">
<polyline fill="none" stroke="#b00020" stroke-width="2" points="{{plot .Hourly}}"/></svg>
{{else}}<p>No requests in the last 72 hours.</p>{{end}}
</body></html>
`))

// WriteHTML writes the report as a self-contained HTML page.
func (r *Report) WriteHTML(w io.Writer) error {
	return wrapper.At("write_report", "", page.Execute(w, r))
}
