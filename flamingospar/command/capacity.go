package command

import (
	"github.com/integrii/flaggy"

	"flamingospar.org/flamingospar/capacity"
)

// attachCapacity adds `capacity measure` and returns the inner subcommand.
func attachCapacity(parser *flaggy.Parser, options *capacity.Options) *flaggy.Subcommand {
	measure := flaggy.NewSubcommand("measure")
	measure.Description = "Measure what one more of each thing costs and compare it with docs/CAPACITY.md."
	measure.String(&options.Page, "", "page", "path of the page")
	measure.Bool(&options.Write, "", "write", "write the slopes and figures to the page")
	parent := flaggy.NewSubcommand("capacity")
	parent.Description = "Costs at the target size."
	parent.AttachSubcommand(measure, 1)
	parser.AttachSubcommand(parent, 1)
	return measure
}
