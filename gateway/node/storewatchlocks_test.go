package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/fleet"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// askingListener asks whether the store is lost while it is told of an endpoint, as the tracker of
// stream versions does by way of the list of processes.
type askingListener struct {
	watch         *storeWatch
	told, marking chan struct{}
}

func (l *askingListener) EndpointChanged(site.Endpoint) {
	close(l.told)
	<-l.marking
	l.watch.IsLost()
}

func (*askingListener) EndpointGone(string) {}

// The store was lost, or answered again, while an endpoint was added to the list: the process waited
// for its own locks and answered nothing from then on.
func TestStoreIsLostWhileTheListOfEndpointsChanges(t *testing.T) {
	const blocked = 100 * time.Millisecond
	for name, mark := range map[string]func(*storeWatch){"lost": (*storeWatch).MarkLost, "recovered": (*storeWatch).MarkRecovered, "available to others": (*storeWatch).MarkAvailableToPeers} {
		t.Run(name, func(t *testing.T) {
			f := fleet.New(time.Now)
			watch := newStoreWatch(f)
			watch.lost = name != "lost"
			listener := &askingListener{watch: watch, told: make(chan struct{}), marking: make(chan struct{})}
			f.AddListener(listener)
			done := make(chan struct{}, 2)
			go func() {
				f.Apply(fleet.Changes{Rows: []fleet.Row{{Key: "e1", Value: sitetest.EndpointRow(1, 1, false), Version: 1}}, Version: 1, Snapshot: true})
				done <- struct{}{}
			}()
			<-listener.told
			go func() {
				mark(watch)
				done <- struct{}{}
			}()
			time.Sleep(blocked) // It waits for the list.
			close(listener.marking)
			for range 2 {
				select {
				case <-done:
				case <-time.After(5 * time.Second):
					require.Fail(t, "the process waits for its own locks")
				}
			}
		})
	}
}
