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
	return callMember(c, vm, func(p *peer) (*connect.Response[wirev1.AcquireSendsReply], error) {
		return p.client.AcquireSends(ctx, connect.NewRequest(request))
	})
}

// AcquireQuota asks the process on vm for units of teams' quotas.
func (c *Cluster) AcquireQuota(ctx context.Context, vm string, request *wirev1.AcquireQuotaRequest) (*wirev1.AcquireQuotaReply, error) {
	return callMember(c, vm, func(p *peer) (*connect.Response[wirev1.AcquireQuotaReply], error) {
		return p.client.AcquireQuota(ctx, connect.NewRequest(request))
	})
}

// callMember calls a process that is listed. A panic counts as a failure.
func callMember[Reply any](c *Cluster, vm string, call func(*peer) (*connect.Response[Reply], error)) (*Reply, error) {
	c.mu.Lock()
	p, ok := c.members[vm]
	c.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("%w: %s", errNotMember, vm)
	}
	var reply *connect.Response[Reply]
	var err error
	if panicErr := c.Supervisor.Call("acquire", func() { reply, err = call(p) }); panicErr != nil {
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

// AcquireQuota serves a process that asks for units of teams' quotas.
func (h serviceHandler) AcquireQuota(_ context.Context, request *connect.Request[wirev1.AcquireQuotaRequest]) (*connect.Response[wirev1.AcquireQuotaReply], error) {
	return connect.NewResponse(h.localState.GrantQuota(request.Msg)), nil
}
