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

// table is the text output of a command.
type table struct {
	header []string
	rows   [][]string
}

func (a *app) outputFlag(sub *flaggy.Subcommand) *string {
	output := outputText
	sub.String(&output, "o", "output", "text or json")
	return &output
}

// print writes answer as JSON, or tbl if the output format is text.
func (a *app) print(output *string, answer any, tbl table) error {
	switch *output {
	case outputJSON:
		encoder := json.NewEncoder(a.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	case outputText:
		return a.printTable(tbl)
	default:
		return usageError{fmt.Errorf("--output %q is unknown; remedy: use %s or %s", *output, outputText, outputJSON)}
	}
}

func (a *app) printTable(tbl table) error {
	writer := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(tbl.header, "\t"))
	for _, row := range tbl.rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

// entryClient adds the flag that names an entry. The returned function creates a
// client of that entry and must be called after the flags are parsed.
func (a *app) entryClient(sub *flaggy.Subcommand) func() *client.Client {
	baseURL := "http://127.0.0.1:8081"
	sub.String(&baseURL, "", "operator", "operator API URL of any entry; the credential is read from "+ask.CredentialVariable)
	return func() *client.Client {
		return client.New(baseURL, os.Getenv(ask.CredentialVariable), netx.HTTP1Client(a.network))
	}
}
