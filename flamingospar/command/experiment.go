package command

import (
	"context"

	"flamingospar.org/flamingospar/experiment"
)

func (a *app) addExperiment() {
	options := experiment.DefaultOptions()
	sub := command(a.parser, "experiment", "Compare policies over seeded loads on virtual time.", "flamingospar experiment --fleet trust --seeds 3")
	sub.String(&options.Trace, "", "trace", "traces, by name or file; all when empty")
	sub.String(&options.Policies, "", "policies", "policies by name; all when empty")
	sub.String(&options.Fleet, "", "fleet", "shedline or trust; both when empty")
	sub.Int(&options.Seeds, "", "seeds", "runs of each, with seeds from 1")
	sub.Int(&options.Workers, "", "workers", "runs at once")
	sub.String(&options.Out, "", "out", "directory for CSV and plots")
	a.bind(sub, func(ctx context.Context) error { return experiment.Run(ctx, options, a.stdout) })
}
