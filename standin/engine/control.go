package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"flamingospar.org/core/orders"
)

// ControlConfig configures how an engine executes orders.
type ControlConfig struct {
	ChecksFencing bool          // Reject orders whose fencing number is outdated.
	OrderDuration time.Duration // From acceptance of an order to its effect.
	// CrashOnOrder is the number of the order, counted from 1, that crashes the
	// engine; 0 means none.
	CrashOnOrder int
	// Downtime is how long a crashed engine responds with errors only.
	Downtime time.Duration
}

// Control is an engine's control interface. It records a violation for each order
// that it accepts during another one or after a later one.
type Control struct {
	config ControlConfig

	mu         sync.Mutex
	state      orders.State
	lastOrder  orders.Order
	orderCount int
	crashes    int
	downUntil  time.Time
	violations []string
}

// NewControl returns the control interface of an engine that has model loaded.
func NewControl(model string, config ControlConfig) *Control {
	state := orders.State{Instance: "engine-0", Role: "mixed", Model: model, Version: "1"}
	return &Control{config: config, state: state}
}

// Configure replaces the configuration.
func (c *Control) Configure(config ControlConfig) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config = config
}

// Violations returns the violations recorded so far.
func (c *Control) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// OrderCount returns the number of orders accepted so far.
func (c *Control) OrderCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.orderCount
}

// State returns the engine's state.
func (c *Control) State() orders.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// Model returns the loaded model. It is empty while the engine executes an order
// or is down, and after a crash.
func (c *Control) Model() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Busy || c.isDown() {
		return ""
	}
	return c.state.Model
}

// Routes adds the control interface to an engine's router.
func (c *Control) Routes(router chi.Router) {
	router.Get("/control/state", c.serveState)
	router.Post("/control/orders", c.serveOrder)
}

func (c *Control) isDown() bool { return time.Now().Before(c.downUntil) }

func (c *Control) serveState(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDown() {
		http.Error(w, "the engine is down", http.StatusBadGateway)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(c.state)
}

func (c *Control) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order orders.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if status, detail := c.accept(order); status != http.StatusAccepted {
		http.Error(w, detail, status)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// isOutdated reports whether order is not newer than last.
func isOutdated(order, last orders.Order) bool {
	return order.Epoch < last.Epoch || order.Epoch == last.Epoch && order.Sequence <= last.Sequence
}

// accept starts an order, and returns a status other than 202 if it rejects it.
func (c *Control) accept(order orders.Order) (status int, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDown() {
		return http.StatusBadGateway, "the engine is down"
	}
	if c.config.ChecksFencing && isOutdated(order, c.lastOrder) {
		return http.StatusPreconditionFailed, "the fencing number is outdated"
	}
	c.orderCount++
	if c.state.Busy {
		c.violations = append(c.violations, fmt.Sprintf("order %s during %s", order.ID(), c.lastOrder.ID()))
	}
	if isOutdated(order, c.lastOrder) {
		c.violations = append(c.violations, fmt.Sprintf("order %s after %s", order.ID(), c.lastOrder.ID()))
	}
	c.lastOrder = order
	c.state.Busy, c.state.LastOrder = true, order.ID()
	if c.orderCount == c.config.CrashOnOrder {
		time.AfterFunc(c.config.OrderDuration/2, c.Crash)
		return http.StatusAccepted, ""
	}
	time.AfterFunc(c.config.OrderDuration, func() { c.complete(order) })
	return http.StatusAccepted, ""
}

// complete applies the order, unless the engine has crashed or has accepted a
// later order since.
func (c *Control) complete(order orders.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.LastOrder != order.ID() {
		return
	}
	c.state.Busy = false
	switch order.Setting {
	case orders.Model:
		c.state.Model = order.Value
	case orders.Version:
		c.state.Version = order.Value
	case orders.Role:
		c.state.Role = order.Value
	case orders.Adapter:
		c.state.Adapters = append(c.state.Adapters, order.Value)
	}
}

// Crash simulates a crash of the engine's process. The new process has no model
// loaded and does not know the order that was being executed.
func (c *Control) Crash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes++
	c.state = orders.State{Instance: fmt.Sprintf("engine-%d", c.crashes), Role: "mixed"}
	c.downUntil = time.Now().Add(c.config.Downtime)
}
