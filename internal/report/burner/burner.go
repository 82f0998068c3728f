// Package burner counts good and bad requests and computes the rate at which
// services burn the error budgets of their objectives.
package burner

import (
	"sync"
	"time"
)

// Constants of the history.
const (
	// cell is the time that one cell of the history covers.
	cell = time.Minute
	// cells cover three days.
	cells = 3 * 24 * 60
)

// Windows are the times over which burn is computed.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Key names what is counted.
type Key struct {
	Service string `json:"service"`
	Class   string `json:"class"`
}

// Count is requests in a period.
type Count struct {
	// Minute is the number of the period since 1970.
	Minute int64  `json:"minute"`
	Total  uint32 `json:"total"`
	// Bad never exceeds Total.
	Bad uint32 `json:"bad"`
}

// Series is the history of one key, sparse and by rising minutes.
type Series struct {
	Key
	Counts []Count `json:"counts"`
}

// Counter counts at one entry instance; it is safe for concurrent use.
type Counter struct {
	mu     sync.Mutex
	series map[Key]*Series
}

// NewCounter returns an empty Counter.
func NewCounter() *Counter { return &Counter{series: make(map[Key]*Series)} }

// Add counts one request.
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

func minuteOf(t time.Time) int64 { return t.Unix() / int64(cell/time.Second) }

func (s *Series) add(minute int64, good bool) {
	if n := len(s.Counts); n == 0 || s.Counts[n-1].Minute < minute {
		s.Counts = append(s.Counts, Count{Minute: minute})
	}
	for len(s.Counts) > 0 && s.Counts[0].Minute <= minute-cells {
		s.Counts = s.Counts[1:]
	}
	last := &s.Counts[len(s.Counts)-1]
	last.Total++
	if !good {
		last.Bad++
	}
}

// GetSeries returns a copy of all histories.
func (c *Counter) GetSeries() []Series {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Series, 0, len(c.series))
	for _, s := range c.series {
		list = append(list, Series{Key: s.Key, Counts: append([]Count(nil), s.Counts...)})
	}
	return list
}
