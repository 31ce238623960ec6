package command

import (
	"context"

	"flamingospar.org/flamingospar/authority"
)

// addAuthority adds the command that measures how configuration changes
// propagate.
func (a *app) addAuthority() {
	options := authority.DefaultOptions()
	sub := addCommand(a.parser, "authority", "Measure the propagation of changes, control traffic and lease takeover.", "flamingospar authority --changes 6")
	sub.Int(&options.Entries, "", "entries", "number of entries in the largest fleet")
	sub.Int(&options.Agents, "", "agents", "number of agents in the largest fleet")
	sub.Int(&options.Changes, "", "changes", "number of changes for each store state")
	a.bind(sub, func(ctx context.Context) error { return authority.Run(ctx, options, a.stdout) })
}
