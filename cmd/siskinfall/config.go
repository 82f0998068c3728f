package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"siskinfall/internal/catalog/checker"
	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/settings/loader"
	"siskinfall/platform"
)

var errFindings = errors.New("the configuration has errors")

// running stands for the configuration in force.
const running = "RUNNING"

type configCmd struct {
	Check *configCheckCmd `arg:"subcommand:check,required" help:"check a configuration before it is sent"`
}

func (c *configCmd) run() error { return c.Check.run() }

type configCheckCmd struct {
	File     string `arg:"positional,required" help:"configuration, as it would be sent"`
	Against  string `arg:"--against" help:"show what differs from another FILE, or from RUNNING, read from the platform of the settings"`
	Settings string `arg:"--settings" help:"settings file of a gateway, for its bound on retries and its platform"`
	JSON     bool   `arg:"--json" help:"print JSON"`
}

// configReport is printed as it is with --json.
type configReport struct {
	Findings []checker.Finding `json:"findings"`
	Changes  []checker.Change  `json:"changes"`
}

func (c *configCheckCmd) run() error {
	settings := loader.NewSettings()
	var opts []checker.Option
	if c.Settings != "" {
		var err error
		if settings, err = loader.Load(c.Settings); err != nil {
			return err
		}
		opts = append(opts, checker.WithRetryBudget(settings.Gateway.RepeatRatio, settings.Gateway.RepeatSlack))
	}
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	report := configReport{Findings: []checker.Finding{}, Changes: []checker.Change{}}
	catalog, findings := platform.CheckConfiguration(data, opts...)
	report.Findings = append(report.Findings, findings...)
	if c.Against != "" && catalog != nil {
		other, err := c.loadOther(settings)
		if err != nil {
			return err
		}
		changes, err := checker.Diff(other, catalog)
		if err != nil {
			return err
		}
		report.Changes = append(report.Changes, changes...)
	}
	if err := report.write(os.Stdout, c.JSON); err != nil {
		return err
	}
	if checker.HasErrors(findings) {
		return errFindings
	}
	return nil
}

// loadOther returns the catalog that is compared.
func (c *configCheckCmd) loadOther(settings *loader.Settings) (*holder.Catalog, error) {
	if c.Against == running {
		ctx, cancel := context.WithTimeout(context.Background(), settings.Platform.Timeout)
		defer cancel()
		catalog, _, err := platform.NewStore(settings.Platform.Address).GetCatalog(ctx)
		if err == nil && catalog == nil {
			err = errors.New("no configuration is in force")
		}
		return catalog, err
	}
	data, err := os.ReadFile(c.Against)
	if err != nil {
		return nil, err
	}
	catalog, findings := platform.CheckConfiguration(data)
	if catalog == nil {
		return nil, fmt.Errorf("%s: %s", c.Against, findings[0])
	}
	return catalog, nil
}

func (r *configReport) write(w io.Writer, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	for _, c := range r.Changes {
		if _, err := fmt.Fprintln(w, "change:", c); err != nil {
			return err
		}
	}
	return nil
}
