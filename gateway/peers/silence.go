package peers

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"

	"flamingospar.org/core/rendezvous"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// pauseThreshold is the time between two ticks above which this process counts as
// paused. It received nothing meanwhile, so that others seem silent.
const pauseThreshold = 500 * time.Millisecond

// errNotMember is returned for a call to a process that is not listed.
var errNotMember = errors.New("the process is not in the list of entry processes; remedy: none, the list has changed")

// Rank returns the first n VMs, this one included, in the order of their rank for key.
// All processes with the same list compute the same order.
func (c *Cluster) Rank(key string, n int) []string {
	c.mu.Lock()
	vms := []string{c.self.VM}
	for vm := range c.members {
		vms = append(vms, vm)
	}
	c.mu.Unlock()
	return slices.Clone(rendezvous.Rank(key, vms)[:min(n, len(vms))])
}

// Generation changes whenever the list of processes changes.
func (c *Cluster) Generation() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation
}

// Watch makes this process exchange states with VMs regularly, in addition to those that
// it would call anyway, until the next call.
func (c *Cluster) Watch(vms map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watched = vms
}

// SilentFor returns how long a VM has sent nothing although this process called it, and
// 0 if this process does not call it. The time does not count in which this process was
// paused itself.
func (c *Cluster) SilentFor(vm string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.members[vm]
	if !ok || p.calledSince.IsZero() {
		return 0
	}
	since := p.lastSeen
	for _, t := range []time.Time{p.calledSince, c.resumedAt} {
		if t.After(since) {
			since = t
		}
	}
	return time.Since(since)
}

// notePause records that this process was paused if two ticks are too far apart.
func (c *Cluster) notePause(lastTick, now time.Time) {
	if now.Sub(lastTick) < pauseThreshold {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumedAt = now
}

// markCalled records which members this process calls regularly. c.mu must be held.
func (c *Cluster) markCalled(now time.Time, local, remote []*peer) {
	called := make(map[*peer]bool, len(local)+len(remote))
	for _, p := range slices.Concat(local, remote) {
		called[p] = true
		if p.calledSince.IsZero() {
			p.calledSince = now
		}
	}
	for _, p := range c.members {
		if !called[p] {
			p.calledSince = time.Time{}
		}
	}
}

// AcquireSends asks the process on vm for permits to send requests to an endpoint.
func (c *Cluster) AcquireSends(ctx context.Context, vm string, request *wirev1.AcquireSendsRequest) (*wirev1.AcquireSendsReply, error) {
	c.mu.Lock()
	p, ok := c.members[vm]
	c.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("%w: %s", errNotMember, vm)
	}
	reply, err := p.client.AcquireSends(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return reply.Msg, nil
}

// sendsHandler serves the peer service. It keeps the handlers of calls from other
// processes apart from the calls to them, which have the same names.
type sendsHandler struct{ *Cluster }

// AcquireSends serves a process that asks for permits.
func (h sendsHandler) AcquireSends(_ context.Context, request *connect.Request[wirev1.AcquireSendsRequest]) (*connect.Response[wirev1.AcquireSendsReply], error) {
	return connect.NewResponse(h.localState.GrantSends(request.Msg)), nil
}
