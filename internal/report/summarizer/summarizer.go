// Package summarizer tells from the log lines of several processes how requests
// ended, why some were refused, and how the maps of model groups changed.
package summarizer

import (
	"sort"
	"time"

	"siskinfall/internal/report/explainer"
)

// Ending counts requests that ended alike.
type Ending struct {
	// Status is 0 for callers who left.
	Status  int       `json:"status"`
	Reason  string    `json:"reason"`
	Service string    `json:"service"`
	Count   int       `json:"count"`
	First   time.Time `json:"first"`
	Last    time.Time `json:"last"`
	// Example is the id of the first such request.
	Example string `json:"example"`
}

// MapChange is one change of a group's map, made or not.
type MapChange struct {
	Time       time.Time     `json:"time"`
	Instance   string        `json:"instance"`
	Group      string        `json:"group"`
	Version    uint64        `json:"version"`
	SkewBefore float64       `json:"skew_before"`
	SkewAfter  float64       `json:"skew_after"`
	Copies     int           `json:"copies"`
	Took       time.Duration `json:"took"`
	// Error is empty for a change that was made.
	Error string `json:"error"`
}

// Second is what ended in one second.
type Second struct {
	Time     time.Time `json:"time"`
	Answered int       `json:"answered"`
	Refused  int       `json:"refused"`
	Failed   int       `json:"failed"`
}

// Summary is the whole report.
type Summary struct {
	Lines int `json:"lines"`
	// Dropped is the number of lines that processes told as dropped.
	Dropped int `json:"dropped"`
	// Endings is sorted by count, the largest first; answered requests are one of them.
	Endings []Ending `json:"endings"`
	// Changes and Seconds are sorted by time.
	Changes []MapChange `json:"map_changes"`
	Seconds []Second    `json:"seconds"`
}

// endingKey is what endings have in common.
type endingKey struct {
	status          int
	reason, service string
}

// New summarizes log lines.
func New(lines []explainer.Line) *Summary {
	s := &Summary{Lines: len(lines)}
	endings := make(map[endingKey]*Ending)
	seconds := make(map[int64]*Second)
	for _, l := range lines {
		switch l.Event {
		case "ended":
			addEnding(endings, l)
			addSecond(seconds, l)
		case "map_change":
			s.Changes = append(s.Changes, newMapChange(l))
		case "log_dropped":
			s.Dropped += int(number(l, "lines"))
		}
	}
	for _, e := range endings {
		s.Endings = append(s.Endings, *e)
	}
	sort.Slice(s.Endings, func(i, j int) bool {
		a, b := s.Endings[i], s.Endings[j]
		if a.Count != b.Count {
			return a.Count > b.Count
		}
		return a.First.Before(b.First)
	})
	for _, x := range seconds {
		s.Seconds = append(s.Seconds, *x)
	}
	sort.Slice(s.Seconds, func(i, j int) bool { return s.Seconds[i].Time.Before(s.Seconds[j].Time) })
	sort.SliceStable(s.Changes, func(i, j int) bool { return s.Changes[i].Time.Before(s.Changes[j].Time) })
	return s
}

func addEnding(endings map[endingKey]*Ending, l explainer.Line) {
	k := endingKey{status: int(number(l, "status")), reason: text(l, "reason"), service: text(l, "service")}
	e := endings[k]
	if e == nil {
		e = &Ending{Status: k.status, Reason: k.reason, Service: k.service, First: l.Time, Last: l.Time, Example: l.Request}
		endings[k] = e
	}
	e.Count++
	if l.Time.Before(e.First) {
		e.First, e.Example = l.Time, l.Request
	}
	if l.Time.After(e.Last) {
		e.Last = l.Time
	}
}

// Statuses that promise that a request has not run.
const (
	statusTimeout     = 408
	statusMisdirected = 421
	statusTooMany     = 429
	statusUnavailable = 503
)

func addSecond(seconds map[int64]*Second, l explainer.Line) {
	at := l.Time.Truncate(time.Second)
	x := seconds[at.Unix()]
	if x == nil {
		x = &Second{Time: at}
		seconds[at.Unix()] = x
	}
	switch status := int(number(l, "status")); {
	case text(l, "reason") == "answered":
		x.Answered++
	case status == statusTimeout, status == statusMisdirected, status == statusTooMany, status == statusUnavailable:
		x.Refused++
	default:
		x.Failed++
	}
}

func newMapChange(l explainer.Line) MapChange {
	took, err := time.ParseDuration(text(l, "took"))
	if err != nil {
		// A line of another version; the rest of it still tells.
		took = 0
	}
	return MapChange{
		Time: l.Time, Instance: l.Instance, Group: text(l, "group"), Version: uint64(number(l, "version")), SkewBefore: number(l, "skew_before"),
		SkewAfter: number(l, "skew_after"), Copies: int(number(l, "copies")), Took: took, Error: text(l, "error"),
	}
}

func text(l explainer.Line, key string) string {
	s, ok := l.Fields[key].(string)
	if !ok {
		return ""
	}
	return s
}

func number(l explainer.Line, key string) float64 {
	v, ok := l.Fields[key].(float64)
	if !ok {
		return 0
	}
	return v
}
