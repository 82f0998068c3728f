package burner

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
)

var now = time.Date(2026, 12, 4, 12, 0, 30, 0, time.UTC)

// newTestSeries returns the series of two instances that each counted 100 requests
// a minute for six hours: 1 in 10 is bad in the last five minutes, 1 in 50 before.
func newTestSeries() []Series {
	series := make([]Series, 0, 2)
	for range 2 {
		counter := NewCounter()
		for minute := 6*60 - 1; minute >= 0; minute-- {
			requestsPerFailure := 50
			if minute < 5 {
				requestsPerFailure = 10
			}
			for i := range 100 {
				counter.Add(Key{Service: "desk", Class: "field"}, i%requestsPerFailure != 0, now.Add(-time.Duration(minute)*time.Minute))
			}
		}
		series = append(series, counter.GetSeries()...)
	}
	return series
}

func newTestReport() *Report {
	r := NewReport(newTestSeries(), map[string]Objective{"desk": {Availability: 0.99}}, now)
	r.Reached, r.Missing = []string{"entry-1", "entry-2"}, []string{"entry-3"}
	return r
}

func TestNewReportSumsWindowsOverInstances(t *testing.T) {
	c := qt.New(t)
	b := newTestReport().Burns[0]
	c.Assert(b.Windows[0].Total, qt.Equals, uint64(1000))
	c.Assert(b.Windows[0].BadFraction, qt.Equals, 0.1)
	c.Assert(b.Windows[1].Bad, qt.Equals, uint64(2*(5*10+55*2)))
	c.Assert(b.Windows[2].Total, qt.Equals, uint64(2*360*100))
	c.Assert(b.Windows[3], qt.Equals, WindowBurn{
		Window: "72h0m0s", Total: b.Windows[2].Total, Bad: b.Windows[2].Bad, BadFraction: b.Windows[2].BadFraction, BurnRate: b.Windows[2].BurnRate,
	})
}

func TestReportMatchesGoldenFiles(t *testing.T) {
	c := qt.New(t)
	var text, html bytes.Buffer
	c.Assert(newTestReport().WriteText(&text), qt.IsNil)
	c.Assert(newTestReport().WriteHTML(&html), qt.IsNil)
	goldie.New(t).Assert(t, "burn_text", text.Bytes())
	goldie.New(t).Assert(t, "burn_html", html.Bytes())
}

func TestAddDropsCountsOlderThanLongestWindow(t *testing.T) {
	c := qt.New(t)
	counter := NewCounter()
	counter.Add(Key{Service: "s"}, true, now)
	counter.Add(Key{Service: "s"}, true, now.Add(73*time.Hour))
	c.Assert(counter.GetSeries()[0].Counts, qt.HasLen, 1)
}
