package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"flamingospar.org/base/logging"
	"flamingospar.org/gateway/node"
	"flamingospar.org/platform/site"
)

// defaultMetricsPort is outside the ports that the users' VMs reserve for other
// uses.
const defaultMetricsPort = 9464

// maxQueuedLogLines bounds the log lines queued for standard output.
const maxQueuedLogLines = 2048

var errNoSettingsFile = errors.New("no settings file is given; remedy: set " + site.SettingsVariable + " or give --settings")

// gatewayCommand is the name of the command that runs an entry process of the users' VMs.
const gatewayCommand = "gateway"

func (a *app) addGateway() {
	options := node.Options{SettingsPath: os.Getenv(site.SettingsVariable), MetricsPort: defaultMetricsPort, Reload: reloadRequests}
	sub := addCommand(a.parser, gatewayCommand, "Run the entry process of one of the users' VMs.", "FLAMINGOSPAR_NODE_FILE=settings.toml flamingospar gateway")
	sub.String(&options.SettingsPath, "s", "settings", "settings file of the VM; "+site.SettingsVariable+" sets the default")
	check, deploy := false, ""
	sub.Bool(&check, "", "check", "check the settings file and exit")
	sub.String(&deploy, "", "deploy", "check this deploy file and exit")
	sub.Int(&options.MetricsPort, "", "metrics-port", "port for metrics on the VM's address; 0 disables metrics")
	sub.Bool(&options.MeasureEndpoints, "", "measure-endpoints", "place requests by the measured speeds of endpoints")
	a.bind(sub, func(ctx context.Context) error {
		if deploy != "" {
			return checkDeployFile(a.stdout, deploy)
		}
		if options.SettingsPath == "" {
			return usageError{errNoSettingsFile}
		}
		if check {
			return checkSettings(a.stdout, options.SettingsPath)
		}
		out := logging.NewAsyncWriter(os.Stdout, maxQueuedLogLines)
		defer out.Close()
		if err := logging.SetFormat(logging.FormatJSON, out); err != nil {
			return err
		}
		return node.Run(ctx, options)
	})
}

// checkSettings reads the settings file of a VM as the process does at startup.
// The error names the file, the field and the remedy.
func checkSettings(out io.Writer, path string) error {
	settings, err := site.ReadSettings(path)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s can be used: VM %s in data centre %s, callers at %s, store at %s.\n",
		path, settings.NodeName, settings.DataCentre, settings.CallerAddress, settings.Store.Address)
	return err
}

// checkDeployFile reads a deploy file. The error names the file, the field and
// the remedy.
func checkDeployFile(out io.Writer, path string) error {
	deploy, err := site.ReadDeployment(path)
	if err != nil {
		return err
	}
	for _, role := range deploy.Roles {
		if _, err := fmt.Fprintf(out, "%s can be used: role %s runs %q, metrics on port %d.\n", path, role.Name, role.Command, role.MetricsPort); err != nil {
			return err
		}
	}
	return nil
}
