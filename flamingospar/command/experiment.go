package command

import (
	"context"

	"flamingospar.org/flamingospar/experiment"
)

func (a *app) addExperiment() {
	options := experiment.DefaultOptions()
	sub := addCommand(a.parser, "experiment", "Compare policies on seeded workloads in simulated time.", "flamingospar experiment --fleet trust --seeds 3")
	sub.String(&options.Traces, "", "trace", "traces by name or file; empty for all")
	sub.String(&options.Policies, "", "policies", "policies by name, or all; empty for the baselines, ours and follow-roles")
	sub.String(&options.Fleet, "", "fleet", "shedline or trust; empty for both")
	sub.Int(&options.Seeds, "", "seeds", "runs of each combination, with seeds from 1")
	sub.Int(&options.Workers, "", "workers", "number of concurrent runs")
	sub.String(&options.OutDir, "", "out", "output directory for CSV files and plots")
	a.bind(sub, func(ctx context.Context) error { return experiment.Run(ctx, options, a.stdout) })
}
