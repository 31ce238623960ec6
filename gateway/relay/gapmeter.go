package relay

import (
	"bytes"
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

// observe records data that was just received.
func (m *gapMeter) observe(data []byte) {
	events := bytes.Count(data, eventSeparator)
	if events == 0 {
		return
	}
	if m.events > 0 {
		m.selector.ObserveEventGap(m.endpoint, time.Since(m.lastAt)/time.Duration(events))
	}
	m.events += events
	m.lastAt = time.Now()
}
