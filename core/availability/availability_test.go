package availability_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/availability"
)

var (
	start   = time.Unix(1_000_000, 0)
	process = availability.Process{Endpoint: "e", StartedMS: 1}
)

// passOver returns why an endpoint with nothing but a statement is passed over.
func passOver(s *availability.Statements, now time.Time) availability.Exclusion {
	state := availability.State{Statement: s.Of(process)}
	return state.PassOver(now, false)
}

// An endpoint that leaves and has asked to wait must not come back when the wait ends: the
// strictest reason counts, and binding ones exclude it even as a last choice.
func TestStrictestReasonCounts(t *testing.T) {
	statements := availability.NewStatements()
	statements.Observe(start, process, availability.Answer{Wait: 2 * time.Second})
	state := availability.State{BackoffUntil: start.Add(3 * time.Second)}
	require.Equal(t, availability.Exclusion{Reason: availability.Busy, Until: state.BackoffUntil}, state.PassOver(start, false))
	state.Health.Unreachable(start)
	require.Equal(t, availability.Exclusion{Reason: availability.Ejected, Until: state.Health.EjectedUntil()}, state.PassOver(start, false))
	state.Unregistered = true
	require.Equal(t, availability.Exclusion{Reason: availability.Unregistered}, state.PassOver(start, false))
	require.Equal(t, availability.RateLimited, state.PassOver(start, true).Reason)
	state.Statement = statements.Of(process)
	require.Equal(t, availability.Exclusion{Reason: availability.AskedToWait, Until: start.Add(2 * time.Second)}, state.PassOver(start, true))
	state.Draining = true
	require.Equal(t, availability.Exclusion{Reason: availability.Leaving}, state.PassOver(start, true))
	require.Equal(t, availability.Exclusion{}, new(availability.State).PassOver(start, false))
	for reason, binding := range map[availability.Reason]bool{
		availability.Leaving: true, availability.AskedToWait: true, availability.RateLimited: true, availability.Unregistered: true, availability.Ejected: false, availability.Busy: false, availability.None: false,
	} {
		require.Equal(t, binding, reason.Binding(), reason)
	}
}

// A later answer without the statement, or a success, must not bring back an endpoint that
// leaves; the next process under its ID is not bound by it.
func TestLeavingHoldsUntilTheNextProcess(t *testing.T) {
	statements := availability.NewStatements()
	require.Equal(t, availability.Exclusion{Reason: availability.Leaving}, statements.Observe(start, process, availability.Answer{Leaving: true}))
	require.Equal(t, availability.Exclusion{}, statements.Observe(start, process, availability.Answer{Leaving: true}), "nothing changed")
	statements.Observe(start, process, availability.Answer{Accepted: true})
	now := start.Add(24 * time.Hour)
	require.Equal(t, availability.Leaving, passOver(statements, now).Reason)
	require.False(t, statements.Take(now, process))
	require.True(t, statements.Take(now, availability.Process{Endpoint: "e", StartedMS: 2}))
}

// A list that was older than the endpoint's last start named an earlier one: what the
// process that runs had said was not found, and it got requests. The same held for what it
// said in answers to these.
func TestStatementHoldsForEarlierStarts(t *testing.T) {
	earlier := availability.Process{Endpoint: "e", StartedMS: process.StartedMS - 1}
	later := availability.Process{Endpoint: "e", StartedMS: process.StartedMS + 1}
	statements := availability.NewStatements()
	statements.Observe(start, process, availability.Answer{Leaving: true})
	require.False(t, statements.Take(start, earlier))
	require.True(t, statements.Take(start, later))

	statements.Observe(start, later, availability.Answer{Accepted: true})
	require.False(t, statements.Take(start, earlier), "the later process has said nothing")
	statements.Observe(start, later, availability.Answer{Wait: 5 * time.Second})
	require.False(t, statements.Take(start, process))
	statements.Observe(start, earlier, availability.Answer{Wait: 9 * time.Second})
	require.False(t, statements.Take(start.Add(8*time.Second), later), "the process that runs said so")
	require.True(t, statements.Take(start.Add(9*time.Second), later))
}

// Of several refused requests one stated a shorter time: the endpoint got requests before
// the end of the longer one. A request that was accepted meanwhile doesn't end it either.
func TestWaitsNeverGetShorter(t *testing.T) {
	statements := availability.NewStatements()
	require.Equal(t, availability.AskedToWait, statements.Observe(start, process, availability.Answer{Wait: 5 * time.Second}).Reason)
	statements.Observe(start, process, availability.Answer{Wait: time.Second})
	statements.Observe(start, process, availability.Answer{Accepted: true})
	require.True(t, statements.AnyWaits(start.Add(4*time.Second)))
	require.False(t, statements.Take(start.Add(5*time.Second-1), process))
	require.True(t, statements.Take(start.Add(5*time.Second), process))
	require.Equal(t, availability.None, passOver(statements, start.Add(5*time.Second)).Reason)
	require.False(t, statements.AnyWaits(start.Add(5*time.Second)))
}

// An endpoint that states long times again and again was lost for its service: it is sent
// one request each MaxWait, and is used again once it accepts one.
func TestEndpointThatStatesALongTimeIsTriedWithSingleRequests(t *testing.T) {
	const stated = 10 * availability.MaxWait
	statements := availability.NewStatements()
	statements.Observe(start, process, availability.Answer{Wait: stated})
	sent := 0
	for now := start; now.Before(start.Add(3*availability.MaxWait + time.Second)); now = now.Add(time.Second) {
		if !statements.Take(now, process) {
			continue
		}
		sent++
		require.False(t, statements.Take(now, process), "a second request at the same time")
		if sent == 2 {
			statements.Observe(now, process, availability.Answer{Wait: stated})
		}
	}
	require.Equal(t, 3, sent)
	now := start.Add(3*availability.MaxWait + 2*time.Second)
	statements.Observe(now, process, availability.Answer{Accepted: true})
	require.True(t, statements.Take(now, process))
	require.True(t, statements.Take(now, process))
}

// Statements of endpoints that come and go must not fill the memory, and those of
// endpoints that leave are kept longest.
func TestStatementsAreBounded(t *testing.T) {
	statements := availability.NewStatements()
	statements.Observe(start, process, availability.Answer{Leaving: true})
	first := availability.Process{Endpoint: "first"}
	statements.Observe(start, first, availability.Answer{Wait: time.Hour})
	for i := range 5000 {
		now := start.Add(time.Duration(i+1) * time.Millisecond)
		statements.Observe(now, availability.Process{Endpoint: fmt.Sprint(i)}, availability.Answer{Wait: time.Second})
	}
	require.Nil(t, statements.Of(first))
	require.NotNil(t, statements.Of(availability.Process{Endpoint: "4999"}))
	require.True(t, statements.Of(process).IsLeaving())
	statements.Observe(start, availability.Process{Endpoint: "silent"}, availability.Answer{Accepted: true})
	require.Nil(t, statements.Of(availability.Process{Endpoint: "silent"}), "nothing was stated")
}
