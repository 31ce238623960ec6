package limits

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/meter"
	"flamingospar.org/platform/site"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// secondOfTwo is a fleet of two processes, as seen by the one that ranks second.
type secondOfTwo struct{ Fleet }

func (secondOfTwo) Rank(string, int) []string      { return []string{"vm-1", "vm-2"} }
func (secondOfTwo) Generation() uint64             { return 1 }
func (secondOfTwo) SilentFor(string) time.Duration { return 0 }

// firstOfTwo is the same as seen by the one that shares out the limit.
type firstOfTwo struct{ secondOfTwo }

// Guards against: an endpoint that states an absurdly large rate was used by no process but
// the one that shares out its rate, which refused the questions of all others.
func TestEndpointThatStatesAHugeRateStaysInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoint := site.Endpoint{ID: "e-1", StartedMS: 1}
		for _, rate := range []float64{1e9, 2e9, 1e300} {
			owner := New("vm-1", firstOfTwo{}, meter.NewRegistry(), time.Now)
			other := New("vm-2", secondOfTwo{}, meter.NewRegistry(), time.Now)
			for _, l := range []*Limiter{owner, other} {
				l.EndpointChanged(endpoint)
				l.Observe(endpoint, time.Now(), stated(rate))
			}
			time.Sleep(time.Second)
			require.True(t, owner.Take("e-1"), "%g a second: the process that shares it out", rate)
			if other.Take("e-1") {
				continue
			}
			request := other.Report("vm-1")
			require.Len(t, request, 1)
			reply := owner.Grant(acquire("vm-2", request[0]))
			require.True(t, reply.GetSharesLimit(), "%g a second: another process", rate)
			require.NotZero(t, reply.GetGranted(), "%g a second: another process", rate)
		}
	})
}

func acquire(vm string, limit *wirev1.EndpointLimit) *wirev1.AcquireSendsRequest {
	return &wirev1.AcquireSendsRequest{Vm: vm, Limit: limit, Count: 1}
}
