package command

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"flamingospar.org/base/netx"
	"flamingospar.org/flamingospar/ask"
	"flamingospar.org/flamingospar/client"
)

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// table is what a command prints as text.
type table struct {
	header []string
	rows   [][]string
}

func (a *app) outputFlag(sub *flaggy.Subcommand) *string {
	output := outputText
	sub.String(&output, "o", "output", "text or json")
	return &output
}

// print writes answer as JSON or the table as text.
func (a *app) print(output *string, answer any, t table) error {
	switch *output {
	case outputJSON:
		encoder := json.NewEncoder(a.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	case outputText:
		return a.printTable(t)
	default:
		return misuse{fmt.Errorf("--output %q is unknown; remedy: use %s or %s", *output, outputText, outputJSON)}
	}
}

func (a *app) printTable(t table) error {
	writer := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

// remote adds the flag that names an entry and returns its client.
func (a *app) remote(sub *flaggy.Subcommand) func() *client.Client {
	base := "http://127.0.0.1:8081"
	sub.String(&base, "", "operator", "an entry's operators' address; the credential comes from "+ask.CredentialVariable)
	return func() *client.Client {
		return client.New(base, os.Getenv(ask.CredentialVariable), netx.HTTP1Client(a.network))
	}
}
