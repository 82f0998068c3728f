// Package summarizer computes from the log lines of several processes how requests
// ended, why some were refused, and how the expert maps of model groups changed.
package summarizer

import (
	"sort"
	"time"

	"siskinfall/internal/report/explainer"
)

// Ending counts the requests that ended with the same status and reason at the same
// service.
type Ending struct {
	// Status is the HTTP status of the answer. If the caller left, it is 200 if writing
	// an event of a stream to the caller failed, and 0 otherwise. It is also 0 if the
	// request body could not be read.
	Status  int       `json:"status"`
	Reason  string    `json:"reason"`
	Service string    `json:"service"`
	Count   int       `json:"count"`
	First   time.Time `json:"first"`
	Last    time.Time `json:"last"`
	// Example is the id of the first of these requests.
	Example string `json:"example"`
}

// MapChange is one change of a model group's expert map, completed or failed.
type MapChange struct {
	Time time.Time `json:"time"`
	// Instance is the leader of the group.
	Instance   string  `json:"instance"`
	Group      string  `json:"group"`
	Version    uint64  `json:"version"`
	SkewBefore float64 `json:"skew_before"`
	SkewAfter  float64 `json:"skew_after"`
	// Copies is the number of transfers of expert weights.
	Copies int           `json:"copies"`
	Took   time.Duration `json:"took"`
	// Error is empty for a change that completed.
	Error string `json:"error"`
}

// Second counts the requests that ended in one second. Failed includes those whose
// caller left.
type Second struct {
	Time     time.Time `json:"time"`
	Answered int       `json:"answered"`
	Refused  int       `json:"refused"`
	Failed   int       `json:"failed"`
}

// Summary is the report on a set of log lines.
type Summary struct {
	Lines int `json:"lines"`
	// Dropped is the number of lines that processes reported as dropped.
	Dropped int `json:"dropped"`
	// Endings is sorted by count, the largest first. It includes answered requests.
	Endings []Ending `json:"endings"`
	// Changes and Seconds are sorted by time.
	Changes []MapChange `json:"map_changes"`
	Seconds []Second    `json:"seconds"`
}

// endingKey identifies the requests that one Ending counts.
type endingKey struct {
	status          int
	reason, service string
}

// New summarizes log lines, which may be in any order.
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
			s.Dropped += int(numberField(l, "lines"))
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
	for _, sec := range seconds {
		s.Seconds = append(s.Seconds, *sec)
	}
	sort.Slice(s.Seconds, func(i, j int) bool { return s.Seconds[i].Time.Before(s.Seconds[j].Time) })
	sort.SliceStable(s.Changes, func(i, j int) bool { return s.Changes[i].Time.Before(s.Changes[j].Time) })
	return s
}

func addEnding(endings map[endingKey]*Ending, l explainer.Line) {
	k := endingKey{status: int(numberField(l, "status")), reason: stringField(l, "reason"), service: stringField(l, "service")}
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

// HTTP statuses that promise that a request has not run.
const (
	statusTimeout     = 408
	statusMisdirected = 421
	statusTooMany     = 429
	statusUnavailable = 503
)

func addSecond(seconds map[int64]*Second, l explainer.Line) {
	start := l.Time.Truncate(time.Second)
	sec := seconds[start.Unix()]
	if sec == nil {
		sec = &Second{Time: start}
		seconds[start.Unix()] = sec
	}
	switch status := int(numberField(l, "status")); {
	case stringField(l, "reason") == "answered":
		sec.Answered++
	case status == statusTimeout, status == statusMisdirected, status == statusTooMany, status == statusUnavailable:
		sec.Refused++
	default:
		sec.Failed++
	}
}

func newMapChange(l explainer.Line) MapChange {
	took, err := time.ParseDuration(stringField(l, "took"))
	if err != nil {
		// Another version may log this field in another form; the other fields are
		// still usable.
		took = 0
	}
	return MapChange{
		Time: l.Time, Instance: l.Instance, Group: stringField(l, "group"), Version: uint64(numberField(l, "version")), SkewBefore: numberField(l, "skew_before"),
		SkewAfter: numberField(l, "skew_after"), Copies: int(numberField(l, "copies")), Took: took, Error: stringField(l, "error"),
	}
}

func stringField(l explainer.Line, key string) string {
	s, ok := l.Fields[key].(string)
	if !ok {
		return ""
	}
	return s
}

func numberField(l explainer.Line, key string) float64 {
	v, ok := l.Fields[key].(float64)
	if !ok {
		return 0
	}
	return v
}
