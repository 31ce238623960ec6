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

// ControlConfig sets how an engine obeys orders.
type ControlConfig struct {
	ChecksFencing bool
	Takes         time.Duration // From an order to its effect.
	// CrashOn makes the order with this number, from 1, crash the engine.
	CrashOn int
	// DownFor is how long a crashed engine answers nothing.
	DownFor time.Duration
}

// Control is an engine's control interface. Orders that overlap, or that arrive
// after a later one, are violations.
type Control struct {
	config ControlConfig

	mu         sync.Mutex
	state      orders.State
	last       orders.Order
	given      int
	crashes    int
	downUntil  time.Time
	violations []string
}

// NewControl returns the control interface of an engine with a model loaded.
func NewControl(model string, config ControlConfig) *Control {
	state := orders.State{Instance: "engine-0", Role: "mixed", Model: model, Version: "1"}
	return &Control{config: config, state: state}
}

// Configure changes how orders are obeyed from now on.
func (c *Control) Configure(config ControlConfig) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config = config
}

// Violations lists what no endpoint should have seen.
func (c *Control) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Given returns the number of orders that arrived.
func (c *Control) Given() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.given
}

// State returns the engine's state.
func (c *Control) State() orders.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// Model returns the loaded model, empty while an order is under way.
func (c *Control) Model() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Busy || c.down() {
		return ""
	}
	return c.state.Model
}

// Routes adds the control interface to an engine's router.
func (c *Control) Routes(router chi.Router) {
	router.Get("/control/state", c.serveState)
	router.Post("/control/orders", c.serveOrder)
}

func (c *Control) down() bool { return time.Now().Before(c.downUntil) }

func (c *Control) serveState(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down() {
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
	if status, detail := c.take(order); status != http.StatusAccepted {
		http.Error(w, detail, status)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func outdated(order, last orders.Order) bool {
	return order.Epoch < last.Epoch || order.Epoch == last.Epoch && order.Sequence <= last.Sequence
}

func (c *Control) take(order orders.Order) (status int, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down() {
		return http.StatusBadGateway, "the engine is down"
	}
	if c.config.ChecksFencing && outdated(order, c.last) {
		return http.StatusPreconditionFailed, "the fencing number is outdated"
	}
	c.given++
	if c.state.Busy {
		c.violations = append(c.violations, fmt.Sprintf("order %s during %s", order.ID(), c.last.ID()))
	}
	if outdated(order, c.last) {
		c.violations = append(c.violations, fmt.Sprintf("order %s after %s", order.ID(), c.last.ID()))
	}
	c.last = order
	c.state.Busy, c.state.LastOrder = true, order.ID()
	if c.given == c.config.CrashOn {
		time.AfterFunc(c.config.Takes/2, c.Crash)
		return http.StatusAccepted, ""
	}
	time.AfterFunc(c.config.Takes, func() { c.finish(order) })
	return http.StatusAccepted, ""
}

func (c *Control) finish(order orders.Order) {
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

// Crash ends the engine's process. The next one has no model loaded and knows
// nothing of the order under way.
func (c *Control) Crash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes++
	c.state = orders.State{Instance: fmt.Sprintf("engine-%d", c.crashes), Role: "mixed"}
	c.downUntil = time.Now().Add(c.config.DownFor)
}
