package command

import (
	"github.com/integrii/flaggy"

	"flamingospar.org/flamingospar/authority"
)

// attachAuthority adds the subcommand that measures how changes spread.
func attachAuthority(parser *flaggy.Parser, options *authority.Options) *flaggy.Subcommand {
	command := flaggy.NewSubcommand("authority")
	command.Description = "Measure how fast changes are in force, control traffic and takeover."
	command.Int(&options.Entries, "", "entries", "entries of the largest fleet")
	command.Int(&options.Agents, "", "agents", "agents of the largest fleet")
	command.Int(&options.Changes, "", "changes", "changes for each state of the store")
	parser.AttachSubcommand(command, 1)
	return command
}
