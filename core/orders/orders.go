// Package orders decides, for the one process that orders an endpoint, what to
// do next: one order in flight, none after a doubt until the endpoint has been
// quiet, and none that takes the endpoint away from running requests.
package orders

import (
	"fmt"
	"slices"
	"time"
)

// Setting names what an order changes.
type Setting string

// The settings, in the order in which they are changed.
const (
	Model   Setting = "model"
	Version Setting = "version"
	Role    Setting = "role"
	Adapter Setting = "adapter"
)

// Order is one order to an endpoint. Epoch and Sequence are its fencing number.
type Order struct {
	Epoch    int64   `json:"epoch"`
	Sequence int64   `json:"sequence"`
	Setting  Setting `json:"setting"`
	Value    string  `json:"value"`
}

// ID names the order in the endpoint's state.
func (o Order) ID() string { return fmt.Sprintf("%d.%d", o.Epoch, o.Sequence) }

// Interrupts reports whether the endpoint can't serve while it obeys.
func (o Order) Interrupts() bool { return o.Setting != Adapter }

// State is what an endpoint says of itself.
type State struct {
	Instance  string   `json:"instance"` // Of the endpoint's process.
	Role      string   `json:"role"`
	Model     string   `json:"model"`
	Version   string   `json:"version"`
	Adapters  []string `json:"adapters"`
	Busy      bool     `json:"busy"`       // An order is under way.
	LastOrder string   `json:"last_order"` // ID of the order under way or last ended.
}

// same reports whether nothing happened between two looks.
func (s State) same(other State) bool {
	return s.Instance == other.Instance && s.Role == other.Role && s.Model == other.Model &&
		s.Version == other.Version && s.LastOrder == other.LastOrder && s.Busy == other.Busy &&
		slices.Equal(s.Adapters, other.Adapters)
}

// Target is what an endpoint should have loaded. An empty field is left as it
// is. Epoch and Sequence number the decision: a lower one never replaces a
// higher one.
type Target struct {
	Epoch    int64
	Sequence int64
	Role     string
	Model    string
	Version  string
	Adapters []string
}

// After reports whether the decision replaces another one.
func (t Target) After(other Target) bool {
	if t.Epoch != other.Epoch {
		return t.Epoch > other.Epoch
	}
	return t.Sequence > other.Sequence
}

// difference returns the first setting to change, false when there is none.
func (t Target) difference(s State) (Order, bool) {
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

// Timing of orders.
const (
	// SendTimeout bounds how long an order may be on its way.
	SendTimeout = 2 * time.Second
	// QuietFor is how long an endpoint must answer unchanged and idle after a
	// doubt. It is longer than an order of a process that has died can be on its
	// way to an endpoint on the same VM.
	QuietFor = 10 * time.Second
	// LookEvery is the interval between looks at an endpoint at rest.
	LookEvery = 2 * time.Second
	// LookOften is the interval while an order or a doubt is open.
	LookOften = 250 * time.Millisecond
	// backOff is the wait after an order that was refused.
	backOff = 1 * time.Second
)
