// Package burner counts good and bad requests and computes the rate at which
// services burn the error budgets of their objectives.
package burner

import (
	"sync"
	"time"
)

// Resolution and length of the history.
const (
	// bucketSize is the time that one Count covers.
	bucketSize = time.Minute
	// maxBuckets bounds a Series to three days, the longest of Windows.
	maxBuckets = 3 * 24 * 60
)

// Windows are the sliding windows over which burn rates are computed. The last
// is the longest; Burn.BudgetLeft refers to it.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Key identifies the service and class of work that requests are counted under.
type Key struct {
	Service string `json:"service"`
	Class   string `json:"class"`
}

// Count holds the requests of one minute.
type Count struct {
	// Minute is the number of whole minutes since the Unix epoch.
	Minute int64  `json:"minute"`
	Total  uint32 `json:"total"`
	// Bad never exceeds Total.
	Bad uint32 `json:"bad"`
}

// Series is the history of one key: counts in ascending order of their minutes,
// without minutes that have no requests.
type Series struct {
	Key
	Counts []Count `json:"counts"`
}

// Counter counts the requests of one entry instance; it is safe for concurrent
// use.
type Counter struct {
	mu     sync.Mutex
	series map[Key]*Series
}

// NewCounter returns an empty Counter.
func NewCounter() *Counter { return &Counter{series: make(map[Key]*Series)} }

// Add counts one request in the minute of now, or in the latest minute counted
// if that is later.
func (c *Counter) Add(key Key, good bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.series[key]
	if s == nil {
		s = &Series{Key: key}
		c.series[key] = s
	}
	s.add(minuteOf(now), good)
}

func minuteOf(t time.Time) int64 { return t.Unix() / int64(bucketSize/time.Second) }

func (s *Series) add(minute int64, good bool) {
	if n := len(s.Counts); n == 0 || s.Counts[n-1].Minute < minute {
		s.Counts = append(s.Counts, Count{Minute: minute})
	}
	for len(s.Counts) > 0 && s.Counts[0].Minute <= minute-maxBuckets {
		s.Counts = s.Counts[1:]
	}
	last := &s.Counts[len(s.Counts)-1]
	last.Total++
	if !good {
		last.Bad++
	}
}

// GetSeries returns a copy of the series of all keys, in no particular order.
func (c *Counter) GetSeries() []Series {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Series, 0, len(c.series))
	for _, s := range c.series {
		list = append(list, Series{Key: s.Key, Counts: append([]Count(nil), s.Counts...)})
	}
	return list
}
