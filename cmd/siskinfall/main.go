// Command siskinfall is a load balancer for expert-parallel model groups and
// other services.
//
// Exit codes: 0 success, 1 failure, 2 wrong settings, configuration, ticket or arguments,
// 3 refused by the entry instance, 4 a ticket is not in force everywhere yet.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"siskinfall/internal/config/registrar"
	"siskinfall/internal/operator/caller"
	"siskinfall/internal/settings/loader"
)

// Exit codes, as the package comment lists them.
const (
	exitFailure = 1
	exitInvalid = 2
	exitRefused = 3
	exitLagging = 4
)

var errLagging = errors.New("not in force everywhere yet")

type args struct {
	Entry     *entryCmd     `arg:"subcommand:entry" help:"run an entry instance"`
	Agent     *agentCmd     `arg:"subcommand:agent" help:"run the agent of a backend server"`
	Gateway   *gatewayCmd   `arg:"subcommand:gateway" help:"run a gateway on the users' platform"`
	Sidecar   *sidecarCmd   `arg:"subcommand:sidecar" help:"run the sidecar of a model engine on the users' platform"`
	Dev       *devCmd       `arg:"subcommand:dev" help:"run a small demo fleet in one process"`
	Ticket    *ticketCmd    `arg:"subcommand:ticket" help:"apply, show and list change tickets"`
	Config    *configCmd    `arg:"subcommand:config" help:"check a configuration before it is sent"`
	Status    *statusCmd    `arg:"subcommand:status" help:"show instances, their configuration and which of them lag"`
	Report    *reportCmd    `arg:"subcommand:report" help:"show reports"`
	Explain   *explainCmd   `arg:"subcommand:explain" help:"show the decisions on a recent request or an expert map"`
	Events    *eventsCmd    `arg:"subcommand:events" help:"show events of the fleet, such as ejections and configuration changes"`
	Execution *executionCmd `arg:"subcommand:execution" help:"show or settle non-idempotent executions"`
	Settings  *settingsCmd  `arg:"subcommand:settings" help:"check a settings file or print the defaults"`
	Version   *versionCmd   `arg:"subcommand:version" help:"print the version"`
}

// Description is printed above the help.
func (args) Description() string {
	return "siskinfall balances load over expert-parallel model groups."
}

// command is a subcommand of the command line.
type command interface{ run() error }

func main() {
	var a args
	p := arg.MustParse(&a)
	cmd, ok := p.Subcommand().(command)
	if !ok {
		p.WriteHelp(os.Stdout)
		os.Exit(exitInvalid)
	}
	if err := cmd.run(); err != nil {
		fmt.Fprintln(os.Stderr, "siskinfall:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	switch {
	case loader.IsInvalid(err), registrar.IsInvalidTicket(err), errors.Is(err, errInvalidConfig):
		return exitInvalid
	case caller.IsProblem(err):
		return exitRefused
	case errors.Is(err, errLagging):
		return exitLagging
	}
	return exitFailure
}
