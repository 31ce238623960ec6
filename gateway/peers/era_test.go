package peers

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// applyListOf applies the complete list of an era.
func applyListOf(t *testing.T, c *Cluster, era int64, members ...Member) {
	t.Helper()
	page := site.Page{Era: era}
	for _, member := range members {
		value, err := json.Marshal(member)
		require.NoError(t, err)
		page.Rows = append(page.Rows, site.Row{Key: member.VM, Value: value})
	}
	c.ApplyList(page, true)
}

func member(vm, instance string) Member {
	return Member{VM: vm, Address: "127.0.0.1:1", DataCentre: "dc-1", Instance: vm + "/" + instance}
}

func hear(c *Cluster, vm, instance string) {
	c.observePeer(c.members[vm], &wirev1.PeerState{Vm: vm, Instance: vm + "/" + instance})
}

// Processes that had registered after a copy was made were taken for ended, and those that
// had restarted since for the ones before, and were not heard any more.
func TestListOfAnOlderCopyEndsNoProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(member("self", "1"), nil, nil, &fakeState{})
		applyListOf(t, c, 1, member("stays", "1"), member("new", "1"), member("restarted", "2"), member("silent", "1"))
		time.Sleep(30 * time.Second)
		hear(c, "restarted", "2")
		hear(c, "new", "1")
		applyListOf(t, c, 2, member("stays", "1"), member("restarted", "1"), member("left", "1"))
		require.Contains(t, c.members, "new")
		require.Contains(t, c.members, "silent")
		require.Equal(t, "restarted/2", c.members["restarted"].Instance)

		// One of those that were missing registers again, one goes on reporting, and one
		// is gone.
		applyChange(t, c, member("new", "1"))
		require.Equal(t, "new/1", c.members["new"].Instance)
		for range 12 {
			hear(c, "restarted", "2")
			hear(c, "new", "1")
			time.Sleep(time.Second)
			c.removeUnlisted(time.Now())
		}
		require.NotContains(t, c.members, "silent")
		require.Contains(t, c.members, "new")
		applyChange(t, c, member("silent", "1"))
		require.Contains(t, c.members, "silent", "it was away and registers again")
	})
}

// An instance that the copy lists, and that is not known here, replaces a silent one until
// that reports again.
func TestSilentProcessIsKnownAgainAfterAnOlderList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(member("self", "1"), nil, nil, &fakeState{})
		applyListOf(t, c, 1, member("b", "2"))
		time.Sleep(30 * time.Second)
		applyListOf(t, c, 2, member("b", "1"))
		require.Equal(t, "b/1", c.members["b"].Instance)
		c.observeCaller(&wirev1.ExchangeStateRequest{State: &wirev1.PeerState{Vm: "b", Instance: "b/2"}, Address: "127.0.0.1:1", DataCentre: "dc-1"})
		require.Equal(t, "b/2", c.members["b"].Instance)
		time.Sleep(30 * time.Second)
		applyListOf(t, c, 3, member("b", "1"))
		require.Equal(t, "b/2", c.members["b"].Instance, "the first one has ended since")
	})
}

func applyChange(t *testing.T, c *Cluster, m Member) {
	t.Helper()
	value, err := json.Marshal(m)
	require.NoError(t, err)
	c.ApplyList(site.Page{Era: 2, Rows: []site.Row{{Key: m.VM, Value: value}}}, false)
}

// The copy lacked a process that had registered later, and it did not register again: new
// processes never learned of it from the list.
func TestProcessRegistersAgainAfterTheStoreWentBack(t *testing.T) {
	store := sitetest.NewStore(t)
	copied := store.Copy()
	c := New(member("a", "1"), nil, site.NewStore(store.Address, http.DefaultClient), &fakeState{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Register(ctx)
	}()
	listed := func() bool { return store.Value(TableVMs, "a") != nil }
	require.Eventually(t, listed, 5*time.Second, 5*time.Millisecond)
	store.Restore(copied)
	require.False(t, listed())
	c.StoreRestored()
	require.Eventually(t, listed, 5*time.Second, 5*time.Millisecond)
	cancel()
	<-done
	require.False(t, listed())
}

// The row of a process that had stopped was deleted, and that became known only after the
// next process of its VM had reported. That one was taken for ended, and not added when it
// registered: two processes shared out one rate limit.
func TestProcessThatRegistersLateIsAMember(t *testing.T) {
	c := New(member("self", "1"), nil, nil, &fakeState{})
	applyListOf(t, c, 2, member("b", "1"))
	call := func() {
		c.observeCaller(&wirev1.ExchangeStateRequest{State: &wirev1.PeerState{Vm: "b", Instance: "b/2"}, Address: "127.0.0.1:1", DataCentre: "dc-1"})
	}
	call()
	c.ApplyList(site.Page{Era: 2, Rows: []site.Row{{Key: "b", Deleted: true}}}, false)
	applyChange(t, c, member("b", "2"))
	require.Equal(t, "b/2", c.members["b"].Instance)
	c.members["b"].lastSeen = time.Time{}
	call()
	require.False(t, c.members["b"].lastSeen.IsZero(), "its calls count again")
}

// A row of the process before, read late, replaced a live one, which then counted as ended
// for good: two processes shared out one rate limit.
func TestLateRowDoesNotShutOutALiveProcess(t *testing.T) {
	for name, hears := range map[string]func(c *Cluster){
		"it calls": func(c *Cluster) {
			c.observeCaller(&wirev1.ExchangeStateRequest{State: &wirev1.PeerState{Vm: "b", Instance: "b/2"}, Address: "127.0.0.1:1", DataCentre: "dc-1"})
		},
		"it answers": func(c *Cluster) { hear(c, "b", "2") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := New(member("self", "1"), nil, nil, &fakeState{})
				applyListOf(t, c, 2, member("b", "2"))
				applyChange(t, c, member("b", "1"))
				require.Equal(t, "b/1", c.members["b"].Instance)
				applyListOf(t, c, 3, member("b", "2")) // From a copy, and the row is ignored as well.
				time.Sleep(lateCallTime)
				hears(c)
				require.Equal(t, "b/2", c.members["b"].Instance)
				seen := c.members["b"].lastSeen
				time.Sleep(time.Second)
				hears(c)
				require.True(t, c.members["b"].lastSeen.After(seen))
			})
		})
	}
}
