package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/agent/pipeline"
	"flamingospar.org/core/config"
	"flamingospar.org/core/refusal"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

func (g *Gate) admitArrival(revision int64, key string) refusal.Code {
	run := &pipeline.Run{Start: &wirev1.RunStart{Revision: revision, KeyId: key}}
	if refused := g.Arrival().Admit(context.Background(), run); refused != nil {
		return refused.Code
	}
	return ""
}

// TestUpdateIsEvidenceOnlyForItsMark delivers an entry's update long after it was
// sent, and to the successor of the process that issued the mark. Neither may
// make the configuration fresh.
func TestUpdateIsEvidenceOnlyForItsMark(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	clock := func() time.Time { return now }
	first := New("endpoint", "first", clock)
	require.Equal(t, refusal.ConfigStale, first.admitArrival(1, "key"))
	update := &wirev1.ConfigNews{Revision: 1, Complete: true, Proved: true, AgentInstance: "first", Mark: first.Mark()}
	first.ApplyUpdate(update)
	require.Empty(t, first.admitArrival(1, "key"))

	now = now.Add(config.AgentMaxStaleness)
	first.ApplyUpdate(update)
	require.Equal(t, refusal.ConfigStale, first.admitArrival(1, "key"), "a late update is no evidence")
	second := New("endpoint", "second", clock)
	now = now.Add(time.Second)
	second.ApplyUpdate(update)
	require.Equal(t, refusal.ConfigStale, second.admitArrival(1, "key"), "a mark of another process is no evidence")
}

// TestQueuedRunWithWithdrawnKeyIsRefused withdraws a key between a run's arrival
// and its departure from the queue. It also checks that runs with the previous
// revision are admitted only until EntryMaxStaleness.
func TestQueuedRunWithWithdrawnKeyIsRefused(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	g := New("endpoint", "agent", func() time.Time { return now })
	g.ApplyUpdate(&wirev1.ConfigNews{Revision: 1, Complete: true, Proved: true, AgentInstance: "agent", Mark: g.Mark()})
	run := &pipeline.Run{Start: &wirev1.RunStart{Revision: 1, KeyId: "key"}}
	require.Nil(t, g.Arrival().Admit(t.Context(), run))
	require.Nil(t, g.Departure().Admit(t.Context(), run))
	g.ApplyUpdate(&wirev1.ConfigNews{Revision: 2, Complete: true, WithdrawnKeys: []string{"key"}})
	queued := g.Departure().Admit(t.Context(), run)
	require.Equal(t, refusal.KeyUnknown, queued.Code)
	require.Equal(t, refusal.NotRun, queued.Outcome)
	require.Empty(t, g.admitArrival(1, "other"), "an entry may lag by less than EntryMaxStaleness")
	now = now.Add(config.EntryMaxStaleness)
	require.Equal(t, refusal.ConfigStale, g.admitArrival(1, "other"))
	require.Empty(t, g.admitArrival(2, "other"))
}

// TestDrainWaitsForRunningRuns drains the gate while a run is active.
func TestDrainWaitsForRunningRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New("endpoint", "agent", time.Now)
		g.ApplyUpdate(&wirev1.ConfigNews{Revision: 1, Complete: true, Proved: true, AgentInstance: "agent", Mark: g.Mark()})
		run := &pipeline.Run{Start: &wirev1.RunStart{Revision: 1, KeyId: "key"}}
		require.Nil(t, g.Departure().Admit(t.Context(), run))
		drained := make(chan error, 1)
		go func() { drained <- g.Drain(t.Context()) }()
		time.Sleep(changeAnnounceTime - time.Millisecond)
		require.True(t, g.Changing())
		require.Empty(t, g.admitArrival(1, "key"), "admitted until changeAnnounceTime has passed")
		time.Sleep(time.Second)
		require.Equal(t, refusal.EndpointChanging, g.admitArrival(1, "key"))
		require.Empty(t, drained)
		g.Departure().Done(run)
		require.NoError(t, <-drained)
		g.AssertDrained()
		g.Resume()
		require.Empty(t, g.admitArrival(1, "key"))
	})
}
