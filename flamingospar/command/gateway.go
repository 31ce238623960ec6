package command

import (
	"context"
	"errors"
	"os"

	"flamingospar.org/base/logging"
	"flamingospar.org/gateway/node"
	"flamingospar.org/platform/site"
)

// defaultMetricsPort is beside the ports that the users' VMs keep for others.
const defaultMetricsPort = 9464

// logLines bounds the log lines that wait for standard output.
const logLines = 2048

var errNoSettings = errors.New("no settings file is named; remedy: set " + site.SettingsVariable + " or give --settings")

func (a *app) addGateway() {
	options := node.Options{SettingsPath: os.Getenv(site.SettingsVariable), MetricsPort: defaultMetricsPort}
	sub := command(a.parser, "gateway", "Run the entry process of one of the users' VMs.", "FLAMINGOSPAR_NODE_FILE=settings.toml flamingospar gateway")
	sub.String(&options.SettingsPath, "s", "settings", "settings file of the VM; "+site.SettingsVariable+" names it otherwise")
	sub.Int(&options.MetricsPort, "", "metrics-port", "port for metrics on the VM's address; 0 for none")
	a.bind(sub, func(ctx context.Context) error {
		if options.SettingsPath == "" {
			return misuse{errNoSettings}
		}
		out := logging.NewAsync(os.Stdout, logLines)
		defer out.Close()
		if err := logging.SetFormat(logging.FormatJSON, out); err != nil {
			return err
		}
		return node.Run(ctx, options)
	})
}
