package limits

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/meter"
	"flamingospar.org/platform/site"
)

func stated(perSecond float64) site.EndpointResponse {
	return site.EndpointResponse{RateLimit: site.RateLimit{Stated: true, PerSecond: perSecond}}
}

// newLimiter returns a limiter of the only process, which knows one endpoint.
func newLimiter() (*Limiter, site.Endpoint) {
	l := New("vm-1", onlyProcess{}, meter.NewRegistry(), time.Now)
	endpoint := site.Endpoint{ID: "e-1", StartedMS: 1}
	l.EndpointChanged(endpoint)
	return l, endpoint
}

func (l *Limiter) perMinute(id string) int64 { return l.Gauges()[id]["per_minute"] }

// An answer without a limit ends it, unless its request was sent before the last answer
// with a limit came: the endpoint may have written it before it was in need.
func TestLimitHoldsUntilALaterRequestIsAnsweredWithoutIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, endpoint := newLimiter()
		slowSentAt := time.Now()
		time.Sleep(time.Second)
		l.Observe(endpoint, time.Now(), stated(4))
		require.EqualValues(t, 240, l.perMinute("e-1"))
		time.Sleep(time.Second)
		l.Observe(endpoint, slowSentAt, site.EndpointResponse{})
		require.EqualValues(t, 240, l.perMinute("e-1"), "the answer to an earlier request")
		l.Observe(endpoint, time.Now(), stated(2))
		require.EqualValues(t, 120, l.perMinute("e-1"), "the limit has changed")
		time.Sleep(time.Millisecond)
		l.Observe(endpoint, time.Now(), site.EndpointResponse{})
		require.Empty(t, l.Gauges())
	})
}

// Answers of another endpoint at the same address, answers to a former incarnation and
// values that are no rate change nothing.
func TestAnswersThatSayNothingOfTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, endpoint := newLimiter()
		l.Observe(endpoint, time.Now(), stated(4))
		time.Sleep(time.Second)
		l.Observe(endpoint, time.Now(), site.EndpointResponse{NotRun: true, Misdirected: true})
		l.Observe(endpoint, time.Now(), site.EndpointResponse{RateLimit: site.RateLimit{Malformed: true}})
		l.Observe(site.Endpoint{ID: "e-1", StartedMS: 9}, time.Now(), site.EndpointResponse{})
		l.Observe(site.Endpoint{ID: "unlisted", StartedMS: 1}, time.Now(), stated(1))
		require.EqualValues(t, 240, l.perMinute("e-1"))
		require.Len(t, l.Gauges(), 1)
		l.EndpointChanged(site.Endpoint{ID: "e-1", StartedMS: 2})
		require.Empty(t, l.Gauges(), "an endpoint that has restarted has stated no limit")
	})
}

// onlyProcess is a fleet of one process.
type onlyProcess struct{ Fleet }

func (onlyProcess) Rank(string, int) []string { return []string{"vm-1"} }
func (onlyProcess) Generation() uint64        { return 1 }
