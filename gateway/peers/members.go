package peers

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"connectrpc.com/connect"

	"flamingospar.org/base/clock"
	"flamingospar.org/platform/site"
	"flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"
)

// Register lists this process in the store until ctx ends, and then removes it. It lists
// it again when the store has come back from an older copy.
func (c *Cluster) Register(ctx context.Context) {
	value, err := json.Marshal(c.self)
	if err != nil {
		log.Error(err, "This process cannot be encoded for the list of entry processes.", "vm", c.self.VM)
		return
	}
	for ctx.Err() == nil {
		c.list(ctx, value)
		select {
		case <-ctx.Done():
		case <-c.restored:
		}
	}
	var tx site.Tx
	tx.Delete(TableVMs, c.self.VM)
	if err := c.commit(context.WithoutCancel(ctx), tx); err != nil {
		log.Error(err, "This process could not be removed from the list of entry processes.", "vm", c.self.VM)
	}
}

// list writes the row of this process until that succeeds or ctx ends.
func (c *Cluster) list(ctx context.Context, value []byte) {
	for ctx.Err() == nil {
		var tx site.Tx
		tx.Put(TableVMs, c.self.VM, value)
		if c.commit(ctx, tx) == nil {
			return
		}
		clock.Sleep(ctx, registerRetryDelay)
	}
}

// StoreRestored makes this process register again, since the store came back from an older
// copy and may not list it. It does not block.
func (c *Cluster) StoreRestored() {
	select {
	case c.restored <- struct{}{}:
	default:
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
	older := complete && c.listLoaded && page.Era > c.listEra
	c.listEra = max(c.listEra, page.Era)
	for _, row := range page.Rows {
		if row.Deleted {
			c.invalidRows.Forget(row.Key)
			removed = c.remove(removed, row.Key)
			continue
		}
		listed[row.Key] = true
		member, err := parseMember(row.Key, row.Value)
		if err != nil {
			if c.invalidRows.Changed(row.Key, err.Error()) {
				log.Info("A row of the list does not describe an entry process; ignoring it.", "row", row.Key, "version", row.Version, "reason", err.Error())
			}
			continue
		}
		c.invalidRows.Forget(row.Key)
		delete(c.unlisted, member.VM)
		c.addListed(member, older)
	}
	if !complete {
		return removed
	}
	c.listLoaded = true
	c.invalidRows.Keep(func(key string) bool { return listed[key] })
	for vm := range c.members {
		switch {
		case listed[vm]:
		case older:
			c.unlisted[vm] = c.Now().Add(reregistrationTimeout)
		default:
			removed = c.remove(removed, vm)
		}
	}
	return removed
}

// reregistrationTimeout is how long a process may take to register again after the store
// came back from an older copy.
const reregistrationTimeout = 10 * time.Second

// removeUnlisted removes the members that have not registered again in time and don't
// report either. They may be away, so they are not known to have ended.
func (c *Cluster) removeUnlisted(now time.Time) {
	for _, vm := range c.takeUnlisted(now) {
		c.localState.MemberRemoved(vm)
	}
}

// takeUnlisted removes those members and returns their VMs.
func (c *Cluster) takeUnlisted(now time.Time) (removed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for vm, until := range c.unlisted {
		p, ok := c.members[vm]
		if now.Before(until) || ok && now.Sub(p.lastSeen) < livenessTimeout {
			continue
		}
		delete(c.unlisted, vm)
		if ok {
			delete(c.members, vm)
			c.generation++
			log.Info("An entry process did not register again after the store came back from an older copy.", "vm", vm)
			removed = append(removed, vm)
		}
	}
	return removed
}

// Times for which an instance is taken to have ended.
const (
	// endedRetention is how long a list that came back from an older copy does not add it.
	endedRetention = 10 * time.Minute
	// lateCallTime is how long its calls are ignored. One that goes on calling has not ended:
	// a row that was read late may have replaced it.
	lateCallTime = 2 * time.Second
)

// recordEnded records that an instance has ended.
func (c *Cluster) recordEnded(instance string) {
	now := c.Now()
	maps.DeleteFunc(c.endedInstances, func(_ string, at time.Time) bool { return now.Sub(at) > endedRetention })
	c.endedInstances[instance] = now
}

func (c *Cluster) hasEnded(instance string) bool {
	_, ended := c.endedInstances[instance]
	return ended
}

// mayBeLate reports whether a call of an instance may have been sent before it ended.
func (c *Cluster) mayBeLate(instance string) bool {
	at, ended := c.endedInstances[instance]
	return ended && c.Now().Sub(at) < lateCallTime
}

// addListed adds a member of the list. What is listed has not ended, unless the list may be
// older than what is known here, since the store came back from a copy.
func (c *Cluster) addListed(member Member, older bool) {
	if older {
		c.addFromCopy(member)
		return
	}
	delete(c.endedInstances, member.Instance)
	c.add(member)
}

// addFromCopy adds a member of a list that may be older than what is known here. It
// replaces no instance that has reported a short time ago, and does not show that another
// one has ended.
func (c *Cluster) addFromCopy(member Member) {
	current, ok := c.members[member.VM]
	if c.hasEnded(member.Instance) || ok && c.Now().Sub(current.lastSeen) < livenessTimeout {
		return
	}
	if ok && current.Instance != member.Instance {
		delete(c.members, member.VM)
	}
	c.add(member)
}

// add adds a member, in place of an earlier instance on its VM if there is one.
func (c *Cluster) add(member Member) {
	if member.VM == c.self.VM {
		return
	}
	current, ok := c.members[member.VM]
	if ok && current.Member == member {
		return
	}
	if ok {
		c.recordEnded(current.Instance)
	}
	log.Info("An entry process was added.", "vm", member.VM, "address", member.Address, "instance", member.Instance)
	c.members[member.VM] = &peer{Member: member, lastSeen: c.Now(), client: c.newPeerClient(member)}
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
	c.recordEnded(current.Instance)
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
