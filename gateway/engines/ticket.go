package engines

import (
	"time"

	"flamingospar.org/core/placement"
)

// Send notes that a prompt is sent to an engine, and returns nil when the
// engine is no longer known.
func (l *Ledger) Send(id string, prompt placement.Prompt, level, fetched int) *Ticket {
	return l.note(id, prompt, func(engine *placement.Engine) *placement.Assignment {
		return engine.Send(l.now(), prompt, level, fetched)
	})
}

// Take notes that an engine is sent a prompt that another has read.
func (l *Ledger) Take(id string, prompt placement.Prompt, level int) *Ticket {
	return l.note(id, prompt, func(engine *placement.Engine) *placement.Assignment {
		return engine.SendPrefilled(l.now(), prompt, level)
	})
}

func (l *Ledger) note(id string, prompt placement.Prompt, open func(*placement.Engine) *placement.Assignment) *Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	engine, ok := l.models[id]
	if !ok {
		return nil
	}
	l.uses.add(id, prompt.Parts)
	return &Ticket{ledger: l, engine: engine, ticket: open(engine)}
}

// Ticket is a prompt sent to an engine. A nil ticket notes nothing.
type Ticket struct {
	ledger *Ledger
	engine *placement.Engine
	ticket *placement.Assignment
}

// Predicted returns the time until the prompt is read, as it was expected.
func (t *Ticket) Predicted() time.Duration {
	if t == nil {
		return 0
	}
	return t.ticket.Predicted
}

// Read notes that the engine has read the prompt.
func (t *Ticket) Read() {
	if t == nil {
		return
	}
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	t.ticket.PrefillDone(t.ledger.now())
	t.engine.LastAnswer = t.ledger.now()
}

// Drop notes that the engine will not read the prompt.
func (t *Ticket) Drop() {
	if t == nil {
		return
	}
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	t.ticket.Cancel(t.ledger.now())
}
