// Package ask holds the operators' subcommands that only ask: status, explain
// and usage reconcile. They call the operators' interface of any entry.
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
	defaultOperator = "http://127.0.0.1:8081"
	callTimeout     = 15 * time.Second
	watchEvery      = 2 * time.Second
)

// Commands are the subcommands and their flags.
type Commands struct {
	http     *http.Client
	operator string
	output   string
	watch    bool
	subject  string
	limit    int
	window   int

	status    *flaggy.Subcommand
	request   *flaggy.Subcommand
	endpoint  *flaggy.Subcommand
	team      *flaggy.Subcommand
	reconcile *flaggy.Subcommand
}

// CredentialVariable holds the operator's credential; a flag would show it in
// the list of processes.
const CredentialVariable = "FLAMINGOSPAR_CREDENTIAL"

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// Attach adds the subcommands to a parser. They call entries through httpClient.
func Attach(parser *flaggy.Parser, httpClient *http.Client) *Commands {
	c := &Commands{http: httpClient, operator: defaultOperator, output: outputText, limit: 100}
	c.status = c.command("status", "Show the fleet, leases, teams and what is wrong.")
	c.status.Bool(&c.watch, "w", "watch", "show it again every two seconds")
	parser.AttachSubcommand(c.status, 1)

	explain := flaggy.NewSubcommand("explain")
	explain.Description = "Show what was decided and why."
	c.request = c.subjectCommand(explain, "request", "ID")
	c.endpoint = c.subjectCommand(explain, "endpoint", "ID")
	c.team = c.subjectCommand(explain, "team", "NAME")
	parser.AttachSubcommand(explain, 1)

	usage := flaggy.NewSubcommand("usage")
	usage.Description = "Usage and its reconciliation."
	c.reconcile = c.command("reconcile", "Compare what agents and entries counted, what was sealed and what was reported.")
	c.reconcile.Int(&c.window, "", "window", "number of the window; 0: the newest sealed one")
	usage.AttachSubcommand(c.reconcile, 1)
	parser.AttachSubcommand(usage, 1)
	return c
}

func (c *Commands) command(name, description string) *flaggy.Subcommand {
	command := flaggy.NewSubcommand(name)
	command.Description = description
	command.String(&c.operator, "", "operator", "operators' URL of any entry; the credential comes from "+CredentialVariable)
	command.String(&c.output, "o", "output", "text or json")
	return command
}

func (c *Commands) subjectCommand(parent *flaggy.Subcommand, name, placeholder string) *flaggy.Subcommand {
	command := c.command(name, "Explain one "+name+".")
	command.AddPositionalValue(&c.subject, placeholder, 1, true, "which "+name)
	command.Int(&c.limit, "", "limit", "the newest so many events")
	parent.AttachSubcommand(command, 1)
	return command
}

// Used reports whether one of the subcommands was given.
func (c *Commands) Used() bool {
	for _, command := range []*flaggy.Subcommand{c.status, c.request, c.endpoint, c.team, c.reconcile} {
		if command.Used {
			return true
		}
	}
	return false
}

// asJSON reports whether the answer itself is printed.
func (c *Commands) asJSON() bool { return c.output == outputJSON }

// Run executes the subcommand that was given.
func (c *Commands) Run(ctx context.Context, stdout io.Writer) error {
	if c.output != outputText && !c.asJSON() {
		return fmt.Errorf("--output %q is unknown; remedy: use %s or %s", c.output, outputText, outputJSON)
	}
	switch {
	case c.status.Used:
		return c.runStatus(ctx, stdout)
	case c.reconcile.Used:
		return c.runReconcile(ctx, stdout)
	default:
		return c.runExplain(ctx, stdout)
	}
}

// get reads a path of the operators' interface; into takes the JSON.
func (c *Commands) get(ctx context.Context, path string, query url.Values, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry := client.New(c.operator, os.Getenv(CredentialVariable), c.http)
	return entry.Call(ctx, http.MethodGet, path+"?"+query.Encode(), nil, into)
}

func printJSON(stdout io.Writer, body any) error {
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(body)
}
