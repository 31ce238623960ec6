package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
)

// Guards against a permit that was lost with a request which was not sent: an endpoint of a low
// rate was not asked at all for as long as its rate takes to allow the next one.
func TestPermitOfARequestThatIsNotSentServesAnother(t *testing.T) {
	l, endpoint := newLimiter()
	now := time.Now()
	l.now = func() time.Time { return now }
	l.Observe(endpoint, now, site.EndpointResponse{RateLimit: site.RateLimit{Stated: true, PerSecond: 0.25}})
	now = now.Add(10 * time.Second)
	for range 3 {
		giveBack, ok := l.Reserve(endpoint.ID)
		require.True(t, ok)
		require.False(t, l.Take(endpoint.ID))
		giveBack()
	}
	l.mu.Lock()
	l.limited[endpoint.ID].permits = []time.Time{now.Add(permitTTL)}
	l.mu.Unlock()
	giveBack, ok := l.Reserve(endpoint.ID)
	require.True(t, ok)
	giveBack()
	require.True(t, l.Take(endpoint.ID), "the permit of another process")
	require.True(t, l.Take(endpoint.ID), "the one of its own")
	require.False(t, l.Take(endpoint.ID))
	giveBack, _ = l.Reserve("other")
	giveBack()

	l.EndpointGone(endpoint.ID)
	giveBack()
	require.True(t, l.Take(endpoint.ID), "it has no limit while it is not listed")
}
