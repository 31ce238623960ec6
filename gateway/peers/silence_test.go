package peers

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Whether a process shares out a limit in place of another depends on the other's
// silence. A process that this one does not call, or has only just begun to call, and the
// time of a pause of its own say nothing.
func TestSilenceCountsOnlyWhileAProcessIsCalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Member{VM: "self", DataCentre: "dc-1"}, nil, nil, &fakeState{vm: "self"})
		const processes = 40
		var members []Member
		for i := range processes {
			members = append(members, Member{VM: string(rune('A' + i)), Address: "10.0.0.1:1", DataCentre: "dc-1", Instance: "1"})
		}
		applyList(t, c, members...)
		time.Sleep(time.Minute)
		called := c.due(time.Now())
		require.Len(t, called, maxLocalTargets)
		target := called[0].VM
		require.Zero(t, c.SilentFor(target), "it has only just been called")
		time.Sleep(3 * time.Second)
		require.Equal(t, 3*time.Second, c.SilentFor(target))

		var other string
		for vm, p := range c.members {
			if p.calledSince.IsZero() {
				other = vm
			}
		}
		require.Zero(t, c.SilentFor(other), "it is not called")
		c.Watch(map[string]bool{other: true})
		c.due(time.Now())
		time.Sleep(3 * time.Second)
		require.Equal(t, 3*time.Second, c.SilentFor(other))
		c.observePeer(c.members[other], &wirev1.PeerState{Vm: other, Instance: "1"})
		require.Zero(t, c.SilentFor(other))

		time.Sleep(3 * time.Second)
		c.notePause(time.Now().Add(-2*time.Second), time.Now())
		require.Zero(t, c.SilentFor(target), "this process was paused")
		c.Watch(nil)
		c.due(time.Now())
		require.Zero(t, c.SilentFor(other), "it is no longer called")
		require.Zero(t, c.SilentFor("unknown"))
	})
}

// Two processes of the same list agree on the rank of all; a change of the list is told
// by its generation.
func TestRankIsTheSameForAllProcesses(t *testing.T) {
	a := New(Member{VM: "a"}, nil, nil, &fakeState{vm: "a"})
	b := New(Member{VM: "b"}, nil, nil, &fakeState{vm: "b"})
	before := a.Generation()
	applyList(t, a, Member{VM: "b", Address: "127.0.0.1:1", Instance: "1"}, Member{VM: "c", Address: "127.0.0.1:1", Instance: "1"})
	applyList(t, b, Member{VM: "a", Address: "127.0.0.1:1", Instance: "1"}, Member{VM: "c", Address: "127.0.0.1:1", Instance: "1"})
	require.NotEqual(t, before, a.Generation())
	for _, key := range []string{"e-1", "e-2", "e-3"} {
		require.Equal(t, a.Rank(key, 3), b.Rank(key, 3))
		require.Equal(t, a.Rank(key, 3)[:2], b.Rank(key, 2))
	}
	require.Len(t, a.Rank("e-1", 8), 3)
}

func TestPermitsAreAskedOfAnotherProcess(t *testing.T) {
	asking, _ := newProcess(t, "a", 1)
	granting, _ := newProcess(t, "b", 1)
	applyList(t, asking, granting.self)
	reply, err := asking.AcquireSends(t.Context(), "b", &wirev1.AcquireSendsRequest{Vm: "a", Count: 3})
	require.NoError(t, err)
	require.EqualValues(t, 3, reply.GetGranted())
	_, err = asking.AcquireSends(t.Context(), "unknown", &wirev1.AcquireSendsRequest{})
	require.ErrorIs(t, err, errNotMember)
}
