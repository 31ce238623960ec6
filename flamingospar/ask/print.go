package ask

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"flamingospar.org/core/usage"
	"flamingospar.org/entry/observe"
)

// clearScreen moves the terminal's cursor to the top left corner and clears the
// screen.
const clearScreen = "\x1b[H\x1b[J"

func (c *Commands) runStatus(ctx context.Context, stdout io.Writer) error {
	for {
		var status observe.Status
		err := c.get(ctx, "/v1/status", nil, &status)
		if err != nil && !c.watch {
			return err
		}
		if c.watch {
			fmt.Fprint(stdout, clearScreen)
		}
		switch {
		case err != nil:
			fmt.Fprintln(stdout, err)
		case c.asJSON():
			err = printJSON(stdout, status)
		default:
			printStatus(stdout, status)
		}
		if !c.watch {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(watchInterval):
		}
	}
}

func printStatus(stdout io.Writer, status observe.Status) {
	out := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	defer out.Flush()
	fmt.Fprintf(out, "As seen by entry %s at %s\n\n", status.AskedEntry, status.At.Format(time.TimeOnly))
	fmt.Fprintln(out, "DATA CENTRE\tKIND\tMODEL\tROLE\tREADY\tOUTSTANDING\tQUEUED")
	for _, group := range status.DataCentres {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d/%d\t%d\t%d\n", group.Name, group.Kind, group.Model, group.Role, group.Ready, group.Endpoints, group.Outstanding, group.Queued)
	}
	fmt.Fprintf(out, "\n%d endpoints are paid for: %d idle, %d not ready; %.0f tokens per engine and minute with traffic\n",
		status.Spending.Endpoints, status.Spending.Idle, status.Spending.NotReady, status.Spending.TokensPerEngineMinute)
	fmt.Fprintln(out, "\nENTRY\tDATA CENTRE\tREADY\tREVISION\tMEMORY\tLEASES")
	for _, entry := range status.Entries {
		fmt.Fprintf(out, "%s\t%s\t%t\t%d\t%d MB\t%s\n", entry.Instance, entry.DataCentre, entry.Ready, entry.Revision, entry.HeapBytes>>20, heldLeases(entry))
	}
	fmt.Fprintln(out, "\nTEAM\tREQUESTS\tPROMPT\tOUTPUT\tSERVED\tSHARE")
	for _, team := range status.Teams {
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%.1f%%\t%.1f%%\n", team.Team, team.Requests, team.PromptTokens, team.OutputTokens, 100*team.Served, 100*team.Share)
	}
	fmt.Fprintln(out, "\nWHAT IS WRONG\tWHAT IS DONE")
	for _, problem := range status.Problems {
		fmt.Fprintf(out, "%s\t%s\n", problem.What, problem.Done)
	}
	if len(status.Problems) == 0 {
		fmt.Fprintln(out, "no problems are known to this entry")
	}
}

func heldLeases(entry observe.EntryStatus) string {
	var held []string
	for _, lease := range entry.Leases {
		if lease.Held {
			held = append(held, fmt.Sprintf("%s (epoch %d)", lease.Name, lease.Epoch))
		}
	}
	return strings.Join(held, ", ")
}

func (c *Commands) runExplain(ctx context.Context, stdout io.Writer) error {
	query := url.Values{"limit": {strconv.Itoa(c.limit)}}
	switch {
	case c.requestCmd.Used:
		query.Set("request", c.subject)
	case c.endpointCmd.Used:
		query.Set("endpoint", c.subject)
	default:
		query.Set("team", c.subject)
	}
	var explanation observe.Explanation
	if err := c.get(ctx, "/v1/explain", query, &explanation); err != nil {
		return err
	}
	if c.asJSON() {
		return printJSON(stdout, explanation)
	}
	printExplanation(stdout, explanation)
	return nil
}

func printExplanation(stdout io.Writer, explanation observe.Explanation) {
	for _, event := range explanation.Events {
		fmt.Fprintf(stdout, "%s %s %s: %s", event.At.Format("15:04:05.000"), event.Process, event.Part, event.Sentence)
		for _, field := range []struct{ name, value string }{{"code", event.Code}, {"endpoint", event.Endpoint}} {
			if field.value != "" {
				fmt.Fprintf(stdout, " %s=%s", field.name, field.value)
			}
		}
		for _, fact := range event.Facts {
			fmt.Fprintf(stdout, " %s=%q", fact.Name, fact.Value)
		}
		fmt.Fprintln(stdout)
	}
	if len(explanation.Events) == 0 {
		fmt.Fprintln(stdout, "No events found; journals keep events for a few minutes.")
	}
	for _, process := range explanation.Unreachable {
		fmt.Fprintln(stdout, "No answer from", process)
	}
}

func (c *Commands) runReconcile(ctx context.Context, stdout io.Writer) error {
	query := url.Values{}
	if c.window != 0 {
		query.Set("window", strconv.Itoa(c.window))
	}
	var result observe.Reconciliation
	if err := c.get(ctx, "/v1/usage/reconcile", query, &result); err != nil {
		return err
	}
	if c.asJSON() {
		return printJSON(stdout, result)
	}
	printReconciliation(stdout, result)
	return nil
}

func printReconciliation(stdout io.Writer, result observe.Reconciliation) {
	fmt.Fprintf(stdout, "Window %d from %s, sealed up to %d\n", result.Window, result.Start.Format(time.RFC3339), result.SealedWindow)
	out := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "TEAM\tAGENTS\tENTRIES\tSEALED\tREPORTED\tWHY THEY DIFFER")
	for _, line := range result.Lines {
		reasons := strings.Join(line.Explanations, "; ")
		if line.Unexplained {
			reasons += " (not explained)"
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\n", line.Team, formatFigures(line.Agents), formatFigures(line.Entries), formatFigures(line.Sealed), formatFigures(line.Reported), reasons)
	}
	out.Flush()
	for _, process := range result.Unreachable {
		fmt.Fprintln(stdout, "No answer from", process)
	}
}

// formatFigures formats the numbers of requests, prompt tokens and output tokens.
func formatFigures(figures usage.Figures) string {
	return fmt.Sprintf("%d/%d/%d", figures.Requests, figures.PromptTokens, figures.OutputTokens)
}
