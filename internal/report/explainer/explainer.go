// Package explainer joins the log lines of several processes into the story of one
// request, with the cause at its end.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// around is how long before and after a request the beliefs of its processes are
// told: an outage is noticed within half a second and ends within seconds.
const around = 3 * time.Second

// aroundOpen is how long after a request without an end its process is watched for: a
// killed one is back within some twelve seconds.
const aroundOpen = 13 * time.Second

// maxLine bounds one log line, in bytes.
const maxLine = 1 << 20

// Line is one log line.
type Line struct {
	Time     time.Time
	Instance string
	Event    string
	Request  string
	Fields   map[string]any
}

// Story is what the lines tell of one request.
type Story struct {
	Request string `json:"request"`
	// Lines are the request's own, and the beliefs that touch it, by time.
	Lines []Line `json:"-"`
	Steps []Step `json:"steps"`
	Cause string `json:"cause"`
}

// Step is one line of a story.
type Step struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Text     string    `json:"text"`
}

// beliefs are the events that tell what a process believes.
var beliefs = map[string]bool{
	"outage": true, "outage_over": true, "ejected": true, "server_gone": true, "server": true, "server_lapsed": true,
	"engine_state": true, "catalog": true, "store_lost": true, "store_regained": true, "peer_lost": true, "peer_regained": true,
	"map_change": true, "map_recovery": true, "map_recovered": true, "crash": true, "start": true, "stop": true, "log_dropped": true,
}

// Read reads the lines of a process. What stands before the first brace of a line
// is passed over, as a collector may add it; other lines are no log lines.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		at := bytes.IndexByte(sc.Bytes(), '{')
		if at < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(sc.Bytes()[at:], &fields) != nil {
			continue
		}
		l := Line{Fields: fields}
		l.Instance, l.Event, l.Request = text(fields["instance"]), text(fields["event"]), text(fields["request"])
		t, err := time.Parse(time.RFC3339Nano, text(fields["time"]))
		if err != nil || l.Event == "" {
			continue
		}
		l.Time = t
		out = append(out, l)
	}
	return out, sc.Err()
}

func text(v any) string {
	s, ok := v.(string)
	if !ok {
		return ""
	}
	return s
}

// Explain tells the story of a request, and reports whether it was found.
func Explain(lines []Line, request string) (*Story, bool) {
	s := &Story{Request: request}
	var own []Line
	for _, l := range lines {
		if l.Request == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return s, false
	}
	sort.SliceStable(own, func(i, j int) bool { return own[i].Time.Before(own[j].Time) })
	first, last := own[0].Time.Add(-around), own[len(own)-1].Time.Add(around)
	if own[len(own)-1].Event != "ended" {
		last = own[len(own)-1].Time.Add(aroundOpen)
	}
	for _, l := range lines {
		if beliefs[l.Event] && l.Request == "" && l.Time.After(first) && l.Time.Before(last) && touches(own, l) {
			s.Lines = append(s.Lines, l)
		}
	}
	s.Lines = append(s.Lines, own...)
	sort.SliceStable(s.Lines, func(i, j int) bool { return s.Lines[i].Time.Before(s.Lines[j].Time) })
	for _, l := range s.Lines {
		s.Steps = append(s.Steps, Step{Time: l.Time, Instance: l.Instance, Text: describe(l)})
	}
	s.Cause = cause(own[len(own)-1], s.Lines)
	return s, true
}

// touches reports whether a belief is of the request's process or of a server that
// it was sent to.
func touches(own []Line, l Line) bool {
	for _, o := range own {
		if l.Instance == o.Instance {
			return true
		}
		if server := text(o.Fields["server"]); server != "" && server == text(l.Fields["server"]) {
			return true
		}
	}
	return l.Event == "map_change" || l.Event == "map_recovery" || l.Event == "engine_state" && l.Fields["stalled"] == true
}

// hidden are fields that each line has, or that the heading tells.
var hidden = map[string]bool{"time": true, "level": true, "msg": true, "instance": true, "availability_zone": true, "event": true, "request": true}

func describe(l Line) string {
	keys := make([]string, 0, len(l.Fields))
	for k, v := range l.Fields {
		if !hidden[k] && v != nil && v != "" {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	var b strings.Builder
	b.WriteString(text(l.Fields["msg"]))
	for _, k := range keys {
		fmt.Fprintf(&b, " %s=%v", k, l.Fields[k])
	}
	return b.String()
}

// cause names why a request ended as it did.
func cause(last Line, lines []Line) string {
	reason := text(last.Fields["reason"])
	status, _ := last.Fields["status"].(float64)
	switch {
	case last.Event != "ended":
		return open(last, lines)
	case reason == "answered":
		return "it was answered"
	case reason == "caller left":
		return "its caller left before the answer: compare took with the route's objective"
	case strings.HasPrefix(reason, "model group stands still"):
		return "refused without having run: the model group made no passes" + since(lines, "outage")
	case reason == "all places are taken", reason == "can't be finished in time":
		return "refused without having run: " + reason + "; the estimate and the pass time say how full and how slow the group was"
	case strings.HasPrefix(reason, "answer broke off"):
		return "the stream was cut: its backend server broke off, and it could not be resumed (" + reason + ")" + since(lines, "outage")
	case reason == "failed by the backend server":
		return "each backend server that it was given answered with a failure, and no further attempt was allowed: the lines above name them"
	case status == 502 || status == 504:
		return "its outcome is open: it was handed over, and the backend server did not answer (" + reason + ")" + since(lines, "ejected")
	}
	return reason
}

// open names why the end of a request is not told.
func open(last Line, lines []Line) string {
	for _, l := range lines {
		if l.Instance == last.Instance && l.Time.After(last.Time) && (l.Event == "start" || l.Event == "stop") {
			return fmt.Sprintf("its outcome is open: its gateway ended while it was in work (%s at %s); it had gone to %s",
				l.Event, l.Time.Format(time.RFC3339Nano), text(last.Fields["server"]))
		}
	}
	return "its end is not among these lines: look for lines that were dropped, or for an end of its gateway without a start; it had gone to " +
		text(last.Fields["server"])
}

// since adds when a belief of a kind was taken up.
func since(lines []Line, event string) string {
	for _, l := range lines {
		if l.Event == event {
			return fmt.Sprintf("; %s at %s told by %s", strings.ReplaceAll(event, "_", " "), l.Time.Format(time.RFC3339Nano), l.Instance)
		}
	}
	return ""
}
