// Package command is the command line of flamingospar.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"flamingospar.org/base/logging"
	"flamingospar.org/base/netx"
	"flamingospar.org/entry/settings"
	"flamingospar.org/entry/wiring"
	"flamingospar.org/flamingospar/ask"
	"flamingospar.org/flamingospar/authority"
	"flamingospar.org/flamingospar/capacity"
	"flamingospar.org/flamingospar/dev"
	"flamingospar.org/flamingospar/experiment"
	"flamingospar.org/flamingospar/settle"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitMisuse = 2
)

// Run executes the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	parser := flaggy.NewParser("flamingospar")
	parser.Description = "Serves models and plain services on a limited fleet."
	parser.ShowHelpOnUnexpected = false
	devOptions := dev.DefaultOptions()
	devCommand := flaggy.NewSubcommand("dev")
	devCommand.Description = "Run entry and agents beside stand-ins, on this machine."
	devCommand.String(&devOptions.Fleet, "", "fleet", "shedline or trust")
	devCommand.String(&devOptions.Listen, "", "listen", "callers' address")
	devCommand.String(&devOptions.OperatorListen, "", "operator-listen", "operators' address")
	devCommand.Int(&devOptions.Entries, "", "entries", "number of entries")
	devCommand.String(&devOptions.Only, "", "only", "platform,endpoints: run the stand-ins alone")
	settingsPath := "entry.toml"
	serveCommand := flaggy.NewSubcommand("serve")
	serveCommand.Description = "Run an entry process."
	serveCommand.String(&settingsPath, "s", "settings", "TOML settings file")
	experimentOptions := experiment.DefaultOptions()
	experimentCommand := flaggy.NewSubcommand("experiment")
	experimentCommand.Description = "Compare policies over seeded loads on virtual time."
	experimentCommand.String(&experimentOptions.Trace, "", "trace", "traces, by name or file; all when empty")
	experimentCommand.String(&experimentOptions.Policies, "", "policies", "policies by name; all when empty")
	experimentCommand.String(&experimentOptions.Fleet, "", "fleet", "shedline or trust; both when empty")
	experimentCommand.Int(&experimentOptions.Seeds, "", "seeds", "runs of each, with seeds from 1")
	experimentCommand.Int(&experimentOptions.Workers, "", "workers", "runs at once")
	experimentCommand.String(&experimentOptions.Out, "", "out", "directory for CSV and plots")
	parser.AttachSubcommand(experimentCommand, 1)
	parser.AttachSubcommand(devCommand, 1)
	parser.AttachSubcommand(serveCommand, 1)
	asked := ask.Attach(parser)
	settled := settle.Attach(parser)
	capacityOptions := capacity.DefaultOptions()
	capacityCommand := attachCapacity(parser, &capacityOptions)
	authorityOptions := authority.DefaultOptions()
	authorityCommand := attachAuthority(parser, &authorityOptions)
	if err := parser.ParseArgs(args); err != nil {
		return fail(stderr, exitMisuse, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	switch {
	case devCommand.Used:
		return outcome(stderr, dev.Run(ctx, devOptions, stdout))
	case capacityCommand.Used:
		return outcome(stderr, capacity.Run(capacityOptions, stdout))
	case authorityCommand.Used:
		return outcome(stderr, authority.Run(ctx, authorityOptions, stdout))
	case settled.Used():
		return outcome(stderr, settled.Run(ctx, stdout))
	case asked.Used():
		return outcome(stderr, asked.Run(ctx, stdout))
	case experimentCommand.Used:
		return outcome(stderr, experiment.Run(ctx, experimentOptions, stdout))
	case serveCommand.Used:
		return serve(ctx, settingsPath, stderr)
	default:
		parser.ShowHelp()
		return exitMisuse
	}
}

func serve(ctx context.Context, path string, stderr io.Writer) int {
	data, err := os.ReadFile(path)
	if err != nil {
		return fail(stderr, exitMisuse, err)
	}
	parsed, err := settings.Parse(data)
	if err != nil {
		return fail(stderr, exitMisuse, err)
	}
	entry, err := wiring.Build(parsed, netx.TCP{})
	if err != nil {
		return fail(stderr, exitFailed, err)
	}
	logging.SetSink(entry.Journal().Log)
	listeners, err := entry.Listen()
	if err != nil {
		return fail(stderr, exitFailed, err)
	}
	return outcome(stderr, entry.Serve(ctx, listeners))
}

func outcome(stderr io.Writer, err error) int {
	if err != nil {
		return fail(stderr, exitFailed, err)
	}
	return exitDone
}

func fail(stderr io.Writer, code int, err error) int {
	fmt.Fprintln(stderr, "flamingospar:", err)
	return code
}
