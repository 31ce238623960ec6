package peers

import (
	"context"
	"time"

	"connectrpc.com/connect"

	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// seedInterval is the least time between two rounds of calls to the seeds.
const seedInterval = 500 * time.Millisecond

// contactSeeds asks the seeds for other processes while no member is known and
// the list has not been loaded, which happens when this process starts while
// the store does not answer.
func (c *Cluster) contactSeeds(ctx context.Context) {
	c.mu.Lock()
	isolated := !c.listLoaded && len(c.members) == 0 && c.Now().Sub(c.seedsContactedAt) >= seedInterval
	if isolated {
		c.seedsContactedAt = c.Now()
	}
	c.mu.Unlock()
	if !isolated {
		return
	}
	for _, address := range c.seeds {
		if address != c.self.Address {
			go c.contactSeed(ctx, address)
		}
	}
}

// contactSeed asks the process at address for its members, configuration and
// endpoints. A failed call is ignored, since the list of seeds may be out of date.
func (c *Cluster) contactSeed(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := time.Now()
	client := c.newPeerClient(Member{Address: address})
	reply, err := client.ExchangeState(ctx, connect.NewRequest(&wirev1.ExchangeStateRequest{
		State: c.localState.State("", false), Address: c.self.Address, DataCentre: c.self.DataCentre, WantMembers: true,
	}))
	if err != nil {
		return
	}
	log.Info("A seed returned entry processes.", "address", address, "processes", len(reply.Msg.GetMembers()), "configuration", len(reply.Msg.GetConfiguration()) > 0, "rows", len(reply.Msg.GetRows()))
	c.localState.ApplyNewer(reply.Msg, requestedAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, member := range reply.Msg.GetMembers() {
		if !c.hasEnded(member.GetInstance()) {
			c.add(Member{VM: member.GetVm(), Address: member.GetAddress(), DataCentre: member.GetDataCentre(), Instance: member.GetInstance()})
		}
	}
}

// knownMembers returns this process and all known members.
func (c *Cluster) knownMembers() []*wirev1.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	members := []*wirev1.Member{encodeMember(c.self)}
	for _, p := range c.members {
		members = append(members, encodeMember(p.Member))
	}
	return members
}

func encodeMember(m Member) *wirev1.Member {
	return &wirev1.Member{Vm: m.VM, Address: m.Address, DataCentre: m.DataCentre, Instance: m.Instance}
}
