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
	sub := command(a.parser, "load", "Measure entry and agent against the stand-in engines themselves, on loopback.", "flamingospar load --concurrency 64 --requests 5000")
	sub.String(&options.Fleet, "", "fleet", "shedline or trust")
	sub.Int(&options.Requests, "", "requests", "requests in each phase")
	sub.Int(&options.Concurrency, "", "concurrency", "requests at once")
	sub.Int(&options.MaxTokens, "", "max-tokens", "output tokens of each answer")
	sub.Int(&options.Rounds, "", "rounds", "rounds of a direct and a served phase")
	sub.Int(&options.Seconds, "", "seconds", "bound on the whole run")
	output := a.outputFlag(sub)
	a.bind(sub, func(ctx context.Context) error {
		report, err := load.Run(ctx, options)
		var wrong *load.Problem
		if errors.As(err, &wrong) {
			return misuse{err}
		}
		if err != nil {
			return err
		}
		return a.print(output, report, loadTable(report))
	})
}

func loadTable(report load.Report) table {
	printed := table{header: []string{"WAY", "REQUESTS", "FAILED", "PER SECOND", "FIRST P50 MS", "FIRST P99 MS", "TOTAL P50 MS", "TOTAL P99 MS"}}
	for _, way := range []struct {
		name    string
		figures load.Figures
	}{{"direct", report.Direct}, {"served", report.Served}} {
		f := way.figures
		printed.rows = append(printed.rows, []string{way.name, strconv.Itoa(f.Requests), strconv.Itoa(f.Failed), decimal(f.PerSecond), decimal(f.FirstP50), decimal(f.FirstP99), decimal(f.TotalP50), decimal(f.TotalP99)})
	}
	added := report.AddedMs
	printed.rows = append(printed.rows, []string{"added", "", "", "", decimal(added.FirstP50), decimal(added.FirstP99), decimal(added.TotalP50), decimal(added.TotalP99)})
	return printed
}

func decimal(value float64) string { return fmt.Sprintf("%.2f", value) }
