// Package settle holds the operator subcommands that handle single requests:
// requests whose outcome is unknown and requests that crash endpoints.
package settle

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"flamingospar.org/core/claim"
	"flamingospar.org/core/crash"
	"flamingospar.org/entry/operator"
	"flamingospar.org/flamingospar/ask"
	"flamingospar.org/flamingospar/client"
)

const (
	defaultOperatorURL = "http://127.0.0.1:8081"
	callTimeout        = 15 * time.Second
)

// Commands are the subcommands and their flags.
type Commands struct {
	httpClient  *http.Client
	operatorURL string
	settlement  operator.SettleRequest
	fingerprint string

	listCmd       *flaggy.Subcommand
	settleCmd     *flaggy.Subcommand
	crashListCmd  *flaggy.Subcommand
	crashClearCmd *flaggy.Subcommand
}

// Attach adds the subcommands to the parser. They call the entry through client.
func Attach(parser *flaggy.Parser, client *http.Client) *Commands {
	c := &Commands{httpClient: client, operatorURL: defaultOperatorURL}
	request := flaggy.NewSubcommand("request")
	request.Description = "Requests whose outcome is unknown."
	c.listCmd = c.addCommand(request, "list", "List the requests that may have run and are not retried.")
	c.settleCmd = c.addCommand(request, "settle", "Record the outcome of a request, as its service shows it.")
	c.settleCmd.String(&c.settlement.Team, "", "team", "team that sent the request")
	c.settleCmd.String(&c.settlement.Key, "", "key", "Idempotency-Key of the request")
	c.settleCmd.String(&c.settlement.Outcome, "", "outcome", "ran or not-run")
	c.settleCmd.String(&c.settlement.Operator, "", "by", "your name")
	parser.AttachSubcommand(request, 1)

	crashes := flaggy.NewSubcommand("crash")
	crashes.Description = "Requests that were running when endpoints crashed."
	c.crashListCmd = c.addCommand(crashes, "list", "List the requests with crash marks; those with two crashes are refused.")
	c.crashClearCmd = c.addCommand(crashes, "clear", "Remove the crash marks of a request, so that it can run again.")
	c.crashClearCmd.AddPositionalValue(&c.fingerprint, "FINGERPRINT", 1, true, "fingerprint of the request")
	parser.AttachSubcommand(crashes, 1)
	return c
}

func (c *Commands) addCommand(parent *flaggy.Subcommand, name, description string) *flaggy.Subcommand {
	command := flaggy.NewSubcommand(name)
	command.Description = description
	command.String(&c.operatorURL, "", "operator", "operators' URL of any entry; the credential comes from "+ask.CredentialVariable)
	parent.AttachSubcommand(command, 1)
	return command
}

// Used reports whether one of the subcommands was selected.
func (c *Commands) Used() bool {
	return c.listCmd.Used || c.settleCmd.Used || c.crashListCmd.Used || c.crashClearCmd.Used
}

// Run executes the selected subcommand.
func (c *Commands) Run(ctx context.Context, stdout io.Writer) error {
	switch {
	case c.listCmd.Used:
		return c.printUnknownRequests(ctx, stdout)
	case c.settleCmd.Used:
		return c.call(ctx, http.MethodPost, "/v1/claims/settle", c.settlement, nil)
	case c.crashListCmd.Used:
		return c.printCrashMarks(ctx, stdout)
	default:
		return c.call(ctx, http.MethodDelete, "/v1/crashes/"+url.PathEscape(c.fingerprint), nil, nil)
	}
}

func (c *Commands) printUnknownRequests(ctx context.Context, stdout io.Writer) error {
	var rows []claim.Row
	if err := c.call(ctx, http.MethodGet, "/v1/claims/unknown", nil, &rows); err != nil {
		return err
	}
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TEAM\tKEY\tREQUEST ID\tDEADLINE")
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", row.Team, row.Key, row.Owner, time.UnixMilli(row.Deadline).UTC().Format(time.RFC3339))
	}
	return table.Flush()
}

func (c *Commands) printCrashMarks(ctx context.Context, stdout io.Writer) error {
	var marks []crash.Mark
	if err := c.call(ctx, http.MethodGet, "/v1/crashes", nil, &marks); err != nil {
		return err
	}
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "FINGERPRINT\tTEAM\tCRASHES\tREFUSED")
	for _, mark := range marks {
		count := mark.Count(time.Now())
		fmt.Fprintf(table, "%s\t%s\t%d\t%t\n", mark.Fingerprint, mark.Team, count, count >= crash.RefuseThreshold)
	}
	return table.Flush()
}

// call sends a request with body and decodes the JSON response into out, unless
// out is nil.
func (c *Commands) call(ctx context.Context, method, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry := client.New(c.operatorURL, os.Getenv(ask.CredentialVariable), c.httpClient)
	return entry.Call(ctx, method, path, body, out)
}
