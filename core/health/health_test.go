package health_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/health"
)

var start = time.Unix(1_000_000, 0)

// Guards against repeated timeouts at an endpoint that is gone: each failed
// attempt ejects it for longer, and its first answer ends the ejection.
func TestUnreachableEndpointIsEjectedLongerEachTime(t *testing.T) {
	var record health.Record
	now := start
	ejection := time.Duration(0)
	for range 3 {
		record.Unreachable(now)
		before := ejection
		ejection = 0
		for record.Ejected(now.Add(ejection)) {
			ejection += 100 * time.Millisecond
		}
		require.Greater(t, ejection, before)
		now = now.Add(ejection)
	}
	record.Succeeded(now)
	require.False(t, record.Ejected(now))
}

// Guards against an endpoint that fails a share of its requests while it reports
// itself healthy. Single failures don't eject it; its failure rate shows the share
// and decays when it isn't used.
func TestGrayFailureRaisesTheRate(t *testing.T) {
	var grey health.Record
	now := start
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		if i%5 < 2 {
			grey.Failed(now)
			require.False(t, grey.Ejected(now))
			continue
		}
		grey.Succeeded(now)
	}
	require.InDelta(t, 0.4, grey.Rate(now), 0.2)
	require.Less(t, grey.Rate(now.Add(30*time.Second)), 0.02)
}
