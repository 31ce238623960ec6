package relay

import (
	"time"

	"flamingospar.org/gateway/engines"
)

// gapMeter measures the time between the events of one run.
type gapMeter struct {
	selector *engines.Selector
	endpoint string
	events   int // So far.
	lastAt   time.Time
}

// observe records events that were just received.
func (m *gapMeter) observe(events int) {
	if events == 0 {
		return
	}
	if m.events > 0 {
		m.selector.ObserveEventGap(m.endpoint, time.Since(m.lastAt)/time.Duration(events))
	}
	m.events += events
	m.lastAt = time.Now()
}
