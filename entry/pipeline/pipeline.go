// Package pipeline runs a caller's request through the entry's filters. A filter
// passes the request on or refuses it. Afterwards, each filter that passed it on is
// called with the result, in reverse order.
package pipeline

import (
	"context"
	"net/http"
	"time"

	"flamingospar.org/core/config"
	"flamingospar.org/core/crash"
	"flamingospar.org/core/refusal"
	"flamingospar.org/core/route"
	"flamingospar.org/core/usage"
)

// Exchange is a request, its response writer and the state that the filters set.
type Exchange struct {
	Writer  http.ResponseWriter
	Request *http.Request

	// Set by accept.
	ID        string
	ArrivedAt time.Time
	Body      []byte // Set by receive.

	// Set by authenticate.
	State *config.State
	Team  string
	KeyID string // Empty on open routes.

	// Set by match.
	Route      string
	Kind       string // "model" or the service's name.
	Model      string
	Repeatable bool
	Open       bool
	Deadline   time.Time
	// Fingerprint is set by crashmarks. It identifies the request by its team, path
	// and body.
	Fingerprint crash.Fingerprint

	// Shape is set by admit.
	Shape Shape

	// ResponseStarted is set when a filter starts to write the answer.
	ResponseStarted bool
	// Answered is set by a filter that has sent the whole answer itself. Later
	// filters are not called.
	Answered bool

	// Claim is set by claim to a value of its own type.
	Claim any

	// Set by relay. Figures is the billed usage: that of the whole answer, or of
	// the part generated before the caller disconnected; Outcome is then Ran.
	Outcome  refusal.Outcome
	Figures  usage.Figures
	Attempts int
	Refused  *refusal.Refusal // Nil if the caller got the whole answer.

	// Choices are the endpoints chosen for the attempts, in order.
	Choices []AttemptChoice
}

// AttemptChoice is the choice of an endpoint for one attempt.
type AttemptChoice struct {
	At     time.Time
	Choice route.Choice
}

// Shape holds the size and priority of a request.
type Shape struct {
	Weight             float64 // The team's share relative to others.
	Class              int     // Urgency; lower is more urgent.
	PromptTokens       int64   // Estimated.
	OutputTokens       int64   // Predicted.
	Prefix             uint64  // Of the part of the prompt that can be cached; 0: none.
	PrefixTokens       int64
	FirstTokenDeadline time.Time // Zero: no bound.
}

// Tokens returns the prompt and predicted output tokens.
func (s Shape) Tokens() float64 { return float64(s.PromptTokens + s.OutputTokens) }

// Filter is a step of the entry's pipeline.
type Filter interface {
	// Name returns the filter's name in counters and explanations.
	Name() string
	// Request returns a refusal, or nil to pass the exchange on.
	Request(ctx context.Context, x *Exchange) *refusal.Refusal
	// Response is called after the answer, in reverse order, for each filter that
	// passed the exchange on.
	Response(ctx context.Context, x *Exchange)
}

// Counter counts events by name.
type Counter interface {
	Count(parts ...string)
}

// Observer is called at the end of each request with the names of the filters that
// passed it on.
type Observer interface {
	Observe(x *Exchange, passed []string)
}

// Chain is an HTTP handler that calls filters in order.
type Chain struct {
	observer Observer // May be nil.
	filters  []Filter
	counter  Counter
	refuse   func(*Exchange, *refusal.Refusal)
}

// New returns a chain of the filters in the given order. refuse writes the answer to
// a refused request.
func New(counter Counter, refuse func(*Exchange, *refusal.Refusal), filters ...Filter) *Chain {
	return &Chain{filters: filters, counter: counter, refuse: refuse}
}

// Names returns the filters' names in order.
func (c *Chain) Names() []string {
	names := make([]string, 0, len(c.filters))
	for _, filter := range c.filters {
		names = append(names, filter.Name())
	}
	return names
}

// SetObserver sets the observer. It must be called before the first request.
func (c *Chain) SetObserver(observer Observer) { c.observer = observer }

// observe calls the observer with the names of the filters that passed the exchange
// on, which are the first ones.
func (c *Chain) observe(x *Exchange, passed int) {
	if c.observer == nil {
		return
	}
	names := make([]string, passed)
	for i := range names {
		names[i] = c.filters[i].Name()
	}
	c.observer.Observe(x, names)
}

// ServeHTTP calls the filters until one refuses or answers the request, then the
// Response methods of those that passed it on.
func (c *Chain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &Exchange{Writer: w, Request: r}
	passed := 0
	defer func() { c.observe(x, passed) }()
	// Deferred, so that it also runs when a panic aborts an incomplete answer.
	defer func() {
		for i := passed - 1; i >= 0; i-- {
			c.filters[i].Response(r.Context(), x)
		}
	}()
	for _, filter := range c.filters {
		refused := filter.Request(r.Context(), x)
		if refused != nil {
			c.counter.Count("refused", string(refused.Code))
			x.Refused = refused
			x.Outcome = refused.Outcome
			c.refuse(x, refused)
			break
		}
		c.counter.Count("filter", filter.Name())
		if x.Answered {
			break
		}
		passed++
	}
}
