package server

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"siskinfall/internal/config/registrar"
	"siskinfall/internal/process/sleeper"
	"siskinfall/internal/store/storer"
	"siskinfall/internal/wire/encoder"
)

// TicketResult is the answer to a ticket.
type TicketResult struct {
	Number uint64 `json:"number"`
	// Accepted is false for a dry run.
	Accepted bool `json:"accepted"`
	// Changes lists the changes of the ticket, with the numbers in force before it.
	Changes []Change `json:"changes"`
	// Lagging names the entry instances where it is not in force yet.
	Lagging []string `json:"lagging,omitempty"`
	Waited  bool     `json:"waited"`
	// Elapsed is the time until it was in force everywhere or the wait timed out.
	Elapsed time.Duration `json:"elapsed_nanoseconds,omitempty"`
}

// Change is the change of one entity by a ticket.
type Change struct {
	Entity     string          `json:"entity"`
	FromNumber uint64          `json:"from_number"`
	Deleted    bool            `json:"deleted,omitempty"`
	From       json.RawMessage `json:"from,omitempty"`
	To         json.RawMessage `json:"to,omitempty"`
}

func (s *Server) postTicket(w http.ResponseWriter, r *http.Request) {
	body, problem := readBody(w, r, maxTicketBytes, "")
	if problem != nil {
		problem.write(w, "")
		return
	}
	ticket, err := registrar.ParseTicket(body)
	if err != nil {
		newProblem(http.StatusUnprocessableEntity, "ticket_invalid", "parse_ticket", err.Error()).write(w, "")
		return
	}
	if ticket.Author == "" {
		ticket.Author = getOperatorName(r)
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

// applyTicket accepts a ticket and optionally waits until it is in force
// everywhere. A dry run only returns the changes.
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
	s.activeConfig.Apply(entities)
	timeout := parseWait(wait)
	if timeout <= 0 {
		return result, nil
	}
	result.Waited = true
	result.Lagging = s.waitInForce(ctx, entities, timeout)
	result.Elapsed = time.Since(start)
	return result, nil
}

// parseWait parses the time to wait for a ticket; it returns 0 if text is not a
// duration.
func parseWait(text string) time.Duration {
	timeout, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return timeout
}

// diff returns the differences between the configuration in force and entities.
func (s *Server) diff(entities []*encoder.Entity) []Change {
	snap := s.activeConfig.Get()
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

// inForcePollInterval is the interval between two checks whether a ticket is in
// force.
const inForcePollInterval = 50 * time.Millisecond

// waitInForce waits until entities are in force at every listed entry instance,
// at most for timeout. It returns the names of the instances where they are not.
func (s *Server) waitInForce(ctx context.Context, entities []*encoder.Entity, timeout time.Duration) []string {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// Include instances that joined since the latest poll.
	if list, err := s.platform.ListInstances(ctx); err == nil {
		s.tracker.SetInstances(s.backgroundCtx, list)
	}
	for {
		var lagging []string
		for _, a := range s.queryAll(ctx, &encoder.StatusQuery{}) {
			if a.Err != nil || !hasNumbers(a.Status, entities) {
				lagging = append(lagging, a.Instance.Name)
			}
		}
		if len(lagging) == 0 || ctx.Err() != nil {
			return lagging
		}
		sleeper.Sleep(ctx, inForcePollInterval)
	}
}

func hasNumbers(status *encoder.EntryStatus, entities []*encoder.Entity) bool {
	numbers := make(map[string]uint64, len(status.GetNumbers()))
	for _, n := range status.GetNumbers() {
		numbers[n.GetKind()+"/"+n.GetName()] = n.GetNumber()
	}
	for _, e := range entities {
		if numbers[e.GetKind()+"/"+e.GetName()] < e.GetNumber() {
			return false
		}
	}
	return true
}
