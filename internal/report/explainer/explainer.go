// Package explainer merges the log lines of several processes into the timeline of
// one request and names the cause of its outcome.
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

// contextWindow is how long before and after a request state changes are included:
// an outage is detected within half a second and ends within seconds.
const contextWindow = 3 * time.Second

// restartWindow is how long after the last line of a request that has no end a
// restart of its gateway is looked for: a killed process is running again within
// about 12 seconds.
const restartWindow = 13 * time.Second

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// Line is one JSON log line.
type Line struct {
	Time     time.Time
	Instance string
	// Event is never empty.
	Event string
	// Request is the id of the request that the line is about, empty for none.
	Request string
	// Fields are all fields of the line, by key.
	Fields map[string]any
}

// Explanation is the timeline of one request and the cause of its outcome, as found
// in log lines.
type Explanation struct {
	Request string `json:"request"`
	// Lines are the request's own lines and the related state changes, by time.
	Lines []Line `json:"-"`
	// Steps are the Lines in readable form, one for each.
	Steps []Step `json:"steps"`
	// Cause says why the request ended as it did.
	Cause string `json:"cause"`
}

// Step is one line of a timeline.
type Step struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Text     string    `json:"text"`
}

// stateEvents are the events by which a process logs a change of its state or of
// what it observes of others.
var stateEvents = map[string]bool{
	"outage": true, "outage_over": true, "ejected": true, "server_gone": true, "server": true, "server_lapsed": true,
	"engine_state": true, "catalog": true, "store_lost": true, "store_regained": true, "peer_lost": true, "peer_regained": true,
	"map_change": true, "map_recovery": true, "map_recovered": true, "crash": true, "zone_closed": true, "zone_opened": true, "zone_work": true, "server_cold": true, "start": true, "stop": true, "log_dropped": true,
}

// Read reads the JSON log lines of a process. Text before the first brace of a line
// is ignored, since a log collector may have added it. Lines that are not JSON, or have
// no event or no RFC 3339 time, are skipped. It fails on a read error and on a line
// of 1 MiB or more.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		start := bytes.IndexByte(sc.Bytes(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(sc.Bytes()[start:], &fields) != nil {
			continue
		}
		l := Line{Fields: fields}
		l.Instance, l.Event, l.Request = stringOf(fields["instance"]), stringOf(fields["event"]), stringOf(fields["request"])
		t, err := time.Parse(time.RFC3339Nano, stringOf(fields["time"]))
		if err != nil || l.Event == "" {
			continue
		}
		l.Time = t
		lines = append(lines, l)
	}
	return lines, sc.Err()
}

func stringOf(v any) string {
	s, ok := v.(string)
	if !ok {
		return ""
	}
	return s
}

// Explain returns the timeline of a request, and reports whether any of the lines
// is about it.
func Explain(lines []Line, request string) (*Explanation, bool) {
	e := &Explanation{Request: request}
	var requestLines []Line
	for _, l := range lines {
		if l.Request == request {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return e, false
	}
	sort.SliceStable(requestLines, func(i, j int) bool { return requestLines[i].Time.Before(requestLines[j].Time) })
	first, last := requestLines[0].Time.Add(-contextWindow), requestLines[len(requestLines)-1].Time.Add(contextWindow)
	if requestLines[len(requestLines)-1].Event != "ended" {
		last = requestLines[len(requestLines)-1].Time.Add(restartWindow)
	}
	for _, l := range lines {
		if stateEvents[l.Event] && l.Request == "" && l.Time.After(first) && l.Time.Before(last) && isRelated(requestLines, l) {
			e.Lines = append(e.Lines, l)
		}
	}
	e.Lines = append(e.Lines, requestLines...)
	sort.SliceStable(e.Lines, func(i, j int) bool { return e.Lines[i].Time.Before(e.Lines[j].Time) })
	for _, l := range e.Lines {
		e.Steps = append(e.Steps, Step{Time: l.Time, Instance: l.Instance, Text: describe(l)})
	}
	e.Cause = findCause(requestLines[len(requestLines)-1], e.Lines)
	return e, true
}

// isRelated reports whether a state change concerns a request, given the request's
// own lines: it is of a process that handled the request, of a server that the
// request was sent to, or a map change or stall of any model group.
func isRelated(requestLines []Line, l Line) bool {
	for _, o := range requestLines {
		if l.Instance == o.Instance {
			return true
		}
		if server := stringOf(o.Fields["server"]); server != "" && server == stringOf(l.Fields["server"]) {
			return true
		}
	}
	return l.Event == "map_change" || l.Event == "map_recovery" || l.Event == "engine_state" && l.Fields["stalled"] == true
}

// omittedFields are left out of a step's text: each line has them, or the step or
// the heading shows them already.
var omittedFields = map[string]bool{"time": true, "level": true, "msg": true, "instance": true, "availability_zone": true, "event": true, "request": true}

// describe returns the message of a line and its other fields, sorted by key.
func describe(l Line) string {
	keys := make([]string, 0, len(l.Fields))
	for k, v := range l.Fields {
		if !omittedFields[k] && v != nil && v != "" {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	var b strings.Builder
	b.WriteString(stringOf(l.Fields["msg"]))
	for _, k := range keys {
		fmt.Fprintf(&b, " %s=%v", k, l.Fields[k])
	}
	return b.String()
}

// findCause says why a request ended as it did; last is the last line of its own.
func findCause(last Line, lines []Line) string {
	reason := stringOf(last.Fields["reason"])
	status, _ := last.Fields["status"].(float64)
	switch {
	case last.Event != "ended":
		return explainMissingEnd(last, lines)
	case reason == "answered":
		return "it was answered"
	case reason == "caller left":
		return "its caller left before the answer: compare took with the route's objective"
	case strings.HasPrefix(reason, "model group stands still"):
		return "refused without having run: the model group made no passes" + formatFirst(lines, "outage")
	case reason == "all places are taken", reason == "can't be finished in time":
		return "refused without having run: " + reason + "; the estimate and the pass time say how full and how slow the group was"
	case strings.HasPrefix(reason, "answer broke off"):
		return "the stream was cut: its backend server broke off, and it could not be resumed (" + reason + ")" + formatFirst(lines, "outage")
	case reason == "failed by the backend server":
		return "each backend server that it was given answered with a failure, and no further attempt was allowed: the lines above name them"
	case status == 502 || status == 504:
		return "its outcome is open: it was handed over, and the backend server did not answer (" + reason + ")" + formatFirst(lines, "ejected")
	}
	return reason
}

// explainMissingEnd says why the lines don't have the end of a request.
func explainMissingEnd(last Line, lines []Line) string {
	for _, l := range lines {
		if l.Instance == last.Instance && l.Time.After(last.Time) && (l.Event == "start" || l.Event == "stop") {
			return fmt.Sprintf("its outcome is open: its gateway ended while it was in work (%s at %s); it had gone to %s",
				l.Event, l.Time.Format(time.RFC3339Nano), stringOf(last.Fields["server"]))
		}
	}
	return "its end is not among these lines: look for lines that were dropped, or for an end of its gateway without a start; it had gone to " +
		stringOf(last.Fields["server"])
}

// formatFirst returns a clause on the first line with an event, empty if there is
// none.
func formatFirst(lines []Line, event string) string {
	for _, l := range lines {
		if l.Event == event {
			return fmt.Sprintf("; %s at %s told by %s", strings.ReplaceAll(event, "_", " "), l.Time.Format(time.RFC3339Nano), l.Instance)
		}
	}
	return ""
}
