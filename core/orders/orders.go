// Package orders implements the state machine of the one process that controls an
// endpoint's configuration. At most one order is in flight; when the effect of an
// order is in doubt, no other is sent until the endpoint has been idle and
// unchanged for QuietPeriod; and no order interrupts running requests.
package orders

import (
	"fmt"
	"slices"
	"time"
)

// Setting names the setting of an endpoint that an order changes.
type Setting string

// The settings, in the sequence in which they are changed.
const (
	Model   Setting = "model"
	Version Setting = "version"
	Role    Setting = "role"
	Adapter Setting = "adapter"
)

// Order instructs an endpoint to change one setting. Epoch and Sequence are its
// fencing number.
type Order struct {
	Epoch    int64   `json:"epoch"`
	Sequence int64   `json:"sequence"`
	Setting  Setting `json:"setting"`
	Value    string  `json:"value"`
}

// ID returns the name of the order in State.LastOrder.
func (o Order) ID() string { return fmt.Sprintf("%d.%d", o.Epoch, o.Sequence) }

// Interrupts reports whether the endpoint can't serve requests while it executes
// the order.
func (o Order) Interrupts() bool { return o.Setting != Adapter }

// State is the state that an endpoint reports.
type State struct {
	Instance  string   `json:"instance"` // Of the endpoint's process.
	Role      string   `json:"role"`
	Model     string   `json:"model"`
	Version   string   `json:"version"`
	Adapters  []string `json:"adapters"`
	Busy      bool     `json:"busy"`       // An order is under way.
	LastOrder string   `json:"last_order"` // ID of the order under way or of the last one that ended.
}

// equal reports whether nothing changed between two polls.
func (s State) equal(other State) bool {
	return s.Instance == other.Instance && s.Role == other.Role && s.Model == other.Model &&
		s.Version == other.Version && s.LastOrder == other.LastOrder && s.Busy == other.Busy &&
		slices.Equal(s.Adapters, other.Adapters)
}

// Target is what an endpoint should have loaded. An empty field leaves the
// setting unchanged. Epoch and Sequence number the decision; a lower number never
// replaces a higher one.
type Target struct {
	Epoch    int64
	Sequence int64
	Role     string
	Model    string
	Version  string
	Adapters []string
}

// Supersedes reports whether the decision replaces other.
func (t Target) Supersedes(other Target) bool {
	if t.Epoch != other.Epoch {
		return t.Epoch > other.Epoch
	}
	return t.Sequence > other.Sequence
}

// firstDifference returns an order for the first setting in which s differs from
// the target, or false if there is none.
func (t Target) firstDifference(s State) (Order, bool) {
	for _, field := range []struct {
		setting       Setting
		wanted, found string
	}{{Model, t.Model, s.Model}, {Version, t.Version, s.Version}, {Role, t.Role, s.Role}} {
		if field.wanted != "" && field.wanted != field.found {
			return Order{Setting: field.setting, Value: field.wanted}, true
		}
	}
	for _, adapter := range t.Adapters {
		if !slices.Contains(s.Adapters, adapter) {
			return Order{Setting: Adapter, Value: adapter}, true
		}
	}
	return Order{}, false
}

// Timing of orders and polls.
const (
	// SendTimeout bounds how long sending an order may take.
	SendTimeout = 2 * time.Second
	// QuietPeriod is how long an endpoint must report the same idle state before
	// a doubt ends. It is longer than an order of a process that has died can be
	// in transit to an endpoint on the same VM.
	QuietPeriod = 10 * time.Second
	// PollInterval is the interval between polls while the machine is settled.
	PollInterval = 2 * time.Second
	// UnsettledPollInterval is the interval after an unanswered poll and while an
	// order is in flight or in doubt.
	UnsettledPollInterval = 250 * time.Millisecond
	// refusedBackoff is the delay after a refused order.
	refusedBackoff = 1 * time.Second
)
