package relay

import (
	"bytes"
	"time"

	"flamingospar.org/gateway/engines"
)

// pace notes how fast the events of one run come.
type pace struct {
	ledger   *engines.Ledger
	endpoint string
	events   int // So far.
	last     time.Time
}

// note takes bytes of the stream that have just come.
func (p *pace) note(data []byte) {
	events := bytes.Count(data, eventEnd)
	if events == 0 {
		return
	}
	if p.events > 0 {
		p.ledger.NotePace(p.endpoint, time.Since(p.last)/time.Duration(events))
	}
	p.events += events
	p.last = time.Now()
}
