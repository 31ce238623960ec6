// Package ask implements the operators' read-only subcommands: status, explain
// and usage reconcile. They call the operator API of any entry.
package ask

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"flamingospar.org/flamingospar/client"
)

const (
	defaultOperatorURL = "http://127.0.0.1:8081"
	callTimeout        = 15 * time.Second
	watchInterval      = 2 * time.Second
)

// Commands holds the subcommands and the values of their flags.
type Commands struct {
	httpClient  *http.Client
	operatorURL string
	output      string
	watch       bool
	subject     string
	limit       int
	window      int

	statusCmd    *flaggy.Subcommand
	requestCmd   *flaggy.Subcommand
	endpointCmd  *flaggy.Subcommand
	teamCmd      *flaggy.Subcommand
	reconcileCmd *flaggy.Subcommand
}

// CredentialVariable is the environment variable that holds the operator's
// credential. A flag would show the credential in the process list.
const CredentialVariable = "FLAMINGOSPAR_CREDENTIAL"

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// Attach adds the subcommands to parser. They call entries through httpClient.
func Attach(parser *flaggy.Parser, httpClient *http.Client) *Commands {
	c := &Commands{httpClient: httpClient, operatorURL: defaultOperatorURL, output: outputText, limit: 100}
	c.statusCmd = c.newCommand("status", "Show the fleet, leases, teams and problems.")
	c.statusCmd.Bool(&c.watch, "w", "watch", "refresh every two seconds")
	parser.AttachSubcommand(c.statusCmd, 1)

	explain := flaggy.NewSubcommand("explain")
	explain.Description = "Show decisions and their reasons."
	c.requestCmd = c.addExplainCommand(explain, "request", "ID")
	c.endpointCmd = c.addExplainCommand(explain, "endpoint", "ID")
	c.teamCmd = c.addExplainCommand(explain, "team", "NAME")
	parser.AttachSubcommand(explain, 1)

	usage := flaggy.NewSubcommand("usage")
	usage.Description = "Usage and its reconciliation."
	c.reconcileCmd = c.newCommand("reconcile", "Compare the usage that agents and entries counted with the sealed and the reported usage.")
	c.reconcileCmd.Int(&c.window, "", "window", "window number; 0 for the newest sealed window")
	usage.AttachSubcommand(c.reconcileCmd, 1)
	parser.AttachSubcommand(usage, 1)
	return c
}

func (c *Commands) newCommand(name, description string) *flaggy.Subcommand {
	command := flaggy.NewSubcommand(name)
	command.Description = description
	command.String(&c.operatorURL, "", "operator", "operator API URL of any entry; the credential is read from "+CredentialVariable)
	command.String(&c.output, "o", "output", "text or json")
	return command
}

func (c *Commands) addExplainCommand(parent *flaggy.Subcommand, name, placeholder string) *flaggy.Subcommand {
	command := c.newCommand(name, "Explain one "+name+".")
	command.AddPositionalValue(&c.subject, placeholder, 1, true, "ID or name of the "+name)
	command.Int(&c.limit, "", "limit", "maximum number of events; the newest are shown")
	parent.AttachSubcommand(command, 1)
	return command
}

// Used reports whether one of the subcommands was given.
func (c *Commands) Used() bool {
	for _, command := range []*flaggy.Subcommand{c.statusCmd, c.requestCmd, c.endpointCmd, c.teamCmd, c.reconcileCmd} {
		if command.Used {
			return true
		}
	}
	return false
}

// asJSON reports whether the response is printed as JSON.
func (c *Commands) asJSON() bool { return c.output == outputJSON }

// Run executes the subcommand that was given.
func (c *Commands) Run(ctx context.Context, stdout io.Writer) error {
	if c.output != outputText && !c.asJSON() {
		return fmt.Errorf("--output %q is unknown; remedy: use %s or %s", c.output, outputText, outputJSON)
	}
	switch {
	case c.statusCmd.Used:
		return c.runStatus(ctx, stdout)
	case c.reconcileCmd.Used:
		return c.runReconcile(ctx, stdout)
	default:
		return c.runExplain(ctx, stdout)
	}
}

// get requests a path of the operator API and decodes the JSON response into out.
func (c *Commands) get(ctx context.Context, path string, query url.Values, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry := client.New(c.operatorURL, os.Getenv(CredentialVariable), c.httpClient)
	return entry.Call(ctx, http.MethodGet, path+"?"+query.Encode(), nil, out)
}

func printJSON(stdout io.Writer, body any) error {
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(body)
}
