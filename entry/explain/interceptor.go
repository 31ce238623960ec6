package explain

import (
	"context"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"

	"flamingospar.org/base/journal"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Interceptor notes the end of each attempt. It is a connect.Interceptor.
type Interceptor struct {
	journal *journal.Journal
}

// NewInterceptor returns an interceptor that writes to j.
func NewInterceptor(j *journal.Journal) *Interceptor { return &Interceptor{journal: j} }

// WrapUnary implements connect.Interceptor.
func (i *Interceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc { return next }

// WrapStreamingHandler implements connect.Interceptor.
func (i *Interceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// WrapStreamingClient implements connect.Interceptor.
func (i *Interceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		return &runConn{StreamingClientConn: next(ctx, spec), journal: i.journal, begun: time.Now()}
	}
}

// runConn is the stream of one attempt. Receive is called by one goroutine.
type runConn struct {
	connect.StreamingClientConn
	journal *journal.Journal
	begun   time.Time
	start   *wirev1.RunStart
	tokens  int64
	ended   bool
}

// Send implements connect.StreamingClientConn.
func (c *runConn) Send(message any) error {
	if call, ok := message.(*wirev1.RunCall); ok && call.GetStart() != nil {
		c.start = call.GetStart()
	}
	return c.StreamingClientConn.Send(message)
}

// Receive implements connect.StreamingClientConn.
func (c *runConn) Receive(message any) error {
	err := c.StreamingClientConn.Receive(message)
	if c.start == nil || c.ended {
		return err
	}
	if err != nil {
		c.note("endpoint_failed", "The run's stream broke off: "+err.Error()+".")
		return err
	}
	event, ok := message.(*wirev1.RunEvent)
	if !ok {
		return nil
	}
	switch kind := event.Message.(type) {
	case *wirev1.RunEvent_Chunk:
		c.tokens += int64(kind.Chunk.Tokens)
	case *wirev1.RunEvent_Refused:
		c.note(kind.Refused.Code, "The agent refused the run: "+kind.Refused.Detail+".")
	case *wirev1.RunEvent_Finished:
		outcome := strings.TrimPrefix(kind.Finished.Outcome.String(), "OUTCOME_")
		c.note(kind.Finished.Code, "The run ended: "+outcome+".")
	}
	return nil
}

func (c *runConn) note(code, sentence string) {
	c.ended = true
	request, _, _ := strings.Cut(c.start.RunId, "/")
	c.journal.Record(journal.Event{
		Part:     "entry/dispatch",
		Code:     code,
		Sentence: sentence,
		Request:  request,
		Team:     c.start.Team,
		Facts: []journal.Fact{
			{Name: "run", Value: c.start.RunId},
			{Name: "agent", Value: c.Peer().Addr},
			{Name: "millis", Value: strconv.FormatInt(time.Since(c.begun).Milliseconds(), 10)},
			{Name: "output_tokens", Value: strconv.FormatInt(c.tokens, 10)},
		},
	})
}
