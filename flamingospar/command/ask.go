package command

import (
	"context"

	"flamingospar.org/base/netx"
	"flamingospar.org/flamingospar/ask"
	"flamingospar.org/flamingospar/settle"
)

// addAsk adds status, explain, usage, request and crash.
func (a *app) addAsk() {
	asked := ask.Attach(a.parser, netx.HTTP1Client(a.network))
	settled := settle.Attach(a.parser, netx.HTTP1Client(a.network))
	a.actions = append(a.actions,
		boundAction{used: asked.Used, run: func(ctx context.Context) error { return asked.Run(ctx, a.stdout) }},
		boundAction{used: settled.Used, run: func(ctx context.Context) error { return settled.Run(ctx, a.stdout) }},
	)
}
