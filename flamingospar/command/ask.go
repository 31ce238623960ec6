package command

import (
	"context"

	"flamingospar.org/base/netx"
	"flamingospar.org/flamingospar/ask"
	"flamingospar.org/flamingospar/settle"
)

// addOperatorCommands adds the commands status, explain, usage, request and crash.
func (a *app) addOperatorCommands() {
	queries := ask.Attach(a.parser, netx.HTTP1Client(a.network))
	requestCommands := settle.Attach(a.parser, netx.HTTP1Client(a.network))
	a.actions = append(a.actions,
		boundAction{used: queries.Used, run: func(ctx context.Context) error { return queries.Run(ctx, a.stdout) }},
		boundAction{used: requestCommands.Used, run: func(ctx context.Context) error { return requestCommands.Run(ctx, a.stdout) }},
	)
}
