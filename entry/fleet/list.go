package fleet

import (
	"context"
	"time"
)

const (
	// The interval between reads of the VM list grows with its length, by
	// listReadIntervalPerVM up to maxListReadInterval. Agents that leave in between
	// report it in their own replies.
	listReadIntervalPerVM = 25 * time.Millisecond
	maxListReadInterval   = 30 * time.Second
)

// readList reads the VM list if that is due. It must not be called concurrently.
func (v *View) readList(ctx context.Context) {
	now := v.member.Clock()
	if now.Before(v.nextListRead) {
		return
	}
	vmList, err := v.vmList.VMs(ctx)
	v.logListState(err)
	if err != nil {
		return
	}
	v.applyVMList(vmList)
	v.nextListRead = now.Add(min(time.Duration(len(vmList))*listReadIntervalPerVM, maxListReadInterval))
}

// logListState logs when reading the VM list starts to fail and when it recovers.
func (v *View) logListState(err error) {
	if err != nil && !v.listFailing {
		log.Error(err, "Reading the VM list failed; the last one stays in use.")
	}
	if err == nil && v.listFailing {
		log.Info("Reading the VM list works again.")
	}
	v.listFailing = err != nil
}
