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
)

// Exit codes.
const (
	exitFailed = 1
	exitMisuse = 2
)

func main() {
	path := "agent.toml"
	flaggy.SetName("flamingospar-agent")
	flaggy.SetDescription("Runs beside one endpoint and executes requests on it.")
	flaggy.String(&path, "s", "settings", "TOML settings file")
	flaggy.Parse()
	os.Exit(run(path))
}

func run(path string) int {
	data, err := os.ReadFile(path)
	if err != nil {
		return fail(exitMisuse, err)
	}
	parsed, err := settings.Parse(data)
	if err != nil {
		return fail(exitMisuse, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := serve(ctx, parsed); err != nil {
		return fail(exitFailed, err)
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

func fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, "flamingospar-agent:", err)
	return code
}
