package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"runtime/debug"
	"strings"
	"text/tabwriter"
	"time"

	"siskinfall/internal/config/registrar"
	entry "siskinfall/internal/entry/server"
	"siskinfall/internal/expert/coordinator"
	"siskinfall/internal/expert/planner"
	"siskinfall/internal/operator/caller"
	"siskinfall/internal/report/burner"
	"siskinfall/internal/report/recorder"
)

// adminOptions select the entry instance to query and the output format.
type adminOptions struct {
	Admin netip.AddrPort `arg:"--admin" default:"127.0.0.1:8081" help:"admin listener of any entry instance"`
	Key   string         `arg:"--key,env:SISKINFALL_OPERATOR_KEY" help:"operator key"`
	JSON  bool           `arg:"--json" help:"print JSON"`
}

func (o adminOptions) client() *caller.Client { return caller.NewClient(o.Admin, o.Key) }

// printJSON prints v as indented JSON.
func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printTable prints a heading and rows, whose cells are separated by tabs, in aligned
// columns.
func printTable(heading string, rows []string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, heading)
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, row)
	}
	return w.Flush()
}

type statusCmd struct{ adminOptions }

func (c *statusCmd) run() error {
	var v entry.StatusView
	if err := c.client().Get(context.Background(), "/v1/status", &v); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(v)
	}
	rows := make([]string, 0, len(v.Entries))
	for _, e := range v.Entries {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%v\t%v\t%s\t%v", e.Instance, e.Zone, e.Reached, e.Ready, e.Digest, e.Lagging))
	}
	if err := printTable("ENTRY\tZONE\tREACHED\tREADY\tCONFIGURATION\tLAGGING", rows); err != nil {
		return err
	}
	rows = rows[:0]
	for _, a := range v.Agents {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%v\t%v\t%d\t%d\t%d\t%s", a.Instance, a.Zone, a.Service, a.Group, a.Available,
			a.Leaving, a.Running, a.Queued, a.Crashes, a.Age.Round(time.Millisecond)))
	}
	return printTable("\nAGENT\tZONE\tSERVICE\tGROUP\tAVAILABLE\tLEAVING\tRUNNING\tQUEUED\tCRASHES\tREPORT AGE", rows)
}

type reportCmd struct {
	Burn *burnCmd       `arg:"subcommand:burn" help:"error-budget burn rates of services"`
	Logs *reportLogsCmd `arg:"subcommand:logs" help:"requests by cause and map changes over time, from log files"`
}

func (c *reportCmd) run() error {
	if c.Logs != nil {
		return c.Logs.run()
	}
	if c.Burn == nil {
		c.Burn = &burnCmd{}
	}
	return c.Burn.run()
}

type burnCmd struct {
	adminOptions
	HTML string `arg:"--html" help:"write a page with plots to this file"`
}

func (c *burnCmd) run() error {
	var r burner.Report
	if err := c.client().Get(context.Background(), "/v1/report/burn", &r); err != nil {
		return err
	}
	if c.HTML != "" {
		return writePage(c.HTML, r.WriteHTML)
	}
	if c.JSON {
		return printJSON(&r)
	}
	return r.WriteText(os.Stdout)
}

type explainCmd struct {
	Request *explainRequestCmd `arg:"subcommand:request" help:"show the decisions on a recent request"`
	Map     *explainMapCmd     `arg:"subcommand:map" help:"show the decisions on a group's expert map"`
}

func (c *explainCmd) run() error {
	switch {
	case c.Request != nil:
		return c.Request.run()
	case c.Map != nil:
		return c.Map.run()
	}
	return fmt.Errorf("say request or map")
}

type explainRequestCmd struct {
	adminOptions
	RequestID string   `arg:"positional,required" help:"X-Request-Id of the answer"`
	Logs      []string `arg:"--logs" help:"explain it from these log files of any processes; - is standard input"`
}

func (c *explainRequestCmd) run() error {
	if len(c.Logs) > 0 {
		return c.explainLogs()
	}
	var v recorder.View
	if err := c.client().Get(context.Background(), "/v1/explain/"+url.PathEscape(c.RequestID), &v); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(v)
	}
	rows := make([]string, 0, len(v.Decisions))
	for _, d := range v.Decisions {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s", d.After.Round(time.Microsecond), d.Step, d.Text))
	}
	fmt.Printf("request %s of %s to %s at %s\n", v.RequestID, v.Account, v.Service, v.Start.Format(time.RFC3339Nano))
	return printTable("AFTER\tSTEP\tDECISION", rows)
}

type explainMapCmd struct {
	adminOptions
	Group string `arg:"positional,required" help:"model group"`
}

func (c *explainMapCmd) run() error {
	var changes []coordinator.Change
	if err := c.client().Get(context.Background(), "/v1/explain/map/"+url.PathEscape(c.Group), &changes); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(changes)
	}
	rows := make([]string, 0, len(changes))
	for _, ch := range changes {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%s\t%s\t%.3f -> %.3f\t%.3f -> %.3f\t%d\t%d\t%s\t%s", ch.Time.Format(time.TimeOnly), ch.Version,
			ch.Outcome, ch.Decision.Reason, ch.Decision.SkewBefore, ch.Decision.SkewAfter, ch.SkewBefore, ch.SkewAfter, ch.Decision.Moves, ch.Bytes,
			ch.Hold.Round(time.Millisecond), formatCandidates(ch.Decision.Candidates)))
	}
	return printTable("TIME\tVERSION\tOUTCOME\tREASON\tPREDICTED SKEW\tMEASURED SKEW\tMOVES\tBYTES\tHOLD\tWEIGHED", rows)
}

// formatCandidates lists the candidates that the planner compared for a change.
func formatCandidates(list []planner.Candidate) string {
	parts := make([]string, 0, len(list))
	for _, c := range list {
		parts = append(parts, fmt.Sprintf("%s(skew %.3f, moves %d, cost %.3f)", c.Name, c.Skew, c.Moves, c.Cost))
	}
	return strings.Join(parts, " ")
}

type eventsCmd struct{ adminOptions }

func (c *eventsCmd) run() error {
	var list []recorder.Event
	if err := c.client().Get(context.Background(), "/v1/events", &list); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(list)
	}
	rows := make([]string, 0, len(list))
	for _, e := range list {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s", e.Time.Format(time.RFC3339Nano), e.Instance, e.Kind, e.Text))
	}
	return printTable("TIME\tINSTANCE\tKIND\tEVENT", rows)
}

type executionCmd struct {
	Show   *executionShowCmd   `arg:"subcommand:show" help:"show the state of a non-idempotent execution"`
	Settle *executionSettleCmd `arg:"subcommand:settle" help:"set the outcome of an execution whose outcome was lost"`
}

func (c *executionCmd) run() error {
	if c.Settle != nil {
		return c.Settle.run()
	}
	if c.Show != nil {
		return c.Show.run()
	}
	return fmt.Errorf("say show or settle")
}

// executionArg identifies an execution.
type executionArg struct {
	adminOptions
	Account string `arg:"positional,required" help:"client account"`
	Service string `arg:"positional,required" help:"service"`
	IDKey   string `arg:"positional,required" help:"c:KEY for a caller's idempotency key, r:ID for a request id"`
}

func (a *executionArg) path() string {
	return "/v1/executions/" + strings.Join([]string{url.PathEscape(a.Account), url.PathEscape(a.Service), url.PathEscape(a.IDKey)}, "/")
}

type executionShowCmd struct{ executionArg }

func (c *executionShowCmd) run() error {
	var v json.RawMessage
	if err := c.client().Get(context.Background(), c.path(), &v); err != nil {
		return err
	}
	return printJSON(v)
}

type executionSettleCmd struct {
	executionArg
	Outcome string `arg:"--outcome,required" help:"completed or not_run"`
}

func (c *executionSettleCmd) run() error {
	if c.Outcome != "completed" && c.Outcome != "not_run" {
		return fmt.Errorf("outcome is neither completed nor not_run")
	}
	var v json.RawMessage
	if err := c.client().Post(context.Background(), c.path()+"?outcome="+c.Outcome, nil, &v); err != nil {
		return err
	}
	return printJSON(v)
}

type ticketCmd struct {
	Apply *ticketApplyCmd `arg:"subcommand:apply" help:"apply a ticket"`
	Show  *ticketShowCmd  `arg:"subcommand:show" help:"show the configuration in force"`
	List  *ticketListCmd  `arg:"subcommand:list" help:"list accepted tickets"`
}

func (c *ticketCmd) run() error {
	switch {
	case c.Apply != nil:
		return c.Apply.run()
	case c.Show != nil:
		return c.Show.run()
	case c.List != nil:
		return c.List.run()
	}
	return fmt.Errorf("say apply, show or list")
}

type ticketApplyCmd struct {
	adminOptions
	File   string        `arg:"positional,required" help:"ticket file, YAML or JSON"`
	Wait   time.Duration `arg:"--wait" help:"wait up to this long until it is in force everywhere"`
	DryRun bool          `arg:"--dry-run" help:"show the changes without applying them"`
}

func (c *ticketApplyCmd) run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := registrar.ParseTicket(data); err != nil {
		return err
	}
	q := url.Values{}
	if c.DryRun {
		q.Set("dry_run", "1")
	}
	if c.Wait > 0 {
		q.Set("wait", c.Wait.String())
	}
	var r entry.TicketResult
	if err := c.client().Post(context.Background(), "/v1/tickets?"+q.Encode(), data, &r); err != nil {
		return err
	}
	if err := c.print(&r); err != nil {
		return err
	}
	if len(r.Lagging) > 0 {
		return fmt.Errorf("%w: %s", errLagging, strings.Join(r.Lagging, " "))
	}
	return nil
}

func (c *ticketApplyCmd) print(r *entry.TicketResult) error {
	if c.JSON {
		return printJSON(r)
	}
	for _, ch := range r.Changes {
		fmt.Printf("%s: %d -> %d\n- %s\n+ %s\n", ch.Entity, ch.FromNumber, r.Number, ch.From, ch.To)
	}
	switch {
	case !r.Accepted:
		fmt.Println("dry run: nothing was changed")
	case r.Waited && len(r.Lagging) == 0:
		fmt.Printf("ticket %d is in force everywhere after %s\n", r.Number, r.Elapsed.Round(time.Millisecond))
	default:
		fmt.Printf("ticket %d is accepted\n", r.Number)
	}
	return nil
}

type ticketShowCmd struct{ adminOptions }

func (c *ticketShowCmd) run() error {
	var v entry.ConfigView
	if err := c.client().Get(context.Background(), "/v1/config", &v); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(v)
	}
	rows := make([]string, 0, len(v.Entities))
	for _, e := range v.Entities {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%v\t%s", e.Entity, e.Number, e.Deleted, e.Body))
	}
	return printTable("THING\tTICKET\tDELETED\tSTATE", rows)
}

type ticketListCmd struct{ adminOptions }

func (c *ticketListCmd) run() error {
	var list []registrar.Summary
	if err := c.client().Get(context.Background(), "/v1/tickets", &list); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(list)
	}
	rows := make([]string, 0, len(list))
	for _, s := range list {
		rows = append(rows, fmt.Sprintf("%d\t%s\t%s\t%s", s.Number, s.Time.Format(time.RFC3339), s.Author, strings.Join(s.Changed, " ")))
	}
	return printTable("TICKET\tACCEPTED\tAUTHOR\tTOUCHED", rows)
}

type versionCmd struct{}

func (c *versionCmd) run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Errorf("build information is missing")
	}
	fmt.Println("siskinfall", info.Main.Version, info.GoVersion)
	return nil
}
