// Package settle holds the operators' subcommands about single requests: those
// whose outcome is unknown and those that crash endpoints.
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
	defaultOperator = "http://127.0.0.1:8081"
	callTimeout     = 15 * time.Second
)

// Commands are the subcommands and their flags.
type Commands struct {
	http        *http.Client
	url         string
	settlement  operator.SettleRequest
	fingerprint string

	list   *flaggy.Subcommand
	settle *flaggy.Subcommand
	marks  *flaggy.Subcommand
	clear  *flaggy.Subcommand
}

// Attach adds the subcommands to a parser. They call entries through client.
func Attach(parser *flaggy.Parser, client *http.Client) *Commands {
	c := &Commands{http: client, url: defaultOperator}
	request := flaggy.NewSubcommand("request")
	request.Description = "Requests whose outcome is unknown."
	c.list = c.command(request, "list", "List the requests that may have run and are not repeated.")
	c.settle = c.command(request, "settle", "State what became of a request, as its service shows it.")
	c.settle.String(&c.settlement.Team, "", "team", "the team")
	c.settle.String(&c.settlement.Key, "", "key", "the Idempotency-Key")
	c.settle.String(&c.settlement.Outcome, "", "outcome", "ran or not-run")
	c.settle.String(&c.settlement.Operator, "", "by", "your name")
	parser.AttachSubcommand(request, 1)

	crashes := flaggy.NewSubcommand("crash")
	crashes.Description = "Requests that were running when endpoints crashed."
	c.marks = c.command(crashes, "list", "List the marked requests; those with two crashes are refused.")
	c.clear = c.command(crashes, "clear", "Let a marked request run again.")
	c.clear.AddPositionalValue(&c.fingerprint, "FINGERPRINT", 1, true, "which request")
	parser.AttachSubcommand(crashes, 1)
	return c
}

func (c *Commands) command(parent *flaggy.Subcommand, name, description string) *flaggy.Subcommand {
	command := flaggy.NewSubcommand(name)
	command.Description = description
	command.String(&c.url, "", "operator", "operators' URL of any entry; the credential comes from "+ask.CredentialVariable)
	parent.AttachSubcommand(command, 1)
	return command
}

// Used reports whether one of the subcommands was given.
func (c *Commands) Used() bool {
	return c.list.Used || c.settle.Used || c.marks.Used || c.clear.Used
}

// Run executes the subcommand that was given.
func (c *Commands) Run(ctx context.Context, stdout io.Writer) error {
	switch {
	case c.list.Used:
		return c.listRequests(ctx, stdout)
	case c.settle.Used:
		return c.call(ctx, http.MethodPost, "/v1/claims/settle", c.settlement, nil)
	case c.marks.Used:
		return c.listMarks(ctx, stdout)
	default:
		return c.call(ctx, http.MethodDelete, "/v1/crashes/"+url.PathEscape(c.fingerprint), nil, nil)
	}
}

func (c *Commands) listRequests(ctx context.Context, stdout io.Writer) error {
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

func (c *Commands) listMarks(ctx context.Context, stdout io.Writer) error {
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

// call sends body and reads the answer; into takes its JSON unless nil.
func (c *Commands) call(ctx context.Context, method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry := client.New(c.url, os.Getenv(ask.CredentialVariable), c.http)
	return entry.Call(ctx, method, path, body, into)
}
