package command

import (
	"context"

	"flamingospar.org/base/netx"
	"flamingospar.org/flamingospar/ask"
)

// addAsk adds status, explain and usage.
func (a *app) addAsk() {
	asked := ask.Attach(a.parser, netx.HTTP1Client(a.network))
	run := func(ctx context.Context) error { return asked.Run(ctx, a.stdout) }
	a.actions = append(a.actions, boundAction{used: asked.Used, run: run})
}
