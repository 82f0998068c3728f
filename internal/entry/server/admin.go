package server

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"siskinfall/internal/config/registrar"
	"siskinfall/internal/execution/guard"
	"siskinfall/internal/platform/storer"
	"siskinfall/internal/report/burner"
	"siskinfall/internal/report/recorder"
	"siskinfall/internal/wire/encoder"
)

// Roles of operators.
const (
	roleReader   = "reader"
	roleOperator = "operator"
)

// maxTicket is the largest ticket, in bytes.
const maxTicket = 4 << 20

func (s *Server) bootID() string { return strconv.FormatUint(s.incarnation, 36) }

// AdminHandler returns the HTTP interface for operators, metrics and health.
func (s *Server) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "alive\n") })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("POST /v1/tickets", s.authorize(roleOperator, s.postTicket))
	mux.HandleFunc("GET /v1/tickets", s.authorize(roleReader, s.getTickets))
	mux.HandleFunc("GET /v1/config", s.authorize(roleReader, s.getConfig))
	mux.HandleFunc("GET /v1/status", s.authorize(roleReader, s.serveStatus))
	mux.HandleFunc("GET /v1/events", s.authorize(roleReader, s.getEvents))
	mux.HandleFunc("GET /v1/explain/{id}", s.authorize(roleReader, s.getExplain))
	mux.HandleFunc("GET /v1/explain/map/{group}", s.authorize(roleReader, s.getExplainMap))
	mux.HandleFunc("GET /v1/report/burn", s.authorize(roleReader, s.getBurn))
	mux.HandleFunc("GET /v1/executions/{account}/{service}/{key}", s.authorize(roleReader, s.getExecution))
	mux.HandleFunc("POST /v1/executions/{account}/{service}/{key}", s.authorize(roleOperator, s.settleExecution))
	return mux
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// operatorKey is the name of the operator in a request's context.
type operatorKey struct{}

// authorize lets only operators of a role through. Without configured keys,
// only loopback may operate.
func (s *Server) authorize(role string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name, ok := s.findOperator(r, role)
		if !ok {
			log.Warn("operator refused", "step", "authorize", "peer", r.RemoteAddr, "method", r.Method, "path", r.URL.Path)
			newProblem(http.StatusForbidden, encoder.CodeForbidden, "authorize", "the key does not have the role "+role).write(w, "")
			return
		}
		next(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	}
}

func (s *Server) findOperator(r *http.Request, role string) (string, bool) {
	if len(s.cfg.Entry.OperatorKeys) == 0 {
		addr, err := netip.ParseAddrPort(r.RemoteAddr)
		return "loopback", err == nil && addr.Addr().Unmap().IsLoopback()
	}
	sum := sha256.Sum256([]byte(bearerKey(r)))
	for _, k := range s.cfg.Entry.OperatorKeys {
		raw, err := hex.DecodeString(k.Hash)
		if err == nil && subtle.ConstantTimeCompare(raw, sum[:]) == 1 {
			return k.Name, role == roleReader || k.Role == roleOperator
		}
	}
	return "", false
}

func operatorOf(r *http.Request) string {
	name, _ := r.Context().Value(operatorKey{}).(string)
	return name
}

// TicketResult answers a ticket.
type TicketResult struct {
	Number uint64 `json:"number"`
	// Accepted is false for a dry run.
	Accepted bool `json:"accepted"`
	// Changes lists what the ticket changes, with the numbers before it.
	Changes []Change `json:"changes"`
	// Lagging names the entry instances where it is not in force yet.
	Lagging []string `json:"lagging,omitempty"`
	Waited  bool     `json:"waited"`
	// Elapsed is the time until it was in force everywhere.
	Elapsed time.Duration `json:"elapsed_nanoseconds,omitempty"`
}

// Change is one thing that a ticket changes.
type Change struct {
	Entity     string          `json:"entity"`
	FromNumber uint64          `json:"from_number"`
	Deleted    bool            `json:"deleted,omitempty"`
	From       json.RawMessage `json:"from,omitempty"`
	To         json.RawMessage `json:"to,omitempty"`
}

func (s *Server) postTicket(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTicket))
	if err != nil {
		newBodyProblem(err).write(w, "")
		return
	}
	ticket, err := registrar.ParseTicket(body)
	if err != nil {
		newProblem(http.StatusUnprocessableEntity, "ticket_invalid", "parse_ticket", err.Error()).write(w, "")
		return
	}
	if ticket.Author == "" {
		ticket.Author = operatorOf(r)
	}
	result, err := s.applyTicket(r.Context(), ticket, r.URL.Query().Get("dry_run") != "", r.URL.Query().Get("wait"))
	if err != nil {
		newTicketProblem(err).write(w, "")
		return
	}
	writeJSON(w, result)
}

func newTicketProblem(err error) *Problem {
	var superseded *registrar.SupersededError
	switch {
	case errors.As(err, &superseded):
		return newProblem(http.StatusConflict, "ticket_superseded", "accept_ticket", err.Error())
	case errors.Is(err, registrar.ErrNumberTaken):
		return newProblem(http.StatusConflict, "ticket_number_taken", "accept_ticket", err.Error())
	case errors.Is(err, storer.ErrConflict):
		return newProblem(http.StatusConflict, "ticket_conflict", "accept_ticket", "other operators were faster; apply it again")
	}
	p := newProblem(http.StatusServiceUnavailable, "ticket_uncertain", "accept_ticket", err.Error())
	p.Execution = "unknown"
	return p
}

// applyTicket accepts a ticket, or tells only what it would change.
func (s *Server) applyTicket(ctx context.Context, t *registrar.Ticket, dryRun bool, wait string) (*TicketResult, error) {
	entities, err := t.Entities()
	if err != nil {
		return nil, err
	}
	result := &TicketResult{Number: t.Number, Changes: s.diff(entities)}
	if dryRun {
		return result, nil
	}
	start := time.Now()
	if _, err := s.registry.Accept(ctx, t); err != nil {
		return nil, err
	}
	result.Accepted = true
	log.Info("ticket accepted", "number", t.Number, "author", t.Author)
	s.recorder.AddEvent("ticket", "ticket %d by %s accepted", t.Number, t.Author)
	s.book.Apply(entities)
	limit := parseWait(wait)
	if limit <= 0 {
		return result, nil
	}
	result.Waited = true
	result.Lagging = s.waitInForce(ctx, entities, limit)
	result.Elapsed = time.Since(start)
	return result, nil
}

// parseWait reads how long to wait for a ticket; 0 for anything but a time.
func parseWait(text string) time.Duration {
	limit, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return limit
}

// diff tells what states would change.
func (s *Server) diff(entities []*encoder.Entity) []Change {
	snap := s.book.Get()
	list := make([]Change, 0, len(entities))
	for _, e := range entities {
		old := snap.Entities[registrar.Ref{Kind: registrar.Kind(e.GetKind()), Name: e.GetName()}]
		list = append(list, Change{
			Entity: e.GetKind() + "/" + e.GetName(), FromNumber: old.GetNumber(), Deleted: e.GetDeleted(),
			From: old.GetBody(), To: e.GetBody(),
		})
	}
	return list
}

// inForcePoll is the pause between two questions whether a ticket is in force.
const inForcePoll = 50 * time.Millisecond

// waitInForce waits until states are in force at every listed entry instance,
// and returns those where they are not.
func (s *Server) waitInForce(ctx context.Context, entities []*encoder.Entity, limit time.Duration) []string {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		var lagging []string
		for _, a := range s.askAll(ctx, &encoder.StatusQuery{}) {
			if a.Err != nil || !hasNumbers(a.Status, entities) {
				lagging = append(lagging, a.Instance.Name)
			}
		}
		if len(lagging) == 0 || ctx.Err() != nil {
			return lagging
		}
		pause(ctx, inForcePoll)
	}
}

func hasNumbers(status *encoder.EntryStatus, entities []*encoder.Entity) bool {
	have := make(map[string]uint64, len(status.GetNumbers()))
	for _, n := range status.GetNumbers() {
		have[n.GetKind()+"/"+n.GetName()] = n.GetNumber()
	}
	for _, e := range entities {
		if have[e.GetKind()+"/"+e.GetName()] < e.GetNumber() {
			return false
		}
	}
	return true
}

func (s *Server) getTickets(w http.ResponseWriter, r *http.Request) {
	list, err := s.registry.ListTickets(r.Context())
	if err != nil {
		newProblem(http.StatusServiceUnavailable, encoder.CodeStoreUnavailable, "list_tickets", err.Error()).write(w, "")
		return
	}
	writeJSON(w, list)
}

// ConfigView is the configuration in force at this instance.
type ConfigView struct {
	Instance string       `json:"instance"`
	Digest   string       `json:"digest"`
	Entities []EntityView `json:"entities"`
}

// EntityView is one thing in force.
type EntityView struct {
	Entity  string          `json:"entity"`
	Number  uint64          `json:"number"`
	Deleted bool            `json:"deleted,omitempty"`
	Body    json.RawMessage `json:"body,omitempty"`
}

func (s *Server) getConfig(w http.ResponseWriter, _ *http.Request) {
	snap := s.book.Get()
	view := ConfigView{Instance: s.cfg.Instance, Digest: strconv.FormatUint(snap.Digest, 16), Entities: []EntityView{}}
	for ref, e := range snap.Entities {
		view.Entities = append(view.Entities, EntityView{Entity: ref.String(), Number: e.GetNumber(), Deleted: e.GetDeleted(), Body: e.GetBody()})
	}
	sort.Slice(view.Entities, func(i, j int) bool { return view.Entities[i].Entity < view.Entities[j].Entity })
	writeJSON(w, view)
}

// StatusView is the state of the fleet as this instance sees it.
type StatusView struct {
	Entries []EntryView `json:"entries"`
	Agents  []AgentView `json:"agents"`
}

// EntryView is one entry instance.
type EntryView struct {
	Instance string `json:"instance"`
	Zone     string `json:"availability_zone"`
	// Reached is false for an instance that did not answer.
	Reached bool   `json:"reached"`
	Ready   bool   `json:"ready"`
	Digest  string `json:"config_digest"`
	// Lagging says that its configuration differs from this instance's.
	Lagging bool `json:"lagging"`
}

// AgentView is one agent.
type AgentView struct {
	Instance string `json:"instance"`
	Zone     string `json:"availability_zone"`
	Service  string `json:"service"`
	Group    string `json:"model_group,omitempty"`
	Running  uint32 `json:"running"`
	Queued   uint32 `json:"queued"`
	// Available says that this instance routes work to it.
	Available bool          `json:"available"`
	Leaving   bool          `json:"leaving"`
	Crashes   uint64        `json:"crashes"`
	Age       time.Duration `json:"report_age_nanoseconds"`
}

func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	view := StatusView{Entries: []EntryView{}, Agents: []AgentView{}}
	own := s.book.Get().Digest
	for _, a := range s.askAll(r.Context(), &encoder.StatusQuery{}) {
		view.Entries = append(view.Entries, EntryView{
			Instance: a.Instance.Name, Zone: a.Instance.Zone, Reached: a.Err == nil, Ready: a.Status.GetReady(),
			Digest: strconv.FormatUint(a.Status.GetConfigDigest(), 16), Lagging: a.Status.GetConfigDigest() != own,
		})
	}
	sort.Slice(view.Entries, func(i, j int) bool { return view.Entries[i].Instance < view.Entries[j].Instance })
	for _, target := range s.tracker.GetTargets() {
		st, heard := target.GetStatus()
		view.Agents = append(view.Agents, AgentView{
			Instance: target.Name, Zone: target.Zone, Service: st.GetService(), Group: st.GetGroup(), Running: st.GetRunning(),
			Queued: st.GetQueued(), Available: target.IsAvailable(), Leaving: st.GetLeaving(), Crashes: st.GetCrashes(), Age: time.Since(heard),
		})
	}
	writeJSON(w, view)
}

func (s *Server) getEvents(w http.ResponseWriter, r *http.Request) {
	list := []recorder.Event{}
	for _, a := range s.askAll(r.Context(), &encoder.StatusQuery{WithEvents: true}) {
		var events []recorder.Event
		if json.Unmarshal(a.Status.GetEvents(), &events) == nil {
			list = append(list, events...)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Time.Before(list[j].Time) })
	writeJSON(w, list)
}

func (s *Server) getExplain(w http.ResponseWriter, r *http.Request) {
	for _, a := range s.askAll(r.Context(), &encoder.StatusQuery{ExplainRequest: r.PathValue("id")}) {
		var view recorder.View
		if json.Unmarshal(a.Status.GetReport(), &view) == nil {
			writeJSON(w, view)
			return
		}
	}
	newProblem(http.StatusNotFound, encoder.CodeNotFound, "find_request", "no reachable instance remembers this request").write(w, r.PathValue("id"))
}

// getExplainMap asks the members of a group for the coordinator's decisions.
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

// newBurnReport sums the counts of live instances and the saved ones of
// processes that are gone.
func (s *Server) newBurnReport(ctx context.Context) *burner.Report {
	goals := make(map[string]burner.Goal)
	for name, svc := range s.book.Get().Services {
		goals[name] = burner.Goal{Availability: svc.Objective.Availability}
	}
	var series []burner.Series
	var reached, missing, live []string
	for _, a := range s.askAll(ctx, &encoder.StatusQuery{WithReport: true}) {
		var part []burner.Series
		if a.Err != nil || json.Unmarshal(a.Status.GetReport(), &part) != nil {
			missing = append(missing, a.Instance.Name)
			continue
		}
		reached = append(reached, a.Instance.Name)
		live = append(live, historyPath+a.Instance.Name+"/"+strconv.FormatUint(a.Status.GetIncarnation(), 36))
		series = append(series, part...)
	}
	saved, err := s.loadHistories(ctx, live)
	if err != nil {
		missing = append(missing, "saved histories")
	}
	report := burner.NewReport(append(series, saved...), goals, time.Now())
	sort.Strings(reached)
	report.Reached, report.Missing = reached, missing
	return report
}

func executionID(r *http.Request) guard.ID {
	return guard.ID{Account: r.PathValue("account"), Service: r.PathValue("service"), Key: r.PathValue("key")}
}

func (s *Server) getExecution(w http.ResponseWriter, r *http.Request) {
	exec, err := s.executions.GetExecution(r.Context(), executionID(r))
	if err != nil {
		newExecutionProblem(err).write(w, "")
		return
	}
	writeJSON(w, exec)
}

func newExecutionProblem(err error) *Problem {
	if guard.IsErrExecutionNotExist(err) {
		return newProblem(http.StatusNotFound, encoder.CodeNotFound, "read_execution", err.Error())
	}
	if errors.Is(err, guard.ErrBadTransition) || storer.IsErrConflict(err) {
		return newProblem(http.StatusConflict, "execution_decided", "settle_execution", err.Error())
	}
	return newProblem(http.StatusServiceUnavailable, encoder.CodeStoreUnavailable, "read_execution", err.Error())
}

func (s *Server) settleExecution(w http.ResponseWriter, r *http.Request) {
	ran := r.URL.Query().Get("outcome") == "completed"
	if err := s.executions.Settle(r.Context(), executionID(r), ran, operatorOf(r)); err != nil {
		newExecutionProblem(err).write(w, "")
		return
	}
	s.recorder.AddEvent("settled", "execution %s settled by %s, ran: %v", executionID(r).RowKey(), operatorOf(r), ran)
	s.getExecution(w, r)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Listen binds an address of the settings.
func Listen(addr netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", addr.String())
}
