package orders

import (
	"maps"
	"time"
)

// Step is the next action of the process that controls an endpoint.
type Step int

// The steps.
const (
	// Wait means that there is nothing to do now.
	Wait Step = iota
	// RaiseEpoch increments the endpoint's epoch in the table service.
	RaiseEpoch
	// Poll reads the endpoint's state.
	Poll
	// Drain stops admitting requests and waits for the running ones to end.
	Drain
	// Send sends the order.
	Send
	// Resume admits requests again.
	Resume
)

// Result is what the sender knows about an order after sending it.
type Result int

// The results.
const (
	// Accepted means that the endpoint has started to execute the order.
	Accepted Result = iota
	// Refused means that the order provably has no effect.
	Refused
	// InDoubt means that the order may take effect, now or later.
	InDoubt
)

// Machine is the state machine that selects the steps for one endpoint. It
// starts in doubt, since an order of an earlier process may still be in transit.
type Machine struct {
	target           Target
	converged        Target            // Loaded when the endpoint last matched its target.
	versions         map[string]string // By model, as the catalogue names them.
	versionsRevision int64             // Catalogue revision of versions.
	versionNotBefore time.Time         // Earliest time for an order that changes the version.
	epoch            int64
	sequence         int64

	state     State
	polledAt  time.Time // Start of the last poll; zero if there was none.
	reachable bool      // The last poll was answered.

	inDoubt        bool
	quietSince     time.Time // First of the unchanged idle polls; zero if there is none.
	inFlight       *Order
	orderNotBefore time.Time // Earliest time for the next order.

	admissionStopped bool
	drainedAt        time.Time // Zero unless drained.
}

// NewMachine returns the Machine of a process that has just started.
func NewMachine() *Machine { return &Machine{inDoubt: true} }

// SetTarget sets the target and reports whether it did: a decision that is not
// newer than the current one has no effect.
func (m *Machine) SetTarget(target Target) bool {
	if !target.Supersedes(m.target) {
		return false
	}
	m.target = target
	return true
}

// SetVersions sets the version that each model should have at a revision of the
// catalogue, and the earliest time at which the endpoint may be drained for a
// version change. A revision that is not newer has no effect.
func (m *Machine) SetVersions(revision int64, versions map[string]string, notBefore time.Time) {
	if revision <= m.versionsRevision {
		return
	}
	m.versionsRevision = revision
	if maps.Equal(versions, m.versions) {
		return
	}
	m.versions, m.versionNotBefore = versions, notBefore
}

// wanted returns the target. An empty model or role is filled in from what was
// loaded when the endpoint last matched its target, an empty version from the
// catalogue.
func (m *Machine) wanted() Target {
	wanted := m.target
	if wanted.Model == "" {
		wanted.Model = m.converged.Model
	}
	if wanted.Role == "" {
		wanted.Role = m.converged.Role
	}
	if wanted.Version == "" {
		wanted.Version = m.versions[wanted.Model]
	}
	return wanted
}

// Target returns the newest target that was set.
func (m *Machine) Target() Target { return m.target }

// State returns the endpoint's state at the last answered poll.
func (m *Machine) State() State { return m.state }

// Settled reports whether the last poll was answered, no order is in flight and
// the effect of no order is in doubt.
func (m *Machine) Settled() bool { return m.reachable && !m.inDoubt && m.inFlight == nil }

// Next returns the next step and, for Send, the order.
func (m *Machine) Next(now time.Time) (Step, Order) {
	if m.epoch == 0 {
		return RaiseEpoch, Order{}
	}
	if m.pollDue(now) {
		return Poll, Order{}
	}
	if !m.Settled() {
		return Wait, Order{}
	}
	if m.converged.Model == "" {
		m.converged = Target{Model: m.state.Model, Role: m.state.Role}
	}
	order, differs := m.wanted().firstDifference(m.state)
	if !differs {
		m.converged = Target{Model: m.state.Model, Role: m.state.Role}
		return m.stepWhenConverged(), Order{}
	}
	return m.stepToward(order, now)
}

func (m *Machine) pollDue(now time.Time) bool {
	interval := PollInterval
	if !m.Settled() {
		interval = UnsettledPollInterval
	}
	return m.polledAt.IsZero() || now.Sub(m.polledAt) >= interval
}

func (m *Machine) stepWhenConverged() Step {
	if m.admissionStopped {
		return Resume
	}
	return Wait
}

func (m *Machine) stepToward(order Order, now time.Time) (Step, Order) {
	switch {
	case now.Before(m.orderNotBefore), order.Setting == Version && now.Before(m.versionNotBefore):
		return Wait, Order{}
	case order.Interrupts() && !m.admissionStopped:
		return Drain, Order{}
	case order.Interrupts() && m.drainedAt.IsZero():
		return Wait, Order{}
	case m.admissionStopped && !m.polledAt.After(m.drainedAt):
		return Poll, Order{}
	}
	order.Epoch, order.Sequence = m.epoch, m.sequence+1
	return Send, order
}

// SetEpoch records the epoch that this process holds; 0 means that it holds none.
func (m *Machine) SetEpoch(epoch int64) {
	m.epoch = epoch
	m.sequence = 0
}

// DrainStarted records that new requests are no longer admitted.
func (m *Machine) DrainStarted() {
	m.admissionStopped = true
	m.drainedAt = time.Time{}
}

// Drained records that no request is running on the endpoint.
func (m *Machine) Drained(now time.Time) {
	if m.admissionStopped {
		m.drainedAt = now
	}
}

// Resumed records that requests are admitted again.
func (m *Machine) Resumed() {
	m.admissionStopped = false
	m.drainedAt = time.Time{}
}

// BeginSend records that an order is about to be sent. It must be called before
// the order is sent.
func (m *Machine) BeginSend(order Order) {
	m.sequence = order.Sequence
	m.inFlight = &order
}

// EndSend records the result of sending the order in flight.
func (m *Machine) EndSend(result Result, now time.Time) {
	m.polledAt = time.Time{}
	switch result {
	case Refused:
		m.inFlight = nil
		m.orderNotBefore = now.Add(refusedBackoff)
	case InDoubt:
		m.enterDoubt()
	case Accepted:
	}
}

// PollFailed records a poll, started at asked, that was not answered.
func (m *Machine) PollFailed(asked time.Time) {
	m.polledAt = asked
	m.reachable = false
	m.quietSince = time.Time{}
	if m.inFlight != nil {
		m.enterDoubt()
	}
}

// PollSucceeded records the answer to a poll that was started at asked.
func (m *Machine) PollSucceeded(state State, asked time.Time) {
	before, known := m.state, m.state.Instance != ""
	m.state, m.polledAt, m.reachable = state, asked, true
	if known && state.Instance != before.Instance {
		m.enterDoubt()
	}
	m.checkInFlight()
	if m.inDoubt {
		m.checkQuiet(before, asked)
	}
}

// checkInFlight compares the polled state with the order in flight: the order has
// ended when the endpoint is idle and names it as its last one. An unexpected
// order puts the machine in doubt.
func (m *Machine) checkInFlight() {
	switch {
	case m.inDoubt:
	case m.inFlight == nil && m.state.Busy:
		m.enterDoubt()
	case m.inFlight != nil && m.state.LastOrder != m.inFlight.ID():
		m.enterDoubt()
	case m.inFlight != nil && !m.state.Busy:
		m.inFlight = nil
	}
}

// checkQuiet ends the doubt once the endpoint was idle and unchanged at each poll
// for QuietPeriod.
func (m *Machine) checkQuiet(before State, asked time.Time) {
	if m.state.Busy {
		m.quietSince = time.Time{}
		return
	}
	if m.quietSince.IsZero() || !m.state.equal(before) {
		m.quietSince = asked
		return
	}
	if asked.Sub(m.quietSince) >= QuietPeriod {
		m.inDoubt = false
		m.inFlight = nil
	}
}

func (m *Machine) enterDoubt() {
	m.inDoubt = true
	m.quietSince = time.Time{}
}
