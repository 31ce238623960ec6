package soak_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site/sitetest"
)

// Bounds of the rate limits that endpoints state.
const (
	limitNoticeTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitTolerance  = 1.5
	limitAllowance  = 5
	// minLimitUse is the share of a limit that must be used while callers are refused.
	minLimitUse = 0.7
	// callInterval is the time between two requests of a caller of checkRateLimits.
	callInterval = 30 * time.Millisecond
)

// stateLimits makes random endpoints state rate limits for random times until ctx ends.
// The draws don't depend on those of the other faults.
func (h *harness) stateLimits(ctx context.Context, random *rand.Rand) {
	var stated sync.WaitGroup
	defer stated.Wait()
	for ctx.Err() == nil {
		e := h.endpoints[random.IntN(len(h.endpoints))]
		limit := float64(1 + random.IntN(30))
		duration := time.Duration(500+random.IntN(4000)) * time.Millisecond
		h.report.addFault("endpoint states a rate limit")
		stated.Go(func() {
			e.limits.SetLimit(limit)
			wait(ctx, duration)
			e.limits.SetLimit(0)
		})
		wait(ctx, time.Duration(200+random.IntN(800))*time.Millisecond)
	}
}

func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// checkRateLimits lets all plain endpoints state a limit while there are no faults and
// requires that all processes together keep to it and use it.
func (h *harness) checkRateLimits(limit float64) {
	limited := h.endpoints[:plainEndpointCount]
	for _, e := range limited {
		e.limits.SetLimit(limit)
		defer e.limits.SetLimit(0)
	}
	ctx, cancel := context.WithTimeout(h.t.Context(), limitNoticeTime+limitWindow+time.Second)
	defer cancel()
	c := h.newCallers()
	var callers sync.WaitGroup
	for _, p := range h.processes {
		callers.Go(func() {
			for ctx.Err() == nil {
				c.send(context.Background(), http.DefaultClient, p, "many", h.currentKey())
				time.Sleep(callInterval)
			}
		})
	}
	time.Sleep(limitNoticeTime)
	since := time.Now()
	callers.Wait()
	elapsed := time.Since(since).Seconds()
	for _, e := range limited {
		arrivals := e.limits.Arrivals(since)
		allowed := int(limitTolerance*limit*limitWindow.Seconds()) + limitAllowance
		require.LessOrEqual(h.t, sitetest.MostWithin(limitWindow, arrivals), allowed, "%s stated a limit of %g a second; logs in %s", e.ID, limit, h.logDir)
		require.GreaterOrEqual(h.t, float64(len(arrivals)), minLimitUse*limit*elapsed, "callers were refused while %s would have taken them; logs in %s", e.ID, h.logDir)
	}
}
