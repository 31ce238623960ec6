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

// Interceptor is a connect.Interceptor that records the end of each attempt.
type Interceptor struct {
	journal *journal.Journal
}

// NewInterceptor returns an interceptor that writes to j.
func NewInterceptor(j *journal.Journal) *Interceptor { return &Interceptor{journal: j} }

// WrapUnary returns next unchanged: attempts are streams.
func (i *Interceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc { return next }

// WrapStreamingHandler returns next unchanged: entries are the clients of runs.
func (i *Interceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// WrapStreamingClient returns a client whose streams are recorded.
func (i *Interceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		return &runConn{StreamingClientConn: next(ctx, spec), journal: i.journal, startedAt: time.Now()}
	}
}

// runConn is the stream of one attempt. Only one goroutine may call Receive.
type runConn struct {
	connect.StreamingClientConn
	journal      *journal.Journal
	startedAt    time.Time
	start        *wirev1.RunStart
	outputTokens int64
	ended        bool
}

// Send sends message and remembers the start of the run.
func (c *runConn) Send(message any) error {
	if call, ok := message.(*wirev1.RunCall); ok && call.GetStart() != nil {
		c.start = call.GetStart()
	}
	return c.StreamingClientConn.Send(message)
}

// Receive receives a message and records the end of the attempt once.
func (c *runConn) Receive(message any) error {
	err := c.StreamingClientConn.Receive(message)
	if c.start == nil || c.ended {
		return err
	}
	if err != nil {
		c.record("endpoint_failed", "The run's stream was interrupted: "+err.Error()+".")
		return err
	}
	event, ok := message.(*wirev1.RunEvent)
	if !ok {
		return nil
	}
	switch kind := event.Message.(type) {
	case *wirev1.RunEvent_Chunk:
		c.outputTokens += int64(kind.Chunk.Tokens)
	case *wirev1.RunEvent_Refused:
		c.record(kind.Refused.Code, "The agent refused the run: "+kind.Refused.Detail+".")
	case *wirev1.RunEvent_Finished:
		outcome := strings.TrimPrefix(kind.Finished.Outcome.String(), "OUTCOME_")
		c.record(kind.Finished.Code, "The run ended: "+outcome+".")
	}
	return nil
}

func (c *runConn) record(code, sentence string) {
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
			{Name: "millis", Value: strconv.FormatInt(time.Since(c.startedAt).Milliseconds(), 10)},
			{Name: "output_tokens", Value: strconv.FormatInt(c.outputTokens, 10)},
		},
	})
}
