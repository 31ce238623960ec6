package peers

import (
	"context"
	"time"

	"connectrpc.com/connect"

	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

func (c *Cluster) exchange(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.mu.Lock()
	usage := !c.Now().Before(p.nextUsage)
	c.mu.Unlock()
	var err error
	if panicErr := c.Supervisor.Call("exchange", func() { err = c.exchangeState(ctx, p, usage) }); panicErr != nil {
		err = panicErr
	}
	c.finishExchange(p, usage, err)
}

// observePeer records the state with which a member has answered a call. Another instance
// that answers at its address has taken its place.
func (c *Cluster) observePeer(called *peer, state *wirev1.PeerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteHeard()
	p, ok := c.members[state.GetVm()]
	if ok && p == called && p.Instance != state.GetInstance() {
		delete(c.endedInstances, state.GetInstance())
		answered := p.Member
		answered.Instance = state.GetInstance()
		c.add(answered)
		p = c.members[state.GetVm()]
	}
	if ok && p.Instance == state.GetInstance() {
		p.observe(state, c.Now())
	}
}

// exchangeState calls a process. If the reply shows that it has an older
// configuration, a second call sends it the current one: the response to its own
// request for the configuration may have been lost.
func (c *Cluster) exchangeState(ctx context.Context, p *peer, usage bool) error {
	request := &wirev1.ExchangeStateRequest{
		State: c.localState.State(p.VM, usage), Address: c.self.Address, DataCentre: c.self.DataCentre, WantUsage: usage,
	}
	requestedAt := time.Now()
	reply, err := p.client.ExchangeState(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	c.observePeer(p, reply.Msg.GetState())
	c.localState.MergeState(reply.Msg.GetState())
	c.localState.ApplyNewer(reply.Msg, requestedAt)
	newer := c.localState.NewerConfiguration(reply.Msg.GetState())
	if newer == nil {
		return nil
	}
	log.Info("An entry process has an older configuration; sending it the current one.", "vm", p.VM, "version", reply.Msg.GetState().GetConfigurationVersion())
	request.Configuration = newer
	_, err = p.client.ExchangeState(ctx, connect.NewRequest(request))
	return err
}

// finishExchange records the result of an exchange and backs off after a failure.
func (c *Cluster) finishExchange(p *peer, usage bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.inFlight = false
	if err != nil {
		p.failures++
		p.nextExchange = c.Now().Add(min(time.Duration(p.failures)*backoffStep, maxBackoff))
		if p.failures == 1 {
			log.Error(err, "An entry process does not answer.", "vm", p.VM, "address", p.Address)
		}
		return
	}
	if p.failures > 0 {
		log.Info("An entry process answers again.", "vm", p.VM, "failures", p.failures)
	}
	p.failures = 0
	if usage {
		p.nextUsage = c.Now().Add(usageInterval)
	}
}

// ExchangeState serves an exchange that another process has started.
func (c *Cluster) ExchangeState(_ context.Context, request *connect.Request[wirev1.ExchangeStateRequest]) (*connect.Response[wirev1.ExchangeStateReply], error) {
	state := request.Msg.GetState()
	c.observeCaller(request.Msg)
	c.localState.MergeState(state)
	if raw := request.Msg.GetConfiguration(); len(raw) > 0 {
		c.localState.ApplyConfiguration(state.GetVm(), raw)
	}
	reply := &wirev1.ExchangeStateReply{State: c.localState.State(state.GetVm(), request.Msg.GetWantUsage())}
	c.localState.AddNewer(state, reply)
	if request.Msg.GetWantMembers() {
		reply.Members = c.knownMembers()
	}
	return connect.NewResponse(reply), nil
}

// observeCaller records the state of a calling process and adds it to the members
// if it is unknown, since it may have been listed after the list was last read.
// An instance that is known to have ended is not added again.
func (c *Cluster) observeCaller(request *wirev1.ExchangeStateRequest) {
	state := request.GetState()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteHeard()
	if request.GetAddress() == "" || c.mayBeLate(state.GetInstance()) {
		return
	}
	delete(c.endedInstances, state.GetInstance())
	if p, ok := c.members[state.GetVm()]; ok && p.Instance == state.GetInstance() {
		p.observe(state, c.Now())
		return
	}
	c.add(Member{VM: state.GetVm(), Address: request.GetAddress(), DataCentre: request.GetDataCentre(), Instance: state.GetInstance()})
}
