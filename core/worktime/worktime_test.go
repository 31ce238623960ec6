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
	require.Zero(t, times.Of(start, long))
	times.Record(start, long, 3*time.Second)
	times.Record(start, long, time.Second)
	times.Record(start, short, 20*time.Millisecond)
	for route, want := range map[string]worktime.Lasted{"long": {Longest: 3 * time.Second, Count: 2}, "short": {Longest: 20 * time.Millisecond, Count: 1}, "other": {Longest: 3 * time.Second, Count: 3}} {
		require.Equal(t, want, times.Of(start, worktime.Kind{Service: "model", Route: route}), route)
	}
	require.Zero(t, times.Of(start, worktime.Kind{Service: "other", Route: "long"}))
}

// A long request counts for 30 to 60 s: one that was long in an overload must not count for ever.
func TestLongRequestsAreForgotten(t *testing.T) {
	var times worktime.Times
	times.Record(start, long, 3*time.Second)
	for after, want := range map[time.Duration]bool{29 * time.Second: true, 59 * time.Second: true, 61 * time.Second: false} {
		aged := times
		require.Equal(t, want, aged.Of(start.Add(after), long).Count > 0, after)
	}
	times.Record(start.Add(31*time.Second), long, time.Second)
	require.Equal(t, worktime.Lasted{Longest: 3 * time.Second, Count: 2}, times.Of(start.Add(59*time.Second), long))
	require.Equal(t, worktime.Lasted{Longest: time.Second, Count: 1}, times.Of(start.Add(61*time.Second), long))
}
