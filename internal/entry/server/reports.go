package server

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"

	"siskinfall/internal/report/burner"
	"siskinfall/internal/report/recorder"
	"siskinfall/internal/wire/encoder"
)

func (s *Server) getEvents(w http.ResponseWriter, r *http.Request) {
	list := []recorder.Event{}
	for _, a := range s.queryAll(r.Context(), &encoder.StatusQuery{WithEvents: true}) {
		var events []recorder.Event
		if json.Unmarshal(a.Status.GetEvents(), &events) == nil {
			list = append(list, events...)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Time.Before(list[j].Time) })
	writeJSON(w, list)
}

func (s *Server) getExplain(w http.ResponseWriter, r *http.Request) {
	for _, a := range s.queryAll(r.Context(), &encoder.StatusQuery{ExplainRequest: r.PathValue("id")}) {
		var view recorder.View
		if json.Unmarshal(a.Status.GetReport(), &view) == nil {
			writeJSON(w, view)
			return
		}
	}
	newProblem(http.StatusNotFound, encoder.CodeNotFound, "find_request", "no reachable instance remembers this request").write(w, r.PathValue("id"))
}

// getExplainMap queries the agents of a group until one returns the decisions of
// the group's coordinator.
func (s *Server) getExplainMap(w http.ResponseWriter, r *http.Request) {
	group := r.PathValue("group")
	order := &encoder.GroupOrder{Kind: encoder.OrderKind_ORDER_EXPLAIN, Group: group}
	for _, target := range s.tracker.GetTargets() {
		status, _ := target.GetStatus()
		if status.GetGroup() != group {
			continue
		}
		reply := &encoder.GroupReply{}
		err := s.pool.Call(r.Context(), target.Addr, &encoder.Open{Kind: &encoder.Open_Group{Group: order}}, reply)
		if err == nil && len(reply.GetReport()) > 0 {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(reply.GetReport())
			return
		}
	}
	newProblem(http.StatusNotFound, encoder.CodeNotFound, "find_group", "no reachable agent leads this group").write(w, "")
}

func (s *Server) getBurn(w http.ResponseWriter, r *http.Request) {
	report := s.newBurnReport(r.Context())
	if r.URL.Query().Get("format") != "html" {
		writeJSON(w, report)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	_ = report.WriteHTML(w)
}

// newBurnReport sums the counts of live instances and the saved counts of
// processes that no longer run.
func (s *Server) newBurnReport(ctx context.Context) *burner.Report {
	objectives := make(map[string]burner.Objective)
	for name, svc := range s.activeConfig.Get().Services {
		objectives[name] = burner.Objective{Availability: svc.Objective.Availability}
	}
	var series []burner.Series
	var reached, missing, live []string
	for _, a := range s.queryAll(ctx, &encoder.StatusQuery{WithReport: true}) {
		var instanceSeries []burner.Series
		if a.Err != nil || json.Unmarshal(a.Status.GetReport(), &instanceSeries) != nil {
			missing = append(missing, a.Instance.Name)
			continue
		}
		reached = append(reached, a.Instance.Name)
		live = append(live, historyPrefix+a.Instance.Name+"/"+strconv.FormatUint(a.Status.GetIncarnation(), 36))
		series = append(series, instanceSeries...)
	}
	saved, err := s.loadHistories(ctx, live)
	if err != nil {
		missing = append(missing, "saved histories")
	}
	report := burner.NewReport(append(series, saved...), objectives, time.Now())
	sort.Strings(reached)
	report.Reached, report.Missing = reached, missing
	return report
}
