package command

import (
	"context"

	"flamingospar.org/flamingospar/capacity"
)

func (a *app) addCapacity() {
	options := capacity.DefaultOptions()
	group := command(a.parser, "capacity", "Costs at the target size.", "flamingospar capacity measure")
	measure := command(group, "measure", "Measure what one more of each thing costs and compare it with docs/CAPACITY.md.", "flamingospar capacity measure --write")
	measure.String(&options.Page, "", "page", "path of the page")
	measure.Bool(&options.Write, "", "write", "write the slopes and figures to the page")
	a.bind(measure, func(context.Context) error { return capacity.Run(options, a.stdout) })
}
