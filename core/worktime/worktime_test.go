package worktime_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/worktime"
)

var (
	start = time.Unix(1_000_000, 0)
	long  = worktime.Kind{Service: "model", Route: "long"}
	short = worktime.Kind{Service: "model", Route: "short"}
)

// A route's own requests count, and those of its service where it had none: otherwise a short
// kind of request would be taken to last as long as the longest one of its service.
func TestLongestOfTheRouteCountsBeforeThatOfTheService(t *testing.T) {
	var times worktime.Times
	_, ok := times.Longest(start, long)
	require.False(t, ok)
	times.Record(start, long, 3*time.Second)
	times.Record(start, long, time.Second)
	times.Record(start, short, 20*time.Millisecond)
	for route, want := range map[string]time.Duration{"long": 3 * time.Second, "short": 20 * time.Millisecond, "other": 3 * time.Second} {
		got, ok := times.Longest(start, worktime.Kind{Service: "model", Route: route})
		require.True(t, ok, route)
		require.Equal(t, want, got, route)
	}
	_, ok = times.Longest(start, worktime.Kind{Service: "other", Route: "long"})
	require.False(t, ok)
}

// A long request counts for 30 to 60 s: one that was long in an overload must not count for ever.
func TestLongRequestsAreForgotten(t *testing.T) {
	var times worktime.Times
	times.Record(start, long, 3*time.Second)
	for after, want := range map[time.Duration]bool{29 * time.Second: true, 59 * time.Second: true, 61 * time.Second: false} {
		aged := times
		_, ok := aged.Longest(start.Add(after), long)
		require.Equal(t, want, ok, after)
	}
	times.Record(start.Add(31*time.Second), long, time.Second)
	got, _ := times.Longest(start.Add(59*time.Second), long)
	require.Equal(t, 3*time.Second, got)
	got, _ = times.Longest(start.Add(61*time.Second), long)
	require.Equal(t, time.Second, got)
}
