package peers

import (
	"context"
	"time"

	"connectrpc.com/connect"

	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// joinEvery is between two rounds of questions to the seeds.
const joinEvery = 500 * time.Millisecond

// joinIfAlone asks the seeds for other processes while none is known and the
// list was not read: this one has started and the store does not answer.
func (c *Circle) joinIfAlone(ctx context.Context) {
	c.mu.Lock()
	alone := !c.listRead && len(c.members) == 0 && time.Since(c.joined) >= joinEvery
	if alone {
		c.joined = time.Now()
	}
	c.mu.Unlock()
	if !alone {
		return
	}
	for _, address := range c.seeds {
		if address != c.self.Address {
			go c.join(ctx, address)
		}
	}
}

// join asks the process at an address for what this one lacks. Seeds may be out
// of date: no answer is no failure of anyone.
func (c *Circle) join(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	asked := time.Now()
	client := c.clientOf(Member{Address: address})
	reply, err := client.ExchangeState(ctx, connect.NewRequest(&wirev1.ExchangeStateRequest{
		State: c.sources.State("", false), Address: c.self.Address, DataCentre: c.self.DataCentre, WantMembers: true,
	}))
	if err != nil {
		return
	}
	log.Info("A seed tells of entry processes.", "address", address, "processes", len(reply.Msg.GetMembers()), "configuration", len(reply.Msg.GetConfiguration()) > 0, "rows", len(reply.Msg.GetRows()))
	c.sources.TakeNewer(reply.Msg, asked)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, member := range reply.Msg.GetMembers() {
		if c.gone[member.GetVm()] != member.GetInstance() {
			c.add(Member{VM: member.GetVm(), Address: member.GetAddress(), DataCentre: member.GetDataCentre(), Instance: member.GetInstance()})
		}
	}
}

// knownMembers returns this process and those that it knows.
func (c *Circle) knownMembers() []*wirev1.Member {
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
