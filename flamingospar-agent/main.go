// Command flamingospar-agent runs in the slot beside one endpoint and is the
// only process that talks to it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"flamingospar.org/agent/settings"
	"flamingospar.org/agent/wiring"
	"flamingospar.org/base/logging"
	"flamingospar.org/base/netx"
	"flamingospar.org/base/settingflags"
	"flamingospar.org/core/strict"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	path := "agent.toml"
	flaggy.SetName("flamingospar-agent")
	flaggy.SetDescription("Runs beside one endpoint and executes requests on it.")
	flaggy.String(&path, "s", "settings", "TOML settings file; each setting can be overridden by the flag of its name")
	logFormat := logging.FormatText
	flaggy.String(&logFormat, "", "log-format", "text or json")
	flags := settingflags.Register(&flaggy.DefaultParser.Subcommand, settingNames())
	flaggy.Parse()
	if err := logging.SetFormat(logFormat, os.Stderr); err != nil {
		os.Exit(reportError(exitUsage, err))
	}
	os.Exit(run(path, flags.Overrides()))
}

func settingNames() []string {
	var names []string
	for _, key := range strict.Keys(settings.Defaults()) {
		names = append(names, key.Name)
	}
	return names
}

func run(path string, overrides map[string]string) int {
	data, err := os.ReadFile(path)
	if err != nil {
		return reportError(exitUsage, err)
	}
	parsed, err := settings.Parse(path, data, overrides)
	if err != nil {
		return reportError(exitUsage, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := serve(ctx, parsed); err != nil {
		return reportError(exitFailed, err)
	}
	return 0
}

func serve(ctx context.Context, s settings.Settings) error {
	agent, err := wiring.Build(s, netx.TCP{})
	if err != nil {
		return err
	}
	logging.SetSink(agent.Journal().Log)
	listener, err := agent.Listen()
	if err != nil {
		return err
	}
	return agent.Serve(ctx, listener)
}

func reportError(code int, err error) int {
	fmt.Fprintln(os.Stderr, "flamingospar-agent:", err)
	return code
}
