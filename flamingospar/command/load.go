package command

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"flamingospar.org/flamingospar/load"
)

func (a *app) addLoad() {
	options := load.DefaultOptions()
	sub := addCommand(a.parser, "load", "Compare requests through entry and agent with direct requests to the stand-in engines, on loopback.", "flamingospar load --concurrency 64 --requests 5000")
	sub.String(&options.Fleet, "", "fleet", "shedline or trust")
	sub.Int(&options.Requests, "", "requests", "number of requests in each phase")
	sub.Int(&options.Concurrency, "", "concurrency", "number of concurrent requests")
	sub.Int(&options.MaxTokens, "", "max-tokens", "output tokens of each response")
	sub.Int(&options.Rounds, "", "rounds", "number of rounds, each with a direct and a served phase")
	sub.Int(&options.Seconds, "", "seconds", "time limit of the whole run in seconds")
	output := a.outputFlag(sub)
	a.bind(sub, func(ctx context.Context) error {
		report, err := load.Run(ctx, options)
		var rangeErr *load.OptionRangeError
		if errors.As(err, &rangeErr) {
			return usageError{err}
		}
		if err != nil {
			return err
		}
		return a.print(output, report, loadTable(report))
	})
}

func loadTable(report load.Report) table {
	tbl := table{header: []string{"WAY", "REQUESTS", "FAILED", "PER SECOND", "FIRST P50 MS", "FIRST P99 MS", "TOTAL P50 MS", "TOTAL P99 MS"}}
	for _, phase := range []struct {
		name   string
		result load.Result
	}{{"direct", report.Direct}, {"served", report.Served}} {
		r := phase.result
		tbl.rows = append(tbl.rows, []string{phase.name, strconv.Itoa(r.Requests), strconv.Itoa(r.Failed), formatDecimal(r.PerSecond), formatDecimal(r.FirstP50), formatDecimal(r.FirstP99), formatDecimal(r.TotalP50), formatDecimal(r.TotalP99)})
	}
	added := report.AddedMs
	tbl.rows = append(tbl.rows, []string{"added", "", "", "", formatDecimal(added.FirstP50), formatDecimal(added.FirstP99), formatDecimal(added.TotalP50), formatDecimal(added.TotalP99)})
	return tbl
}

func formatDecimal(value float64) string { return fmt.Sprintf("%.2f", value) }
