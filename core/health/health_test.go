package health_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/health"
)

var start = time.Unix(1_000_000, 0)

// Pattern: an endpoint is gone. Each attempt to reach it rests it for longer,
// and its first answer ends the rest.
func TestUnreachableEndpointRestsLongerEachTime(t *testing.T) {
	var record health.Record
	now := start
	rest := time.Duration(0)
	for range 3 {
		record.Unreachable(now)
		before := rest
		rest = 0
		for record.Resting(now.Add(rest)) {
			rest += 100 * time.Millisecond
		}
		require.Greater(t, rest, before)
		now = now.Add(rest)
	}
	record.Succeeded(now)
	require.False(t, record.Resting(now))
}

// Pattern: an endpoint fails a share of its requests while it calls itself
// well. It does not rest for one failure, its rate tells, and fades in time.
func TestGreyEndpointShowsInItsRate(t *testing.T) {
	var grey health.Record
	now := start
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		if i%5 < 2 {
			grey.Failed(now)
			require.False(t, grey.Resting(now))
			continue
		}
		grey.Succeeded(now)
	}
	require.InDelta(t, 0.4, grey.Rate(now), 0.2)
	require.Less(t, grey.Rate(now.Add(30*time.Second)), 0.02)
}
