// Package pipeline carries one caller's request through the entry's filters.
// A filter passes the request on or refuses it; on the way back, each filter
// that passed it sees the result.
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

// Exchange is one request and what the filters found out about it.
type Exchange struct {
	Writer  http.ResponseWriter
	Request *http.Request

	// Set by accept.
	ID      string
	Arrived time.Time
	Body    []byte

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
	// Fingerprint names the request by its team and content.
	Fingerprint crash.Fingerprint

	// Shape is set by admit.
	Shape Shape

	// AnswerBegun is set when the first byte of an answer was written.
	AnswerBegun bool
	// Answered is set by a filter that has sent the whole answer itself: no
	// later filter sees the exchange.
	Answered bool

	// Claim is set by claim, to a type of its own.
	Claim any

	// Set by relay. Figures is what is billed: the whole answer, or what was
	// generated for a caller that left. Outcome is then Ran.
	Outcome  refusal.Outcome
	Figures  usage.Figures
	Attempts int
	Refused  *refusal.Refusal // Nil when the caller got the whole answer.

	// Choices are the endpoints chosen for the attempts, in order.
	Choices []Chosen
}

// Chosen is the choice of an endpoint for one attempt.
type Chosen struct {
	At     time.Time
	Choice route.Choice
}

// Shape is what the policy knows of a request's size and rights.
type Shape struct {
	Weight       float64 // The team's share relative to others.
	Class        int     // Urgency; lower is more urgent.
	PromptTokens int64   // Estimated.
	OutputTokens int64   // Predicted.
	Prefix       uint64  // Of the part of the prompt that can be cached; 0: none.
	PrefixTokens int64
	FirstTokenBy time.Time // Zero: no bound.
}

// Tokens returns the prompt and predicted output tokens.
func (s Shape) Tokens() float64 { return float64(s.PromptTokens + s.OutputTokens) }

// Filter is one step of the entry's pipeline.
type Filter interface {
	// Name appears in counters and explanations.
	Name() string
	// Request returns nil to pass the exchange on.
	Request(ctx context.Context, x *Exchange) *refusal.Refusal
	// Response is called, in reverse order, for each filter that passed it on.
	Response(ctx context.Context, x *Exchange)
}

// Counter counts events by name.
type Counter interface {
	Count(parts ...string)
}

// Observer sees how each request ended and the names of the filters that it
// passed.
type Observer interface {
	Observe(x *Exchange, passed []string)
}

// Chain is the entry's whole pipeline.
type Chain struct {
	observer Observer // May be nil.
	filters  []Filter
	counter  Counter
	refuse   func(*Exchange, *refusal.Refusal)
}

// New returns the chain of filters in order. refuse writes a refusal's answer.
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

// SetObserver sets who sees the end of requests, before the first request.
func (c *Chain) SetObserver(observer Observer) { c.observer = observer }

// observe passes the names of the first filters to the observer.
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

// ServeHTTP implements http.Handler.
func (c *Chain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &Exchange{Writer: w, Request: r}
	passed := 0
	defer func() { c.observe(x, passed) }()
	// Also after the panic that breaks an incomplete answer off.
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
