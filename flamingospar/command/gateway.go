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

// defaultMetricsPort is beside the ports that the users' VMs keep for others.
const defaultMetricsPort = 9464

// logLines bounds the log lines that wait for standard output.
const logLines = 2048

var errNoSettings = errors.New("no settings file is named; remedy: set " + site.SettingsVariable + " or give --settings")

func (a *app) addGateway() {
	options := node.Options{SettingsPath: os.Getenv(site.SettingsVariable), MetricsPort: defaultMetricsPort}
	sub := command(a.parser, "gateway", "Run the entry process of one of the users' VMs.", "FLAMINGOSPAR_NODE_FILE=settings.toml flamingospar gateway")
	sub.String(&options.SettingsPath, "s", "settings", "settings file of the VM; "+site.SettingsVariable+" names it otherwise")
	check, deploy := false, ""
	sub.Bool(&check, "", "check", "read the settings file, say whether it can be used, and start nothing")
	sub.String(&deploy, "", "deploy", "check this deploy file instead, and start nothing")
	sub.Int(&options.MetricsPort, "", "metrics-port", "port for metrics on the VM's address; 0 for none")
	a.bind(sub, func(ctx context.Context) error {
		if deploy != "" {
			return checkDeploy(a.stdout, deploy)
		}
		if options.SettingsPath == "" {
			return misuse{errNoSettings}
		}
		if check {
			return checkSettings(a.stdout, options.SettingsPath)
		}
		out := logging.NewAsyncWriter(os.Stdout, logLines)
		defer out.Close()
		if err := logging.SetFormat(logging.FormatJSON, out); err != nil {
			return err
		}
		return node.Run(ctx, options)
	})
}

// checkSettings reads the settings of a VM as the process would at its start.
// Its error names the file, the field and the remedy.
func checkSettings(out io.Writer, path string) error {
	settings, err := site.ReadSettings(path)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s can be used: VM %s in data centre %s, callers at %s, store at %s.\n",
		path, settings.NodeName, settings.DataCentre, settings.CallerAddress, settings.Store.Address)
	return err
}

// checkDeploy reads a deploy file. Its error names the file, the field and the
// remedy.
func checkDeploy(out io.Writer, path string) error {
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
