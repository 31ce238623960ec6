package peers

import (
	"context"
	"errors"
	"fmt"

	"connectrpc.com/connect"

	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// errNotMember is returned for a call to a process that is not listed.
var errNotMember = errors.New("the process is not in the list of entry processes; remedy: none, the list has changed")

// AcquireSends asks the process on vm for permits to send requests to an endpoint.
func (c *Cluster) AcquireSends(ctx context.Context, vm string, request *wirev1.AcquireSendsRequest) (*wirev1.AcquireSendsReply, error) {
	c.mu.Lock()
	p, ok := c.members[vm]
	c.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("%w: %s", errNotMember, vm)
	}
	var reply *connect.Response[wirev1.AcquireSendsReply]
	var err error
	if panicErr := c.Supervisor.Call("acquire", func() { reply, err = p.client.AcquireSends(ctx, connect.NewRequest(request)) }); panicErr != nil {
		return nil, panicErr
	}
	if err != nil {
		return nil, err
	}
	return reply.Msg, nil
}

// serviceHandler serves the calls of other processes. Cluster has a method with the name
// of one of them, which makes that call.
type serviceHandler struct{ *Cluster }

// AcquireSends serves a process that asks for permits.
func (h serviceHandler) AcquireSends(_ context.Context, request *connect.Request[wirev1.AcquireSendsRequest]) (*connect.Response[wirev1.AcquireSendsReply], error) {
	return connect.NewResponse(h.localState.GrantSends(request.Msg)), nil
}
