package orders

import (
	"maps"
	"time"
)

// Step is what the process does next.
type Step int

// The steps.
const (
	// Wait: nothing to do now.
	Wait Step = iota
	// Raise: raise this endpoint's epoch in the table service.
	Raise
	// Look: read the endpoint's state.
	Look
	// Drain: keep new requests out and wait for the running ones.
	Drain
	// Send: send the order.
	Send
	// Resume: let requests in.
	Resume
)

// Result is what is known of an order that was sent.
type Result int

// The results.
const (
	// Taken: the endpoint has begun the order.
	Taken Result = iota
	// Refused: the order provably has no effect.
	Refused
	// InDoubt: the order may take effect, now or later.
	InDoubt
)

// Machine decides on the steps for one endpoint. It starts in doubt: an order
// of an earlier process may still be on its way.
type Machine struct {
	target   Target
	settled  Target            // What was loaded when all was last well.
	versions map[string]string // By model, from the catalogue.
	asOf     int64             // Revision of versions.
	holdOff  time.Time         // No interrupting order before.
	epoch    int64
	sequence int64

	state    State
	lookedAt time.Time // When the last look began; zero: never.
	seen     bool      // The last look was answered.

	doubt      bool
	quietSince time.Time // First of the unchanged looks; zero: none.
	inFlight   *Order
	notBefore  time.Time // Of the next order.

	shut      bool
	drainedAt time.Time // Zero: not drained.
}

// NewMachine returns the machine of a process that has just started.
func NewMachine() *Machine { return &Machine{doubt: true} }

// Aim sets the target and reports whether it was taken: a decision that is not
// newer than the last one has no effect.
func (m *Machine) Aim(target Target) bool {
	if !target.After(m.target) {
		return false
	}
	m.target = target
	return true
}

// Versions sets the version that each model should have, as of a revision of
// the catalogue, and from when on this endpoint may be taken away for one. An
// older revision has no effect.
func (m *Machine) Versions(revision int64, versions map[string]string, holdOff time.Time) {
	if revision <= m.asOf {
		return
	}
	m.asOf = revision
	if maps.Equal(versions, m.versions) {
		return
	}
	m.versions, m.holdOff = versions, holdOff
}

// wanted returns the target, filled up with what was loaded when all was last
// well and with the version that the catalogue names.
func (m *Machine) wanted() Target {
	wanted := m.target
	if wanted.Model == "" {
		wanted.Model = m.settled.Model
	}
	if wanted.Role == "" {
		wanted.Role = m.settled.Role
	}
	if wanted.Version == "" {
		wanted.Version = m.versions[wanted.Model]
	}
	return wanted
}

// Target returns the newest decision.
func (m *Machine) Target() Target { return m.target }

// State returns the endpoint's state at the last answered look.
func (m *Machine) State() State { return m.state }

// Settled reports whether no order and no doubt is open.
func (m *Machine) Settled() bool { return m.seen && !m.doubt && m.inFlight == nil }

// Next returns the next step, with the order to send.
func (m *Machine) Next(now time.Time) (Step, Order) {
	if m.epoch == 0 {
		return Raise, Order{}
	}
	if m.lookDue(now) {
		return Look, Order{}
	}
	if !m.Settled() {
		return Wait, Order{}
	}
	if m.settled.Model == "" {
		m.settled = Target{Model: m.state.Model, Role: m.state.Role}
	}
	order, differs := m.wanted().difference(m.state)
	if !differs {
		m.settled = Target{Model: m.state.Model, Role: m.state.Role}
		return m.atRest(), Order{}
	}
	return m.toward(order, now)
}

func (m *Machine) lookDue(now time.Time) bool {
	interval := LookEvery
	if !m.Settled() {
		interval = LookOften
	}
	return m.lookedAt.IsZero() || now.Sub(m.lookedAt) >= interval
}

func (m *Machine) atRest() Step {
	if m.shut {
		return Resume
	}
	return Wait
}

func (m *Machine) toward(order Order, now time.Time) (Step, Order) {
	switch {
	case now.Before(m.notBefore), order.Setting == Version && now.Before(m.holdOff):
		return Wait, Order{}
	case order.Interrupts() && !m.shut:
		return Drain, Order{}
	case order.Interrupts() && m.drainedAt.IsZero():
		return Wait, Order{}
	case m.shut && !m.lookedAt.After(m.drainedAt):
		return Look, Order{}
	}
	order.Epoch, order.Sequence = m.epoch, m.sequence+1
	return Send, order
}

// Raised notes the epoch that this process now has; 0 takes it away.
func (m *Machine) Raised(epoch int64) {
	m.epoch = epoch
	m.sequence = 0
}

// Shut notes that new requests are kept out from now on.
func (m *Machine) Shut() {
	m.shut = true
	m.drainedAt = time.Time{}
}

// Drained notes that no request runs on the endpoint.
func (m *Machine) Drained(now time.Time) {
	if m.shut {
		m.drainedAt = now
	}
}

// Resumed notes that requests are let in again.
func (m *Machine) Resumed() {
	m.shut = false
	m.drainedAt = time.Time{}
}

// Sending notes that an order is about to be sent. It must be called first.
func (m *Machine) Sending(order Order) {
	m.sequence = order.Sequence
	m.inFlight = &order
}

// Sent notes what became of the order in flight.
func (m *Machine) Sent(result Result, now time.Time) {
	m.lookedAt = time.Time{}
	switch result {
	case Refused:
		m.inFlight = nil
		m.notBefore = now.Add(backOff)
	case InDoubt:
		m.beginDoubt()
	case Taken:
	}
}

// Unseen notes a look that was not answered.
func (m *Machine) Unseen(asked time.Time) {
	m.lookedAt = asked
	m.seen = false
	m.quietSince = time.Time{}
	if m.inFlight != nil {
		m.beginDoubt()
	}
}

// Seen notes a look that was answered.
func (m *Machine) Seen(state State, asked time.Time) {
	before, known := m.state, m.state.Instance != ""
	m.state, m.lookedAt, m.seen = state, asked, true
	if known && state.Instance != before.Instance {
		m.beginDoubt()
	}
	m.judgeOrder()
	if m.doubt {
		m.judgeQuiet(before, asked)
	}
}

// judgeOrder compares the state with the order in flight.
func (m *Machine) judgeOrder() {
	switch {
	case m.doubt:
	case m.inFlight == nil && m.state.Busy:
		m.beginDoubt()
	case m.inFlight != nil && m.state.LastOrder != m.inFlight.ID():
		m.beginDoubt()
	case m.inFlight != nil && !m.state.Busy:
		m.inFlight = nil
	}
}

// judgeQuiet ends the doubt when the endpoint was idle and unchanged at each
// look for long enough.
func (m *Machine) judgeQuiet(before State, asked time.Time) {
	if m.state.Busy {
		m.quietSince = time.Time{}
		return
	}
	if m.quietSince.IsZero() || !m.state.same(before) {
		m.quietSince = asked
		return
	}
	if asked.Sub(m.quietSince) >= QuietFor {
		m.doubt = false
		m.inFlight = nil
	}
}

func (m *Machine) beginDoubt() {
	m.doubt = true
	m.quietSince = time.Time{}
}
