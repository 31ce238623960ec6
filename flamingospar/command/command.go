// Package command is the command line of flamingospar.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"flamingospar.org/base/logging"
	"flamingospar.org/base/netx"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitMisuse = 2
)

// Version is the version of this source.
const Version = "0.1.0"

// action is what a command does.
type action func(ctx context.Context) error

// app is one run of the command line.
type app struct {
	parser    *flaggy.Parser
	stdout    io.Writer
	stderr    io.Writer
	network   netx.Network
	logFormat string
	actions   []boundAction
}

// boundAction is a command without subcommands.
type boundAction struct {
	used func() bool
	run  action
}

// misuse is an error of the command line itself.
type misuse struct{ error }

// Unwrap returns the cause.
func (m misuse) Unwrap() error { return m.error }

// Run executes the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return RunOn(ctx, netx.TCP{}, args, stdout, stderr)
}

// RunOn is Run on a network and until ctx ends.
func RunOn(ctx context.Context, network netx.Network, args []string, stdout, stderr io.Writer) int {
	return newApp(stdout, stderr, network).execute(ctx, args)
}

func newApp(stdout, stderr io.Writer, network netx.Network) *app {
	a := &app{parser: flaggy.NewParser("flamingospar"), stdout: stdout, stderr: stderr, network: network, logFormat: logging.FormatText}
	a.parser.Description = "Serves models and plain services on a limited fleet."
	a.parser.Version = Version
	a.parser.ShowVersionWithVersionFlag = false // It would take the place of the command.
	a.parser.AdditionalHelpAppend = "\nExit codes: 0 done, 1 failed, 2 misuse.\nFlamingospar COMMAND --help shows examples."
	a.parser.String(&a.logFormat, "", "log-format", "text or json")
	a.addServe()
	a.addGateway()
	a.addDev()
	a.addCatalogue()
	a.addKey()
	a.addOperator()
	a.addAsk()
	a.addLoad()
	a.addExperiment()
	a.addCapacity()
	a.addAuthority()
	a.addVersion()
	return a
}

func (a *app) execute(ctx context.Context, args []string) int {
	if err := a.parser.ParseArgs(args); err != nil {
		return a.fail(exitMisuse, err)
	}
	if err := logging.SetFormat(a.logFormat, a.stderr); err != nil {
		return a.fail(exitMisuse, err)
	}
	for _, bound := range a.actions {
		if !bound.used() {
			continue
		}
		return a.outcome(bound.run(ctx))
	}
	a.parser.ShowHelp()
	return exitMisuse
}

// command attaches a command with an example of its use.
func command(parent interface {
	AttachSubcommand(*flaggy.Subcommand, int)
}, name, description, example string,
) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	if example != "" {
		sub.AdditionalHelpAppend = "\nExample:\n  " + example
	}
	parent.AttachSubcommand(sub, 1)
	return sub
}

func (a *app) bind(sub *flaggy.Subcommand, run action) {
	a.actions = append(a.actions, boundAction{used: func() bool { return sub.Used }, run: run})
}

func (a *app) outcome(err error) int {
	var wrong misuse
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &wrong):
		return a.fail(exitMisuse, err)
	default:
		return a.fail(exitFailed, err)
	}
}

func (a *app) fail(code int, err error) int {
	fmt.Fprintln(a.stderr, "flamingospar:", err)
	return code
}
