package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"flamingospar.org/core/balance"
	"flamingospar.org/gateway/callermemory"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
)

// plainCall is one call for a request whose response is not a stream.
type plainCall struct {
	endpoint site.Endpoint
	team     string
	memory   *callermemory.Account
	done     engines.PlainDone
	ctx      context.Context
	cancel   context.CancelCauseFunc
	start    time.Time
	silent   bool // It had no whole answer within the attempt timeout.
	// The result, set when run returns.
	response *transport.Response
	body     []byte
	complete bool // body is the whole body.
	err      error
	panicked *caughtPanic
}

func newPlainCall(ctx context.Context, job *Job, endpoint site.Endpoint, done engines.PlainDone) *plainCall {
	c := &plainCall{endpoint: endpoint, team: job.Team, memory: job.Memory, done: done, start: time.Now()}
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	return c
}

// run sends the request and reads the response up to maxBufferedResponseBytes.
func (c *plainCall) run(r *Relay, request transport.Request) {
	c.response, c.err = r.send(c.ctx, c.endpoint, request)
	if c.err != nil {
		return
	}
	if c.response.Meta.NotRun {
		_, _ = io.CopyN(io.Discard, c.response, maxBufferedResponseBytes)
		return
	}
	r.OnRunStart(c.team)
	c.body, c.complete, c.err = readBuffered(c.response, c.memory)
}

// answered reports whether the endpoint ran the request and answered, if only with a
// failure.
func (c *plainCall) answered() bool { return c.err == nil && !c.response.Meta.NotRun }

// outcome returns the outcome of a call that has ended, as far as it concerns the answer time
// of its endpoint.
func (c *plainCall) outcome() balance.Outcome {
	switch {
	case c.panicked != nil || errors.Is(c.err, transport.ErrNotSent):
		return balance.Failed
	case c.err != nil && c.ctx.Err() != nil:
		return balance.GivenUp
	case c.answered() && c.response.Status < http.StatusInternalServerError:
		return balance.Answered
	default:
		return balance.Failed
	}
}

// close releases the connection of the call. It is closed if the response has not ended.
// Further calls have no effect.
func (c *plainCall) close() {
	if c.response != nil {
		c.response.Close()
		c.response = nil
	}
	c.cancel(nil)
}
