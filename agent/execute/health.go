package execute

import (
	"context"
	"sync/atomic"
	"time"
)

// downProbeInterval is the time between probes of an endpoint that is down.
const downProbeInterval = 250 * time.Millisecond

// HealthChecker tracks whether the endpoint accepts connections. Without it, an
// endpoint that is down would look idle and attract the runs of all entries.
type HealthChecker struct {
	detector      *CrashDetector
	onChange      func(down bool)
	down          atomic.Bool
	probeRequests chan struct{}
}

// NewHealthChecker returns a checker that calls onChange at each change.
func NewHealthChecker(detector *CrashDetector, onChange func(down bool)) *HealthChecker {
	return &HealthChecker{detector: detector, onChange: onChange, probeRequests: make(chan struct{}, 1)}
}

// RequestProbe makes Run probe the endpoint soon.
func (h *HealthChecker) RequestProbe() {
	select {
	case h.probeRequests <- struct{}{}:
	default:
	}
}

// Down reports whether the endpoint was down at the last probe.
func (h *HealthChecker) Down() bool { return h.down.Load() }

// Run probes the endpoint on request, and periodically while it is down, until
// ctx ends.
func (h *HealthChecker) Run(ctx context.Context) {
	ticker := time.NewTicker(downProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.probeRequests:
			h.probe()
		case <-ticker.C:
			if h.Down() {
				h.probe()
			}
		}
	}
}

func (h *HealthChecker) probe() {
	down := h.detector.refusesConnections()
	if h.down.Swap(down) != down {
		h.onChange(down)
	}
}
