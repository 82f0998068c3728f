package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"siskinfall/internal/catalog/holder"
	"siskinfall/internal/catalog/inspector"
	"siskinfall/internal/config/registrar"
	"siskinfall/platform"
)

var errInvalidConfig = errors.New("configuration has errors")

// storeTimeout bounds the read of the configuration in force.
const storeTimeout = 5 * time.Second

type configCmd struct {
	Check *configCheckCmd `arg:"subcommand:check" help:"check a configuration or a ticket before it is sent"`
}

func (c *configCmd) run() error {
	if c.Check == nil {
		return errors.New("say check")
	}
	return c.Check.run()
}

type configCheckCmd struct {
	File       string   `arg:"positional,required" help:"configuration for the users' platform (JSON), or with --ticket a change ticket"`
	Ticket     bool     `arg:"--ticket" help:"the file is a ticket of the product's own interface"`
	Against    string   `arg:"--against" help:"compare with this file, or with the version in force in the store at this address"`
	RetryRatio *float64 `arg:"--retry-ratio" help:"retries that the fleet may make for each request (setting gateway.repeat_ratio)"`
	JSON       bool     `arg:"--json" help:"print JSON"`
}

// configReport is the result of a check.
type configReport struct {
	Findings    []inspector.Finding    `json:"findings"`
	Differences []inspector.Difference `json:"differences"`
}

func (c *configCheckCmd) run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var r configReport
	if c.Ticket {
		t, err := registrar.ParseTicket(data)
		if err != nil {
			return err
		}
		r.Findings = inspector.InspectTicket(t)
	} else if r, err = c.checkCatalog(data); err != nil {
		return err
	}
	if err := c.print(&r); err != nil {
		return err
	}
	if inspector.HasErrors(r.Findings) {
		return errInvalidConfig
	}
	return nil
}

// checkCatalog checks a configuration for the users' platform.
func (c *configCheckCmd) checkCatalog(data []byte) (configReport, error) {
	f, err := platform.ParseOperatorFile(data)
	if err != nil {
		return configReport{}, errors.Join(errInvalidConfig, err)
	}
	opts := []inspector.Option{inspector.WithLines(f.GetLine)}
	if c.RetryRatio != nil {
		opts = append(opts, inspector.WithRetryRatio(*c.RetryRatio))
	}
	r := configReport{Findings: inspector.Inspect(f.Catalog, opts...)}
	if c.Against == "" {
		return r, nil
	}
	inForce, err := c.readOther()
	if err != nil {
		return r, err
	}
	r.Findings = append(r.Findings, inspector.CheckVersion(inForce, f.Catalog)...)
	r.Differences = inspector.Compare(inForce, f.Catalog)
	return r, nil
}

// readOther returns the configuration to compare with.
func (c *configCheckCmd) readOther() (*holder.Catalog, error) {
	if addr, err := netip.ParseAddrPort(c.Against); err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		o, _, err := platform.NewStore(addr).GetOperator(ctx)
		if err == nil && o.Catalog == nil {
			o.Catalog = &holder.Catalog{}
		}
		return o.Catalog, err
	}
	data, err := os.ReadFile(c.Against)
	if err != nil {
		return nil, err
	}
	f, err := platform.ParseOperatorFile(data)
	if err != nil {
		return nil, err
	}
	return f.Catalog, nil
}

func (c *configCheckCmd) print(r *configReport) error {
	if c.JSON {
		return printJSON(r)
	}
	for _, f := range r.Findings {
		fmt.Println(f)
	}
	for _, d := range r.Differences {
		fmt.Println("differs:", d)
	}
	if len(r.Findings) == 0 {
		fmt.Println("no findings")
	}
	return nil
}
