package execute

import (
	"context"
	"sync/atomic"
	"time"
)

// downInterval is the time between looks at an endpoint that is down.
const downInterval = 250 * time.Millisecond

// Health follows whether the endpoint accepts connections. An endpoint that is
// down would else look idle, and so draw the runs of all entries.
type Health struct {
	crashes *Crashes
	set     func(down bool)
	down    atomic.Bool
	looks   chan struct{}
}

// NewHealth returns the duty; set is told of each change.
func NewHealth(crashes *Crashes, set func(down bool)) *Health {
	return &Health{crashes: crashes, set: set, looks: make(chan struct{}, 1)}
}

// Suspect asks for a look at the endpoint.
func (h *Health) Suspect() {
	select {
	case h.looks <- struct{}{}:
	default:
	}
}

// Down reports whether the endpoint was down at the last look.
func (h *Health) Down() bool { return h.down.Load() }

// Run looks at the endpoint when it is suspected, and while it is down, until
// ctx ends.
func (h *Health) Run(ctx context.Context) {
	ticker := time.NewTicker(downInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.looks:
			h.look()
		case <-ticker.C:
			if h.Down() {
				h.look()
			}
		}
	}
}

func (h *Health) look() {
	down := h.crashes.refuses()
	if h.down.Swap(down) != down {
		h.set(down)
	}
}
