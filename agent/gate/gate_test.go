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

func (g *Gate) arrive(revision int64, key string) refusal.Code {
	run := &pipeline.Run{Start: &wirev1.RunStart{Revision: revision, KeyId: key}}
	if refused := g.Arrival().Admit(context.Background(), run); refused != nil {
		return refused.Code
	}
	return ""
}

// TestNewsProveTheirMark delivers an entry's news long after they were sent, and
// to the process that came after the one that gave the mark.
func TestNewsProveTheirMark(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	clock := func() time.Time { return now }
	first := New("endpoint", "first", clock)
	require.Equal(t, refusal.ConfigStale, first.arrive(1, "key"))
	news := &wirev1.ConfigNews{Revision: 1, Complete: true, Proved: true, AgentInstance: "first", Mark: first.Mark()}
	first.Hear(news)
	require.Empty(t, first.arrive(1, "key"))

	now = now.Add(config.AgentMaxStaleness)
	first.Hear(news)
	require.Equal(t, refusal.ConfigStale, first.arrive(1, "key"), "late news prove nothing")
	second := New("endpoint", "second", clock)
	now = now.Add(time.Second)
	second.Hear(news)
	require.Equal(t, refusal.ConfigStale, second.arrive(1, "key"), "a mark of another process proves nothing")
}

// TestQueuedRunOfWithdrawnKey withdraws a key while runs are queued and running.
func TestQueuedRunOfWithdrawnKey(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	g := New("endpoint", "agent", func() time.Time { return now })
	g.Hear(&wirev1.ConfigNews{Revision: 1, Complete: true, Proved: true, AgentInstance: "agent", Mark: g.Mark()})
	run := &pipeline.Run{Start: &wirev1.RunStart{Revision: 1, KeyId: "key"}}
	require.Nil(t, g.Arrival().Admit(t.Context(), run))
	require.Nil(t, g.Departure().Admit(t.Context(), run))
	g.Hear(&wirev1.ConfigNews{Revision: 2, Complete: true, WithdrawnKeys: []string{"key"}})
	queued := g.Departure().Admit(t.Context(), run)
	require.Equal(t, refusal.KeyUnknown, queued.Code)
	require.Equal(t, refusal.NotRun, queued.Outcome)
	require.Empty(t, g.arrive(1, "other"), "an entry may lag a little")
	now = now.Add(config.EntryMaxStaleness)
	require.Equal(t, refusal.ConfigStale, g.arrive(1, "other"))
	require.Empty(t, g.arrive(2, "other"))
}

// TestDrainWaitsForRunning takes the endpoint away while a run is active.
func TestDrainWaitsForRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New("endpoint", "agent", time.Now)
		g.Hear(&wirev1.ConfigNews{Revision: 1, Complete: true, Proved: true, AgentInstance: "agent", Mark: g.Mark()})
		run := &pipeline.Run{Start: &wirev1.RunStart{Revision: 1, KeyId: "key"}}
		require.Nil(t, g.Departure().Admit(t.Context(), run))
		drained := make(chan error, 1)
		go func() { drained <- g.Drain(t.Context()) }()
		time.Sleep(announceFor - time.Millisecond)
		require.True(t, g.Changing())
		require.Empty(t, g.arrive(1, "key"), "served until the notice has passed")
		time.Sleep(time.Second)
		require.Equal(t, refusal.EndpointChanging, g.arrive(1, "key"))
		require.Empty(t, drained)
		g.Departure().Done(run)
		require.NoError(t, <-drained)
		g.AssertDrained()
		g.Resume()
		require.Empty(t, g.arrive(1, "key"))
	})
}
