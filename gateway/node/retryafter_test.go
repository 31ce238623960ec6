package node_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site/sitetest"
)

// Bounds of an endpoint that asks to be sent nothing for a time: from waitNotice after
// its answer to the end of that time it gets at most mostWithinWait requests.
const (
	waitNotice     = 500 * time.Millisecond
	mostWithinWait = 2
)

// callers send requests for a path one after another until ctx ends, each after a pause.
func (h *harness) callers(ctx context.Context, n int, path string, each func(result, time.Duration)) *sync.WaitGroup {
	var senders sync.WaitGroup
	for range n {
		senders.Go(func() {
			for ctx.Err() == nil {
				start := time.Now()
				each(h.sendLong(path), time.Since(start))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return &senders
}

// An endpoint that turned requests away with 503 and Retry-After got the next ones 0.3 s
// later, from several callers at once, though it had asked for more time.
func TestEndpointThatAskedToWaitGetsNothingMeanwhile(t *testing.T) {
	for name, c := range statingCases {
		t.Run(name, func(t *testing.T) {
			h := newStatingHarness(t)
			endpoints := c.add(h)
			h.run()
			asks := h.inUse(c.path, endpoints)
			asks.Refuse(-1, "1.5")
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			var served atomic.Int64
			h.callers(ctx, 5, c.path, func(got result, _ time.Duration) {
				if got.status == http.StatusOK {
					served.Add(1)
				}
			}).Wait()
			require.NotEmpty(t, asks.Refusals())
			require.LessOrEqual(t, asks.MostWithinWaits(waitNotice), mostWithinWait, "requests reached an endpoint that had asked to wait")
			require.NotZero(t, served.Load(), "the other endpoint serves")
		})
	}
}

// A request that only endpoints that asked to wait could serve was sent to them all the
// same, or its caller was told to come back long before they accept requests.
func TestRequestIsRefusedAtOnceWhileAllEndpointsAskedToWait(t *testing.T) {
	const wait = 3 * time.Second
	for name, c := range statingCases {
		if name == "prefill" {
			continue // The decode engines can prefill as well.
		}
		t.Run(name, func(t *testing.T) {
			h := newStatingHarness(t)
			endpoints := c.add(h)
			h.run()
			h.inUse(c.path, endpoints)
			for _, e := range endpoints {
				e.Refuse(-1, strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
			}
			h.eventually(func() bool {
				h.sendLong(c.path)
				return len(endpoints[0].Refusals()) > 0 && len(endpoints[1].Refusals()) > 0
			})
			first := min(wait-time.Since(endpoints[0].Refusals()[0].At), wait-time.Since(endpoints[1].Refusals()[0].At))
			got := h.sendLong(c.path)
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.Empty(t, got.header.Get(sitetest.HeaderEngineSeal))
			seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			const measured = 500 * time.Millisecond // For the time that this test itself takes.
			require.Greater(t, seconds, (first - measured).Seconds(), "the caller would come back too early")

			time.Sleep(waitNotice)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			h.callers(ctx, 5, c.path, func(result, time.Duration) {}).Wait()
			for _, e := range endpoints {
				require.LessOrEqual(t, e.MostWithinWaits(waitNotice), mostWithinWait)
				e.Refuse(0, "")
			}
			h.eventually(func() bool { return h.sendLong(c.path).status == http.StatusOK })
		})
	}
}

// A value of Retry-After that is no time, or one without a sensible end, must not keep an
// endpoint out of use.
func TestEndpointThatStatesNoProperTimeToWaitStaysInUse(t *testing.T) {
	for _, value := range []string{"-5", "NaN", "", "soon", "0", "Fri, 31 Dec 2027 23:59:59 GMT"} {
		t.Run(value, func(t *testing.T) {
			h := newStatingHarness(t)
			e := h.addStating("plain", "", nil, "a")[0]
			h.run()
			h.waitUntilServing(plainPath)
			e.Refuse(1, value)
			h.sendLong(plainPath)
			start := time.Now()
			h.waitUntilServing(plainPath)
			require.Less(t, time.Since(start), 5*time.Second)
		})
	}
}
