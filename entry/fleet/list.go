package fleet

import (
	"context"
	"time"
)

const (
	// listPerVM and listEveryMax bound how often the list of VMs is read: the
	// larger it is the more rarely. Direct contact tells of leaving agents.
	listPerVM    = 25 * time.Millisecond
	listEveryMax = 30 * time.Second
)

// readList reads the list of VMs when it is due. It is called by one goroutine.
func (v *View) readList(ctx context.Context) {
	now := v.member.Clock()
	if now.Before(v.nextList) {
		return
	}
	list, err := v.list.VMs(ctx)
	v.noteList(err)
	if err != nil {
		return
	}
	v.merge(list)
	v.nextList = now.Add(min(time.Duration(len(list))*listPerVM, listEveryMax))
}

// noteList logs when reading the list begins to fail and when it works again.
func (v *View) noteList(err error) {
	if err != nil && !v.listFailing {
		log.Error(err, "The VM list can't be read; the last one is kept.")
	}
	if err == nil && v.listFailing {
		log.Info("The VM list is read again.")
	}
	v.listFailing = err != nil
}
