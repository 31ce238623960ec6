package command

import (
	"context"

	"flamingospar.org/flamingospar/authority"
)

// addAuthority adds the command that measures how changes spread.
func (a *app) addAuthority() {
	options := authority.DefaultOptions()
	sub := command(a.parser, "authority", "Measure how fast changes are in force, control traffic and takeover.", "flamingospar authority --changes 6")
	sub.Int(&options.Entries, "", "entries", "entries of the largest fleet")
	sub.Int(&options.Agents, "", "agents", "agents of the largest fleet")
	sub.Int(&options.Changes, "", "changes", "changes for each state of the store")
	a.bind(sub, func(ctx context.Context) error { return authority.Run(ctx, options, a.stdout) })
}
