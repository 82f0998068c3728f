// Command standin runs the stand-in platform and stand-in backend servers as separate
// processes, and the project's benchmarks.
package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/charmbracelet/log"

	"siskinfall/internal/expert/evaluator"
	"siskinfall/internal/standin/bencher"
	"siskinfall/internal/standin/keeper"
	"siskinfall/internal/standin/responder"
)

type args struct {
	Platform *platformCmd `arg:"subcommand:platform" help:"run the stand-in platform"`
	Backend  *backendCmd  `arg:"subcommand:backend" help:"run a stand-in backend server"`
	Hop      *hopCmd      `arg:"subcommand:hop" help:"run a plain HTTP proxy, the baseline of the benchmarks"`
	Capacity *capacityCmd `arg:"subcommand:capacity" help:"measure the cost per unit for the capacity page"`
	Bench    *benchCmd    `arg:"subcommand:bench" help:"measure the request path, tickets and the placement of experts"`
}

// command is a subcommand of the command line.
type command interface{ run() error }

func main() {
	var a args
	p := arg.MustParse(&a)
	cmd, ok := p.Subcommand().(command)
	if !ok {
		p.WriteHelp(os.Stdout)
		os.Exit(1)
	}
	if err := cmd.run(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

type platformCmd struct {
	Listen netip.AddrPort `arg:"--listen" default:"127.0.0.1:9000"`
}

func (c *platformCmd) run() error { return serve(c.Listen, keeper.New().Handler()) }

type backendCmd struct {
	Listen     netip.AddrPort `arg:"--listen" default:"127.0.0.1:9100"`
	TokenDelay time.Duration  `arg:"--token-delay" default:"5ms"`
	Latency    time.Duration  `arg:"--latency" default:"0s"`
}

func (c *backendCmd) run() error {
	crash := func() { os.Exit(3) }
	s := responder.New(responder.WithCrash(crash), responder.WithFaults(responder.Faults{TokenDelay: c.TokenDelay, Latency: c.Latency}))
	return serve(c.Listen, s.Handler())
}

type hopCmd struct {
	Listen netip.AddrPort `arg:"--listen,required"`
	Next   netip.AddrPort `arg:"--next,required"`
}

func (c *hopCmd) run() error { return bencher.RunHop(c.Listen, c.Next) }

type benchCmd struct {
	Path    bool   `arg:"--path" help:"measure the request path only"`
	Maps    bool   `arg:"--maps" help:"measure the placement of experts only"`
	Tickets bool   `arg:"--tickets" help:"measure the propagation of tickets only"`
	Seed    uint64 `arg:"--seed" default:"1"`
}

func (c *benchCmd) run() error {
	log.SetLevel(log.ErrorLevel)
	runAll := !c.Path && !c.Maps && !c.Tickets
	for _, benchmark := range []struct {
		selected bool
		run      func() error
	}{
		{c.Path, func() error { return bencher.WritePath(os.Stdout) }},
		{c.Tickets, func() error { return bencher.WriteTickets(os.Stdout) }},
		{c.Maps, func() error { return evaluator.Write(os.Stdout, c.Seed) }},
	} {
		if !benchmark.selected && !runAll {
			continue
		}
		if err := benchmark.run(); err != nil {
			return err
		}
	}
	return nil
}

type capacityCmd struct {
	Write string `arg:"--write,required" help:"page whose measured part is replaced"`
}

func (c *capacityCmd) run() error {
	log.SetLevel(log.ErrorLevel)
	return bencher.WriteCapacity(os.Stderr, c.Write)
}

// readHeaderTimeout bounds the time in which a request's headers must arrive.
const readHeaderTimeout = time.Minute

func serve(addr netip.AddrPort, h http.Handler) error {
	srv := &http.Server{Addr: addr.String(), Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	return srv.ListenAndServe()
}
