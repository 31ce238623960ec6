// Package command implements the command line of flamingospar.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/integrii/flaggy"

	"flamingospar.org/base/logging"
	"flamingospar.org/base/netx"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Version is the version of flamingospar.
const Version = "0.1.0"

// action executes a command.
type action func(ctx context.Context) error

// app holds the state of one execution of the command line.
type app struct {
	parser    *flaggy.Parser
	stdout    io.Writer
	stderr    io.Writer
	network   netx.Network
	logFormat string
	actions   []boundAction
}

// boundAction is the action of a command or of a group of commands.
type boundAction struct {
	used func() bool
	run  action
}

// usageError is an error in how the command was called, such as an unknown flag
// value or an unreadable file. The exit code is exitUsage.
type usageError struct{ error }

func (m usageError) Unwrap() error { return m.error }

// Run executes the command line until SIGINT or SIGTERM and returns the exit
// code.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if slices.Contains(args, gatewayCommand) {
		signal.Notify(reloadRequests, syscall.SIGHUP) // Before anything else: the signal would end the process.
	}
	return RunOn(ctx, netx.TCP{}, args, stdout, stderr)
}

// reloadRequests receives the signals to the gateway to read its settings again.
var reloadRequests = make(chan os.Signal, 1)

// RunOn is like Run, but uses the given network and stops when ctx ends.
func RunOn(ctx context.Context, network netx.Network, args []string, stdout, stderr io.Writer) int {
	return newApp(stdout, stderr, network).execute(ctx, args)
}

func newApp(stdout, stderr io.Writer, network netx.Network) *app {
	a := &app{parser: flaggy.NewParser("flamingospar"), stdout: stdout, stderr: stderr, network: network, logFormat: logging.FormatText}
	a.parser.Description = "Serves models and plain services on a limited fleet."
	a.parser.Version = Version
	a.parser.ShowVersionWithVersionFlag = false // The version flag would shadow the version command.
	a.parser.AdditionalHelpAppend = "\nExit codes: 0 success, 1 failure, 2 usage error.\nFlamingospar COMMAND --help shows examples."
	a.parser.String(&a.logFormat, "", "log-format", "text or json")
	a.addServe()
	a.addGateway()
	a.addCheckConfiguration()
	a.addDev()
	a.addCatalogue()
	a.addKey()
	a.addOperator()
	a.addOperatorCommands()
	a.addLoad()
	a.addExperiment()
	a.addCapacity()
	a.addAuthority()
	a.addVersion()
	return a
}

func (a *app) execute(ctx context.Context, args []string) int {
	if err := a.parser.ParseArgs(args); err != nil {
		return a.reportError(exitUsage, err)
	}
	if err := logging.SetFormat(a.logFormat, a.stderr); err != nil {
		return a.reportError(exitUsage, err)
	}
	for _, bound := range a.actions {
		if !bound.used() {
			continue
		}
		return a.exitCode(bound.run(ctx))
	}
	a.parser.ShowHelp()
	return exitUsage
}

// addCommand attaches a command to parent. The help text shows the example.
func addCommand(parent interface {
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

func (a *app) exitCode(err error) int {
	var usageErr usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usageErr):
		return a.reportError(exitUsage, err)
	default:
		return a.reportError(exitFailed, err)
	}
}

func (a *app) reportError(code int, err error) int {
	fmt.Fprintln(a.stderr, "flamingospar:", err)
	return code
}
