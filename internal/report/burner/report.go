package burner

import (
	"sort"
	"time"
)

// Objective is the service-level objective of a service.
type Objective struct {
	// Availability is the fraction of good requests, below 1.
	Availability float64 `json:"availability"`
}

// WindowBurn holds the request counts and the burn rate of one window.
type WindowBurn struct {
	// Window is the length of the window, as time.Duration prints it.
	Window string `json:"window"`
	Total  uint64 `json:"total"`
	Bad    uint64 `json:"bad"`
	// BadFraction is Bad over Total, 0 without requests.
	BadFraction float64 `json:"bad_fraction"`
	// BurnRate is BadFraction over the bad fraction that the objective allows; at
	// a rate of 1 the error budget is spent exactly.
	BurnRate float64 `json:"burn_rate"`
}

// Burn reports the use of the error budget of one service and class of work.
type Burn struct {
	Key
	// Objective is the availability that the service aims for, a fraction below 1.
	Objective float64      `json:"objective"`
	Windows   []WindowBurn `json:"windows"`
	// BudgetLeft is the fraction of the longest window's error budget that is left;
	// it is negative once the budget is overspent.
	BudgetLeft float64 `json:"budget_left"`
	// Hourly is the bad fraction of each of the last 72 hours, oldest first.
	Hourly []float64 `json:"hourly_bad_fraction"`
}

// Report holds the burn rates of all services, summed over several instances.
type Report struct {
	Time  time.Time `json:"time"`
	Burns []Burn    `json:"burns"`
	// Reached names the instances whose counts are included, Missing the sources
	// that could not be read.
	Reached []string `json:"reached"`
	Missing []string `json:"missing"`
}

// NewReport sums the series per key and computes their burn rates. A service that
// objectives doesn't have is left out.
func NewReport(series []Series, objectives map[string]Objective, now time.Time) *Report {
	sums := make(map[Key][]Count)
	for _, s := range series {
		sums[s.Key] = append(sums[s.Key], s.Counts...)
	}
	r := &Report{Time: now.UTC(), Burns: []Burn{}}
	for key, counts := range sums {
		objective, ok := objectives[key.Service]
		if ok {
			r.Burns = append(r.Burns, newBurn(key, objective, counts, now))
		}
	}
	sort.Slice(r.Burns, func(i, j int) bool {
		a, b := r.Burns[i].Key, r.Burns[j].Key
		return a.Service < b.Service || a.Service == b.Service && a.Class < b.Class
	})
	return r
}

func newBurn(key Key, objective Objective, counts []Count, now time.Time) Burn {
	b := Burn{Key: key, Objective: objective.Availability, BudgetLeft: 1, Hourly: hourlyBadFractions(counts, now)}
	for _, window := range Windows {
		w := sumWindow(counts, window, now)
		if w.Total > 0 {
			w.BadFraction = float64(w.Bad) / float64(w.Total)
			w.BurnRate = w.BadFraction / (1 - objective.Availability)
		}
		b.Windows = append(b.Windows, w)
		b.BudgetLeft = 1 - w.BurnRate
	}
	return b
}

func sumWindow(counts []Count, window time.Duration, now time.Time) WindowBurn {
	w := WindowBurn{Window: window.String()}
	last := minuteOf(now)
	first := last - int64(window/bucketSize) + 1
	for _, c := range counts {
		if c.Minute >= first && c.Minute <= last {
			w.Total += uint64(c.Total)
			w.Bad += uint64(c.Bad)
		}
	}
	return w
}

func hourlyBadFractions(counts []Count, now time.Time) []float64 {
	const hours = 72
	var total, bad [hours]float64
	last := minuteOf(now)
	for _, c := range counts {
		i := hours - 1 - (last-c.Minute)/60
		if i >= 0 && i < hours {
			total[i] += float64(c.Total)
			bad[i] += float64(c.Bad)
		}
	}
	list := make([]float64, hours)
	for i := range list {
		if total[i] > 0 {
			list[i] = bad[i] / total[i]
		}
	}
	return list
}
