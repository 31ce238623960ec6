package command

import (
	"context"

	"flamingospar.org/flamingospar/capacity"
)

func (a *app) addCapacity() {
	options := capacity.DefaultOptions()
	group := addCommand(a.parser, "capacity", "Measure costs at the target size.", "flamingospar capacity measure")
	measure := addCommand(group, "measure", "Measure the marginal cost of each item and compare it with docs/CAPACITY.md.", "flamingospar capacity measure --write")
	measure.String(&options.Page, "", "page", "path of the capacity page")
	measure.Bool(&options.Write, "", "write", "write the slopes and estimates to the page")
	a.bind(measure, func(context.Context) error { return capacity.Run(options, a.stdout) })
}
