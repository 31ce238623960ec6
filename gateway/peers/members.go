package peers

import (
	"context"
	"encoding/json"
	"time"

	"connectrpc.com/connect"

	"flamingospar.org/base/clock"
	"flamingospar.org/platform/site"
	"flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"
)

// Register lists this process in the store until ctx ends, and then removes it.
func (c *Cluster) Register(ctx context.Context) {
	value, err := json.Marshal(c.self)
	if err != nil {
		log.Error(err, "This process cannot be encoded for the list of entry processes.", "vm", c.self.VM)
		return
	}
	for ctx.Err() == nil {
		var tx site.Tx
		tx.Put(TableVMs, c.self.VM, value)
		if c.commit(ctx, tx) == nil {
			break
		}
		clock.Sleep(ctx, registerRetryDelay)
	}
	<-ctx.Done()
	var tx site.Tx
	tx.Delete(TableVMs, c.self.VM)
	if err := c.commit(context.WithoutCancel(ctx), tx); err != nil {
		log.Error(err, "This process could not be removed from the list of entry processes.", "vm", c.self.VM)
	}
}

func (c *Cluster) commit(ctx context.Context, tx site.Tx) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.store.Commit(ctx, tx)
	return err
}

// ApplyList applies changed rows of the list, or the complete list if complete is
// set.
func (c *Cluster) ApplyList(page site.Page, complete bool) {
	for _, vm := range c.applyList(page, complete) {
		c.localState.MemberRemoved(vm)
	}
}

// applyList returns the VMs that are no longer listed.
func (c *Cluster) applyList(page site.Page, complete bool) (removed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[string]bool)
	for _, row := range page.Rows {
		if row.Deleted {
			removed = c.remove(removed, row.Key)
			continue
		}
		listed[row.Key] = true
		var member Member
		if err := json.Unmarshal(row.Value, &member); err != nil || member.Address == "" {
			log.Info("A row of the list does not describe an entry process; ignoring it.", "row", row.Key)
			continue
		}
		c.add(member)
	}
	if !complete {
		return removed
	}
	c.listLoaded = true
	for vm := range c.members {
		if !listed[vm] {
			removed = c.remove(removed, vm)
		}
	}
	return removed
}

func (c *Cluster) add(member Member) {
	if member.VM == c.self.VM {
		return
	}
	current, ok := c.members[member.VM]
	if ok && current.Member == member {
		return
	}
	if ok {
		c.endedInstances[member.VM] = current.Instance
	}
	log.Info("An entry process was added.", "vm", member.VM, "address", member.Address, "instance", member.Instance)
	c.members[member.VM] = &peer{Member: member, lastSeen: time.Now(), client: c.newPeerClient(member)}
	c.generation++
}

// newPeerClient returns a client for a process. Messages to another data centre
// are compressed; within a data centre CPU time costs more than traffic.
func (c *Cluster) newPeerClient(member Member) wirev1connect.PeerServiceClient {
	compression := connect.WithSendGzip()
	if member.DataCentre == c.self.DataCentre {
		compression = connect.WithAcceptCompression("gzip", nil, nil) // None.
	}
	return wirev1connect.NewPeerServiceClient(c.client, "http://"+member.Address, compression, connect.WithReadMaxBytes(maxMessageBytes))
}

// remove removes a VM and appends it to removed, if it is a member.
func (c *Cluster) remove(removed []string, vm string) []string {
	current, ok := c.members[vm]
	if !ok {
		return removed
	}
	delete(c.members, vm)
	c.generation++
	c.endedInstances[vm] = current.Instance
	log.Info("An entry process was removed from the list.", "vm", vm, "instance", current.Instance)
	return append(removed, vm)
}

// Size returns the number of listed processes, this one included.
func (c *Cluster) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.members) + 1
}

// PeerInstances returns the instances of the other processes, and whether the
// complete list has been read.
func (c *Cluster) PeerInstances() ([]string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	instances := make([]string, 0, len(c.members))
	for _, p := range c.members {
		instances = append(instances, p.Instance)
	}
	return instances, c.listLoaded
}
